package ledger

import (
	"bytes"
	"log/slog"
	"maps"
	"sync"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// Entry is the state of one job as recorded in the topic.
type Entry struct {
	ID         table.JobID
	Submission *workload.Submission // nil until its record was read
	Status     workload.Status      // newest of the leader
	Cancelled  bool
	CancelAt   table.UnixMillis
	Progress   []byte // encoded workload.Progress

	cancelPosition Position // of its first cancellation that was read
	statusPosition Position // where Status.State was first read
}

// State returns the state that callers see: that of the leader, unless a cancellation is in the log before a final
// one. The order in the log is the same for all hosts and leaders.
func (e Entry) State() workload.State {
	s := e.Status.State
	if e.Cancelled && (!s.Final() || e.cancelPosition < e.statusPosition) {
		return workload.Cancelled
	}
	return s
}

// Overruled reports whether the leader recorded another final state after the job was cancelled.
func (e Entry) Overruled() bool { return e.Status.State.Final() && e.State() != e.Status.State }

// View is the in-memory state of the topic. Its methods may be called from any goroutine.
type View struct {
	logger *slog.Logger

	mu                 sync.Mutex
	position           Position
	loaded             bool
	entries            map[table.JobID]*Entry
	pending            map[workload.QueueID]int
	snapshotPositions  map[string]Position // of records that a snapshot returned beyond its end, by key
	leader             Leader
	leaderSeen         time.Time // when a record of the leader was last read
	confirmed          time.Time // start of the last read that reached the end
	readsWithoutLeader int       // reads that reached the end since leaderSeen
	onChange           func(Entry)
	handover           map[string][]byte
	handoverReadAt     map[string]time.Time // when the data in handover was first read
}

// NewView returns an empty View.
func NewView(logger *slog.Logger) *View {
	return &View{
		logger: logger, entries: map[table.JobID]*Entry{}, pending: map[workload.QueueID]int{}, snapshotPositions: map[string]Position{},
		handover: map[string][]byte{}, handoverReadAt: map[string]time.Time{},
	}
}

// Position returns the position up to which records have been applied, and whether a snapshot has been loaded.
func (v *View) Position() (Position, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.position, v.loaded
}

// Confirmed returns the start time of the last read that reached the end of the topic.
func (v *View) Confirmed() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmed
}

// Age returns the time since Confirmed by the monotonic or the wall clock, whichever is longer: the monotonic
// clock may not count the time for which a host was suspended. It is table.UnknownAge if no read has reached the end.
func (v *View) Age() time.Duration {
	at := v.Confirmed()
	if at.IsZero() {
		return table.UnknownAge
	}
	now := time.Now()
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// Unload drops everything but the leader; the topic must be loaded again afterwards.
func (v *View) Unload() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.clear()
	v.position, v.loaded, v.confirmed, v.readsWithoutLeader = 0, false, time.Time{}, 0
}

// clear drops all entries and handover records; v.mu must be held.
func (v *View) clear() {
	v.entries, v.pending, v.snapshotPositions = map[table.JobID]*Entry{}, map[workload.QueueID]int{}, map[string]Position{}
	v.handover, v.handoverReadAt = map[string][]byte{}, map[string]time.Time{}
}

// Job returns a copy of the entry of id, or false if its submission has not been read.
func (v *View) Job(id table.JobID) (Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.entries[id]
	if e == nil || e.Submission == nil {
		return Entry{}, false
	}
	return *e, true
}

// Pending returns the number of accepted jobs of queue q that have not started.
func (v *View) Pending(q workload.QueueID) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pending[q]
}

// Settled reports whether the view holds the records of one position, as it does not while a snapshot is completed.
func (v *View) Settled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.snapshotPositions) == 0
}

// Watch returns all entries and registers changed, which is called for each later submission, cancellation,
// overruled state and snapshot until the next call of Watch. changed must not block.
func (v *View) Watch(changed func(Entry)) []Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onChange = changed
	all := make([]Entry, 0, len(v.entries))
	for _, e := range v.entries {
		all = append(all, *e)
	}
	return all
}

// load replaces the state by a full snapshot whose first page was requested at began.
func (v *View) load(records []Record, end Position, began time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	handover, readAt, before := v.handover, v.handoverReadAt, v.entries
	v.clear()
	for _, r := range records {
		v.apply(r, now)
		if r.Position >= end {
			v.snapshotPositions[r.Key] = r.Position
		}
	}
	for id, e := range v.entries {
		if b := before[id]; b != nil && b.Cancelled && e.Cancelled && b.sameJob(e) {
			e.cancelPosition = b.cancelPosition // the snapshot holds the newest cancellation only
		}
	}
	for name, data := range v.handover {
		if before, ok := handover[name]; ok && bytes.Equal(before, data) {
			v.handoverReadAt[name] = readAt[name]
		}
	}
	v.position, v.loaded, v.confirmed = end, true, began
	if len(v.snapshotPositions) > 0 {
		v.confirmed = time.Time{}
	}
	if v.onChange != nil {
		for _, e := range v.entries {
			v.onChange(*e)
		}
	}
}

// applyPage applies a page that was read at position from; began is when the read was sent.
func (v *View) applyPage(from Position, p Page, began time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if from > v.position {
		return // the view was unloaded or reloaded in the meantime
	}
	now := time.Now()
	seenBefore := v.leaderSeen
	for _, r := range p.Records {
		if r.Position < v.position || r.Position < v.snapshotPositions[r.Key] {
			continue
		}
		v.apply(r, now)
	}
	v.position = max(v.position, p.Next)
	for key, at := range v.snapshotPositions {
		if at < v.position {
			delete(v.snapshotPositions, key)
		}
	}
	if p.Next < p.End {
		return
	}
	v.confirmed = began
	if v.leaderSeen.Equal(seenBefore) {
		v.readsWithoutLeader++
	} else {
		v.readsWithoutLeader = 0
	}
}

// apply applies one record; a record that cannot be decoded is logged.
func (v *View) apply(r Record, now time.Time) {
	if r.Key == "" {
		return
	}
	kind, id := rune(r.Key[0]), table.JobID(r.Key[1:])
	switch kind {
	case kindLeader:
		v.applyLeader(r, now)
		return
	case kindHandover:
		v.leaderSeen = now
		v.applyHandover(string(id), r.Value, now)
		return
	}
	e := v.entries[id]
	if e == nil {
		if r.Value == nil {
			return
		}
		e = &Entry{ID: id}
		v.entries[id] = e
	}
	v.adjustPending(e, -1)
	if err := e.apply(kind, r); err != nil {
		v.logger.Error("record cannot be decoded", "Key", r.Key, "Position", r.Position, "Error", err)
	}
	if kind == kindStatus || kind == kindProgress {
		v.leaderSeen = now
	}
	if e.empty() {
		delete(v.entries, id)
	} else {
		v.adjustPending(e, 1)
	}
	if v.onChange != nil && kind != kindProgress && (kind != kindStatus || e.Overruled()) {
		v.onChange(*e)
	}
}

func (v *View) applyLeader(r Record, now time.Time) {
	var l Leader
	if err := decode(r.Value, &l); err != nil {
		v.logger.Error("leader record cannot be decoded", "Position", r.Position, "Error", err)
		return
	}
	if l.Epoch < v.leader.Epoch {
		return
	}
	if l.Epoch > v.leader.Epoch || l.Host != v.leader.Host {
		v.logger.Info("leader changed", "Leader", l.Host, "Epoch", l.Epoch, "Before", v.leader.Host, "Position", r.Position)
	}
	v.leader, v.leaderSeen = l, now
}

// sameJob reports whether e and o are of one acceptance of a job, not of two with the same ID.
func (e *Entry) sameJob(o *Entry) bool {
	return e.Submission != nil && o.Submission != nil && e.Submission.Submitted == o.Submission.Submitted
}

// adjustPending adds n to the pending count of e's queue if e is pending.
func (v *View) adjustPending(e *Entry, n int) {
	if e.Submission != nil && e.Status.State == workload.Queued && !e.Cancelled && e.Submission.Spec.Repeat == 0 {
		v.pending[e.Submission.Queue.ID] += n
	}
}

func (e *Entry) empty() bool {
	return e.Submission == nil && !e.Cancelled && e.Status == workload.Status{} && e.Progress == nil
}

func (e *Entry) apply(kind rune, r Record) error {
	value := r.Value
	switch kind {
	case kindSubmission:
		return e.applySubmission(value)
	case kindCancel:
		var c workload.Cancel
		if value == nil {
			e.Cancelled = false
			return nil
		}
		if !e.Cancelled {
			e.cancelPosition = r.Position
		}
		e.Cancelled = true // even if the time cannot be decoded
		err := decode(value, &c)
		e.CancelAt = c.At
		return err
	case kindStatus:
		var s workload.Status
		if value != nil {
			if err := decode(value, &s); err != nil {
				return err
			}
		}
		if s.State != e.Status.State {
			e.statusPosition = r.Position
		}
		e.Status = s
	case kindProgress:
		e.Progress = value
	}
	return nil
}

// applySubmission keeps the first submission of a job, since a retried submission is still the same job.
func (e *Entry) applySubmission(value []byte) error {
	if value == nil {
		e.Submission = nil
		return nil
	}
	if e.Submission != nil {
		return nil
	}
	var s workload.Submission
	if err := decode(value, &s); err != nil {
		return err
	}
	e.Submission = &s
	return nil
}

// Leader returns the leader named by the newest leader record.
func (v *View) Leader() Leader {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader
}

// LeaderActivity returns when a record of the leader was last read, and the number of reads that have reached
// the end since.
func (v *View) LeaderActivity() (time.Time, int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaderSeen, v.readsWithoutLeader
}

// HandoverRecords returns a copy of the handover records' data, by name.
func (v *View) HandoverRecords() map[string][]byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.handover)
}

// HandoverReadAt returns when the data of a handover record was first read, by a snapshot or a page.
func (v *View) HandoverReadAt(name string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.handoverReadAt[name]
}

func (v *View) applyHandover(name string, data []byte, now time.Time) {
	if data == nil {
		delete(v.handover, name)
		delete(v.handoverReadAt, name)
		return
	}
	if before, ok := v.handover[name]; !ok || !bytes.Equal(before, data) {
		v.handoverReadAt[name] = now
	}
	v.handover[name] = data
}
