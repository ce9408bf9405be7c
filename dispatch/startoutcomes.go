package dispatch

import (
	"math"
	"time"

	"persimmonpick/table"
)

// Parameters of what is concluded from starts that are not answered.
const (
	outcomeTime = 3 * time.Second // after which the weight of an outcome has fallen to 1/e
	// Likelihood that a start takes effect and is not answered though those of others are.
	answerLost = 0.02
	// Starts count as answered while at most this share is not, and at least this weight shows it.
	mostUnanswered = 0.1
	leastOutcomes  = 1.0
)

// startOutcomes counts the starts of a service that were answered lately, and those that were not by workers that live
// on; others may not have been answered since their worker crashed.
type startOutcomes struct {
	answered, unanswered float64
	at                   time.Time
}

// outcomesByService holds the outcomes of starts by service.
type outcomesByService map[table.ServiceID]*startOutcomes

func (m outcomesByService) of(s table.ServiceID) *startOutcomes {
	o := m[s]
	if o == nil {
		o = &startOutcomes{}
		m[s] = o
	}
	return o
}

// observe counts one start.
func (o *startOutcomes) observe(answered bool, now time.Time) {
	o.fade(now)
	if answered {
		o.answered++
	} else {
		o.unanswered++
	}
}

// startUnanswered counts the start of t, which was not answered though its worker lives on.
func (sched *Scheduler) startUnanswered(t *task, now time.Time) {
	if t.startUnknown && !t.crashCounted {
		sched.startOutcomes.of(t.worker.info.Service).observe(false, now)
	}
}

func (o *startOutcomes) fade(now time.Time) {
	f := math.Exp(-max(0, now.Sub(o.at)).Seconds() / outcomeTime.Seconds())
	o.answered, o.unanswered, o.at = o.answered*f, o.unanswered*f, now
}

// effect returns how likely a start that was not answered has taken effect.
func (o *startOutcomes) effect(now time.Time) float64 {
	o.fade(now)
	return answerLost / (answerLost + o.unanswered/(o.answered+o.unanswered+1))
}

// areAnswered reports whether starts are known to be answered now.
func (o *startOutcomes) areAnswered(now time.Time) bool {
	share, known := o.unansweredShare(now)
	return known && share <= mostUnanswered
}

// areUnanswered reports whether starts are known not to be answered now by workers that live on.
func (o *startOutcomes) areUnanswered(now time.Time) bool {
	share, known := o.unansweredShare(now)
	return known && share > mostUnanswered
}

// unansweredShare returns the share of starts that are not answered by workers that live on, if enough is known.
func (o *startOutcomes) unansweredShare(now time.Time) (share float64, known bool) {
	o.fade(now)
	all := o.answered + o.unanswered
	return o.unanswered / all, all >= leastOutcomes
}
