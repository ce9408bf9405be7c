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
	// Of a leaving worker: no leader extends the lease of this incarnation beyond LeaseEnd, which the clock of the
	// worker has reached at most LeaseEndsIn after this record was written.
	LeaseEnd    WorkerClock  `cbor:"8,keyasint,omitempty"`
	LeaseEndsIn table.Millis `cbor:"9,keyasint,omitempty"`
	// No leader has polled the incarnation, so it may carry out orders to earlier ones.
	NotPolled bool `cbor:"10,keyasint,omitempty"`
}

// leaseBound bounds the lease of one incarnation of a leaving worker.
type leaseBound struct {
	incarnation table.UnixMillis // 0 if there is no bound
	end         WorkerClock
	endsIn      table.Millis // at most, from when the bound was set
}

// covers reports whether b bounds the lease of the given incarnation.
func (b leaseBound) covers(i table.UnixMillis) bool { return b.incarnation != 0 && b.incarnation == i }

// RestoreHandover loads the handover records of the last leader. A worker in them is polled if tasks are assigned to
// it, but gets no new tasks before it is listed.
func (sched *Scheduler) RestoreHandover(records map[string][]byte, now time.Time) {
	sched.ledSince = now
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
	w.handedOver, w.recorded, w.contactRecorded = true, w.info, !n.NotPolled
	if n.Incarnation != 0 {
		w.knownSince = sched.handoverReadAt(id, now)
		w.leaseUntil = sched.recordedLeaseEnd(w.knownSince, !n.NotPolled, now)
	}
	if n.LeaseEnd != 0 && n.Incarnation != 0 {
		sched.restoreLeaseBound(w, leaseBound{n.Incarnation, n.LeaseEnd, n.LeaseEndsIn}, now)
	}
	return nil
}

// handoverReadAt returns when the handover record of a worker was first read, now if that is not known.
func (sched *Scheduler) handoverReadAt(id table.WorkerID, now time.Time) time.Time {
	if sched.cfg.HandoverReadAt != nil {
		if at := sched.cfg.HandoverReadAt(handoverWorkerPrefix + string(id)); !at.IsZero() {
			return at
		}
	}
	return now
}

func (sched *Scheduler) restoreLeaseBound(w *worker, b leaseBound, now time.Time) {
	readAt := sched.handoverReadAt(w.info.ID, now)
	w.leaseBound = b
	if end := readAt.Add(time.Duration(b.endsIn) * time.Millisecond); end.Before(w.leaseUntil) {
		w.leaseUntil = end
	}
	sched.cfg.Log.Info("lease of leaving worker is bounded", "Worker", w.info.ID, "EndsIn", w.leaseUntil.Sub(now).Round(time.Millisecond))
}

// boundLease bounds the lease of a leaving worker to the time until it may leave, and schedules a handover record of
// it. The bound is a time on the worker's clock, since those of hosts differ and may stop.
func (sched *Scheduler) boundLease(w *worker, now time.Time) {
	i := w.info.Incarnation
	// A poll may have shown a newer incarnation than the one that the list says is leaving.
	if !w.info.Draining || w.clockAt.IsZero() || i == 0 || i != w.listedIncarnation || w.leaseBound.covers(i) {
		return
	}
	ahead := now.Sub(w.clockAt) + max(w.leavesAt.Sub(now), sched.cfg.LeaseTerm)
	end := w.clockAt.Add(maxLeaseDuration(ahead))
	if w.leaseUntil.After(end) {
		end = w.leaseUntil
	}
	w.leaseBound = leaseBound{i, w.clock + WorkerClock(ahead/time.Millisecond), table.Millis(end.Sub(now)/time.Millisecond) + 1}
	sched.changedWorkers = append(sched.changedWorkers, w)
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
		n := workerHandover{
			Service: i.Service, Address: i.Address, Rack: i.Rack, Labels: i.Labels, Capacity: i.Capacity, Incarnation: i.Incarnation, Zone: i.Zone,
			NotPolled: !w.contactRecorded,
		}
		if w.leaseBound.covers(i.Incarnation) {
			n.LeaseEnd, n.LeaseEndsIn = w.leaseBound.end, w.leaseBound.endsIn
		}
		data, err := cbor.Marshal(n)
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
// service and rack, and with the contact.
func (sched *Scheduler) recordWorkerChange(w *worker) {
	r := w.recorded
	if w.handedOver && r.Address == w.info.Address && r.Incarnation == w.info.Incarnation && r.Capacity == w.info.Capacity &&
		r.Service == w.info.Service && r.Rack == w.info.Rack && (w.contactRecorded || !w.contacted) {
		return
	}
	w.handedOver, w.recorded, w.contactRecorded = true, w.info, w.contacted
	sched.changedWorkers = append(sched.changedWorkers, w)
}
