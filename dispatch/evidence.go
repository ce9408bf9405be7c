package dispatch

import (
	"math"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// Parameters of the likelihood that a task crashes every worker that starts it.
const (
	otherCause       = 0.01 // likelihood that a worker crashes for another cause while a run is unproven
	unsureCause      = 0.5  // the same if the worker may be cut off, or what an earlier leader has proven is not known
	giveUpLikelihood = 0.99
	leastWeight      = -1  // a crash that speaks more clearly for a run is not counted against its task
	maxEvidence      = 100 // that is restored from a record
	leastCrashes     = 3   // after which a task may be given up
	leastKnown       = 2   // of these

	// Most tasks that crash their workers do so at the start.
	quickShare = 0.95
	quickTime  = 100 * time.Millisecond

	// Crashes without a likely cause are taken for a sign of another cause of those within coincidence of them.
	coincidence = 500 * time.Millisecond
	// Time over which the rate of such crashes is taken.
	causelessWindow = 10 * time.Second
	// Of one worker, in a second; fewer say nothing of other crashes.
	leastSeries = 0.1
	// Without a crash for so long the workers of a service are calm.
	calmTime = 2500 * time.Millisecond
	// A task is given up only after this time, in which more crashes of the same moment show.
	evidenceDelay = 1500 * time.Millisecond

	usualRate     = 0.001 // of the starts of a queue that crash their workers, as long as little is known
	usualStarts   = 50    // weight of usualRate
	maxRateStarts = 400   // older observations fade beyond so many
	highestRate   = 0.3
)

// crash is the end of an incarnation of a worker with runs that can have caused it.
type crash struct {
	worker      *worker
	service     table.ServiceID
	incarnation table.UnixMillis
	at          time.Time // as far as known
	seenAt      time.Time // the newest way in which it shows
	ended       bool      // the incarnation has, and not by plan
	gone        bool      // as far as is known since its worker is gone
	silent      bool      // its worker is no more than that
	unheard     bool      // this leader has not reached the incarnation
	likely      bool      // a run that was not settled is among the causes
	causeless   bool      // counted as without a likely cause
	external    float64   // likelihood that it had another cause
	series      float64   // the same by the rate of crashes without a likely cause; 0 while these are rare
	moment      float64   // the same by such crashes of its moment
	causes      []crashCause
}

// crashCause is a task whose run may have caused a crash.
type crashCause struct {
	task    *task // nil once it is known to be none
	run     workload.RunNumber
	row     int // of its crashes
	age     time.Duration
	rate    *crashRate // in which part is counted, nil for a task that has crashed before
	part    float64    // likelihood that it is the cause
	started bool       // the run is known to have taken effect
	effect  float64    // likelihood that it has
	known   bool       // the incarnation has ended under a run that had taken effect; counted in task.knownCrashes
	weight  float64    // that the crash adds to the evidence against the task
	counted bool       // as a crash of the task, see leastWeight
}

// know counts the crash as known if its run is known to have taken effect; the incarnation of the worker must have
// ended.
func (k *crashCause) know() {
	if k.counted && k.started && !k.known {
		k.known = true
		k.task.knownCrashes++
	}
}

// forget takes k off the causes of its crash.
func (k *crashCause) forget() {
	k.task = nil
	k.takeOffRate()
}

// takeOffRate takes the part of k off the rate in which it is counted.
func (k *crashCause) takeOffRate() {
	if k.rate != nil {
		k.rate.crashed = max(0, k.rate.crashed-k.part) // it may have faded
	}
	k.part = 0
}

// cause returns the entry of t among the causes of c, or nil if it has none or was cleared since.
func (c *crash) cause(t *task) *crashCause {
	if c == nil {
		return nil
	}
	for i := range c.causes {
		if k := &c.causes[i]; k.task == t && k.row == t.crashRow {
			return k
		}
	}
	return nil
}

// drop removes t from the causes of c, and returns what was counted against it, or nothing if t was cleared since.
func (c *crash) drop(t *task) crashCause {
	k := c.cause(t)
	if k == nil {
		return crashCause{}
	}
	if k.known {
		t.knownCrashes--
	}
	k.forget()
	return *k
}

// crashRate counts the starts of a queue that crashed their workers, as far as these can be told from others, and
// those that did not. Starts after crashes do not count.
type crashRate struct{ crashed, sound float64 }

func (r *crashRate) share() float64 {
	if r == nil {
		return usualRate
	}
	crashed := max(0, r.crashed)
	return min(highestRate, (crashed+usualRate*usualStarts)/(crashed+r.sound+usualStarts))
}

func (sched *Scheduler) crashRateOf(q workload.QueueID) *crashRate {
	r := sched.crashRates[q]
	if r == nil {
		r = &crashRate{}
		sched.crashRates[q] = r
	}
	if r.crashed+r.sound > maxRateStarts {
		r.crashed, r.sound = r.crashed/2, r.sound/2
	}
	return r
}

// observeSound counts a run that does not crash its worker.
func (sched *Scheduler) observeSound(t *task) {
	if t.crashes == 0 {
		sched.crashRateOf(t.group.job.queue.ID).sound++
	}
}

// likelihood returns how likely t crashes every worker that starts it.
func (sched *Scheduler) likelihood(t *task) float64 {
	share := sched.crashRates[t.group.job.queue.ID].share()
	odds := share / (1 - share) * math.Exp(t.evidence)
	return odds / (1 + odds)
}

// mustGiveUp reports whether t is to be given up. Its caller acts on that, so likelihood alone is not enough: workers
// must be known to have crashed under its runs, and unless there is no start left this leader must have seen the last
// crash, as it does not know of others of the moment of an earlier one.
func (sched *Scheduler) mustGiveUp(t *task) bool {
	l := sched.likelihood(t)
	return t.knownCrashes >= leastKnown &&
		(t.crashes >= leastCrashes && l >= giveUpLikelihood && t.lastCrash != nil || t.crashes >= maxCrashes && l >= isolatedLikelihood)
}

// outlives returns how likely a task that crashes its workers works for longer than the given time before it does.
func outlives(age time.Duration) float64 {
	return quickShare*math.Exp(-float64(age)/float64(quickTime)) + (1 - quickShare)
}

// weigh adds c to the evidence against its causes. A worker crashes if one of its runs crashes it, or for another
// cause. So a crash says the less against a run the likelier another run or another cause explains it, and the longer
// the run had been at work. The members of a gang are given up together and do not explain each other's crashes.
func (sched *Scheduler) weigh(c *crash) {
	c.external = sched.otherCauseOf(c)
	likelihoods, sum := make([]float64, len(c.causes)), 0.0
	for i, k := range c.causes {
		if k.task != nil {
			likelihoods[i] = sched.likelihood(k.task) * outlives(k.age) * k.effect
			sum += likelihoods[i]
		}
	}
	for i := range c.causes {
		k := &c.causes[i]
		if k.task == nil {
			continue
		}
		spared := 1 - c.external // likelihood that the worker lives on if the task is sound
		for n, o := range c.causes {
			if o.task != nil && n != i && (o.task.group != k.task.group || !k.task.group.step.Gang) {
				spared *= 1 - likelihoods[n]
			}
		}
		k.weight = math.Log(k.effect*outlives(k.age)*(1/(1-spared)+1) + 1 - k.effect)
		k.part = (1 - c.external) * likelihoods[i] / (sum + c.series)
		if k.rate != nil {
			k.rate.crashed += k.part
		}
	}
	for _, k := range c.causes {
		if k.task != nil {
			k.task.evidence += k.weight
		}
	}
}

// otherCauseOf returns how likely c had another cause than the runs on its worker, by what happened at that time and
// lately to the other workers on which no run is a likely cause. What was known of these when c was weighed before
// counts though it is forgotten since.
func (sched *Scheduler) otherCauseOf(c *crash) float64 {
	external := otherCause
	if c.silent || c.unheard {
		external = unsureCause
	}
	series, moment := sched.causelessAround(c)
	c.series, c.moment = max(c.series, series), max(c.moment, moment)
	return max(external, c.series, c.moment)
}

// causelessAround returns how likely c had another cause by the rate of crashes without a likely cause, 0 while these
// are rare, and by those of its moment.
func (sched *Scheduler) causelessAround(c *crash) (series, moment float64) {
	var others []causelessCrash
	for _, o := range sched.causeless {
		if o.worker != c.worker && o.service == c.service {
			others = append(others, o)
		}
	}
	if len(others) == 0 {
		return 0, 0
	}
	spared, settled := 0, 0
	for _, w := range sched.workers {
		if w.info.Service != c.service || !w.contacted || w.missedPolls > 0 || w.hasUnsettled(nil) {
			continue
		}
		settled++
		if w.contactedAt.Before(c.at) {
			spared++
		}
	}
	crashed, away := 0, 0
	for _, o := range others {
		if o.near(c, coincidence) {
			crashed++
		}
		if o.near(c, crashTime) {
			away++
		}
	}
	rate := float64(repeated(others)) / (float64(max(1, settled+away)) * causelessWindow.Seconds()) // of a worker, in 1 s
	if rate >= leastSeries {
		series = min(unsureCause, rate*provenAge.Seconds())
	}
	if crashed > 0 {
		moment = float64(crashed) / float64(crashed+spared)
	}
	return series, moment
}

// causelessCrash is the end of an incarnation on which no run is a likely cause.
type causelessCrash struct {
	worker     *worker
	service    table.ServiceID
	at, seenAt time.Time
}

func (o causelessCrash) near(c *crash, within time.Duration) bool {
	return c.at.Sub(o.at).Abs() <= within
}

// repeated returns the number of crashes without those of the moment with most, since one moment does not tell how
// often such moments come.
func repeated(crashes []causelessCrash) int {
	moment, most := 0, 0
	for i, o := range crashes {
		if i > 0 && o.at.Sub(crashes[i-1].at).Abs() > coincidence {
			moment = 0
		}
		moment++
		most = max(most, moment)
	}
	return len(crashes) - most
}

// crashWithoutCause records that w crashed though none of its runs is a likely cause, and weighs the crashes of that
// time again.
func (sched *Scheduler) crashWithoutCause(w *worker, now time.Time) {
	sched.causeless = append(sched.causeless, causelessCrash{w, w.info.Service, w.crashTime(now), now})
	sched.cfg.Log.Info("worker crashed without a likely cause", "Worker", w.info.ID, "Tasks", len(w.tasks))
	for _, c := range sched.crashes {
		if c.service == w.info.Service && w.crashTime(now).Sub(c.at).Abs() <= coincidence {
			sched.weighAgain(c)
		}
	}
}

// weighAgain weighs c after what is known of it has changed.
func (sched *Scheduler) weighAgain(c *crash) {
	for i := range c.causes {
		switch k := &c.causes[i]; {
		case k.task == nil:
		case k.row != k.task.crashRow || k.task.phase == done:
			k.forget()
		default:
			k.task.evidence -= k.weight
			k.takeOffRate()
			k.task.group.job.dirty = true
		}
	}
	sched.weigh(c)
}

// forgetCrashes drops what is too old to explain other crashes.
func (sched *Scheduler) forgetCrashes(now time.Time) {
	for len(sched.crashes) > 0 && now.Sub(sched.crashes[0].seenAt) > evidenceDelay {
		sched.crashes = sched.crashes[1:]
	}
	for len(sched.causeless) > 0 && now.Sub(sched.causeless[0].seenAt) > causelessWindow {
		sched.causeless = sched.causeless[1:]
	}
}

// likeliest returns how likely the likeliest of the causes of c crashes every worker.
func (sched *Scheduler) likeliest(c *crash) float64 {
	most := 0.0
	for _, k := range c.causes {
		if k.task != nil {
			most = max(most, sched.likelihood(k.task))
		}
	}
	return most
}

// rounded returns a likelihood with the digits of a log line.
func rounded(likelihood float64) float64 { return math.Round(likelihood*1e4) / 1e4 }
