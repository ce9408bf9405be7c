package burn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"persimmonpick/table"
)

const (
	// maxHeld bounds the snapshots kept; 9 seats that are replaced seven times in one long window still fit.
	maxHeld = 64
	// maxBytes bounds one snapshot that is accepted from a peer; it only counts the encoded latencies and names.
	maxBytes = 8 << 20
)

// Digest says which snapshots a host holds: the newest sequence number of each incarnation.
type Digest map[table.Incarnation]uint64

// SnapshotStore keeps the newest snapshot of every process, dead ones included, until the long window has passed.
type SnapshotStore struct {
	keep time.Duration

	mu   sync.Mutex
	held map[table.Incarnation]Snapshot
}

// NewSnapshotStore returns an empty board for the given windows.
func NewSnapshotStore(ws Windows) *SnapshotStore {
	return &SnapshotStore{keep: ws.Long + ws.sliceWidth(), held: map[table.Incarnation]Snapshot{}}
}

// Put keeps s in place of an older snapshot of its incarnation and says whether it did.
func (b *SnapshotStore) Put(s Snapshot, now time.Time) bool {
	if s.Incarnation == "" || size(s) > maxBytes || now.Sub(s.Taken).Abs() > b.keep {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if former, ok := b.held[s.Incarnation]; ok && former.Seq >= s.Seq {
		return false
	}
	b.held[s.Incarnation] = s
	b.prune(now)
	return true
}

// All returns the snapshots held, the newest of each incarnation.
func (b *SnapshotStore) All(now time.Time) []Snapshot {
	return b.Newer(nil, now)
}

// Digest returns what is held, for a peer to answer with Newer.
func (b *SnapshotStore) Digest() Digest {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := make(Digest, len(b.held))
	for incarnation, s := range b.held {
		d[incarnation] = s.Seq
	}
	return d
}

// Newer returns the snapshots that a host with digest d lacks.
func (b *SnapshotStore) Newer(d Digest, now time.Time) []Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	var list []Snapshot
	for incarnation, s := range b.held {
		if seq, ok := d[incarnation]; !ok || seq < s.Seq {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Snapshot) int {
		return strings.Compare(string(a.Seat)+"/"+string(a.Incarnation), string(b.Seat)+"/"+string(b.Incarnation))
	})
	return list
}

// prune drops snapshots that the long window has passed, and the oldest ones above maxHeld.
func (b *SnapshotStore) prune(now time.Time) {
	for incarnation, s := range b.held {
		if now.Sub(s.Taken) > b.keep {
			delete(b.held, incarnation)
		}
	}
	for len(b.held) > maxHeld {
		var oldest table.Incarnation
		for incarnation, s := range b.held {
			if oldest == "" || s.Taken.Before(b.held[oldest].Taken) {
				oldest = incarnation
			}
		}
		delete(b.held, oldest)
	}
}

// size estimates the memory of s in bytes.
func size(s Snapshot) int {
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
