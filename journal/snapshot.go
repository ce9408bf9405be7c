package journal

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// image is the serialized form of table.Tables. Its lists are sorted by key, so that equal tables have equal encodings.
type image struct {
	Applied      table.Offset
	ConfigSeen   table.Offset
	RemovedFloor table.Offset
	Hosts        []*table.EntryHost
	Workers      []*table.Worker
	Instances    []*table.Instance
	Kinds        []*table.Kind
	Teams        []*table.Team
	Limits       []*table.Limit
	Drains       []*table.Drain
	Jobs         []*table.Job // those not in Closed
	Closed       []*closedJob
	Tasks        []*table.Task
	Claims       []*table.Claim
	Writers      map[table.Incarnation]*table.WriterState
	Replaced     map[table.Incarnation]table.Offset
	Removed      map[string]table.Offset
	TeamUsed     map[table.TeamID]table.Resources
	TeamJobs     map[table.TeamID]int
	Plans        []table.AppliedPlan
}

var imageDecMode = newImageDecMode()

func newImageDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		MaxNestedLevels:   maxDepth,
		MaxArrayElements:  1 << 24,
		MaxMapPairs:       1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// EncodeSnapshot returns t as entries of the snapshot stream.
func EncodeSnapshot(t *table.Tables) ([][]byte, error) {
	image, err := encMode.Marshal(newImage(t))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode tables at offset %d: %v", t.Applied, err)
	}
	body, err := deflate(image)
	if err != nil {
		return nil, err
	}
	return splitChunks(t.Applied, body)
}

// DecodeSnapshot returns the tables that EncodeSnapshot encoded as chunks.
func DecodeSnapshot(chunks [][]byte) (*table.Tables, error) {
	a := NewAssembler()
	for _, c := range chunks {
		if err := a.Add(c); err != nil {
			return nil, err
		}
	}
	if a.Newest() == nil {
		return nil, fault.New(fault.Invalid, "snapshot of %d chunks is incomplete", len(chunks))
	}
	return a.Newest(), nil
}

func newImage(t *table.Tables) *image {
	m := &image{
		Applied: t.Applied, ConfigSeen: t.ConfigSeen, RemovedFloor: t.RemovedFloor,
		Writers: t.Writers, Replaced: t.Replaced, Removed: t.Removed,
		TeamUsed: t.TeamUsed, TeamJobs: t.TeamJobs, Plans: t.Plans,
	}
	m.Hosts = slices.SortedFunc(maps.Values(t.Hosts), func(a, b *table.EntryHost) int { return cmp.Compare(a.Seat, b.Seat) })
	m.Workers = slices.SortedFunc(maps.Values(t.Workers), func(a, b *table.Worker) int { return cmp.Compare(a.ID, b.ID) })
	m.Instances = slices.SortedFunc(maps.Values(t.Instances), func(a, b *table.Instance) int { return cmp.Compare(a.ID, b.ID) })
	m.Kinds = slices.SortedFunc(maps.Values(t.Kinds), func(a, b *table.Kind) int { return cmp.Compare(a.ID, b.ID) })
	m.Teams = slices.SortedFunc(maps.Values(t.Teams), func(a, b *table.Team) int { return cmp.Compare(a.ID, b.ID) })
	m.Limits = slices.SortedFunc(maps.Values(t.Limits), func(a, b *table.Limit) int { return cmp.Compare(a.ID, b.ID) })
	m.Drains = slices.SortedFunc(maps.Values(t.Drains), func(a, b *table.Drain) int { return cmp.Compare(a.Name(), b.Name()) })
	m.setJobs(t)
	m.Claims = slices.SortedFunc(maps.Values(t.Claims), compareClaims)
	return m
}

func compareClaims(a, b *table.Claim) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Key, b.Key))
}

// decodeTables returns the tables from the compressed image in body.
func decodeTables(body []byte) (*table.Tables, error) {
	data, err := inflate(body)
	if err != nil {
		return nil, err
	}
	m := &image{}
	if err := imageDecMode.Unmarshal(data, m); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "decode snapshot: %v", err)
	}
	if !m.expandJobs() || !m.consistent() {
		return nil, fault.New(fault.Invalid, "snapshot at offset %d is inconsistent", m.Applied)
	}
	return m.tables(), nil
}
