package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"persimmonpick/table"
)

// maxSpenders limits each list of top error-budget spenders.
const maxSpenders = 10

// HostAge is the age of the counts of one incarnation in a report.
type HostAge struct {
	Seat        table.SeatID
	Incarnation table.Incarnation
	AgeMillis   table.Millis
}

// Window holds the request counts and burn rate of one kind over one window.
type Window struct {
	Good int64
	Bad  int64
	Burn float64 // share of bad requests divided by the share that the objective allows; 1 spends the budget exactly
}

// Point holds the request counts and burn rate of one kind in one bucket.
type Point struct {
	At   time.Time // start of the bucket
	Good int64
	Bad  int64
	Burn float64
}

// KindReport reports how one kind performs against its objective.
type KindReport struct {
	Kind       table.KindID
	Objective  table.Objective
	Short      Window
	Long       Window
	BudgetLeft float64 // remaining share of the error budget of the long window; negative if overspent
	P50Millis  float64
	P99Millis  float64
	P999Millis float64
	MaxMillis  float64
	Points     []Point
}

// Spender is a kind, instance or worker whose bad requests spent error budget in the long window.
type Spender struct {
	Name  string
	Good  int64
	Bad   int64
	Share float64 // share of all bad requests
}

// Report summarizes all objectives over all entry hosts whose counts were received.
type Report struct {
	Taken          time.Time
	Short          string // length of the short window
	Long           string // length of the long window
	Complete       bool   // counts of every configured seat were received and could be decoded
	Heard          int    // configured seats whose counts were received
	Want           int    // configured seats
	Missing        []table.SeatID
	Hosts          []HostAge
	Faults         []string // errors of parts that could not be decoded and are not counted
	Kinds          []KindReport
	TopKinds       []Spender
	TopInstances   []Spender
	TopWorkers     []Spender
	RequestsInLong int64
}

// Input holds the data for a report.
type Input struct {
	Now        time.Time
	Windows    Windows
	Seats      []table.SeatID // configured seats
	Snapshots  []Snapshot
	Objectives map[table.KindID]table.Objective
}

// Build returns the report for in.
func Build(in Input) Report {
	total, err := Merge(trimToWindow(in))
	r := Report{
		Taken:        in.Now,
		Short:        in.Windows.Short.String(),
		Long:         in.Windows.Long.String(),
		Want:         len(in.Seats),
		Kinds:        in.kinds(total),
		TopKinds:     spenders(total, func(b Bucket) []Count { return b.Kinds }),
		TopInstances: spenders(total, func(b Bucket) []Count { return b.Instances }),
		TopWorkers:   spenders(total, func(b Bucket) []Count { return b.Workers }),
	}
	if err != nil {
		r.Faults = []string{err.Error()}
	}
	for _, k := range r.Kinds {
		r.RequestsInLong += k.Long.Good + k.Long.Bad
	}
	r.hosts(in)
	return r
}

// trimToWindow returns the snapshots without data older than the long window.
func trimToWindow(in Input) []Snapshot {
	ws := in.Windows
	oldest := oldestIndex(in.Now, ws.Long, ws.bucketWidth())
	oldestHistogram := index(in.Now.Add(-ws.Long), ws.histogramWidth())
	trimmed := make([]Snapshot, len(in.Snapshots))
	for i, s := range in.Snapshots {
		s.Buckets = slices.DeleteFunc(slices.Clone(s.Buckets), func(b Bucket) bool { return b.Index < oldest })
		s.Latencies = slices.DeleteFunc(slices.Clone(s.Latencies), func(l Latencies) bool { return l.Index < oldestHistogram })
		trimmed[i] = s
	}
	return trimmed
}

func (r *Report) hosts(in Input) {
	heard := map[table.SeatID]bool{}
	for _, s := range newestByIncarnation(in.Snapshots) {
		heard[s.Seat] = true
		age := table.Millis(in.Now.Sub(s.Taken).Milliseconds())
		r.Hosts = append(r.Hosts, HostAge{s.Seat, s.Incarnation, age})
	}
	slices.SortFunc(r.Hosts, func(a, b HostAge) int {
		return cmp.Or(cmp.Compare(a.Seat, b.Seat), cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, seat := range in.Seats {
		if heard[seat] {
			r.Heard++
			continue
		}
		r.Missing = append(r.Missing, seat)
	}
	r.Complete = len(r.Missing) == 0 && len(r.Faults) == 0
}

func (in Input) kinds(total Total) []KindReport {
	names := map[table.KindID]bool{}
	for id, objective := range in.Objectives {
		if objective.Target > 0 {
			names[id] = true
		}
	}
	for _, b := range total.Buckets {
		for _, c := range b.Kinds {
			names[table.KindID(c.Name)] = true
		}
	}
	reports := make([]KindReport, 0, len(names))
	for _, id := range slices.Sorted(maps.Keys(names)) {
		reports = append(reports, in.kind(id, total))
	}
	return reports
}

func (in Input) kind(id table.KindID, total Total) KindReport {
	ws := in.Windows
	k := KindReport{Kind: id, Objective: in.Objectives[id]}
	recent := oldestIndex(in.Now, ws.Short, ws.bucketWidth())
	for _, b := range total.Buckets {
		i, found := slices.BinarySearchFunc(b.Kinds, string(id), func(c Count, name string) int { return cmp.Compare(c.Name, name) })
		if !found {
			continue
		}
		c := b.Kinds[i]
		k.Long.add(c)
		if b.Index >= recent {
			k.Short.add(c)
		}
		k.Points = append(k.Points, Point{
			At:   time.Unix(0, b.Index*int64(ws.bucketWidth())).UTC(),
			Good: c.Good, Bad: c.Bad,
			Burn: Rate(c.Good, c.Bad, k.Objective.Target),
		})
	}
	k.Short.Burn = Rate(k.Short.Good, k.Short.Bad, k.Objective.Target)
	k.Long.Burn = Rate(k.Long.Good, k.Long.Bad, k.Objective.Target)
	k.BudgetLeft = 1 - k.Long.Burn
	k.latencies(total)
	return k
}

func (w *Window) add(c Count) {
	w.Good += c.Good
	w.Bad += c.Bad
}

func (k *KindReport) latencies(total Total) {
	h := total.Latencies[k.Kind]
	if h == nil {
		return
	}
	k.P50Millis = millis(h.ValueAtQuantile(50))
	k.P99Millis = millis(h.ValueAtQuantile(99))
	k.P999Millis = millis(h.ValueAtQuantile(99.9))
	k.MaxMillis = millis(h.Max())
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}

// Rate returns the burn rate of good and bad requests against target, a share between 0 and 1 exclusively. Any other
// target means that there is no objective and gives 0.
func Rate(good, bad int64, target float64) float64 {
	if bad == 0 || target <= 0 || target >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - target)
}

func spenders(total Total, dimension func(Bucket) []Count) []Spender {
	sums := counts{}
	for _, b := range total.Buckets {
		sums.merge(dimension(b))
	}
	var list []Spender
	var bad int64
	for _, c := range sums.sorted() {
		bad += c.Bad
		if c.Bad > 0 {
			list = append(list, Spender{Name: c.Name, Good: c.Good, Bad: c.Bad})
		}
	}
	slices.SortStableFunc(list, func(a, b Spender) int { return cmp.Compare(b.Bad, a.Bad) })
	list = list[:min(len(list), maxSpenders)]
	for i := range list {
		list[i].Share = float64(list[i].Bad) / float64(bad)
	}
	return list
}
