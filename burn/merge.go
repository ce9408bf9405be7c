package burn

import (
	"errors"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Total is the exact sum of the snapshots of several incarnations.
type Total struct {
	Buckets   []Bucket // sorted by Index
	Latencies map[table.KindID]*hdrhistogram.Histogram
}

// Merge sums snapshots; of several snapshots of one incarnation only the newest counts.
//
// If latencies of a kind cannot be decoded or are out of range, Merge leaves them out and returns an error that names
// the kind. The total holds everything else.
func Merge(snapshots []Snapshot) (Total, error) {
	var errs []error
	sums := map[int64]*bucket{}
	total := Total{Latencies: map[table.KindID]*hdrhistogram.Histogram{}}
	for _, s := range newestByIncarnation(snapshots) {
		for _, b := range s.Buckets {
			sum := sums[b.Index]
			if sum == nil {
				sum = &bucket{kinds: counts{}, instances: counts{}, workers: counts{}}
				sums[b.Index] = sum
			}
			sum.kinds.merge(b.Kinds)
			sum.instances.merge(b.Instances)
			sum.workers.merge(b.Workers)
		}
		errs = append(errs, total.mergeLatencies(s.Latencies))
	}
	for _, i := range slices.Sorted(maps.Keys(sums)) {
		b := sums[i]
		total.Buckets = append(total.Buckets, Bucket{i, b.kinds.sorted(), b.instances.sorted(), b.workers.sorted()})
	}
	return total, errors.Join(errs...)
}

// newestByIncarnation returns the newest snapshot of each incarnation.
func newestByIncarnation(snapshots []Snapshot) map[table.Incarnation]Snapshot {
	latest := make(map[table.Incarnation]Snapshot, len(snapshots))
	for _, s := range snapshots {
		if previous, ok := latest[s.Incarnation]; ok && previous.Seq >= s.Seq {
			continue
		}
		latest[s.Incarnation] = s
	}
	return latest
}

func (cs counts) merge(list []Count) {
	for _, c := range list {
		sum := cs[c.Name]
		if sum == nil {
			sum = &Count{Name: c.Name}
			cs[c.Name] = sum
		}
		sum.Good += c.Good
		sum.Bad += c.Bad
	}
}

func (t *Total) mergeLatencies(list []Latencies) error {
	var errs []error
	for _, l := range list {
		h, err := hdrhistogram.Decode(l.Data)
		if err != nil {
			errs = append(errs, fault.Wrap(err, fault.BadAnswer, "latencies of kind %s", l.Kind))
			continue
		}
		sum := t.Latencies[l.Kind]
		if sum == nil {
			sum = newHistogram()
			t.Latencies[l.Kind] = sum
		}
		if dropped := sum.Merge(h); dropped > 0 {
			errs = append(errs, fault.New(fault.BadAnswer, "latencies of kind %s: %d values out of range", l.Kind, dropped))
		}
	}
	return errors.Join(errs...)
}
