package burn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"persimmonpick/table"
)

const (
	// maxSnapshots bounds the retained snapshots; it has room for 9 seats whose hosts are replaced repeatedly, up to
	// seven incarnations each, within one long window.
	maxSnapshots = 64
	// maxSnapshotBytes bounds a snapshot accepted from a peer, as estimated by snapshotBytes.
	maxSnapshotBytes = 8 << 20
)

// Digest maps each incarnation to the sequence number of the newest snapshot that a host holds of it.
type Digest map[table.Incarnation]uint64

// SnapshotStore retains the newest snapshot of every incarnation, including those that ended, for the long window.
type SnapshotStore struct {
	retention time.Duration

	mu        sync.Mutex
	snapshots map[table.Incarnation]Snapshot
}

// NewSnapshotStore returns an empty store for the given windows.
func NewSnapshotStore(ws Windows) *SnapshotStore {
	return &SnapshotStore{retention: ws.Long + ws.histogramWidth(), snapshots: map[table.Incarnation]Snapshot{}}
}

// Put stores s and returns true, unless s is invalid, too large, outside the retention period or no newer than the
// stored snapshot of its incarnation.
func (b *SnapshotStore) Put(s Snapshot, now time.Time) bool {
	if s.Incarnation == "" || snapshotBytes(s) > maxSnapshotBytes || now.Sub(s.Taken).Abs() > b.retention {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if previous, ok := b.snapshots[s.Incarnation]; ok && previous.Seq >= s.Seq {
		return false
	}
	b.snapshots[s.Incarnation] = s
	b.prune(now)
	return true
}

// All returns the stored snapshots, one per incarnation, sorted by seat and incarnation.
func (b *SnapshotStore) All(now time.Time) []Snapshot {
	return b.Newer(nil, now)
}

// Digest returns the digest of the stored snapshots; a peer passes it to Newer.
func (b *SnapshotStore) Digest() Digest {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := make(Digest, len(b.snapshots))
	for incarnation, s := range b.snapshots {
		d[incarnation] = s.Seq
	}
	return d
}

// Newer returns the stored snapshots that are newer than in d or missing from it, sorted by seat and incarnation.
func (b *SnapshotStore) Newer(d Digest, now time.Time) []Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	var list []Snapshot
	for incarnation, s := range b.snapshots {
		if seq, ok := d[incarnation]; !ok || seq < s.Seq {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Snapshot) int {
		return strings.Compare(string(a.Seat)+"/"+string(a.Incarnation), string(b.Seat)+"/"+string(b.Incarnation))
	})
	return list
}

// prune removes expired snapshots, then the oldest ones beyond maxSnapshots.
func (b *SnapshotStore) prune(now time.Time) {
	for incarnation, s := range b.snapshots {
		if now.Sub(s.Taken) > b.retention {
			delete(b.snapshots, incarnation)
		}
	}
	for len(b.snapshots) > maxSnapshots {
		var oldest table.Incarnation
		for incarnation, s := range b.snapshots {
			if oldest == "" || s.Taken.Before(b.snapshots[oldest].Taken) {
				oldest = incarnation
			}
		}
		delete(b.snapshots, oldest)
	}
}

// snapshotBytes estimates the memory of s in bytes from its encoded latencies, names and number of counts.
func snapshotBytes(s Snapshot) int {
	const perCount = 32
	n := 0
	for _, l := range s.Latencies {
		n += len(l.Data) + len(l.Kind)
	}
	for _, b := range s.Buckets {
		for _, list := range [][]Count{b.Kinds, b.Instances, b.Workers} {
			for _, c := range list {
				n += len(c.Name) + perCount
			}
		}
	}
	return n
}
