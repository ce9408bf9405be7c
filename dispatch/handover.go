package dispatch

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"persimmonpick/ledger"
	"persimmonpick/table"
)

// Names of the handover records of the scheduler.
const (
	handoverModel        = "learned"
	handoverDurations    = "durations"
	handoverWorkerPrefix = "worker/" // followed by the worker id
)

// workerHandover is the handover record of a worker: what the next leader needs to reach it while the worker list
// cannot be read.
type workerHandover struct {
	Service     table.ServiceID  `cbor:"1,keyasint"`
	Address     string           `cbor:"2,keyasint"`
	Rack        table.RackID     `cbor:"3,keyasint,omitempty"`
	Labels      []string         `cbor:"4,keyasint,omitempty"`
	Capacity    table.Resources  `cbor:"5,keyasint"`
	Incarnation table.UnixMillis `cbor:"6,keyasint,omitempty"`
	Zone        table.ZoneID     `cbor:"7,keyasint,omitempty"`
}

// RestoreHandover loads the handover records of the last leader. A worker in them is polled if tasks are assigned to
// it, but gets no new tasks before it is listed.
func (sched *Scheduler) RestoreHandover(records map[string][]byte, now time.Time) {
	for name, data := range records {
		id, isWorker := strings.CutPrefix(name, handoverWorkerPrefix)
		var err error
		switch {
		case isWorker:
			err = sched.restoreWorker(table.WorkerID(id), data, now)
		case name == handoverModel:
			err = sched.interference.restore(data)
		case name == handoverDurations:
			err = sched.durationRatios.restore(data)
		}
		if err != nil {
			sched.cfg.Log.Error("cannot decode handover record", "Note", name, "Error", err)
		}
	}
}

func (sched *Scheduler) restoreWorker(id table.WorkerID, data []byte, now time.Time) error {
	var n workerHandover
	if err := cbor.Unmarshal(data, &n); err != nil {
		return err
	}
	w := sched.ensureWorker(id, now)
	w.info = WorkerInfo{
		ID: id, Service: n.Service, Address: n.Address, Zone: n.Zone, Rack: n.Rack, Labels: n.Labels,
		Capacity: n.Capacity, Incarnation: n.Incarnation,
	}
	w.handedOver, w.recorded = true, w.info
	return nil
}

// modelRecords returns the handover records of the interference model and of the duration ratios, so that the next
// leader need not estimate them anew.
func (sched *Scheduler) modelRecords() []ledger.Record {
	var rs []ledger.Record
	if data, err := sched.interference.encode(); err == nil {
		rs = append(rs, ledger.HandoverRecord(handoverModel, data))
	} else {
		sched.cfg.Log.Error("cannot encode interference model; no handover record written", "Error", err)
	}
	if r, err := sched.durationRatios.record(); err == nil {
		rs = append(rs, r)
	} else {
		sched.cfg.Log.Error("cannot encode duration ratios; no handover record written", "Error", err)
	}
	return rs
}

// workerRecords returns the handover records of workers that were added, changed or removed.
func (sched *Scheduler) workerRecords() []ledger.Record {
	var rs []ledger.Record
	for _, id := range sched.removedWorkers {
		rs = append(rs, ledger.HandoverRecord(handoverWorkerPrefix+string(id), nil))
	}
	sched.removedWorkers = nil
	for _, w := range sched.changedWorkers {
		i := w.info
		data, err := cbor.Marshal(workerHandover{i.Service, i.Address, i.Rack, i.Labels, i.Capacity, i.Incarnation, i.Zone})
		if err != nil {
			sched.cfg.Log.Error("cannot encode worker; no handover record written", "Worker", i.ID, "Error", err)
			continue
		}
		rs = append(rs, ledger.HandoverRecord(handoverWorkerPrefix+string(i.ID), data))
	}
	sched.changedWorkers = nil
	return rs
}

// recordWorkerChange schedules a handover record for w unless it has one with the same address, incarnation, capacity,
// service and rack.
func (sched *Scheduler) recordWorkerChange(w *worker) {
	r := w.recorded
	if w.handedOver && r.Address == w.info.Address && r.Incarnation == w.info.Incarnation && r.Capacity == w.info.Capacity &&
		r.Service == w.info.Service && r.Rack == w.info.Rack {
		return
	}
	w.handedOver, w.recorded = true, w.info
	sched.changedWorkers = append(sched.changedWorkers, w)
}
