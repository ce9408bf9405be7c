package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// The kinds of keys; a key is its kind followed by the job's id.
const (
	kindLeader     = 'L'
	kindSubmission = 'J'
	kindCancel     = 'C'
	kindStatus     = 'S'
	kindProgress   = 'P'
	kindNote       = 'N' // followed by a name that the leader chose
)

// leaderKey is the key of the record that names the leader.
const leaderKey = string(rune(kindLeader))

// Leader is the record that names the leader; it is written again while nothing else is, as a heartbeat.
type Leader struct {
	Host    string `cbor:"1,keyasint"` // empty after a resignation
	Process string `cbor:"2,keyasint"` // tells the processes of a host apart
	Epoch   Epoch  `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint,omitempty"` // host:port that takes the records of other hosts
}

func jobKey(kind rune, id table.JobID) string { return string(kind) + string(id) }

// HandoverRecord returns the record with which a leader hands something on to the next one; nil data drops the note.
func HandoverRecord(name string, data []byte) Record {
	return Record{Key: string(kindNote) + name, Value: data}
}

// SubmissionRecord returns the record of an accepted job.
func SubmissionRecord(id table.JobID, s *workload.Submission) (Record, error) {
	return encode(jobKey(kindSubmission, id), s)
}

// CancelRecord returns the record of a cancelled job.
func CancelRecord(id table.JobID, at table.UnixMillis) (Record, error) {
	return encode(jobKey(kindCancel, id), workload.Cancel{At: at})
}

// StatusRecord returns the record of a job's state.
func StatusRecord(id table.JobID, s workload.Status) (Record, error) {
	return encode(jobKey(kindStatus, id), s)
}

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(id table.JobID, p workload.Progress) (Record, error) {
	return encode(jobKey(kindProgress, id), p)
}

// DropProgress returns the record that drops the progress of a final job.
func DropProgress(id table.JobID) Record { return Record{Key: jobKey(kindProgress, id)} }

// DropJob returns the records that drop all keys of a job.
func DropJob(id table.JobID) []Record {
	return []Record{
		{Key: jobKey(kindSubmission, id)},
		{Key: jobKey(kindCancel, id)},
		{Key: jobKey(kindStatus, id)},
		{Key: jobKey(kindProgress, id)},
	}
}

func encode(key string, v any) (Record, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return Record{}, fmt.Errorf("record %q cannot be encoded: %w", key, err)
	}
	return Record{Key: key, Value: data}, nil
}

func decode(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// DecodeProgress returns the progress that an entry holds.
func DecodeProgress(data []byte) (workload.Progress, error) {
	var p workload.Progress
	err := decode(data, &p)
	return p, err
}
