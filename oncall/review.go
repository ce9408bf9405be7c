package oncall

import (
	"time"
)

// Review summarizes the logs of entry hosts over a time.
type Review struct {
	Queues   map[string]*Queue
	Changes  []Change       // of the leader
	Stops    map[string]int // runs that were stopped, by reason
	Messages map[string]int // lines that tell of throttling, clearing, lost or failed runs, by message
	Uses     []Use
	Ends     []Ends

	epoch   string    // of the newest leader
	led     time.Time // newest line of that leader
	vacated bool      // it has ended its leadership
}

// Queue summarizes the jobs of one queue that became final.
type Queue struct {
	OnTime, Late, TooLate Outcome // by their objective: within it, within three times it, later
	Failed, Cancelled     int
}

// Outcome sums the jobs of one outcome.
type Outcome struct {
	Jobs                    int
	After                   time.Duration // from the submission to the end
	Objective               time.Duration
	Waited                  time.Duration // for places, summed over the steps
	Failures, Moves, Reruns int
}

// Change is a change of the leader.
type Change struct {
	At      time.Time
	Epoch   string
	Vacant  time.Duration // since the last line of the leader before
	Planned bool          // that leader ended its leadership itself
}

// Use is what the workers did at one time, in processors.
type Use struct {
	At                                                               time.Time
	Capacity, Reserved, BestEffort, WaitingBestEffort, WaitingOthers float64
}

// Ends counts the jobs that became final within endsInterval from At on, by outcome.
type Ends struct {
	At                            time.Time
	OnTime, Late, TooLate, Failed int
}

// endsInterval is the time over which ends of jobs are counted.
const endsInterval = 2 * time.Second

// lateFactor is the number of objectives after which a job is of no use.
const lateFactor = 3

// leaderMessages are the messages that only a leader logs, at least every two seconds.
var leaderMessages = map[string]bool{"rounds": true, "board": true, "job final": true, "job started": true, "moving run": true, "run failed": true}

// countedMessages are the messages that are counted.
var countedMessages = map[string]bool{
	"throttling best-effort tasks": true, "clearing worker": true, "run lost": true, "run failed": true, "worker quarantined": true,
	"start order not answered": true, "start refused": true, "snapshot loaded": true,
}

// add takes in one line; final holds the jobs whose end was logged before, since a job may become final under two
// leaders.
func (r *Review) add(l line, final map[string]bool) {
	if countedMessages[l.msg] {
		r.Messages[l.msg]++
	}
	switch l.msg {
	case "job final":
		if !final[l.fields["Job"]] {
			final[l.fields["Job"]] = true
			r.addJob(l)
		}
	case "moving run":
		r.Stops[l.fields["Why"]]++
	case "leading":
		c := Change{At: l.at, Epoch: l.fields["Epoch"], Planned: r.vacated}
		if !r.led.IsZero() {
			c.Vacant = l.at.Sub(r.led)
		}
		r.Changes = append(r.Changes, c)
		r.epoch, r.led, r.vacated = l.fields["Epoch"], l.at, false
	case "leadership ended":
		if l.fields["Epoch"] == r.epoch { // not of one that was superseded
			r.led, r.vacated = l.at, true
		}
	case "board":
		r.Uses = append(r.Uses, Use{
			l.at, l.number("Capacity") / 1000, l.number("Counted") / 1000, l.number("Fills") / 1000, l.number("WaitingFills") / 1000, l.number("WaitingOthers") / 1000,
		})
	}
	if leaderMessages[l.msg] && !r.vacated {
		r.led = l.at
	}
}

func (r *Review) addJob(l line) {
	q := r.Queues[l.fields["Queue"]]
	if q == nil {
		q = &Queue{}
		r.Queues[l.fields["Queue"]] = q
	}
	after, objective := l.duration("After"), l.duration("Objective")
	ends := r.endsAt(l.at)
	var o *Outcome
	switch {
	case l.fields["State"] == "Failed":
		q.Failed++
		ends.Failed++
		return
	case l.fields["State"] == "Cancelled":
		q.Cancelled++
		return
	case after <= objective:
		o = &q.OnTime
		ends.OnTime++
	case after <= lateFactor*objective:
		o = &q.Late
		ends.Late++
	default:
		o = &q.TooLate
		ends.TooLate++
	}
	o.Jobs++
	o.After += after
	o.Objective += objective
	o.Waited += l.duration("Waited")
	o.Failures += int(l.number("Failures"))
	o.Moves += int(l.number("Moves"))
	o.Reruns += int(l.number("Reruns"))
}

// endsAt returns the counts of the interval that a line falls in; lines come in the order of their times.
func (r *Review) endsAt(at time.Time) *Ends {
	start := at.Truncate(endsInterval)
	if n := len(r.Ends); n == 0 || r.Ends[n-1].At.Before(start) {
		r.Ends = append(r.Ends, Ends{At: start})
	}
	return &r.Ends[len(r.Ends)-1]
}
