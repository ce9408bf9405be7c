package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// Kinds of record keys. A key is its kind followed by the job ID.
const (
	kindLeader     = 'L'
	kindSubmission = 'J'
	kindCancel     = 'C'
	kindStatus     = 'S'
	kindProgress   = 'P'
	kindHandover   = 'N' // followed by a name chosen by the leader
)

// leaderKey is the key of the record that names the leader.
const leaderKey = string(rune(kindLeader))

// Leader is the record that names the current leader. The leader rewrites it as a heartbeat when it has
// nothing else to append.
type Leader struct {
	Host    string `cbor:"1,keyasint"` // empty after a resignation
	Process string `cbor:"2,keyasint"` // distinguishes successive processes on the host
	Epoch   Epoch  `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint,omitempty"` // host:port that other hosts call for relayed records and queries
}

func jobKey(kind rune, id table.JobID) string { return string(kind) + string(id) }

// HandoverRecord returns the record that passes data to the next leader under name; nil data deletes it.
func HandoverRecord(name string, data []byte) Record {
	return Record{Key: string(kindHandover) + name, Value: data}
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

// DropProgress returns the record that deletes the progress of a job in a final state.
func DropProgress(id table.JobID) Record { return Record{Key: jobKey(kindProgress, id)} }

// DropJob returns the records that delete all keys of a job.
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

// DecodeProgress decodes the Progress field of an Entry.
func DecodeProgress(data []byte) (workload.Progress, error) {
	var p workload.Progress
	err := decode(data, &p)
	return p, err
}
