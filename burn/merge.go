package burn

import (
	"errors"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Total is the exact sum of the snapshots of several processes.
type Total struct {
	Buckets   []Bucket // in the order of Index
	Latencies map[table.KindID]*hdrhistogram.Histogram
}

// Merge adds snapshots up; of several of one incarnation only the newest counts.
//
// With an error, which names latencies that could not be decoded, the total holds all the others.
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

// newestByIncarnation keeps one snapshot of each incarnation.
func newestByIncarnation(snapshots []Snapshot) map[table.Incarnation]Snapshot {
	kept := make(map[table.Incarnation]Snapshot, len(snapshots))
	for _, s := range snapshots {
		if former, ok := kept[s.Incarnation]; ok && former.Seq >= s.Seq {
			continue
		}
		kept[s.Incarnation] = s
	}
	return kept
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
	for _, l := range list {
		h, err := hdrhistogram.Decode(l.Data)
		if err != nil {
			return fault.Wrap(err, fault.BadAnswer, "latencies of kind %s", l.Kind)
		}
		sum := t.Latencies[l.Kind]
		if sum == nil {
			sum = newHistogram()
			t.Latencies[l.Kind] = sum
		}
		if dropped := sum.Merge(h); dropped > 0 {
			return fault.New(fault.BadAnswer, "latencies of kind %s: %d values out of range", l.Kind, dropped)
		}
	}
	return nil
}
