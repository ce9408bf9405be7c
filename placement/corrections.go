package placement

import (
	"math"
	"slices"
	"time"

	"persimmonpick/queue"
	"persimmonpick/table"
)

// Limits and parameters of corrections.
const (
	maxRatios       = 64        // ended tasks remembered per key
	maxKeys         = 4096      // keys remembered: kinds, and kinds per team
	priorTasks      = 2.0       // weight of the prior, in tasks
	cpuQuantile     = 0.5       // of the peak processor usage
	runTimeQuantile = 0.7       // of the run times
	memoryMargin    = 1.1       // factor on the highest recent peak, because a task that exceeds its memory is killed
	lowestRatio     = 0.1       // smallest correction
	highestRatio    = 8.0       // largest correction
	recentWindow    = time.Hour // period in which the highest memory ratio counts as recent
	maxTrackedTasks = 100_000   // running tasks whose peak usage is tracked
)

// Corrections estimates from observed usage how far declared sizes and run times are off, per kind and per kind
// of a team.
//
// Grants use the corrected size. It is never below the peak memory observed lately, and it does not exceed the
// largest batch capacity of any worker unless the declared size does.
type Corrections struct {
	byKey map[correctionKey]*ratios
	peaks map[table.TaskID]table.Resources
	// LargestBatchCapacity is the most that any worker offers to batch work, per dimension. A size declared within it
	// stays within it.
	LargestBatchCapacity table.Resources
}

type correctionKey struct {
	team table.TeamID // empty for all teams
	kind table.KindID
}

// ratios holds the ratios of observed to declared values of one key.
type ratios struct {
	cpu, memory, runTime ratioWindow
	recentMemory         float64 // highest memory ratio within recentWindow
	recentMemoryAt       time.Time
	updated              time.Time
}

// NewCorrections returns corrections without observations, which leave declared values as they are.
func NewCorrections() *Corrections {
	return &Corrections{byKey: map[correctionKey]*ratios{}, peaks: map[table.TaskID]table.Resources{}}
}

// ObserveUsage records the usage of a running task of j. Tasks beyond maxTrackedTasks are ignored.
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

// ObserveEnd records that a task of j ended after running for ran; finished reports whether it completed
// its work. Only finished tasks contribute to the ratios.
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

// Need returns the corrected size of each task of j.
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
	return c.clampToBatchCapacity(j.Need, need)
}

// RunTime returns the estimated run time of each task of j.
func (c *Corrections) RunTime(j *table.Job) time.Duration {
	ratio := c.ratio(j, func(r *ratios) *ratioWindow { return &r.runTime })
	return time.Duration(float64(queue.DeclaredRunTime(j)) * ratio)
}

// clampToBatchCapacity limits a corrected size to the largest batch capacity in each dimension in which the declared
// size is within it.
func (c *Corrections) clampToBatchCapacity(declared, need table.Resources) table.Resources {
	if declared.CPU <= c.LargestBatchCapacity.CPU {
		need.CPU = min(need.CPU, c.LargestBatchCapacity.CPU)
	}
	if declared.Memory <= c.LargestBatchCapacity.Memory {
		need.Memory = min(need.Memory, c.LargestBatchCapacity.Memory)
	}
	return need
}

// ratio returns the quantile of the observed ratios of the kind in the team, shrunk in log space towards that
// of the kind in all teams, which is in turn shrunk towards 1, the declared value.
func (c *Corrections) ratio(j *table.Job, of func(*ratios) *ratioWindow) float64 {
	logRatio := 0.0
	for _, k := range []correctionKey{{kind: j.Kind}, {j.Team, j.Kind}} {
		r := c.byKey[k]
		if r == nil || len(of(r).values) == 0 {
			continue
		}
		n := float64(len(of(r).values))
		logRatio = (n*math.Log(of(r).quantile) + priorTasks*logRatio) / (n + priorTasks)
	}
	return min(max(math.Exp(logRatio), lowestRatio), highestRatio)
}

// ratiosFor returns the ratios of k, which it creates if needed, and marks them as updated.
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

// evictOldest drops the least recently updated key.
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

// clampedRatio returns used over declared, limited to lowestRatio and highestRatio.
func clampedRatio(used, declared int64) float64 {
	if declared <= 0 {
		return 1
	}
	return min(max(float64(used)/float64(declared), lowestRatio), highestRatio)
}

// ratioWindow holds the last maxRatios ratios and a quantile of them.
type ratioWindow struct {
	values   []float64
	quantile float64
}

// push adds ratio v, drops the oldest beyond maxRatios, and recomputes quantile q.
func (w *ratioWindow) push(v, q float64) {
	w.values = append(w.values, v)
	w.values = w.values[max(0, len(w.values)-maxRatios):]
	sorted := slices.Sorted(slices.Values(w.values))
	w.quantile = sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func scaleCPU(v table.Millicores, ratio float64) table.Millicores {
	return table.Millicores(float64(v) * ratio)
}
