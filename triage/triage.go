package triage

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// Work is an amount of work in millicore-milliseconds.
type Work float64

// Key identifies an occurrence of a job.
type Key struct {
	Job        table.JobID
	Occurrence int
}

// Job is an occurrence of a job with tasks that wait for room.
type Job struct {
	Key       Key
	Queue     workload.QueueID
	Service   table.ServiceID
	Priority  int           // 0 is the highest
	Size      Work          // of the whole occurrence; 0 if the floor does not count it
	From      time.Time     // from which its objective counts
	Objective time.Duration // within which its caller needs the result
	Path      time.Duration // critical path of what is left
	Value     float64       // to its caller if it is on time, in usual jobs of its queue
	Left      Work          // that is not done, or that one task of a long-running job reserves
	// Of a long-running job, which keeps the room that it gets.
	LongRunning bool
	Returning   bool      // a task that waits was running before
	IdleSince   time.Time // since when the first of these has waited; 0 if it is not to wait any longer
}

// Outlook tells whether a job can still meet its objective.
type Outlook uint8

// The outlooks, the best first.
const (
	OnTime Outlook = iota
	Late
	Useless // its caller has no use for the result any more
)

// Config configures a Policy.
type Config struct {
	LateFactor float64 // a job that takes this many times its objective is useless
	PathMargin float64 // part of the critical path that must fit before the deadline, since estimates are rough
	// DeferReturning lets long-running tasks that lost their room wait behind urgent short jobs for up to the
	// objective of their job, and jobs that are useless behind all others.
	DeferReturning bool
	MaxDeferral    time.Duration // of such a task, whatever the objective
	// LeaveLate keeps long-running tasks on a worker that leaves until MoveTime before its end while room is
	// scarce, since short jobs lack the room that they take elsewhere.
	LeaveLate bool
	MoveTime  time.Duration
	Floor     bool // no size of job of a queue is starved
}

// Policy orders waiting jobs. It is not safe for concurrent use.
type Policy struct {
	cfg     Config
	active  map[table.ServiceID]bool
	byQueue map[workload.QueueID]*sizes
}

// New returns a Policy.
func New(cfg Config) *Policy { return &Policy{cfg: cfg, byQueue: map[workload.QueueID]*sizes{}} }

// SetQueues sets the queues of the newest configuration. DeferReturning, LeaveLate and Floor take effect for services
// whose queues declare different priorities.
func (p *Policy) SetQueues(qs []workload.Queue) {
	p.active = map[table.ServiceID]bool{}
	first := map[table.ServiceID]int{}
	for _, q := range qs {
		if priority, known := first[q.Service]; !known {
			first[q.Service] = q.Priority
		} else if priority != q.Priority {
			p.active[q.Service] = true
		}
	}
}

// rating is the sort key of a job.
type rating struct {
	useless  bool // comes after all others, whatever its priority
	priority int
	outlook  Outlook
	behind   bool    // jobs of its size are served too rarely
	density  float64 // value per unit of remaining work
}

// Sort sorts jobs by the order in which they get room.
func (p *Policy) Sort(jobs []Job, now time.Time) {
	ratings := make(map[Key]rating, len(jobs))
	for i := range jobs {
		ratings[jobs[i].Key] = p.rate(&jobs[i], now)
	}
	slices.SortFunc(jobs, func(a, b Job) int {
		ra, rb := ratings[a.Key], ratings[b.Key]
		return cmp.Or(cmp.Compare(boolRank(ra.useless), boolRank(rb.useless)), cmp.Compare(ra.priority, rb.priority),
			cmp.Compare(ra.outlook, rb.outlook), cmp.Compare(boolRank(rb.behind), boolRank(ra.behind)),
			cmp.Compare(rb.density, ra.density),
			cmp.Compare(a.Key.Job, b.Key.Job), cmp.Compare(a.Key.Occurrence, b.Key.Occurrence))
	})
}

func (p *Policy) rate(j *Job, now time.Time) rating {
	r := rating{priority: j.Priority, density: j.Value / max(1, float64(j.Left)), outlook: p.Outlook(j, now)}
	if j.LongRunning {
		r.density = 1 / max(1, float64(j.Left))
		if j.Returning {
			r.density = math.Inf(1)
		}
	}
	if r.outlook == Useless && p.counts(j) {
		p.sizesOf(j.Queue).record(j, false)
	}
	r.behind = p.IsBehind(j)
	r.useless = p.defers(j) && r.outlook == Useless
	return r
}

// Outlook returns the outlook of j if its tasks get room now. Long-running jobs come after the short ones that are on
// time, since they keep the room that they get, and before those that are useless. Tasks that have had room before come
// first, so that their callers are not interrupted for long.
func (p *Policy) Outlook(j *Job, now time.Time) Outlook {
	if j.LongRunning {
		if j.Returning && (!p.defers(j) || now.Sub(j.IdleSince) >= min(j.Objective, p.cfg.MaxDeferral)) {
			return OnTime
		}
		return Late
	}
	end := now.Add(time.Duration(float64(j.Path) * p.cfg.PathMargin))
	due := j.From.Add(j.Objective)
	switch {
	case !end.After(due):
		return OnTime
	case !end.After(due.Add(time.Duration((p.cfg.LateFactor - 1) * float64(j.Objective)))):
		return Late
	}
	return Useless
}

// IsBehind reports whether jobs of the size of j are served so rarely that j comes before the others of its outlook.
func (p *Policy) IsBehind(j *Job) bool { return p.counts(j) && p.sizesOf(j.Queue).isBehind(j.Size) }

// counts reports whether the floor counts j.
func (p *Policy) counts(j *Job) bool {
	return j.Size > 0 && !j.LongRunning && p.cfg.Floor && p.active[j.Service]
}

// Ended takes note that j has ended, in time to be of use or not.
func (p *Policy) Ended(j *Job, now time.Time) {
	if p.counts(j) {
		p.sizesOf(j.Queue).record(j, !now.After(j.From.Add(time.Duration(p.cfg.LateFactor*float64(j.Objective)))))
	}
	if q := p.byQueue[j.Queue]; q != nil {
		delete(q.useless, j.Key)
	}
}

func (p *Policy) sizesOf(id workload.QueueID) *sizes {
	q := p.byQueue[id]
	if q == nil {
		q = &sizes{useless: map[Key]bool{}}
		p.byQueue[id] = q
	}
	return q
}

func (p *Policy) defers(j *Job) bool { return p.cfg.DeferReturning && p.active[j.Service] }

// LeavesNow reports whether a long-running task on a worker of s that leaves in the given time is to be moved now.
func (p *Policy) LeavesNow(s table.ServiceID, left time.Duration, scarce bool) bool {
	return !p.cfg.LeaveLate || !p.active[s] || !scarce || left <= p.cfg.MoveTime
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
