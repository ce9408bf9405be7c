package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// Limits on requests to the approval service, which approves workers for a step. It handles the requests of one host
// one after the other and refuses requests once a few dozen wait, so requests are few and name the workers that are
// most likely to be used.
const (
	// Maximum requests in flight; the second is queued at the approval service while the response to the first is on
	// its way.
	maxApprovalsInFlight = 2
	approvalMaxWorkers   = 100 // workers in one request
	// Workers in a request for a small step; objectives leave time for this many.
	approvalUsualWorkers   = 30
	approvalWorkersPerTask = 3                      // workers per waiting task, since some are refused
	approvalRetryDelay     = 250 * time.Millisecond // after a request that was refused or not answered
	// Requests wait this long for the first answer of a worker, several times the usual latency of a poll.
	firstPollWait = 250 * time.Millisecond
	// A ticket must be valid for at least this long, so that the start order arrives in time.
	minTicketValidity = 300 * time.Millisecond
)

// approval is the decision of the approval service on one worker for a step.
type approval struct {
	ticket      string // empty if the worker may not run the step
	until       time.Time
	incarnation table.UnixMillis
}

// approvalObstacle returns noObstacle if g has a valid ticket for w, obstacleNotApproved if w was refused, and
// obstacleNoTicket otherwise.
func (g *group) approvalObstacle(w *worker, now time.Time) obstacle {
	v, known := g.approvals[w.info.ID]
	switch {
	case known && v.ticket == "":
		return obstacleNotApproved
	case !known || v.incarnation != w.info.Incarnation || v.until.Sub(now) < minTicketValidity:
		return obstacleNoTicket
	}
	return noObstacle
}

// ticket returns the ticket of g for w, or "" if there is none.
func (g *group) ticket(w *worker) string { return g.approvals[w.info.ID].ticket }

func (g *group) key() workload.StepKey {
	return workload.StepKey{Job: g.job.id, Occurrence: g.occurrence, Step: g.index}
}

// ApprovalOrders returns the approval requests that are due, for the steps that the last call of Decide left with
// unplaced tasks, in the order in which Decide places them.
func (sched *Scheduler) ApprovalOrders(now time.Time) []ApprovalOrder {
	var orders []ApprovalOrder
	if sched.awaitsFirstPolls(now) {
		return nil
	}
	for _, g := range sched.awaitingApproval {
		if sched.approvalsPending >= maxApprovalsInFlight {
			break
		}
		if g.approvalPending || now.Before(g.nextApprovalAt) || g.waitingTasks == 0 {
			continue
		}
		ws := sched.approvalCandidates(g, now)
		if len(ws) == 0 {
			continue
		}
		g.approvalPending = true
		sched.approvalsPending++
		orders = append(orders, ApprovalOrder{
			Step: g.key(), Workers: ws, EstimatedTime: time.Duration(g.job.queue.Approval.ResponseTime(len(ws))) * time.Millisecond,
		})
	}
	sched.awaitingApproval = nil
	return orders
}

// awaitsFirstPolls reports whether the first poll of a worker is in flight and likely to be answered soon. A request
// made before would leave that worker out, so a new leader would make several for one step.
func (sched *Scheduler) awaitsFirstPolls(now time.Time) bool {
	for _, w := range sched.workers {
		if w.listed && !w.contacted && w.missedPolls == 0 && w.pollsInFlight > 0 && now.Sub(w.firstPollAt) < firstPollWait {
			return true
		}
	}
	return false
}

// approvalCandidates returns the workers that have room for g but for which it has no valid ticket, best score
// first.
func (sched *Scheduler) approvalCandidates(g *group, now time.Time) []table.WorkerID {
	t := g.firstWaiting()
	if t == nil {
		return nil
	}
	var ps []place
	for _, w := range sched.workers {
		if w.accepts(t, now) && sched.obstacle(t, w, now) == obstacleNoTicket {
			p := place{w, sched.score(t, w, now)}
			if g.binds(w) {
				p.score = math.Inf(-1)
			}
			ps = append(ps, p)
		}
	}
	slices.SortFunc(ps, func(x, y place) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.w.info.ID, y.w.info.ID))
	})
	ps = ps[:min(len(ps), approvalMaxWorkers, max(approvalUsualWorkers, approvalWorkersPerTask*g.waitingTasks))]
	ids := make([]table.WorkerID, len(ps))
	for i, p := range ps {
		ids[i] = p.w.info.ID
	}
	return ids
}

// firstWaiting returns a waiting task of g, or nil.
func (g *group) firstWaiting() *task {
	for _, t := range g.tasks {
		if t.phase == waiting {
			return t
		}
	}
	return nil
}

// ApprovalDone applies the outcome of an approval request that was sent at the given time.
func (sched *Scheduler) ApprovalDone(o ApprovalOrder, sent time.Time, a ApprovalResponse, err error, now time.Time) {
	sched.approvalsPending--
	j := sched.jobs[o.Step.Job]
	if j == nil || o.Step.Step >= len(j.groups[o.Step.Occurrence]) {
		return
	}
	g := j.groups[o.Step.Occurrence][o.Step.Step]
	g.approvalPending = false
	if err != nil {
		g.nextApprovalAt = now.Add(approvalRetryDelay)
		sched.cfg.Log.Info("approval request failed", "Job", j.id, "Step", g.index, "Workers", len(o.Workers), "Kind", fault.Of(err).String(), "Error", err)
		return
	}
	validity := a.Validity
	if validity <= 0 {
		validity = time.Duration(j.queue.Approval.Validity) * time.Millisecond
	}
	if g.approvals == nil {
		g.approvals = map[table.WorkerID]approval{}
	}
	good := 0
	for _, id := range o.Workers {
		w := sched.workers[id]
		if w == nil {
			continue
		}
		v := approval{ticket: a.Tickets[id], until: sent.Add(validity), incarnation: w.info.Incarnation}
		if v.ticket != "" {
			good++
		}
		g.approvals[id] = v
	}
	sched.cfg.Log.Info("approval response received", "Job", j.id, "Step", g.index, "Workers", len(o.Workers), "Good", good, "Took", now.Sub(sent).Round(time.Millisecond), "Validity", validity)
}
