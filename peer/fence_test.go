package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
)

const grace = 30 * time.Second

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	seats = []table.SeatID{"a", "b", "c", "d", "e"}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func newFence(joined ...table.SeatID) *Fence {
	f := NewFence(FenceConfig{Seat: "a", Seats: seats, LogGrace: grace})
	hosts := map[table.SeatID]*table.EntryHost{}
	for _, id := range joined {
		hosts[id] = &table.EntryHost{Seat: id, Incarnation: table.Incarnation(id + "1")}
	}
	f.SetHosts(hosts, start, false)
	return f
}

func report(id table.SeatID, off table.Offset) Heartbeat {
	return Heartbeat{Seat: id, Incarnation: table.Incarnation(id + "1"), Applied: off}
}

// Guards against a host that acts on old tables after a pause.
func TestCurrentEndsAfterGrace(t *testing.T) {
	is := is.New(t)
	f := newFence(seats...)
	is.True(!f.Current(start)) // the log has not been read
	f.Advance(10, start, start)
	is.True(f.Current(at(grace)))
	is.True(!f.Current(at(grace + 1)))
}

// Guards against leases and slots that expire during an outage of the log although a majority of hosts is connected.
func TestCurrentByMajorityDuringOutage(t *testing.T) {
	is := is.New(t)
	f := newFence(seats...)
	f.Advance(10, start, start)
	now := at(10 * time.Minute)
	f.RecordReply(report("b", 10), now, now)
	f.RecordReply(report("c", 9), now, now)
	is.True(!f.Current(now)) // two of five; the own seat does not count
	f.RecordReply(report("d", 11), now, now)
	is.True(!f.Current(now)) // d has applied a higher offset
	f.RecordReply(report("e", 10), now, now)
	is.True(f.Current(now))
	is.True(!f.Current(now.Add(grace + 1)))
}

// Guards against counting a heartbeat that a peer sent as a reply to one of this host: it does not tell when the
// peer read the log.
func TestReceivedHeartbeatDoesNotMakeCurrent(t *testing.T) {
	is := is.New(t)
	f := newFence(seats...)
	f.Advance(10, time.Time{}, start)
	for _, id := range seats[1:] {
		f.RecordHeartbeat(report(id, 10), start)
	}
	is.True(!f.Current(start))
}

// Guards against reassigning a lease while a silent host may still renew it.
func TestPassedNeedsAllOrMajorityAndGrace(t *testing.T) {
	is := is.New(t)
	f := newFence(seats...)
	f.Advance(10, start, start)
	for _, id := range seats[1:4] {
		f.RecordHeartbeat(report(id, 10), start)
	}
	is.True(!f.Passed(10, at(grace)))   // e is silent
	is.True(f.Passed(10, at(grace+1)))  // majority and grace
	is.True(!f.Passed(11, at(grace+1))) // not applied here
	f.RecordHeartbeat(report("e", 10), at(time.Second))
	is.True(f.Passed(10, at(time.Second)))
}

// Guards against a partitioned minority that reassigns the leases of hosts it cannot reach.
func TestMinorityNeverPassed(t *testing.T) {
	is := is.New(t)
	f := newFence(seats...)
	f.Advance(10, start, start)
	f.RecordHeartbeat(report("b", 10), start)
	is.True(!f.Passed(10, at(time.Hour)))
}

// Guards against a replaced process that was only frozen and resumes within its grace period.
func TestReplacedProcessDelaysPassed(t *testing.T) {
	is := is.New(t)
	f := newFence("a", "b")
	f.Advance(10, start, start)
	f.RecordHeartbeat(report("b", 10), start)
	is.True(f.Passed(10, start)) // c, d and e never joined
	f.SetHosts(map[table.SeatID]*table.EntryHost{"b": {Seat: "b", Incarnation: "b2"}}, start, false)
	f.Advance(11, start, start)
	f.RecordHeartbeat(Heartbeat{Seat: "b", Incarnation: "b2", Applied: 11}, start)
	is.True(!f.Passed(11, at(grace)))
	is.True(f.Passed(11, at(grace+1)))
}

// Guards against waiting for a host that left after it gave up all leases.
func TestLeftHostIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	f := newFence("a", "b")
	f.SetHosts(map[table.SeatID]*table.EntryHost{"b": {Seat: "b", Incarnation: "b1", Left: true}}, start, false)
	f.Advance(10, start, start)
	is.True(f.Passed(10, start))
}

// Guards against a host that starts from a snapshot and waits LogGrace for seats whose processes left in order, or
// that does not wait for a process that was replaced without having left.
func TestSnapshotTellsDisplacedProcesses(t *testing.T) {
	is := is.New(t)
	for _, displaced := range []bool{false, true} {
		f := NewFence(FenceConfig{Seat: "a", Seats: seats, LogGrace: grace})
		f.SetHosts(map[table.SeatID]*table.EntryHost{"b": {Seat: "b", Incarnation: "b1", Displaced: displaced}}, start, true)
		f.Advance(10, start, start)
		f.RecordHeartbeat(report("b", 10), start)
		is.Equal(f.Passed(10, start), !displaced)
	}
}
