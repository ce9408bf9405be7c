package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Row is the result of one variant at one size for one seed.
type Row struct {
	Size    Size
	Seed    uint64
	Variant Variant
	Result  Result
}

// RunAll simulates every variant at every size for seeds 1 to n, with at most parallel simulations at once. The rows
// are ordered by size, seed and variant.
func RunAll(sizes []Size, variants []Variant, n, parallel int) []Row {
	var rows []Row
	for _, size := range sizes {
		for seed := range n {
			for _, v := range variants {
				rows = append(rows, Row{Size: size, Seed: uint64(seed + 1), Variant: v})
			}
		}
	}
	var wg sync.WaitGroup
	slotsLeft := make(chan struct{}, parallel)
	for i := range rows {
		wg.Go(func() {
			slotsLeft <- struct{}{}
			rows[i].Result = Run(NewScenario(rows[i].Size, rows[i].Seed), rows[i].Variant)
			<-slotsLeft
		})
	}
	wg.Wait()
	return rows
}

// WriteCSV writes results.csv with one line for each row.
func WriteCSV(dir string, rows []Row) error {
	var b strings.Builder
	b.WriteString("Size,Seed,Variant,P50Ms,P99Ms,P999Ms,InTime,WorkPerHour,Jobs,Evictions,Preempted,LostCoreHours,Kills,UrgentMaxMs,Quarantines,Violations\n")
	for _, r := range rows {
		v := r.Result
		fmt.Fprintf(&b, "%s,%d,%s,%.1f,%.1f,%.1f,%.4f,%.1f,%d,%d,%d,%.2f,%d,%d,%d,%d\n",
			r.Size.Name, r.Seed, r.Variant.Name, millis(v.P50), millis(v.P99), millis(v.P999), v.InTime, v.Work,
			v.Jobs, v.Evictions, v.Preempted, v.Lost, v.Kills, v.UrgentMax.Milliseconds(), v.Quarantines, v.Violations)
	}
	return os.WriteFile(filepath.Join(dir, "results.csv"), []byte(b.String()), 0o644)
}

// WriteMarkdown writes results.md with the means of each variant over the seeds and the goals.
func WriteMarkdown(dir string, rows []Row) error {
	var b strings.Builder
	for _, name := range sizesOf(rows) {
		fmt.Fprintf(&b, "## %s\n\n", name)
		b.WriteString("Means over the seeds; batch work is in core hours an hour.\n\n")
		b.WriteString("| Variant | p50 ms | p99 ms | p99.9 ms | In time | Batch work | Evictions | Lost core hours | Killed for memory | Longest urgent wait s |\n")
		b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
		for _, v := range variantsOf(rows) {
			m := meanOf(rows, name, v)
			fmt.Fprintf(&b, "| %s | %.1f | %.1f | %.1f | %.4f | %.0f | %.0f | %.1f | %.0f | %.1f |\n",
				v, m.p50, m.p99, m.p999, m.inTime, m.work, m.evictions, m.lost, m.kills, m.urgent)
		}
		b.WriteString("\n")
		for _, g := range Goals(rows, name) {
			fmt.Fprintf(&b, "- %s\n", g)
		}
		b.WriteString("\n")
	}
	return os.WriteFile(filepath.Join(dir, "results.md"), []byte(b.String()), 0o644)
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

type means struct {
	p50, p99, p999, inTime, work, evictions, lost, kills, urgent float64
}

func meanOf(rows []Row, size, variant string) means {
	var m means
	n := 0.0
	for _, r := range rows {
		if r.Size.Name == size && r.Variant.Name == variant {
			n++
			m.p50 += millis(r.Result.P50)
			m.p99 += millis(r.Result.P99)
			m.p999 += millis(r.Result.P999)
			m.inTime += r.Result.InTime
			m.work += r.Result.Work
			m.evictions += float64(r.Result.Evictions)
			m.lost += r.Result.Lost
			m.kills += float64(r.Result.Kills)
			m.urgent = max(m.urgent, r.Result.UrgentMax.Seconds())
		}
	}
	if n == 0 {
		return means{}
	}
	return means{
		m.p50 / n, m.p99 / n, m.p999 / n, m.inTime / n, m.work / n,
		m.evictions / n, m.lost / n, m.kills / n, m.urgent,
	}
}

func sizesOf(rows []Row) []string {
	return distinct(rows, func(r Row) string { return r.Size.Name })
}

func variantsOf(rows []Row) []string {
	return distinct(rows, func(r Row) string { return r.Variant.Name })
}

func distinct(rows []Row, of func(Row) string) []string {
	var names []string
	seen := map[string]bool{}
	for _, r := range rows {
		if name := of(r); !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return names
}
