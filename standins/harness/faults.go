package harness

import (
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Action names the effect of a fault.
type Action string

// Fault describes a fault to inject. Which fields apply depends on the action.
type Fault struct {
	ID     int // assigned when the fault is added
	Action Action
	Target string         `json:",omitempty"` // function such as Log.Append, group such as Log, or empty for all
	Worker table.WorkerID `json:",omitempty"` // empty for all workers
	Code   string         `json:",omitempty"` // code of the error kind with which calls are refused
	Factor float64        `json:",omitempty"` // slowdown; 2 means half speed
	Share  float64        `json:",omitempty"` // share that remains, from 0 to 1
	Delay  table.Millis   `json:",omitempty"`
	Count  int            `json:",omitempty"` // number of calls that the fault affects; 0 for no limit
	For    table.Millis   `json:",omitempty"` // duration of the fault; 0 for no limit
}

// Faults is the list of active faults; it is safe for concurrent use.
type Faults struct {
	// BeforeChange, if set, is called before a fault is added or removed. The list is not locked during the call.
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

// NewFaults returns an empty list that accepts faults with the given actions.
func NewFaults(actions ...Action) *Faults {
	return &Faults{actions: actions, changed: make(chan struct{})}
}

// Add activates a fault and returns its ID, or an error of kind fault.Invalid if its action is not accepted.
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

// Remove ends the fault with the given ID, if it is active.
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

// List returns the active faults in the order in which they were added.
func (l *Faults) List() []Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	fs := make([]Fault, 0, len(l.list))
	for _, e := range l.list {
		fs = append(fs, e.Fault)
	}
	return fs
}

// Find returns the first fault that match accepts, without counting a use of it.
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

// Take returns the first fault that match accepts and counts one use of it; ended is closed when the fault ends. A
// fault ends with its last use.
func (l *Faults) Take(match func(Fault) bool) (f Fault, ended <-chan struct{}, ok bool) {
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
