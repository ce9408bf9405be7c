package experiment

import "fmt"

// Goals of the policy; docs/design.md states them.
const (
	goalP99       = 1.2 // highest p99, relative to no batch work
	goalWork      = 0.9 // lowest batch work, relative to no latency-critical work
	goalEvictions = 0.1 // most evictions, relative to best fit
)

// Goals returns one line for each goal at one size: the mean and the worst ratio, and on how many seeds it was met.
func Goals(rows []Row, size string) []string {
	at := map[uint64]map[string]Row{}
	var seeds []uint64
	for _, r := range rows {
		if r.Size.Name != size {
			continue
		}
		if at[r.Seed] == nil {
			at[r.Seed] = map[string]Row{}
			seeds = append(seeds, r.Seed)
		}
		at[r.Seed][r.Variant.Name] = r
	}
	p99, work, evictions := goalSummary{}, goalSummary{}, goalSummary{}
	beaten := map[string]int{}
	for _, seed := range seeds {
		p := at[seed][Policy].Result
		p99.add(float64(p.P99)/float64(at[seed][NoBatch].Result.P99), goalP99, false)
		work.add(p.Work/at[seed][BatchAlone].Result.Work, goalWork, true)
		evictions.add(float64(p.Evictions)/float64(max(1, at[seed][BestFit].Result.Evictions)), goalEvictions, false)
		for name, r := range at[seed] {
			if r.Variant.Baseline && beats(r, at[seed][Policy]) {
				beaten[name]++
			}
		}
	}
	lines := []string{
		p99.line("p99 over that with no batch work, at most 1.2"),
		work.line("batch work over that with no latency-critical work, at least 0.9"),
		evictions.line("evictions over those of best fit, at most 0.1"),
	}
	for _, v := range variantsOf(rows) {
		if n, ok := beaten[v]; ok {
			lines = append(lines, fmt.Sprintf("%s beats the policy on the deployment's first measure on %d of %d seeds, at most 0", v, n, len(seeds)))
		}
	}
	return lines
}

// goalSummary aggregates the ratio of one goal over the seeds.
type goalSummary struct {
	sum, worst float64
	met, n     int
}

func (g *goalSummary) add(ratio, bound float64, atLeast bool) {
	g.sum += ratio
	if g.n == 0 || (ratio < g.worst) == atLeast {
		g.worst = ratio
	}
	g.n++
	if (ratio >= bound) == atLeast || ratio == bound {
		g.met++
	}
}

func (g *goalSummary) line(name string) string {
	return fmt.Sprintf("%s: mean %.3f, worst seed %.3f, met on %d of %d", name, g.sum/float64(max(1, g.n)), g.worst, g.met, g.n)
}

// beats reports whether r is better than the policy on the primary metric of the deployment.
func beats(r, policy Row) bool {
	if r.Size.LatencyFirst {
		return r.Result.P99 < policy.Result.P99
	}
	return r.Result.Work > policy.Result.Work
}
