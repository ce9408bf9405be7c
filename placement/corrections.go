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
	maxRatios       = 64        // ended tasks remembered for each key
	maxKeys         = 4096      // kinds, and kinds of teams, remembered
	priorTasks      = 2.0       // weight of the declared value, in tasks
	cpuQuantile     = 0.5       // of the peaks of processors
	runTimeQuantile = 0.7       // of the run times
	memoryMargin    = 1.1       // on the highest peak seen lately; a task over its memory is killed
	lowestRatio     = 0.1       // smallest correction
	highestRatio    = 8.0       // largest correction
	recentWindow    = time.Hour // how long a peak counts as seen lately
	maxTrackedTasks = 100_000   // running tasks whose peaks are kept
)

// Corrections learns from usage how far declared sizes and run times are off, per kind and per kind of a team.
//
// The grant asks for the corrected size, which is never below the memory seen lately and never above what the largest worker offers.
type Corrections struct {
	byKey  map[correctionKey]*ratios
	peaks  map[table.TaskID]table.Resources
	LargestOffer table.Resources // the most that any worker offers; a size that was declared within it stays within it
}

type correctionKey struct {
	team table.TeamID // empty for all teams
	kind table.KindID
}

// ratios are the last observed values over the declared ones.
type ratios struct {
	cpu, memory, runTime ratioWindow
	recentMemory         float64 // highest ratio of memory seen lately
	recentMemoryAt       time.Time
	updated              time.Time
}

// NewCorrections returns corrections that leave everything as declared.
func NewCorrections() *Corrections {
	return &Corrections{byKey: map[correctionKey]*ratios{}, peaks: map[table.TaskID]table.Resources{}}
}

// ObserveUsage takes in the usage of a running task of j.
func (c *Corrections) ObserveUsage(now time.Time, j *table.Job, task table.TaskID, used table.Resources) {
	if len(c.peaks) >= maxTrackedTasks && c.peaks[task] == (table.Resources{}) {
		return
	}
	peak := c.peaks[task]
	peak.CPU = max(peak.CPU, used.CPU)
	peak.Memory = max(peak.Memory, used.Memory)
	c.peaks[task] = peak
	for _, k := range keysOf(j) {
		r := c.ratiosFor(k, now)
		ratio := clampedRatio(int64(peak.Memory), int64(j.Need.Memory))
		if ratio >= r.recentMemory || now.Sub(r.recentMemoryAt) > recentWindow {
			r.recentMemory, r.recentMemoryAt = ratio, now
		}
	}
}

// ObserveEnd takes in that a task of j ended after it ran for a time; finished says whether it did all its work.
func (c *Corrections) ObserveEnd(now time.Time, j *table.Job, task table.TaskID, ran time.Duration, finished bool) {
	peak, ok := c.peaks[task]
	delete(c.peaks, task)
	for _, k := range keysOf(j) {
		r := c.ratiosFor(k, now)
		if ok && finished {
			r.cpu.push(clampedRatio(int64(peak.CPU), int64(j.Need.CPU)), cpuQuantile)
			r.memory.push(clampedRatio(int64(peak.Memory), int64(j.Need.Memory)), 1)
		}
		if finished && j.RunTime > 0 {
			r.runTime.push(clampedRatio(ran.Milliseconds(), int64(j.RunTime)), runTimeQuantile)
		}
	}
}

// Need returns the size to plan with for each task of j.
func (c *Corrections) Need(j *table.Job) table.Resources {
	need := j.Need
	need.CPU = scaleCPU(need.CPU, c.ratio(j, func(r *ratios) *ratioWindow { return &r.cpu }))
	memory := c.ratio(j, func(r *ratios) *ratioWindow { return &r.memory })
	if r := c.byKey[correctionKey{j.Team, j.Kind}]; r != nil {
		memory = max(memory, r.recentMemory)
	}
	if memory != 1 {
		need.Memory = table.Bytes(float64(need.Memory) * min(memory*memoryMargin, highestRatio))
	}
	return c.clampToLargestOffer(j.Need, need)
}

// RunTime returns the estimated run time of each task of j.
func (c *Corrections) RunTime(j *table.Job) time.Duration {
	ratio := c.ratio(j, func(r *ratios) *ratioWindow { return &r.runTime })
	return time.Duration(float64(queue.DeclaredRunTime(j)) * ratio)
}

// clampToLargestOffer keeps a corrected size inside what workers offer if the declared one was.
func (c *Corrections) clampToLargestOffer(declared, need table.Resources) table.Resources {
	if declared.CPU <= c.LargestOffer.CPU {
		need.CPU = min(need.CPU, c.LargestOffer.CPU)
	}
	if declared.Memory <= c.LargestOffer.Memory {
		need.Memory = min(need.Memory, c.LargestOffer.Memory)
	}
	return need
}

// ratio returns the quantile of the observed ratios, shrunk to that of all teams and then to the declared value.
func (c *Corrections) ratio(j *table.Job, of func(*ratios) *ratioWindow) float64 {
	center := 0.0
	for _, k := range []correctionKey{{kind: j.Kind}, {j.Team, j.Kind}} {
		r := c.byKey[k]
		if r == nil || len(of(r).values) == 0 {
			continue
		}
		n := float64(len(of(r).values))
		center = (n*math.Log(of(r).quantile) + priorTasks*center) / (n + priorTasks)
	}
	return min(max(math.Exp(center), lowestRatio), highestRatio)
}

func (c *Corrections) ratiosFor(k correctionKey, now time.Time) *ratios {
	r := c.byKey[k]
	if r == nil {
		if len(c.byKey) >= maxKeys {
			c.evictOldest()
		}
		r = &ratios{}
		c.byKey[k] = r
	}
	r.updated = now
	return r
}

func (c *Corrections) evictOldest() {
	var oldest correctionKey
	var at time.Time
	for k, r := range c.byKey {
		if at.IsZero() || r.updated.Before(at) {
			oldest, at = k, r.updated
		}
	}
	delete(c.byKey, oldest)
}

func keysOf(j *table.Job) []correctionKey {
	return []correctionKey{{kind: j.Kind}, {j.Team, j.Kind}}
}

// clampedRatio returns used clampedRatio declared within the bounds of a correction.
func clampedRatio(used, declared int64) float64 {
	if declared <= 0 {
		return 1
	}
	return min(max(float64(used)/float64(declared), lowestRatio), highestRatio)
}

// ratioWindow holds the last ratios and a quantile of them.
type ratioWindow struct {
	values   []float64
	quantile float64
}

func (w *ratioWindow) push(v, q float64) {
	w.values = append(w.values, v)
	w.values = w.values[max(0, len(w.values)-maxRatios):]
	sorted := slices.Sorted(slices.Values(w.values))
	w.quantile = sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func scaleCPU(v table.Millicores, ratio float64) table.Millicores {
	return table.Millicores(float64(v) * ratio)
}
