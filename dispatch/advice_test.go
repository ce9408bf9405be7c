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

// submitAdvised submits a job of a queue whose workers must be approved.
func (r *rig) submitAdvised(id string, steps ...workload.Step) {
	e := entryOf(r, id)
	e.Submission.Queue.ID, e.Submission.Queue.NeedsApproval = "advised", true
	e.Submission.Queue.Approval = workload.ApprovalTerms{Decision: 20, PerWorker: 1, Validity: table.Millis(testValidity.Milliseconds())}
	e.Submission.Spec.Steps = steps
	r.SetEntry(e, r.now)
}

// advise answers the questions that are due; only the given workers are approved.
func (r *rig) advise(good ...table.WorkerID) []AdviceOrder {
	orders := r.AdviceOrders(r.now)
	for _, o := range orders {
		sent := r.now
		a := Advice{Tickets: map[table.WorkerID]string{}, Validity: testValidity}
		for _, id := range good {
			a.Tickets[id] = "ticket of " + string(id)
		}
		r.now = r.now.Add(o.Takes)
		r.AdviceDone(o, sent, a, nil, r.now)
	}
	return orders
}

func TestOnlyApprovedWorkersRunAStep(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a", "b", "c")
	r.submitAdvised("j", step(3))
	is.Equal(len(r.start()), 0) // nobody was asked yet
	asked := r.advise("b")
	is.Equal(len(asked), 1)
	is.Equal(len(asked[0].Workers), 3)
	orders := r.start()
	is.Equal(len(orders), 3)
	for _, o := range orders {
		is.Equal(o.Worker, table.WorkerID("b"))
		is.Equal(o.Ticket, "ticket of b")
	}
	is.Equal(len(r.advise("b")), 0) // nothing waits
}

func TestTicketsExpireAndEndWithTheLifeOfTheirWorker(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.submitAdvised("j", step(1))
	r.start()
	is.Equal(len(r.advise("a")), 1)
	r.now = r.now.Add(testValidity)
	r.answer(nil)
	is.Equal(len(r.start()), 0) // too old to arrive in time
	is.Equal(len(r.advise("a")), 1)
	orders := r.round()
	is.Equal(len(orders), 1)
	r.StartDone(orders[0], RefusedTicket, r.now) // the service and the worker know better
	r.now = r.now.Add(refusedWait)
	r.answer(nil)
	is.Equal(len(r.start()), 0)
	is.Equal(len(r.advise("a")), 1)
	reborn := r.worker("a")
	reborn.Born = 2
	r.SetWorker(reborn, r.now)
	for _, o := range r.PollOrders(r.now.Add(lookPause), true) {
		r.PollDone(o, r.now.Add(lookPause), PollReply{Born: 2, Clock: 1}, nil, r.now.Add(lookPause))
	}
	is.Equal(len(r.start()), 0) // the ticket was for the life before
	is.Equal(len(r.advise("a")), 1)
	is.Equal(len(r.start()), 1)
}

// TestQuestionsAreFew plays many waiting steps before a service that answers one question after the other, and turns some away.
func TestQuestionsAreFew(t *testing.T) {
	is := is.New(t)
	r := newRig()
	var ids []string
	for i := range 200 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	r.list(ids...)
	for i := range 20 {
		r.submitAdvised(fmt.Sprint("j", i), step(4))
	}
	r.start()
	orders := r.AdviceOrders(r.now)
	is.Equal(len(orders), adviceInFlight)
	is.Equal(len(orders[0].Workers), adviceUsual)
	r.Decide(r.now)
	is.Equal(len(r.AdviceOrders(r.now)), 0)
	r.AdviceDone(orders[0], r.now, Advice{}, fault.New(fault.Overloaded, "busy"), r.now)
	r.Decide(r.now)
	again := r.AdviceOrders(r.now)
	is.Equal(len(again), 1)
	is.True(again[0].Step != orders[0].Step) // that one waits
	wide := newRig()
	wide.list(ids...)
	wide.submitAdvised("wide", step(160))
	wide.start()
	is.Equal(len(wide.AdviceOrders(wide.now)[0].Workers), adviceMost)
}

// TestRefusedWorkersAreNotAskedAgain plays a step that few workers may run.
func TestRefusedWorkersAreNotAskedAgain(t *testing.T) {
	is := is.New(t)
	r := newRig()
	var ids []string
	for i := range 70 {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	r.list(ids...)
	r.submitAdvised("j", step(1))
	asked := map[table.WorkerID]int{}
	for range 5 {
		r.start()
		for _, o := range r.advise("w69") {
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
