package harness

import (
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Action says what a fault does.
type Action string

// Fault is one fault to inject; each action uses the fields that it needs.
type Fault struct {
	ID     int // assigned when the fault is added
	Action Action
	Target string         `json:",omitempty"` // function such as Log.Append, group such as Log, or empty for all
	Worker table.WorkerID `json:",omitempty"` // empty for all
	Code   string         `json:",omitempty"` // code of the error kind of a refusal
	Factor float64        `json:",omitempty"` // slowdown, 2 is half as fast
	Share  float64        `json:",omitempty"` // share that remains, 0 to 1
	Delay  table.Millis   `json:",omitempty"`
	Count  int            `json:",omitempty"` // calls that it affects; 0 for no limit
	For    table.Millis   `json:",omitempty"` // how long it lasts; 0 for no limit
}

// Faults is the list of the faults in force.
type Faults struct {
	// BeforeChange, if set, is called before a fault is added or removed, without any lock of the list.
	BeforeChange func(f Fault, added bool)

	actions []Action
	mu      sync.Mutex
	lastID  int
	list    []*entry
	changed chan struct{}
}

type entry struct {
	Fault
	ended chan struct{} // closed when the fault is removed
	timer *time.Timer
}

// NewFaults returns an empty list that takes the given actions.
func NewFaults(actions ...Action) *Faults {
	return &Faults{actions: actions, changed: make(chan struct{})}
}

// Add puts a fault in force and returns its ID.
func (l *Faults) Add(f Fault) (int, error) {
	if !l.accepts(f.Action) {
		return 0, fault.New(fault.Invalid, "unknown action %q, known are %v", f.Action, l.actions)
	}
	if l.BeforeChange != nil {
		l.BeforeChange(f, true)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	f.ID = l.lastID
	e := &entry{Fault: f, ended: make(chan struct{})}
	if f.For > 0 {
		e.timer = time.AfterFunc(time.Duration(f.For)*time.Millisecond, func() { l.Remove(e.ID) })
	}
	l.list = append(l.list, e)
	l.notify()
	return f.ID, nil
}

func (l *Faults) accepts(a Action) bool {
	for _, k := range l.actions {
		if k == a {
			return true
		}
	}
	return false
}

// Remove ends the fault with the given ID.
func (l *Faults) Remove(id int) {
	for _, f := range l.List() {
		if f.ID == id && l.BeforeChange != nil {
			l.BeforeChange(f, false)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(id)
}

// Clear ends every fault.
func (l *Faults) Clear() {
	for _, f := range l.List() {
		l.Remove(f.ID)
	}
}

// List returns the faults in force in the order in which they were added.
func (l *Faults) List() []Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	fs := make([]Fault, 0, len(l.list))
	for _, e := range l.list {
		fs = append(fs, e.Fault)
	}
	return fs
}

// Find returns the first fault that match accepts, without using it up.
func (l *Faults) Find(match func(Fault) bool) (Fault, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.list {
		if match(e.Fault) {
			return e.Fault, true
		}
	}
	return Fault{}, false
}

// Take returns the first fault that match accepts and counts one use of it; over is closed when the fault ends.
func (l *Faults) Take(match func(Fault) bool) (f Fault, over <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.list {
		if !match(e.Fault) {
			continue
		}
		f = e.Fault
		if f.Count == 1 {
			l.remove(f.ID)
		}
		if f.Count > 1 {
			e.Count--
		}
		return f, e.ended, true
	}
	return Fault{}, nil, false
}

// Changed returns a channel that is closed when the list next changes.
func (l *Faults) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *Faults) remove(id int) {
	for i, e := range l.list {
		if e.ID != id {
			continue
		}
		l.list = append(l.list[:i:i], l.list[i+1:]...)
		if e.timer != nil {
			e.timer.Stop()
		}
		close(e.ended)
		l.notify()
		return
	}
}

func (l *Faults) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
