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
	// Starts count as answered while at most this share is not, as unanswered from the other share on, and as neither
	// unless this much weight shows it.
	mostUnanswered  = 0.1
	leastUnanswered = 0.3
	leastOutcomes   = 1.0

	// Before the next start of a task that is likely to crash its workers, if too few of its crashes are known to be
	// under its runs. The pause is multiplied with each further crash.
	firstUnknownPause   = time.Second
	unknownPauseFactor  = 4
	longestUnknownPause = 5 * time.Minute
)

// startOutcomes counts the starts of a service that were answered lately, and those that were not.
type startOutcomes struct {
	yes, no float64
	at      time.Time
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
		o.yes++
	} else {
		o.no++
	}
}

func (o *startOutcomes) fade(now time.Time) {
	f := math.Exp(-now.Sub(o.at).Seconds() / outcomeTime.Seconds())
	o.yes, o.no, o.at = o.yes*f, o.no*f, now
}

// effect returns how likely a start that was not answered has taken effect.
func (o *startOutcomes) effect(now time.Time) float64 {
	o.fade(now)
	unanswered := o.no / (o.yes + o.no + 1)
	return answerLost / (answerLost + unanswered)
}

// answered reports whether starts are known to be answered now.
func (o *startOutcomes) answered(now time.Time) bool {
	o.fade(now)
	return o.yes+o.no >= leastOutcomes && o.no <= mostUnanswered*(o.yes+o.no)
}

// inDoubt reports whether starts are known not to be answered now, or whether they are is not known.
func (o *startOutcomes) inDoubt(now time.Time) bool {
	o.fade(now)
	return o.yes+o.no < leastOutcomes || o.no >= leastUnanswered*(o.yes+o.no)
}

// pauseAfterCrash returns how long t waits before its next start, whose last run ended with a crash of its worker.
func (sched *Scheduler) pauseAfterCrash(t *task, now time.Time) time.Duration {
	t.awaitsAnswers = false
	pause := time.Duration(max(0, t.crashes-1)) * crashPause
	switch {
	case sched.mustGiveUp(t):
		return max(pause, evidenceDelay)
	case t.knownCrashes >= leastKnown || t.started != startNotKnown:
		return pause
	case t.crashes < leastCrashes || t.crashes < maxCrashes && sched.likelihood(t) < isolatedLikelihood:
		return pause
	}
	t.awaitsAnswers = sched.startOutcomes.of(t.group.job.queue.Service).inDoubt(now)
	return max(pause, sched.unknownPause(t))
}

// unknownPause returns how long t waits after a crash of which it is not known whether its run had taken effect.
func (sched *Scheduler) unknownPause(t *task) time.Duration {
	pause := firstUnknownPause
	for n := leastCrashes; n < t.crashes && pause < longestUnknownPause; n++ {
		pause = min(longestUnknownPause, pause*unknownPauseFactor)
	}
	return pause
}
