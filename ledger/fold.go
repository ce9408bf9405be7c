package ledger

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// Entry is what the topic says about one job.
type Entry struct {
	ID         table.JobID
	Submission *workload.Submission // nil until its record was read
	Status     workload.Status
	Cancelled  bool
	CancelAt   table.UnixMillis
	Progress   []byte // encoded workload.Progress
}

// View holds the newest state of the topic; its methods may be called from any goroutine.
type View struct {
	log *slog.Logger

	mu         sync.Mutex
	position   Position
	loaded     bool
	entries    map[table.JobID]*Entry
	pending    map[workload.QueueID]int
	newest     map[string]Position // of keys that a snapshot returned beyond its end
	leader     Leader
	leaderSign time.Time // when a record of the leader was last read
	confirmed  time.Time // start of the last read that reached the end
	quietReads int       // reads that reached the end since leaderSign
	changed    func(Entry)
	notes      map[string][]byte
}

// NewView returns an empty fold.
func NewView(log *slog.Logger) *View {
	return &View{
		log: log, entries: map[table.JobID]*Entry{}, pending: map[workload.QueueID]int{}, newest: map[string]Position{},
		notes: map[string][]byte{},
	}
}

// Position returns the position up to which the topic was folded, and whether a snapshot was loaded at all.
func (f *View) Position() (Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, f.loaded
}

// Confirmed returns when the last read began that reached the end of the topic.
func (f *View) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Age returns how old the view of the topic is, by the clock that says more: a steady clock may not count the time for which a host was suspended.
func (f *View) Age() time.Duration {
	at := f.Confirmed()
	now := time.Now()
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// Unload drops what was folded but the leader; the topic must be loaded again.
func (f *View) Unload() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clear()
	f.position, f.loaded, f.confirmed, f.quietReads = 0, false, time.Time{}, 0
}

// clear drops all entries; f.mu must be held.
func (f *View) clear() {
	f.entries, f.pending, f.newest = map[table.JobID]*Entry{}, map[workload.QueueID]int{}, map[string]Position{}
	f.notes = map[string][]byte{}
}

// Job returns a copy of the entry of id.
func (f *View) Job(id table.JobID) (Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[id]
	if e == nil || e.Submission == nil {
		return Entry{}, false
	}
	return *e, true
}

// Pending returns how many jobs of a queue are accepted and have not begun.
func (f *View) Pending(q workload.QueueID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending[q]
}

// Watch returns all entries and has changed called for each later change, until the next call; changed must not block.
func (f *View) Watch(changed func(Entry)) []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed = changed
	all := make([]Entry, 0, len(f.entries))
	for _, e := range f.entries {
		all = append(all, *e)
	}
	return all
}

// load replaces the state by a whole snapshot, whose first page was asked for at began.
func (f *View) load(records []Record, end Position, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.clear()
	for _, r := range records {
		f.apply(r, now)
		if r.Position >= end {
			f.newest[r.Key] = r.Position
		}
	}
	f.position, f.loaded, f.confirmed = end, true, began
	if f.changed != nil {
		for _, e := range f.entries {
			f.changed(*e)
		}
	}
}

// add folds a page that was read from position from on; began is when the read was sent.
func (f *View) add(from Position, p Page, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from > f.position {
		return // a snapshot was loaded meanwhile
	}
	now := time.Now()
	signs := f.leaderSign
	for _, r := range p.Records {
		if r.Position < f.position || r.Position < f.newest[r.Key] {
			continue
		}
		f.apply(r, now)
	}
	f.position = max(f.position, p.Next)
	for key, at := range f.newest {
		if at < f.position {
			delete(f.newest, key)
		}
	}
	if p.Next < p.End {
		return
	}
	f.confirmed = began
	if f.leaderSign.Equal(signs) {
		f.quietReads++
	} else {
		f.quietReads = 0
	}
}

// apply folds one record; a record that cannot be decoded changes nothing.
func (f *View) apply(r Record, now time.Time) {
	if r.Key == "" {
		return
	}
	kind, id := rune(r.Key[0]), table.JobID(r.Key[1:])
	switch kind {
	case kindLeader:
		f.applyLeader(r, now)
		return
	case kindNote:
		f.leaderSign = now
		f.applyNote(string(id), r.Value)
		return
	}
	e := f.entries[id]
	if e == nil {
		if r.Value == nil {
			return
		}
		e = &Entry{ID: id}
		f.entries[id] = e
	}
	f.count(e, -1)
	if err := e.apply(kind, r.Value); err != nil {
		f.log.Error("record of the log passed over", "Key", r.Key, "Position", r.Position, "Error", err)
	}
	if kind == kindStatus || kind == kindProgress {
		f.leaderSign = now
	}
	if e.empty() {
		delete(f.entries, id)
	} else {
		f.count(e, 1)
	}
	if f.changed != nil && kind != kindProgress && kind != kindStatus {
		f.changed(*e)
	}
}

func (f *View) applyLeader(r Record, now time.Time) {
	var l Leader
	if err := decode(r.Value, &l); err != nil {
		f.log.Error("record of the leader passed over", "Position", r.Position, "Error", err)
		return
	}
	if l.Epoch < f.leader.Epoch {
		return
	}
	if l.Epoch > f.leader.Epoch || l.Host != f.leader.Host {
		f.log.Info("leader changed", "Leader", l.Host, "Epoch", l.Epoch, "Before", f.leader.Host, "Position", r.Position)
	}
	f.leader, f.leaderSign = l, now
}

// count adds n to the pending jobs of the queue of e if e is one of them.
func (f *View) count(e *Entry, n int) {
	if e.Submission != nil && e.Status.State == workload.Queued && !e.Cancelled && e.Submission.Spec.Repeat == 0 {
		f.pending[e.Submission.Queue.ID] += n
	}
}

func (e *Entry) empty() bool {
	return e.Submission == nil && !e.Cancelled && e.Status == workload.Status{} && e.Progress == nil
}

func (e *Entry) apply(kind rune, value []byte) error {
	switch kind {
	case kindSubmission:
		return e.submit(value)
	case kindCancel:
		var c workload.Cancel
		if value == nil {
			e.Cancelled = false
			return nil
		}
		e.Cancelled = true // even where the time cannot be read
		err := decode(value, &c)
		e.CancelAt = c.At
		return err
	case kindStatus:
		e.Status = workload.Status{}
		if value == nil {
			return nil
		}
		return decode(value, &e.Status)
	case kindProgress:
		e.Progress = value
	}
	return nil
}

// submit keeps the first record of a job, since a repeated submission remains the same job.
func (e *Entry) submit(value []byte) error {
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

// Leader returns the leader that the topic names.
func (f *View) Leader() Leader {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// LeaderActivity returns when a record of the leader was last read, and how many reads to the end came since.
func (f *View) LeaderActivity() (time.Time, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaderSign, f.quietReads
}

// HandoverRecords returns what leaders have handed on, by name; the map is the caller's.
func (f *View) HandoverRecords() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.notes)
}

func (f *View) applyNote(name string, data []byte) {
	if data == nil {
		delete(f.notes, name)
		return
	}
	f.notes[name] = data
}
