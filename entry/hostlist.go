package entry

import (
	"context"
	"log/slog"
	"reflect"
	"sync"
	"time"

	"persimmonpick/journal"
	"persimmonpick/provider"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// hostList polls the platform's list of workers and instances and proposes records of the changes.
type hostList struct {
	cfg         settings.Settings
	hosts       provider.Hosts
	submit      func(what string, rs []journal.Record, done func(journal.Result, error))
	onNextTick  func(func())
	unreachable func() map[table.WorkerID]bool
	log         *slog.Logger

	mu     sync.Mutex
	newest provider.HostList

	lastCompared time.Time // AsOf of the list compared last
	proposing    bool      // records were proposed and are not applied yet
	shrunk       bool      // the list compared last lacked more than ListDropShare

	unreachableSince map[table.WorkerID]time.Time // of missing workers, while shrunk
}

// poll fetches the list every HostListPeriod until ctx ends.
func (h *hostList) poll(ctx context.Context) {
	tick := time.NewTicker(h.cfg.Timing.HostListPeriod.D())
	defer tick.Stop()
	for {
		h.fetch(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (h *hostList) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timing.HostListPeriod.D())
	defer cancel()
	list, err := h.hosts.List(ctx)
	if err != nil {
		h.log.Debug("failed to read the platform's host list", "Error", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if list.AsOf.After(h.newest.AsOf) {
		h.newest = list
	}
}

// run compares the newest list with the tables and proposes records of the differences.
func (h *hostList) run(t *table.Tables, now time.Time) {
	h.mu.Lock()
	list := h.newest
	h.mu.Unlock()
	if h.proposing || !list.AsOf.After(h.lastCompared) {
		return
	}
	h.lastCompared = list.AsOf
	rs := append(h.changedWorkers(t, list), h.changedInstances(t, list)...)
	rs = append(rs, h.removals(t, list, now)...)
	if len(rs) == 0 {
		return
	}
	h.proposing = true
	h.submit("host list", rs, func(journal.Result, error) {
		h.onNextTick(func() { h.proposing = false })
	})
}

func (h *hostList) changedWorkers(t *table.Tables, list provider.HostList) []journal.Record {
	var rs []journal.Record
	for _, w := range list.Workers {
		old := t.Workers[w.ID]
		same := old != nil && !old.Gone && old.Rack == w.Rack && old.Zone == w.Zone &&
			old.Capacity == w.Capacity && old.Leaving == w.Leaving
		if !same {
			rs = append(rs, journal.Record{WorkerSeen: &journal.WorkerSeen{
				ID: w.ID, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity, Leaving: w.Leaving,
			}})
		}
	}
	return rs
}

func (h *hostList) changedInstances(t *table.Tables, list provider.HostList) []journal.Record {
	var rs []journal.Record
	for _, in := range list.Instances {
		old := t.Instances[in.ID]
		if old != nil {
			in.Changed = old.Changed
		}
		if old == nil || !reflect.DeepEqual(*old, in) {
			rs = append(rs, journal.Record{InstanceSeen: &journal.InstanceSeen{Instance: in}})
		}
	}
	return rs
}

// removals returns records that remove the workers and instances missing from the list.
//
// A list that is suddenly much shorter may be wrong. If more than ListDropShare is missing, only workers that a live
// host has reported as unreachable for a lease term are removed, with their instances: their tasks have ended by then,
// while a worker that was merely slow to answer would stay away for as long as the list is wrong.
func (h *hostList) removals(t *table.Tables, list provider.HostList, now time.Time) []journal.Record {
	workers := missingWorkers(t, list)
	instances := missingInstances(t, list)
	short := exceedsShare(len(workers), liveWorkers(t), h.cfg.Policy.ListDropShare) ||
		exceedsShare(len(instances), len(t.Instances), h.cfg.Policy.ListDropShare)
	if short != h.shrunk {
		h.shrunk = short
		h.log.Warn("host list plausibility changed",
			"Believed", !short, "MissingWorkers", len(workers), "MissingInstances", len(instances))
	}
	lost := h.lostWorkers(workers, short, now)
	gone := map[table.WorkerID]bool{}
	var rs []journal.Record
	for _, id := range workers {
		if !short || lost[id] {
			gone[id] = true
			rs = append(rs, journal.Record{WorkerGone: &journal.WorkerGone{ID: id}})
		}
	}
	for _, id := range instances {
		if !short || gone[t.Instances[id].Worker] {
			rs = append(rs, journal.Record{InstanceGone: &journal.InstanceGone{ID: id}})
		}
	}
	return rs
}

// lostWorkers returns those of the missing workers that have been unreachable for a lease term, as far as lists were
// too short since then.
func (h *hostList) lostWorkers(missing []table.WorkerID, short bool, now time.Time) map[table.WorkerID]bool {
	since := map[table.WorkerID]time.Time{}
	lost := map[table.WorkerID]bool{}
	unreachable := h.unreachable()
	for _, id := range missing {
		if !short || !unreachable[id] {
			continue
		}
		since[id] = now
		if at, ok := h.unreachableSince[id]; ok {
			since[id] = at
		}
		lost[id] = now.Sub(since[id]) >= h.cfg.Timing.LeaseTerm.D()
	}
	h.unreachableSince = since
	return lost
}

func exceedsShare(missing, known int, share float64) bool {
	return float64(missing) > share*float64(known)
}

func liveWorkers(t *table.Tables) int {
	n := 0
	for _, w := range t.Workers {
		if !w.Gone {
			n++
		}
	}
	return n
}

func missingWorkers(t *table.Tables, list provider.HostList) []table.WorkerID {
	listed := make(map[table.WorkerID]bool, len(list.Workers))
	for _, w := range list.Workers {
		listed[w.ID] = true
	}
	var ids []table.WorkerID
	for _, id := range table.SortedWorkers(t) {
		if !listed[id] && !t.Workers[id].Gone {
			ids = append(ids, id)
		}
	}
	return ids
}

func missingInstances(t *table.Tables, list provider.HostList) []table.InstanceID {
	listed := make(map[table.InstanceID]bool, len(list.Instances))
	for _, in := range list.Instances {
		listed[in.ID] = true
	}
	var ids []table.InstanceID
	for _, id := range table.SortedInstances(t) {
		if !listed[id] {
			ids = append(ids, id)
		}
	}
	return ids
}
