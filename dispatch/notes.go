package dispatch

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"persimmonpick/ledger"
	"persimmonpick/table"
)

// The names of what a leader hands on to the next one.
const (
	noteLearned = "learned"
	noteWorker  = "worker/" // followed by the id
)

// workerNote is what the next leader needs to reach a worker while the list of workers cannot be read.
type workerNote struct {
	Service  table.ServiceID  `cbor:"1,keyasint"`
	Address  string           `cbor:"2,keyasint"`
	Rack     table.RackID     `cbor:"3,keyasint,omitempty"`
	Labels   []string         `cbor:"4,keyasint,omitempty"`
	Capacity table.Resources  `cbor:"5,keyasint"`
	Born     table.UnixMillis `cbor:"6,keyasint,omitempty"`
	Zone     table.ZoneID     `cbor:"7,keyasint,omitempty"`
}

// RestoreHandover takes what the last leader has handed on; workers of its list are reached, and get no work before they are listed.
func (b *Scheduler) RestoreHandover(notes map[string][]byte, now time.Time) {
	for name, data := range notes {
		id, isWorker := strings.CutPrefix(name, noteWorker)
		var err error
		switch {
		case isWorker:
			err = b.restoreWorker(table.WorkerID(id), data, now)
		case name == noteLearned:
			err = b.images.restore(data)
		}
		if err != nil {
			b.cfg.Log.Error("what the last leader handed on cannot be read", "Note", name, "Error", err)
		}
	}
}

func (b *Scheduler) restoreWorker(id table.WorkerID, data []byte, now time.Time) error {
	var n workerNote
	if err := cbor.Unmarshal(data, &n); err != nil {
		return err
	}
	w := b.ghost(id, now)
	w.info = WorkerInfo{
		ID: id, Service: n.Service, Address: n.Address, Zone: n.Zone, Rack: n.Rack, Labels: n.Labels,
		Capacity: n.Capacity, Born: n.Born,
	}
	w.noted = true
	return nil
}

// learnedNote returns the record with which the next leader need not learn anew.
func (b *Scheduler) learnedNote() []ledger.Record {
	data, err := b.images.encode()
	if err != nil {
		b.cfg.Log.Error("what was learned is not handed on", "Error", err)
		return nil
	}
	return []ledger.Record{ledger.HandoverRecord(noteLearned, data)}
}

// rosterNotes returns the records of workers that came, changed or went.
func (b *Scheduler) rosterNotes() []ledger.Record {
	var rs []ledger.Record
	for _, id := range b.gone {
		rs = append(rs, ledger.HandoverRecord(noteWorker+string(id), nil))
	}
	b.gone = nil
	for _, w := range b.fresh {
		i := w.info
		data, err := cbor.Marshal(workerNote{i.Service, i.Address, i.Rack, i.Labels, i.Capacity, i.Born, i.Zone})
		if err != nil {
			b.cfg.Log.Error("worker is not handed on", "Worker", i.ID, "Error", err)
			continue
		}
		rs = append(rs, ledger.HandoverRecord(noteWorker+string(i.ID), data))
	}
	b.fresh = nil
	return rs
}

// noteWorkerChange has w handed on if what the next leader needs has changed.
func (b *Scheduler) noteWorkerChange(w *worker, before WorkerInfo) {
	if w.noted && before.Address == w.info.Address && before.Born == w.info.Born && before.Capacity == w.info.Capacity &&
		before.Service == w.info.Service && before.Rack == w.info.Rack {
		return
	}
	w.noted = true
	b.fresh = append(b.fresh, w)
}
