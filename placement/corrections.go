package placement

import (
	"math"
	"slices"
	"time"

	"persimmonpick/queue"
	"persimmonpick/table"
)

// Bounds and weights of corrections.
const (
	keptRatios     = 64        // ended tasks remembered for each key
	maxKeys        = 4096      // kinds, and kinds of teams, remembered
	priorTasks     = 2.0       // weight of the declared value, in tasks
	sizeQuantile   = 0.5       // of the peaks of processors
	runQuantile    = 0.7       // of the run times
	memoryMargin   = 1.1       // on the highest peak seen lately; a task over its memory is killed
	lowestRatio    = 0.1       // smallest correction
	highestRatio   = 8.0       // largest correction
	recentFor      = time.Hour // how long a peak counts as seen lately
	maxRunningSeen = 100_000   // running tasks whose peaks are kept
)

// Corrections learns from usage how far declared sizes and run times are off, per kind and per kind of a team.
//
// The grant asks for the corrected size, which is never below the memory seen lately and never above what the largest worker offers.
type Corrections struct {
	keys   map[correctionKey]*ratios
	peaks  map[table.TaskID]table.Resources
	Offers table.Resources // the most that any worker offers; a size that was declared within it stays within it
}

type correctionKey struct {
	team table.TeamID // empty for all teams
	kind table.KindID
}

// ratios are the last observed values over the declared ones.
type ratios struct {
	cpu, memory, run window
	recent           float64 // highest ratio of memory seen lately
	recentAt         time.Time
	seen             time.Time
}

// NewCorrections returns corrections that leave everything as declared.
func NewCorrections() *Corrections {
	return &Corrections{keys: map[correctionKey]*ratios{}, peaks: map[table.TaskID]table.Resources{}}
}

// ObserveUsage takes in the usage of a running task of j.
func (c *Corrections) ObserveUsage(now time.Time, j *table.Job, task table.TaskID, used table.Resources) {
	if len(c.peaks) >= maxRunningSeen && c.peaks[task] == (table.Resources{}) {
		return
	}
	peak := c.peaks[task]
	peak.CPU = max(peak.CPU, used.CPU)
	peak.Memory = max(peak.Memory, used.Memory)
	c.peaks[task] = peak
	for _, k := range keysOf(j) {
		r := c.key(k, now)
		ratio := over(int64(peak.Memory), int64(j.Need.Memory))
		if ratio >= r.recent || now.Sub(r.recentAt) > recentFor {
			r.recent, r.recentAt = ratio, now
		}
	}
}

// ObserveEnd takes in that a task of j ended after it ran for a time; finished says whether it did all its work.
func (c *Corrections) ObserveEnd(now time.Time, j *table.Job, task table.TaskID, ran time.Duration, finished bool) {
	peak, ok := c.peaks[task]
	delete(c.peaks, task)
	for _, k := range keysOf(j) {
		r := c.key(k, now)
		if ok && finished {
			r.cpu.push(over(int64(peak.CPU), int64(j.Need.CPU)), sizeQuantile)
			r.memory.push(over(int64(peak.Memory), int64(j.Need.Memory)), 1)
		}
		if finished && j.RunTime > 0 {
			r.run.push(over(ran.Milliseconds(), int64(j.RunTime)), runQuantile)
		}
	}
}

// Need returns the size to plan with for each task of j.
func (c *Corrections) Need(j *table.Job) table.Resources {
	need := j.Need
	need.CPU = scale(need.CPU, c.ratio(j, func(r *ratios) *window { return &r.cpu }))
	memory := c.ratio(j, func(r *ratios) *window { return &r.memory })
	if r := c.keys[correctionKey{j.Team, j.Kind}]; r != nil {
		memory = max(memory, r.recent)
	}
	if memory != 1 {
		need.Memory = table.Bytes(float64(need.Memory) * min(memory*memoryMargin, highestRatio))
	}
	return c.within(j.Need, need)
}

// RunTime returns the estimated run time of each task of j.
func (c *Corrections) RunTime(j *table.Job) time.Duration {
	ratio := c.ratio(j, func(r *ratios) *window { return &r.run })
	return time.Duration(float64(queue.DeclaredRunTime(j)) * ratio)
}

// within keeps a corrected size inside what workers offer if the declared one was.
func (c *Corrections) within(declared, need table.Resources) table.Resources {
	if declared.CPU <= c.Offers.CPU {
		need.CPU = min(need.CPU, c.Offers.CPU)
	}
	if declared.Memory <= c.Offers.Memory {
		need.Memory = min(need.Memory, c.Offers.Memory)
	}
	return need
}

// ratio returns the quantile of the observed ratios, shrunk to that of all teams and then to the declared value.
func (c *Corrections) ratio(j *table.Job, of func(*ratios) *window) float64 {
	center := 0.0
	for _, k := range []correctionKey{{kind: j.Kind}, {j.Team, j.Kind}} {
		r := c.keys[k]
		if r == nil || len(of(r).last) == 0 {
			continue
		}
		n := float64(len(of(r).last))
		center = (n*math.Log(of(r).value) + priorTasks*center) / (n + priorTasks)
	}
	return min(max(math.Exp(center), lowestRatio), highestRatio)
}

func (c *Corrections) key(k correctionKey, now time.Time) *ratios {
	r := c.keys[k]
	if r == nil {
		if len(c.keys) >= maxKeys {
			c.dropOldest()
		}
		r = &ratios{}
		c.keys[k] = r
	}
	r.seen = now
	return r
}

func (c *Corrections) dropOldest() {
	var oldest correctionKey
	var at time.Time
	for k, r := range c.keys {
		if at.IsZero() || r.seen.Before(at) {
			oldest, at = k, r.seen
		}
	}
	delete(c.keys, oldest)
}

func keysOf(j *table.Job) []correctionKey {
	return []correctionKey{{kind: j.Kind}, {j.Team, j.Kind}}
}

// over returns used over declared within the bounds of a correction.
func over(used, declared int64) float64 {
	if declared <= 0 {
		return 1
	}
	return min(max(float64(used)/float64(declared), lowestRatio), highestRatio)
}

// window holds the last ratios and a quantile of them.
type window struct {
	last  []float64
	value float64
}

func (w *window) push(v, q float64) {
	w.last = append(w.last, v)
	w.last = w.last[max(0, len(w.last)-keptRatios):]
	sorted := slices.Sorted(slices.Values(w.last))
	w.value = sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func scale(v table.Millicores, ratio float64) table.Millicores {
	return table.Millicores(float64(v) * ratio)
}
