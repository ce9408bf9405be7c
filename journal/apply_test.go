package journal

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// folder folds records of one writer, one batch for each call.
type folder struct {
	t   *table.Tables
	off table.Offset
	seq uint64
}

func newFolder() *folder {
	f := &folder{t: table.New()}
	f.fold(
		Record{HostJoined: &HostJoined{Seat: "s1", Incarnation: "me"}},
		Record{WorkerSeen: &WorkerSeen{ID: "w1", Rack: "r1", Capacity: cpu(10)}},
		Record{WorkerSeen: &WorkerSeen{ID: "w2", Rack: "r2", Capacity: cpu(10)}},
		plan(0, Intent{Type: SetTeam, Team: &table.Team{ID: "t1", Quota: cpu(15), MaxJobs: 3}}),
		plan(0, Intent{Type: SetKind, Kind: &table.Kind{ID: "k1", Class: table.Batch}}),
		plan(0, Intent{Type: SetKind, Kind: &table.Kind{ID: "once", Class: table.Batch, NonIdempotent: true}}),
	)
	return f
}

func cpu(n table.Millicores) table.Resources {
	return table.Resources{CPU: n}
}

// plan names plans after their content, so that each is confirmed under its own id.
func plan(base table.Offset, in Intent) Record {
	data, _ := encMode.Marshal(in)
	id := table.PlanID(fmt.Sprintf("%d-%x", base, data))
	return Record{PlanConfirmed: &PlanConfirmed{ID: id, Intent: in, Base: base}}
}

func (f *folder) fold(rs ...Record) []fault.Kind {
	f.off++
	f.seq++
	return Apply(f.t, f.off, &Batch{Writer: "me", Seq: f.seq, Time: 1, Records: rs})
}

func (f *folder) one(r Record) fault.Kind {
	return f.fold(r)[0]
}

func submit(id table.JobID, n int, change func(*table.Job)) Record {
	j := table.Job{ID: id, Team: "t1", Kind: "k1", Need: cpu(5)}
	if change != nil {
		change(&j)
	}
	return Record{JobSubmitted: &JobSubmitted{Job: j, TaskCount: n, Digest: 1}}
}

func grant(task table.TaskID, w table.WorkerID, need table.Millicores) Record {
	return Record{LeaseGranted: &LeaseGranted{Task: task, Worker: w, Need: cpu(need)}}
}

func revoke(task table.TaskID, token table.Token) Record {
	return Record{LeaseRevoked: &LeaseRevoked{Task: task, Token: token, Reason: "test"}}
}

func end(task table.TaskID, token table.Token, o LeaseOutcome) Record {
	return Record{LeaseEnded: &LeaseEnded{Task: task, Token: token, Outcome: o, Checkpoint: []byte("c"), Result: []byte("r")}}
}

// Guards against a repeated batch, or one at an old offset, that takes effect again.
func TestRepeatsHaveNoEffect(t *testing.T) {
	is := is.New(t)
	f := newFolder()
	b := &Batch{Writer: "me", Seq: f.seq + 1, Records: []Record{submit("j", 1, nil)}}
	is.Equal(Apply(f.t, f.off+1, b), []fault.Kind{fault.None})
	is.Equal(Apply(f.t, f.off+2, b), []fault.Kind{fault.Conflict})
	is.Equal(f.t.Applied, f.off+2) // the offset moves on
	b.Seq++
	is.Equal(Apply(f.t, f.off+2, b), []fault.Kind{fault.Conflict})
	is.Equal(f.t.Applied, f.off+2)
	is.Equal(len(Apply(f.t, f.off+3, &Batch{})), 0) // an entry that could not be decoded
	is.Equal(f.t.Applied, f.off+3)
}

// Guards against two processes on a seat, and against claims of a lost process that stay Running.
func TestSeats(t *testing.T) {
	is := is.New(t)
	f := newFolder()
	key := table.ClaimKey{Team: "t1", Key: "a"}
	join := func(inc table.Incarnation) Record {
		return Record{HostJoined: &HostJoined{Seat: "s1", Incarnation: inc}}
	}
	made := Record{ClaimMade: &ClaimMade{Key: key, Kind: "k1", Digest: 1, Seat: "s1", Incarnation: "me"}}
	is.Equal(f.one(made), fault.None)
	joined := f.t.Hosts["s1"].Joined
	is.Equal(f.one(join("me")), fault.None)
	is.Equal(f.t.Hosts["s1"].Joined, joined) // a repeat does not move the offset that must pass
	is.Equal(f.one(Record{HostJoined: &HostJoined{Seat: "s2", Incarnation: "me"}}), fault.Conflict)
	is.Equal(f.one(join("new")), fault.None)
	is.Equal(f.t.Claims[key].State, table.ClaimUnknown)
	is.Equal(f.one(join("me")), fault.Stale)
	is.Equal(f.one(Record{HostLeft: &HostLeft{Seat: "s1", Incarnation: "me"}}), fault.Stale)
	is.Equal(f.one(Record{HostLeft: &HostLeft{Seat: "s1", Incarnation: "new"}}), fault.None)
	is.Equal(f.one(join("new")), fault.Stale)
	made.ClaimMade.Key.Key = "b"
	is.Equal(f.one(made), fault.Stale) // nobody would end the claim of a process that lost its seat
}

// Guards against a worker that holds more than it has, or that is given work when it must not be.
func TestWorkers(t *testing.T) {
	is := is.New(t)
	f := newFolder()
	seen := func(id table.InstanceID, n table.Millicores) Record {
		return Record{InstanceSeen: &InstanceSeen{Instance: table.Instance{ID: id, Worker: "w1", Need: cpu(n)}}}
	}
	is.Equal(f.one(seen("i1", 6)), fault.None)
	is.Equal(f.one(seen("i2", 5)), fault.Capacity)
	is.Equal(f.one(seen("i1", 11)), fault.Capacity)
	is.Equal(f.one(seen("i1", 10)), fault.None)
	is.Equal(f.t.Workers["w1"].Used, cpu(10))
	is.Equal(f.one(seen("i1", 2)), fault.None)
	is.Equal(f.one(submit("j", 3, nil)), fault.None)
	is.Equal(f.one(grant("j/0", "w1", 5)), fault.None)
	token := f.off
	is.Equal(f.one(grant("j/1", "w1", 5)), fault.Capacity)
	is.Equal(f.one(Record{WorkerSeen: &WorkerSeen{ID: "w1", Capacity: cpu(3)}}), fault.None)
	is.Equal(f.one(grant("j/1", "w1", 0)), fault.Capacity) // over its new capacity, so nothing fits
	is.Equal(f.one(seen("i1", 1)), fault.None)             // what shrinks fits
	is.Equal(f.one(Record{WorkerSeen: &WorkerSeen{ID: "w1", Capacity: cpu(-1)}}), fault.Invalid)
	is.Equal(f.one(Record{WorkerGone: &WorkerGone{ID: "w1"}}), fault.None)
	is.Equal(f.one(grant("j/1", "w1", 0)), fault.Conflict)
	is.Equal(f.one(Record{InstanceGone: &InstanceGone{ID: "i1"}}), fault.None)
	is.True(f.t.Workers["w1"] != nil) // a lease remains
	is.Equal(f.one(end("j/0", token, LeaseStopped)), fault.None)
	is.True(f.t.Workers["w1"] == nil)
	is.Equal(f.one(Record{WorkerQuarantined: &WorkerQuarantined{ID: "w2"}}), fault.None)
	is.Equal(f.one(grant("j/0", "w2", 5)), fault.Conflict)
	is.Equal(f.one(Record{WorkerReleased: &WorkerReleased{ID: "w2"}}), fault.None)
	is.Equal(f.one(plan(0, Intent{Type: SetDrain, Drain: &table.Drain{Rack: "r2"}})), fault.None)
	is.Equal(f.one(grant("j/0", "w2", 5)), fault.Conflict)
	is.Equal(f.one(Record{WorkerReleased: &WorkerReleased{ID: "w1"}}), fault.NotFound)
}

// Guards against jobs admitted against the rules and against a resubmission that runs twice.
func TestSubmissions(t *testing.T) {
	is := is.New(t)
	f := newFolder()
	is.Equal(f.one(submit("j", 1, func(j *table.Job) { j.Team = "x" })), fault.NotFound)
	is.Equal(f.one(submit("j", 1, func(j *table.Job) { j.Kind = "x" })), fault.Invalid)
	is.Equal(f.one(submit("j", 0, nil)), fault.Invalid)
	is.Equal(f.one(submit("j", 1, func(j *table.Job) { j.Need = cpu(-1) })), fault.Invalid)
	is.Equal(f.one(submit("j", 1, func(j *table.Job) { j.Need = cpu(1000) })), fault.None) // a larger worker may come
	is.Equal(f.one(submit("j", 1, nil)), fault.None)
	is.Equal(f.t.TeamJobs["t1"], 1)
	other := submit("j", 1, nil)
	other.JobSubmitted.Digest = 2
	is.Equal(f.one(other), fault.KeyReused)
	is.Equal(f.fold(submit("j2", 1, nil), submit("j3", 1, nil), submit("j4", 1, nil)),
		[]fault.Kind{fault.None, fault.None, fault.QuotaExceeded})
	is.Equal(f.one(plan(1, Intent{Type: RemoveTeam, Team: &table.Team{ID: "t1"}})), fault.Conflict)
	is.Equal(f.one(submit("j", 1, func(j *table.Job) { j.NonIdempotent = true })), fault.None)
}

// Guards against tasks that move on the wrong state or token, run twice, or are lost, for every outcome of a lease.
func TestLeaseOutcomes(t *testing.T) {
	const g, s, r, c = "grant", "start", "revoke", "cancel"
	cases := []struct {
		name     string
		kind     table.KindID
		attempts int
		steps    string
		outcome  LeaseOutcome
		want     fault.Kind
		state    table.TaskState
	}{
		{"Finished", "k1", 1, g + s, LeaseFinished, fault.None, table.TaskFinished},
		{"FinishedBeforeStartSeen", "k1", 1, g, LeaseFinished, fault.None, table.TaskFinished},
		{"FinishedThoughCancelled", "k1", 1, g + s + c, LeaseFinished, fault.None, table.TaskFinished},
		{"FailedAgain", "k1", 2, g + s, LeaseFailed, fault.None, table.TaskPending},
		{"FailedAtMost", "k1", 1, g + s, LeaseFailed, fault.None, table.TaskFailed},
		{"FailedForGood", "k1", 0, g + s, LeaseFailed, fault.None, table.TaskFailed},
		{"FailedOnce", "once", 5, g + s, LeaseFailed, fault.None, table.TaskFailed},
		{"FailedCancelled", "k1", 2, g + s + c, LeaseFailed, fault.None, table.TaskCancelled},
		{"Stopped", "once", 1, g + s + r, LeaseStopped, fault.None, table.TaskPending},
		{"StoppedCancelled", "once", 1, g + s + c, LeaseStopped, fault.None, table.TaskCancelled},
		{"NotStarted", "once", 1, g, LeaseNotStarted, fault.None, table.TaskPending},
		{"NotStartedCancelled", "k1", 1, g + c, LeaseNotStarted, fault.None, table.TaskCancelled},
		{"NotStartedButStarted", "k1", 1, g + s, LeaseNotStarted, fault.Conflict, table.TaskStarted},
		{"ExpiredTooEarly", "k1", 1, g + s, LeaseExpired, fault.Conflict, table.TaskStarted},
		{"Expired", "k1", 1, g + s + r, LeaseExpired, fault.None, table.TaskPending},
		{"ExpiredCancelled", "k1", 1, g + s + c, LeaseExpired, fault.None, table.TaskCancelled},
		{"ExpiredOnce", "once", 1, g + r, LeaseExpired, fault.None, table.TaskUnknown},
		{"ExpiredOnceCancelled", "once", 1, g + c, LeaseExpired, fault.None, table.TaskUnknown},
		{"Nonsense", "k1", 1, g + r, "Nonsense", fault.Invalid, table.TaskRevoking},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFolder()
			is.Equal(f.one(submit("j", 1, func(j *table.Job) { j.Kind, j.MaxAttempts = tc.kind, tc.attempts })), fault.None)
			is.Equal(f.one(grant("j/0", "w1", 5)), fault.None)
			token := f.off
			is.Equal(f.one(grant("j/0", "w2", 5)), fault.Conflict)
			if strings.Contains(tc.steps, s) {
				is.Equal(f.one(Record{LeaseStarted: &LeaseStarted{Task: "j/0", Token: token}}), fault.None)
			}
			if strings.Contains(tc.steps, r) {
				is.Equal(f.one(revoke("j/0", token)), fault.None)
				is.Equal(f.one(revoke("j/0", token)), fault.None)
				is.Equal(f.t.Tasks["j/0"].Lease.Revoked, f.off-1) // the first revocation counts
			}
			if strings.Contains(tc.steps, c) {
				is.Equal(f.one(Record{JobCancelled: &JobCancelled{Job: "j"}}), fault.None)
			}
			is.Equal(f.one(end("j/0", token+1, tc.outcome)), fault.Stale)
			is.Equal(f.one(end("j/0", token, tc.outcome)), tc.want)
			task := f.t.Tasks["j/0"]
			is.Equal(task.State, tc.state)
			is.Equal(task.State.Held(), f.t.Workers["w1"].Used == cpu(5))
			is.Equal(f.t.TeamUsed["t1"], f.t.Workers["w1"].Used)
			is.Equal(f.t.TeamJobs["t1"] == 0, task.State.Final())
			is.Equal(f.t.Jobs["j"].State.Final(), task.State.Final())
			if !task.State.Held() && task.State != table.TaskUnknown {
				is.Equal(f.one(end("j/0", token, tc.outcome)), fault.Stale)
			}
		})
	}
}

// Guards against an unknown task that runs again by itself, or that ignores its worker or the operator.
func TestUnknownTasks(t *testing.T) {
	is := is.New(t)
	for _, outcome := range []string{ResolveRerun, ResolveFinished, ResolveFailed, ResolveCancelled, "Heard"} {
		f := newFolder()
		f.fold(submit("j", 1, func(j *table.Job) { j.Kind = "once" }))
		f.fold(grant("j/0", "w1", 5))
		token := f.off
		f.fold(revoke("j/0", token))
		f.fold(end("j/0", token, LeaseExpired))
		is.Equal(f.t.Jobs["j"].State, table.JobUnknown)
		is.Equal(f.one(grant("j/0", "w2", 5)), fault.Conflict)
		if outcome == "Heard" {
			is.Equal(f.one(end("j/0", token, LeaseFinished)), fault.None)
			is.Equal(f.t.Tasks["j/0"].State, table.TaskFinished)
			is.Equal(f.t.Workers["w1"].Used, cpu(0))
			continue
		}
		in := Intent{Type: ResolveTask, Task: "j/0", Outcome: outcome}
		is.Equal(f.one(plan(token, in)), fault.Stale)
		is.Equal(f.one(plan(f.t.Tasks["j/0"].Changed, in)), fault.None)
		is.Equal(f.t.Tasks["j/0"].State.Final(), outcome != ResolveRerun)
		is.Equal(f.one(plan(f.t.Tasks["j/0"].Changed, in)), fault.Conflict)
	}
}

// Guards against two leases or claims under one token, which a batch that guesses its own offset could make.
func TestTokensAreUniqueWithinABatch(t *testing.T) {
	is := is.New(t)
	f := newFolder()
	f.fold(submit("j", 1, nil))
	is.Equal(f.fold(grant("j/0", "w1", 5), end("j/0", f.off+1, LeaseNotStarted), grant("j/0", "w1", 5)),
		[]fault.Kind{fault.None, fault.None, fault.Conflict})
	key := table.ClaimKey{Key: "a"}
	made := Record{ClaimMade: &ClaimMade{Key: key, Seat: "s1", Incarnation: "me"}}
	ended := Record{ClaimEnded: &ClaimEnded{Key: key, Made: f.off + 1, State: table.ClaimNotRun}}
	is.Equal(f.fold(made, ended, made), []fault.Kind{fault.None, fault.None, fault.Conflict})
}

// Guards against a cancellation that is refused when repeated, or that undoes an end.
func TestCancellations(t *testing.T) {
	is := is.New(t)
	f := newFolder()
	cancel := func(id table.JobID) Record { return Record{JobCancelled: &JobCancelled{Job: id}} }
	f.fold(submit("j", 2, nil), submit("done", 1, nil), grant("j/0", "w1", 5), grant("done/0", "w1", 5))
	token := f.off
	is.Equal(f.fold(cancel("j"), cancel("j"), cancel("none")), []fault.Kind{fault.None, fault.None, fault.NotFound})
	is.Equal(f.t.Jobs["j"].State, table.JobRunning)
	is.Equal(f.fold(end("j/0", token, LeaseStopped), end("done/0", token, LeaseFinished)), make([]fault.Kind, 2))
	is.Equal(f.fold(cancel("j"), cancel("done")), []fault.Kind{fault.None, fault.Conflict})
	is.Equal(f.t.Jobs["j"].State, table.JobCancelled)
	is.Equal(f.t.Jobs["done"].State, table.JobFinished)
}

// Guards against a gang that starts in part, and against grants beyond the quota.
func TestGangsAndQuota(t *testing.T) {
	is := is.New(t)
	f := newFolder()
	f.fold(submit("g", 3, func(j *table.Job) { j.Gang = true }), submit("j", 1, nil))
	all := func(kind fault.Kind, n int) []fault.Kind {
		kinds := make([]fault.Kind, n)
		for i := range kinds {
			kinds[i] = kind
		}
		return kinds
	}
	is.Equal(f.one(grant("g/0", "w1", 5)), fault.Conflict)
	before := mustEncode(t, f.t.Jobs["g"], f.t.Tasks["g/0"], f.t.Workers["w1"], f.t.TeamUsed)
	is.Equal(f.fold(grant("g/0", "w1", 5), grant("g/1", "w1", 5), grant("g/2", "w1", 5)), all(fault.Capacity, 3))
	is.Equal(f.fold(grant("g/0", "w1", 5), grant("g/1", "w1", 5), grant("g/2", "w2", 6)), all(fault.QuotaExceeded, 3))
	is.Equal(mustEncode(t, f.t.Jobs["g"], f.t.Tasks["g/0"], f.t.Workers["w1"], f.t.TeamUsed), before)
	kinds := f.fold(grant("g/0", "w1", 5), grant("g/0", "w1", 5), grant("g/1", "w1", 5), grant("g/2", "w2", 5))
	is.Equal(kinds, []fault.Kind{fault.None, fault.Conflict, fault.None, fault.None})
	is.Equal(f.one(grant("j/0", "w2", 1)), fault.QuotaExceeded)
	is.Equal(f.t.Jobs["g"].State, table.JobRunning)
}

func mustEncode(t *testing.T, vs ...any) []byte {
	t.Helper()
	data, err := encMode.Marshal(vs)
	is.New(t).NoErr(err)
	return data
}

// Guards against a key that is sent twice and against an answer that changes.
func TestClaims(t *testing.T) {
	is := is.New(t)
	f := newFolder()
	key := table.ClaimKey{Team: "t1", Key: "a"}
	made := func(digest uint64) Record {
		return Record{ClaimMade: &ClaimMade{Key: key, Kind: "k1", Digest: digest, Seat: "s1", Incarnation: "me"}}
	}
	ended := func(off table.Offset, s table.ClaimState) Record {
		return Record{ClaimEnded: &ClaimEnded{Key: key, Made: off, State: s, Status: 200}}
	}
	is.Equal(f.one(made(1)), fault.None)
	is.Equal(f.one(made(1)), fault.StillRunning)
	is.Equal(f.one(made(2)), fault.KeyReused)
	is.Equal(f.one(ended(f.off, table.ClaimDone)), fault.Stale)
	is.Equal(f.one(ended(2, table.ClaimRunning)), fault.Invalid)
	is.Equal(f.one(ended(2, table.ClaimNotRun)), fault.None)
	is.Equal(f.one(made(2)), fault.None)
	off := f.off
	is.Equal(f.one(ended(off, table.ClaimUnknown)), fault.None)
	is.Equal(f.one(made(2)), fault.Conflict)
	b := &Batch{Writer: "other", Seq: 1, Records: []Record{ended(off, table.ClaimDone)}}
	f.off++
	is.Equal(Apply(f.t, f.off, b)[0], fault.Conflict)
	is.Equal(f.one(ended(off, table.ClaimDone)), fault.None)
	is.Equal(f.one(ended(off, table.ClaimUnknown)), fault.Conflict)
	is.Equal(f.one(made(2)), fault.Conflict)
	is.Equal(f.one(Record{Expired: &Expired{Claims: off - 1}}), fault.None)
	is.Equal(f.t.Claims[key].State, table.ClaimDone)
	running := Record{ClaimMade: &ClaimMade{Key: table.ClaimKey{Key: "b"}, Seat: "s1", Incarnation: "me"}}
	is.Equal(f.one(running), fault.None)
	expired := Record{Expired: &Expired{Claims: f.off, Writers: f.off}}
	f.off++
	is.Equal(Apply(f.t, f.off, &Batch{Writer: "third", Seq: 1, Records: []Record{expired}})[0], fault.None)
	is.True(f.t.Claims[key] == nil)
	is.Equal(len(f.t.Claims), 1)         // the running one stays
	is.True(f.t.Writers["other"] == nil) // holds no seat
	is.True(f.t.Writers["me"] != nil)
}

// Guards against configuration that reverts: conflicting, repeated and stale plans, also after a removal.
func TestPlans(t *testing.T) {
	is := is.New(t)
	f := newFolder()
	limit := func(n int64) Intent { return Intent{Type: SetLimit, Limit: &table.Limit{ID: "l", Value: n}} }
	is.Equal(f.one(plan(0, limit(1))), fault.None)
	v1 := f.off
	is.Equal(f.one(plan(0, limit(2))), fault.Stale)
	is.Equal(f.one(plan(0, limit(1))), fault.None) // a repeat of the same plan
	is.Equal(f.t.Limits["l"].Changed, v1)
	in := limit(3)
	is.Equal(EntityVersion(f.t, &in), v1)
	is.Equal(f.one(plan(v1, limit(3))), fault.None)
	drain := func(kind IntentType) Intent { return Intent{Type: kind, Drain: &table.Drain{Worker: "w1"}} }
	is.Equal(f.one(plan(0, drain(RemoveDrain))), fault.NotFound)
	is.Equal(f.one(plan(0, drain(SetDrain))), fault.None)
	is.Equal(f.one(plan(f.off, drain(RemoveDrain))), fault.None)
	removed := f.off
	stale := plan(0, drain(SetDrain))
	stale.PlanConfirmed.ID = "stale"
	is.Equal(f.one(stale), fault.Stale) // a removed entity keeps its version
	is.Equal(f.one(plan(removed, drain(SetDrain))), fault.None)
	reused := plan(f.t.Limits["l"].Changed, limit(4))
	reused.PlanConfirmed.ID = "stale"
	is.Equal(f.one(reused), fault.None)
	reused.PlanConfirmed.Base = f.off
	is.Equal(f.one(reused), fault.Conflict) // another plan under the id of a confirmed one
	bad := []Intent{
		{},
		{Type: SetLimit},
		{Type: SetLimit, Limit: &table.Limit{ID: "l", Value: -1}},
		{Type: SetDrain, Drain: &table.Drain{}},
		{Type: SetKind, Kind: &table.Kind{ID: "k"}},
		{Type: SetKind, Kind: &table.Kind{ID: "k", Class: table.LatencyCritical}},
		{Type: SetTeam, Team: &table.Team{ID: "t", Weight: -1}},
		{Type: ResolveTask, Task: "x", Outcome: "y"},
		{Type: SetLimit, Limit: &table.Limit{ID: "l"}, Task: "x"},
	}
	for _, in := range bad {
		is.Equal(f.one(plan(0, in)), fault.Invalid)
	}
	is.Equal(f.one(plan(0, Intent{Type: ResolveTask, Task: "x", Outcome: ResolveRerun})), fault.NotFound)
}

// Guards against memory that grows with every removal, and against a stale plan once old versions were dropped.
func TestRemovedVersionsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFolder()
	for i := range maxRemoved + 10 {
		d := &table.Drain{Worker: table.WorkerID(rune(0x4e00 + i))}
		in := Intent{Type: SetDrain, Drain: d}
		is.Equal(f.one(plan(EntityVersion(f.t, &in), in)), fault.None)
		is.Equal(f.one(plan(f.off, Intent{Type: RemoveDrain, Drain: d})), fault.None)
	}
	chunks, err := EncodeSnapshot(f.t)
	is.NoErr(err)
	same, err := DecodeSnapshot(chunks)
	is.NoErr(err)
	is.Equal(same, f.t)
	is.Equal(len(f.t.Removed), maxRemoved)
	is.Equal(len(f.t.Plans), maxPlans)
	is.Equal(f.one(plan(0, Intent{Type: SetDrain, Drain: &table.Drain{Worker: table.WorkerID(rune(0x4e00))}})), fault.Stale)
}
