package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
	"persimmonpick/workload"
)

const testValidity = 3 * time.Second

// submitNeedingApproval submits a job of a queue whose workers must be approved.
func (r *rig) submitNeedingApproval(id string, steps ...workload.Step) {
	e := entryOf(r, id)
	e.Submission.Queue.ID, e.Submission.Queue.NeedsApproval = "advised", true
	e.Submission.Queue.Approval = workload.ApprovalTerms{Decision: 20, PerWorker: 1, Validity: table.Millis(testValidity.Milliseconds())}
	e.Submission.Spec.Steps = steps
	r.SetEntry(e, r.now)
}

// answerApprovals answers the approval requests that are due; only the given workers are approved.
func (r *rig) answerApprovals(good ...table.WorkerID) []ApprovalOrder {
	orders := r.ApprovalOrders(r.now)
	for _, o := range orders {
		sent := r.now
		a := ApprovalResponse{Tickets: map[table.WorkerID]string{}, Validity: testValidity}
		for _, id := range good {
			a.Tickets[id] = "ticket of " + string(id)
		}
		r.now = r.now.Add(o.EstimatedTime)
		r.ApprovalDone(o, sent, a, nil, r.now)
	}
	return orders
}

func TestOnlyApprovedWorkersRunAStep(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b", "c")
	r.submitNeedingApproval("j", step(3))
	is.Equal(len(r.placeAndStart()), 0) // the approval service has not responded yet
	asked := r.answerApprovals("b")
	is.Equal(len(asked), 1)
	is.Equal(len(asked[0].Workers), 3)
	orders := r.placeAndStart()
	is.Equal(len(orders), 3)
	for _, o := range orders {
		is.Equal(o.Worker, table.WorkerID("b"))
		is.Equal(o.Ticket, "ticket of b")
	}
	is.Equal(len(r.answerApprovals("b")), 0) // no task waits
}

func TestTicketsExpireAndEndWithTheIncarnationOfTheirWorker(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submitNeedingApproval("j", step(1))
	r.placeAndStart()
	is.Equal(len(r.answerApprovals("a")), 1)
	r.now = r.now.Add(testValidity)
	r.answerPolls(nil)
	is.Equal(len(r.placeAndStart()), 0) // would expire before the start order arrives
	is.Equal(len(r.answerApprovals("a")), 1)
	orders := r.place()
	is.Equal(len(orders), 1)
	r.StartDone(orders[0], RefusedTicket, r.now) // the worker refuses the ticket although it looks valid here
	r.now = r.now.Add(refusedBackoff)
	r.answerPolls(nil)
	is.Equal(len(r.placeAndStart()), 0)
	is.Equal(len(r.answerApprovals("a")), 1)
	restarted := r.workerInfo("a")
	restarted.Incarnation = 2
	r.SetWorker(restarted, r.now)
	for _, o := range r.PollOrders(r.now.Add(pollPause), true) {
		r.PollDone(o, r.now.Add(pollPause), PollReply{Incarnation: 2, Clock: 1}, nil, r.now.Add(pollPause))
	}
	is.Equal(len(r.placeAndStart()), 0) // the ticket was for the last incarnation
	is.Equal(len(r.answerApprovals("a")), 1)
	is.Equal(len(r.placeAndStart()), 1)
}

// Guards against overloading the approval service, which handles one request after the other and refuses some, when
// many steps wait.
func TestApprovalRequestsAreLimited(t *testing.T) {
	is := is.New(t)
	r := newRig()
	var ids []string
	for i := range 200 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	r.addWorkers(ids...)
	for i := range 20 {
		r.submitNeedingApproval(fmt.Sprint("j", i), step(4))
	}
	r.placeAndStart()
	orders := r.ApprovalOrders(r.now)
	is.Equal(len(orders), maxApprovalsInFlight)
	is.Equal(len(orders[0].Workers), approvalUsualWorkers)
	r.Decide(r.now)
	is.Equal(len(r.ApprovalOrders(r.now)), 0)
	r.ApprovalDone(orders[0], r.now, ApprovalResponse{}, fault.New(fault.Overloaded, "busy"), r.now)
	r.Decide(r.now)
	again := r.ApprovalOrders(r.now)
	is.Equal(len(again), 1)
	is.True(again[0].Step != orders[0].Step) // the refused request is retried later
	wide := newRig()
	wide.addWorkers(ids...)
	wide.submitNeedingApproval("wide", step(160))
	wide.placeAndStart()
	is.Equal(len(wide.ApprovalOrders(wide.now)[0].Workers), approvalMaxWorkers)
}

// Guards against repeated requests for the same workers: of 70 workers, a step may run on one.
func TestRefusedWorkersAreNotAskedAgain(t *testing.T) {
	is := is.New(t)
	r := newRig()
	var ids []string
	for i := range 70 {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	r.addWorkers(ids...)
	r.submitNeedingApproval("j", step(1))
	asked := map[table.WorkerID]int{}
	for range 5 {
		r.placeAndStart()
		for _, o := range r.answerApprovals("w69") {
			for _, id := range o.Workers {
				asked[id]++
			}
		}
	}
	for id, n := range asked {
		is.True(n == 1)
		is.True(id != "")
	}
	is.Equal(len(r.jobs["j"].groups[0][0].tasks), 1)
	is.Equal(r.task(key("j", 0, 0)).worker.info.ID, table.WorkerID("w69"))
}

// A leader that has just taken over must not ask about the first worker that answers its poll and again about the rest,
// but it must not wait for a silent worker either.
func TestApprovalIsAskedOnceWorkersHaveBeenPolled(t *testing.T) {
	is := is.New(t)
	r := newRig()
	for _, id := range []string{"a", "b"} {
		r.SetWorker(r.workerInfo(id), r.now)
	}
	polls := r.PollOrders(r.now, true)
	is.Equal(len(polls), 2)
	r.PollDone(polls[0], r.now, PollReply{Incarnation: 1}, nil, r.now)
	r.submitNeedingApproval("j", step(1))
	r.placeAndStart()
	is.Equal(len(r.ApprovalOrders(r.now)), 0) // the first poll of the other worker is in flight
	r.now = r.now.Add(firstPollWait)
	r.placeAndStart()
	orders := r.ApprovalOrders(r.now)
	is.Equal(len(orders), 1)
	is.Equal(len(orders[0].Workers), 1)
}
