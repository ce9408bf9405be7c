package journal

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// model drives random batches of several writers into a log and folds them on three hosts: one that reads on, one
// that starts from snapshots now and then, and one that folds the whole log at the end.
type model struct {
	t      *table.Tables
	second *table.Tables
	log    []Entry
	seqs   map[table.Incarnation]uint64
	sent   []*Batch
	before *table.Tables // before the newest batch
}

// Guards against any interleaving of proposers, lost replies, repeats and snapshots that breaks an invariant, or that
// two hosts fold differently.
func TestFoldInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: table.New(), second: table.New(), seqs: map[table.Incarnation]uint64{}}
		for _, r := range opening() {
			m.send(rt, &Batch{Writer: "setup", Seq: m.next("setup"), Records: []Record{r}})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"propose":  m.propose,
			"propose2": m.propose,
			"propose3": m.propose,
			"repeat":   m.repeat,
			"snapshot": m.snapshot,
			"garbage":  func(rt *rapid.T) { m.append(rt, &Batch{}) },
			"":         m.check,
		})
		third := table.New()
		for _, e := range m.log {
			Apply(third, e.Offset, e.Batch)
		}
		want := snapshotOf(rt, m.t)
		if string(snapshotOf(rt, third)) != string(want) || string(snapshotOf(rt, m.second)) != string(want) {
			rt.Fatal("hosts differ")
		}
	})
}

func opening() []Record {
	once := &table.Kind{ID: "once", Class: table.Batch, NonIdempotent: true}
	return []Record{
		plan(0, Intent{Type: SetTeam, Team: &table.Team{ID: "t0", Quota: cpu(16), MaxJobs: 6}}),
		plan(0, Intent{Type: SetTeam, Team: &table.Team{ID: "t1", Quota: cpu(8)}}),
		plan(0, Intent{Type: SetKind, Kind: &table.Kind{ID: "any", Class: table.Batch}}),
		plan(0, Intent{Type: SetKind, Kind: once}),
		{WorkerSeen: &WorkerSeen{ID: "w0", Capacity: cpu(10)}},
		{WorkerSeen: &WorkerSeen{ID: "w1", Capacity: cpu(7)}},
	}
}

func (m *model) next(w table.Incarnation) uint64 {
	m.seqs[w]++
	return m.seqs[w]
}

func pick(rt *rapid.T, prefix string, n int) string {
	return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, n-1).Draw(rt, prefix))
}

func (m *model) propose(rt *rapid.T) {
	writer := table.Incarnation(pick(rt, "p", 3))
	n := rapid.IntRange(1, 3).Draw(rt, "records")
	b := &Batch{Writer: writer, Seq: m.next(writer)}
	for range n {
		rs := m.record(rt)
		// A job that is forgotten and submitted again in one batch would look like a final job that changed.
		if len(rs) == 1 && rs[0].Expired != nil {
			b.Records = rs
			break
		}
		b.Records = append(b.Records, rs...)
	}
	m.send(rt, b)
}

// repeat appends again a batch whose reply was lost, as long as its writer is remembered.
func (m *model) repeat(rt *rapid.T) {
	b := m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(rt, "batch")]
	if m.t.Writers[b.Writer] == nil {
		return
	}
	m.append(rt, b)
	if string(snapshotOf(rt, m.before)) != string(snapshotOf(rt, m.t)) {
		rt.Fatal("a repeated batch had an effect")
	}
}

func (m *model) snapshot(rt *rapid.T) {
	a := NewAssembler()
	chunks, err := EncodeSnapshot(m.t)
	is.New(rt).NoErr(err)
	for _, c := range chunks {
		is.New(rt).NoErr(a.Add(c))
	}
	m.second = a.Newest()
}

func (m *model) send(rt *rapid.T, b *Batch) {
	m.sent = append(m.sent, b)
	kinds := m.append(rt, b)
	for i, r := range b.Records {
		if r.LeaseEnded != nil && kinds[i] == fault.None && !m.before.Tasks[r.LeaseEnded.Task].State.Held() &&
			m.before.Tasks[r.LeaseEnded.Task].State != table.TaskUnknown {
			rt.Fatalf("lease of %s ended twice", r.LeaseEnded.Task)
		}
	}
}

func (m *model) append(rt *rapid.T, b *Batch) []fault.Kind {
	m.before = CloneTables(m.t)
	m.before.Applied++
	off := m.t.Applied + 1
	data, err := Encode(b)
	is.New(rt).NoErr(err)
	decoded, err := Decode(data)
	is.New(rt).NoErr(err)
	m.log = append(m.log, Entry{off, decoded})
	kinds := Apply(m.t, off, decoded)
	if other := Apply(m.second, off, decoded); fmt.Sprint(kinds) != fmt.Sprint(other) {
		rt.Fatalf("hosts decide differently: %v and %v", kinds, other)
	}
	return kinds
}

// record returns the records of one random proposal, most of them such that they may take effect.
func (m *model) record(rt *rapid.T) []Record {
	job := table.JobID(pick(rt, "j", 8))
	task := m.task(rt, job)
	w := table.WorkerID(pick(rt, "w", 3))
	n := table.Millicores(rapid.IntRange(0, 6).Draw(rt, "n"))
	token := m.token(rt, task)
	switch rapid.IntRange(0, 17).Draw(rt, "type") {
	case 0, 1:
		kind := rapid.SampledFrom([]table.KindID{"any", "once"}).Draw(rt, "kind")
		j := table.Job{ID: job, Team: table.TeamID(pick(rt, "t", 2)), Kind: kind, Gang: n > 4, MaxAttempts: 2}
		return []Record{{JobSubmitted: &JobSubmitted{Job: j, TaskCount: rapid.IntRange(1, 3).Draw(rt, "tasks")}}}
	case 2:
		return []Record{{JobCancelled: &JobCancelled{Job: job}}}
	case 3, 4, 5:
		return []Record{grant(task, w, n)}
	case 6:
		return m.gang(rt, job, n)
	case 7:
		return []Record{{LeaseStarted: &LeaseStarted{Task: task, Token: token}}}
	case 8, 9:
		return []Record{revoke(task, token)}
	case 10, 11, 12:
		outcomes := []LeaseOutcome{LeaseFinished, LeaseFailed, LeaseStopped, LeaseNotStarted, LeaseExpired}
		return []Record{end(task, token, rapid.SampledFrom(outcomes).Draw(rt, "outcome"))}
	case 13:
		return []Record{{WorkerSeen: &WorkerSeen{ID: w, Capacity: cpu(n * 2), Leaving: n == 6}}}
	case 14:
		return []Record{{WorkerGone: &WorkerGone{ID: w}}}
	case 15:
		if n == 0 {
			return []Record{{InstanceGone: &InstanceGone{ID: "i0"}}}
		}
		in := table.Instance{ID: table.InstanceID(pick(rt, "i", 2)), Worker: w, Need: cpu(n)}
		return []Record{{InstanceSeen: &InstanceSeen{Instance: in}}}
	case 16:
		return m.rare(rt, task, n)
	default:
		return m.claim(rt)
	}
}

func (m *model) task(rt *rapid.T, job table.JobID) table.TaskID {
	return table.TaskID(fmt.Sprintf("%s/%d", job, rapid.IntRange(0, 2).Draw(rt, "task")))
}

// token returns the token of task, or now and then another.
func (m *model) token(rt *rapid.T, id table.TaskID) table.Token {
	task := m.t.Tasks[id]
	if task == nil || rapid.IntRange(0, 9).Draw(rt, "stale") == 0 {
		return table.Token(rapid.Uint64Range(0, uint64(m.t.Applied)).Draw(rt, "token"))
	}
	return task.LastToken
}

func (m *model) gang(rt *rapid.T, id table.JobID, n table.Millicores) []Record {
	var rs []Record
	if j := m.t.Jobs[id]; j != nil {
		for _, task := range j.Tasks {
			rs = append(rs, grant(task, table.WorkerID(pick(rt, "w", 2)), n/2))
		}
	}
	return rs
}

func (m *model) rare(rt *rapid.T, task table.TaskID, n table.Millicores) []Record {
	in := Intent{Type: SetTeam, Team: &table.Team{ID: "t1", Quota: cpu(n * 2)}}
	switch n {
	case 0, 1:
		for _, id := range table.SortedTasks(m.t) {
			if m.t.Tasks[id].State == table.TaskUnknown {
				task = id
			}
		}
		in = Intent{Type: ResolveTask, Task: task, Outcome: rapid.SampledFrom([]string{ResolveRerun, ResolveFailed}).Draw(rt, "r")}
	case 2:
		in = Intent{Type: RemoveTeam, Team: &table.Team{ID: "t1"}}
	case 3:
		return []Record{{Expired: &Expired{Jobs: m.t.Applied / 2, Claims: m.t.Applied / 2, Writers: m.t.Applied / 4}}}
	}
	p := plan(EntityVersion(m.t, &in), in)
	p.PlanConfirmed.ID += table.PlanID(fmt.Sprint(m.t.Applied))
	return []Record{p}
}

func (m *model) claim(rt *rapid.T) []Record {
	seat := table.SeatID(pick(rt, "s", 2))
	inc := table.Incarnation(pick(rt, "p", 3))
	key := table.ClaimKey{Team: "t0", Key: pick(rt, "key", 3)}
	state := rapid.SampledFrom([]table.ClaimState{table.ClaimDone, table.ClaimUnknown, table.ClaimNotRun}).Draw(rt, "state")
	var made table.Offset
	if c := m.t.Claims[key]; c != nil {
		made = c.Made
	}
	choices := [][]Record{
		{{HostJoined: &HostJoined{Seat: seat, Incarnation: inc}}},
		{{ClaimMade: &ClaimMade{Key: key, Seat: seat, Incarnation: inc}}},
		{{ClaimEnded: &ClaimEnded{Key: key, Made: made, State: state}}},
	}
	return choices[rapid.IntRange(0, len(choices)-1).Draw(rt, "claim")]
}

func snapshotOf(rt is.T, t *table.Tables) []byte {
	data, err := encMode.Marshal(newImage(t))
	is.New(rt).NoErr(err)
	return data
}
