package journal

import (
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Guards against a snapshot that loses part of a final job or task, and against a copy of tables that shares state
// which a later record changes.
func TestFinalJobsSurvive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: table.New(), second: table.New(), seqs: map[table.Incarnation]uint64{}}
		for _, r := range setupRecords() {
			m.send(rt, &Batch{Writer: "setup", Seq: m.next("setup"), Records: []Record{r}})
		}
		earlier := CloneTables(m.t)
		image := snapshotOf(rt, earlier)
		rt.Repeat(map[string]func(*rapid.T){
			"propose":  m.propose,
			"propose2": m.propose,
			"propose3": m.propose,
			"copy": func(rt *rapid.T) {
				earlier = CloneTables(m.t)
				image = snapshotOf(rt, earlier)
			},
			"load": func(rt *rapid.T) {
				chunks, err := EncodeSnapshot(m.t)
				is.New(rt).NoErr(err)
				loaded, err := DecodeSnapshot(chunks)
				is.New(rt).NoErr(err)
				if !reflect.DeepEqual(loaded.Jobs, m.t.Jobs) || !reflect.DeepEqual(loaded.Tasks, m.t.Tasks) {
					rt.Fatal("the loaded jobs or tasks differ")
				}
			},
			"": func(rt *rapid.T) {
				if string(snapshotOf(rt, earlier)) != string(image) {
					rt.Fatal("a record changed an earlier copy")
				}
			},
		})
	})
}

// Guards against final tasks that retain data no one reads, and against an invalid compact form that is accepted.
func TestFinalTasksAreSmall(t *testing.T) {
	is := is.New(t)
	f := newTestTables()
	f.apply(submit("a", 2, nil), grant("a/0", "w1", 5), grant("a/1", "w2", 5))
	token := f.off
	is.Equal(f.applyOne(end("a/0", token, LeaseStopped)), fault.None)
	is.Equal(string(f.t.Tasks["a/0"].Checkpoint), "c")
	failed := end("a/1", token, LeaseFailed)
	failed.LeaseEnded.Reason = strings.Repeat("é", maxReasonBytes)
	is.Equal(f.applyOne(failed), fault.None)
	is.Equal(f.applyOne(Record{JobCancelled: &JobCancelled{Job: "a"}}), fault.None)
	is.True(f.t.Tasks["a/0"].State.Final())
	is.True(f.t.Tasks["a/0"].Checkpoint == nil) // it was pending with a checkpoint when it was cancelled
	is.Equal(f.t.Tasks["a/1"].Reason, strings.Repeat("é", maxReasonBytes/2))

	m := newImage(f.t)
	is.Equal(len(m.Closed), 1)
	is.Equal(len(m.Tasks), 0)
	m.Closed[0].Tasks[0].State = len(closedTaskStates)
	data, err := encMode.Marshal(m)
	is.NoErr(err)
	body, err := deflate(data)
	is.NoErr(err)
	_, err = decodeTables(body)
	is.Equal(fault.Of(err), fault.Invalid)
}
