package journal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// largeTables returns tables whose snapshot takes several chunks.
func largeTables(t *testing.T, jobs int) *table.Tables {
	t.Helper()
	f := newTestTables()
	rng := rand.New(rand.NewPCG(1, 1))
	random := make([]byte, 1000) // does not compress
	f.apply(plan(1, Intent{Type: SetTeam, Team: &table.Team{ID: "t1", Quota: cpu(15)}}))
	for i := range jobs {
		for k := range random {
			random[k] = byte(rng.Uint32())
		}
		f.apply(submit(table.JobID(fmt.Sprint(i)), 1, func(j *table.Job) { j.Payload = slices.Clone(random) }))
	}
	f.apply(grant("0/0", "w1", 5), Record{ClaimMade: &ClaimMade{Key: table.ClaimKey{Key: "k"}, Seat: "s1", Incarnation: "me"}})
	return f.t
}

// Guards against damaged, missing, duplicate or mixed chunks that yield a wrong snapshot or hide a complete one.
func TestAssembler(t *testing.T) {
	is := is.New(t)
	old := largeTables(t, 1200)
	chunks, err := EncodeSnapshot(old)
	is.NoErr(err)
	is.True(len(chunks) > 2)
	newer := CloneTables(old)
	Apply(newer, newer.Applied+1, &Batch{})
	newerChunks, err := EncodeSnapshot(newer)
	is.NoErr(err)

	a := NewAssembler()
	for i := range chunks {
		for bit := i; bit < 8*40; bit += 5 { // the header of a chunk and some of its data
			damaged := slices.Clone(chunks[i])
			damaged[bit/8] ^= 1 << (bit % 8)
			is.True(a.Add(damaged) != nil)
		}
		is.Equal(fault.Of(a.Add(chunks[i][:len(chunks[i])/2])), fault.Invalid)
	}
	is.True(a.Newest() == nil)

	rng := rand.New(rand.NewPCG(1, 2))
	mixed := slices.Concat(chunks, chunks[1:], newerChunks[:len(newerChunks)-1])
	rng.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
	for _, c := range mixed {
		is.NoErr(a.Add(c))
	}
	is.Equal(snapshotOf(t, a.Newest()), snapshotOf(t, old)) // the newer one lacks a chunk
	is.NoErr(a.Add(newerChunks[len(newerChunks)-1]))
	is.Equal(a.Newest().Applied, newer.Applied)
	for _, c := range chunks {
		is.NoErr(a.Add(c))
	}
	is.Equal(a.Newest().Applied, newer.Applied) // an older one does not replace it
}

// Guards against memory that grows with incomplete snapshots.
func TestAssemblerIsBounded(t *testing.T) {
	is := is.New(t)
	a := NewAssembler()
	for off := range 20 {
		chunks, err := splitChunks(table.Offset(off+1), make([]byte, chunkSize+1))
		is.NoErr(err)
		is.NoErr(a.Add(chunks[0]))
	}
	is.Equal(len(a.partials), maxPartialSnapshots)
}

// Writers that stopped midway leave newer snapshots that never become complete. An older one that is still being
// written must be assembled beside them, whether it began before or after.
func TestIncompleteSnapshotsDoNotKeepAnOlderOneFromBeingAssembled(t *testing.T) {
	is := is.New(t)
	old := largeTables(t, 2000)
	chunks, err := EncodeSnapshot(old)
	is.NoErr(err)
	is.True(len(chunks) > 1)
	incomplete := func(a *Assembler) {
		for n := range maxPartialSnapshots + 1 {
			newer, err := splitChunks(old.Applied+table.Offset(n+1), make([]byte, chunkSize+1))
			is.NoErr(err)
			is.NoErr(a.Add(newer[0]))
		}
	}
	after, between := NewAssembler(), NewAssembler()
	incomplete(after)
	for _, c := range chunks {
		is.NoErr(after.Add(c))
	}
	is.True(after.Newest() != nil)
	is.NoErr(between.Add(chunks[0]))
	for n, c := range chunks[1:] {
		newer, err := splitChunks(old.Applied+table.Offset(n+1), make([]byte, chunkSize+1))
		is.NoErr(err)
		is.NoErr(between.Add(newer[0]))
		is.NoErr(between.Add(c))
	}
	is.True(between.Newest() != nil)
}

// Guards against a snapshot with valid checksums whose entities would crash Apply.
func TestSnapshotOfBrokenTables(t *testing.T) {
	sound, err := EncodeSnapshot(largeTables(t, 2))
	is.New(t).NoErr(err)
	_, err = DecodeSnapshot(sound)
	is.New(t).NoErr(err)
	body, err := deflate(snapshotOf(t, largeTables(t, 2)))
	is.New(t).NoErr(err)
	moved, err := splitChunks(1, body) // tables under the wrong offset
	is.New(t).NoErr(err)
	_, err = DecodeSnapshot(moved)
	is.New(t).Equal(fault.Of(err), fault.Invalid)
	_, err = DecodeSnapshot(nil)
	is.New(t).Equal(fault.Of(err), fault.Invalid)
	breakages := map[string]func(*table.Tables){
		"MissingTask": func(t *table.Tables) { delete(t.Tasks, "0/0") },
		"MissingJob":  func(t *table.Tables) { delete(t.Jobs, "0") },
		"NilWorker":   func(t *table.Tables) { t.Workers["w1"] = nil; t.Workers = map[table.WorkerID]*table.Worker{"w1": nil} },
	}
	for name, damage := range breakages {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tables := largeTables(t, 2)
			damage(tables)
			chunks, err := EncodeSnapshot(tables)
			is.NoErr(err)
			a := NewAssembler()
			is.Equal(fault.Of(a.Add(chunks[0])), fault.Invalid)
			is.True(a.Newest() == nil)
		})
	}
}

// Guards against a copy that later calls of Apply change.
func TestCloneIsIndependent(t *testing.T) {
	is := is.New(t)
	tables := largeTables(t, 3)
	before := snapshotOf(t, tables)
	c := CloneTables(tables)
	is.Equal(c, tables)
	Apply(tables, tables.Applied+1, &Batch{Writer: "x", Seq: 1, Records: []Record{
		{JobCancelled: &JobCancelled{Job: "0"}},
		{JobCancelled: &JobCancelled{Job: "1"}},
		{HostLeft: &HostLeft{Seat: "s1", Incarnation: "me"}},
		{WorkerGone: &WorkerGone{ID: "w1"}},
		{WorkerGone: &WorkerGone{ID: "w2"}},
		{Expired: &Expired{Jobs: tables.Applied}},
	}})
	is.Equal(snapshotOf(t, c), before)
}

// Guards against a snapshot that fails because the log is briefly overloaded.
func TestWriteSnapshotTriesAgain(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		l.script = []reply{replyBusy, replyOK, replyLost, replyDown}
		want := largeTables(t, 1200)
		is.NoErr(WriteSnapshot(ctx, l.log(), want))
		a := NewAssembler()
		for _, e := range l.streams[SnapshotStream] {
			is.NoErr(a.Add(e.Data))
		}
		is.Equal(snapshotOf(t, a.Newest()), snapshotOf(t, want))
		l.script = []reply{replyDown, replyDown, replyDown, replyDown, replyDown}
		is.Equal(fault.Of(WriteSnapshot(ctx, l.log(), want)), fault.LogUnavailable)
	})
}
