package dispatch

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// How the service that approves workers is asked. It answers the questions of one host one after the other, and turns hosts away once a few dozen questions wait, so questions are few and name the workers that are most likely to be used.
const (
	adviceInFlight = 2                      // questions at a time; the second waits at the service while the answer to the first is on its way
	adviceMost     = 100                    // workers in one question
	adviceUsual    = 30                     // workers in a question about a small step; what objectives allow for
	adviceSpare    = 3                      // workers named for each waiting task, since some are refused
	adviceAgain    = 250 * time.Millisecond // after a question that was turned away or has no answer
	adviceMargin   = 300 * time.Millisecond // a ticket must be valid for this long, until the start arrives
)

// verdict is what the service has said about a worker for a step.
type verdict struct {
	ticket string // empty if the worker may not run the step
	until  time.Time
	born   table.UnixMillis
}

// verdictOn returns the obstacle that the verdict on w is to g.
func (g *group) verdictOn(w *worker, now time.Time) obstacle {
	v, known := g.verdicts[w.info.ID]
	switch {
	case known && v.ticket == "":
		return obstaclePolicy
	case !known || v.born != w.info.Born || v.until.Sub(now) < adviceMargin:
		return obstacleAdvice
	}
	return noObstacle
}

// ticket returns the ticket of g for w, if it needs one.
func (g *group) ticket(w *worker) string { return g.verdicts[w.info.ID].ticket }

func (g *group) key() workload.StepKey {
	return workload.StepKey{Job: g.job.id, Occurrence: g.occurrence, Step: g.index}
}

// AdviceOrders returns the questions that are due, for the steps that the last decision left waiting, in its order.
func (b *Scheduler) AdviceOrders(now time.Time) []AdviceOrder {
	var orders []AdviceOrder
	for _, g := range b.unadvised {
		if b.advising >= adviceInFlight {
			break
		}
		if g.advising || now.Before(g.adviseAt) || g.idle == 0 {
			continue
		}
		ws := b.candidates(g, now)
		if len(ws) == 0 {
			continue
		}
		g.advising = true
		b.advising++
		orders = append(orders, AdviceOrder{
			Step: g.key(), Workers: ws, Takes: time.Duration(g.job.queue.Approval.AnswerTime(len(ws))) * time.Millisecond,
		})
	}
	b.unadvised = nil
	return orders
}

// candidates returns the workers that g fits on and lacks a ticket for, the best first.
func (b *Scheduler) candidates(g *group, now time.Time) []table.WorkerID {
	t := g.waiting()
	if t == nil {
		return nil
	}
	var ps []place
	for _, w := range b.workers {
		if w.usable(now) && b.obstacle(t, w, now) == obstacleAdvice {
			ps = append(ps, place{w, b.score(t, w, now)})
		}
	}
	slices.SortFunc(ps, func(x, y place) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.w.info.ID, y.w.info.ID))
	})
	ps = ps[:min(len(ps), adviceMost, max(adviceUsual, adviceSpare*g.idle))]
	ids := make([]table.WorkerID, len(ps))
	for i, p := range ps {
		ids[i] = p.w.info.ID
	}
	return ids
}

// waiting returns a task of g that waits, or nil.
func (g *group) waiting() *task {
	for _, t := range g.tasks {
		if t.phase == waiting {
			return t
		}
	}
	return nil
}

// AdviceDone takes the answer to a question that was sent at the given time.
func (b *Scheduler) AdviceDone(o AdviceOrder, sent time.Time, a Advice, err error, now time.Time) {
	b.advising--
	j := b.jobs[o.Step.Job]
	if j == nil || o.Step.Step >= len(j.groups[o.Step.Occurrence]) {
		return
	}
	g := j.groups[o.Step.Occurrence][o.Step.Step]
	g.advising = false
	if err != nil {
		g.adviseAt = now.Add(adviceAgain)
		b.cfg.Log.Info("advice not given", "Job", j.id, "Step", g.index, "Workers", len(o.Workers), "Kind", fault.Of(err).String(), "Error", err)
		return
	}
	validity := a.Validity
	if validity <= 0 {
		validity = time.Duration(j.queue.Approval.Validity) * time.Millisecond
	}
	if g.verdicts == nil {
		g.verdicts = map[table.WorkerID]verdict{}
	}
	good := 0
	for _, id := range o.Workers {
		w := b.workers[id]
		if w == nil {
			continue
		}
		v := verdict{ticket: a.Tickets[id], until: sent.Add(validity), born: w.info.Born}
		if v.ticket != "" {
			good++
		}
		g.verdicts[id] = v
	}
	b.cfg.Log.Info("advice given", "Job", j.id, "Step", g.index, "Workers", len(o.Workers), "Good", good, "Took", now.Sub(sent).Round(time.Millisecond), "Validity", validity)
}
