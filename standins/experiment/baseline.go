package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"persimmonpick/journal"
	"persimmonpick/placement"
	"persimmonpick/provider"
	"persimmonpick/queue"
	"persimmonpick/table"
)

// baseline schedules by declared size only, in the same queue order as the policy.
type baseline struct {
	noColocation  bool                         // uses only workers without instances
	rng           *rand.Rand                   // random placement if set, best fit otherwise
	evicts        bool                         // evicts the newest batch task when an objective is missed
	smoothedRatio map[table.InstanceID]float64 // smoothed p99 over the objective
	lastEviction  map[table.WorkerID]time.Time
	pending       []journal.Record // evictions for the next tick
}

// Parameters of the baseline that evicts.
const (
	baselineSmoothing = 0.3
	baselineCoolDown  = 30 * time.Second // after an eviction, before the next one or a new task on that worker
)

func (b *baseline) controller() controller {
	b.smoothedRatio = map[table.InstanceID]float64{}
	b.lastEviction = map[table.WorkerID]time.Time{}
	c := controller{tick: b.tick}
	if b.evicts {
		c.report = b.report
	}
	return c
}

func (b *baseline) report(w *world, rep *provider.Report) {
	missed := false
	for _, in := range rep.Instances {
		ratio := float64(in.P99) / float64(objective)
		old, ok := b.smoothedRatio[in.Instance]
		if !ok {
			old = ratio
		}
		b.smoothedRatio[in.Instance] = old + baselineSmoothing*(ratio-old)
		missed = missed || b.smoothedRatio[in.Instance] > 1
	}
	if !missed || w.now().Sub(b.lastEviction[rep.Worker]) < baselineCoolDown {
		return
	}
	runs := w.byID[rep.Worker].runs
	for i := len(runs) - 1; i >= 0; i-- {
		if j := w.t.Jobs[runs[i].task.Job]; !j.Urgent && !runs[i].stopping {
			b.lastEviction[rep.Worker] = w.now()
			b.pending = append(b.pending, journal.Record{LeaseRevoked: &journal.LeaseRevoked{
				Task: runs[i].task.ID, Token: runs[i].token, Reason: placement.ReasonInterference,
			}})
			return
		}
	}
}

func (b *baseline) tick(w *world) ([]journal.Record, []placement.Command) {
	records := b.pending
	b.pending = nil
	free := make([]table.Resources, len(w.hosts))
	for i, h := range w.hosts {
		free[i] = w.t.Workers[h.id].Free()
	}
	var refused []table.Resources
	q := queue.New(w.t, queue.NewScan(w.t), w.now(), queue.Config{})
	for {
		e, ok := q.Next()
		if !ok {
			return records, nil
		}
		if slices.ContainsFunc(refused, func(r table.Resources) bool { return r.Fits(e.Need) }) {
			q.Refuse(e)
			continue
		}
		grants := b.place(w, e, free)
		if len(grants) < len(e.Tasks) {
			for _, g := range grants {
				i := w.byID[g.LeaseGranted.Worker].index
				free[i] = free[i].Plus(e.Need)
			}
			refused = append(refused, e.Need)
			q.Refuse(e)
			continue
		}
		records = append(records, grants...)
	}
}

func (b *baseline) place(w *world, e queue.Entry, free []table.Resources) []journal.Record {
	var grants []journal.Record
	for _, task := range e.Tasks {
		h := b.choose(w, e, free)
		if h == nil {
			return grants
		}
		free[h.index] = free[h.index].Minus(e.Need)
		grants = append(grants, journal.Record{LeaseGranted: &journal.LeaseGranted{
			Task: task.ID, Worker: h.id, Need: e.Need,
		}})
	}
	return grants
}

func (b *baseline) choose(w *world, e queue.Entry, free []table.Resources) *host {
	var best *host
	var feasible []*host
	for _, h := range w.hosts {
		left := free[h.index]
		last, cooling := b.lastEviction[h.id]
		if !e.Need.Fits(left) || (b.noColocation && len(h.instances) > 0) || (cooling && w.now().Sub(last) < baselineCoolDown) {
			continue
		}
		feasible = append(feasible, h)
		if best == nil || left.CPU < free[best.index].CPU {
			best = h
		}
	}
	if b.rng != nil && len(feasible) > 0 {
		return feasible[b.rng.IntN(len(feasible))]
	}
	return best
}
