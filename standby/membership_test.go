package standby

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
)

func member(host, zone string, size float64) Member {
	return Member{Host: host, Address: host + ":1", Zone: table.ZoneID(zone), Size: size}
}

func TestChooseStandbys(t *testing.T) {
	leader := member("a", "z1", 0.8)
	large := func(host, zone string) presence { return presence{Member: member(host, zone, 0.8)} }
	reading := func(a presence) presence {
		a.reads = true
		return a
	}
	small := presence{Member: member("s", "z4", 0.1), reads: true}
	unaddressed := large("h", "z5")
	unaddressed.Address = ""
	for name, c := range map[string]struct {
		present []presence
		before  []Member
		want    []string
	}{
		"nobody":                {nil, nil, []string{}},
		"the leader itself":     {[]presence{large("a", "z1")}, nil, []string{}},
		"no address":            {[]presence{unaddressed}, nil, []string{}},
		"few":                   {[]presence{small, large("b", "z1")}, nil, []string{"b", "s"}},
		"zones without one":     {[]presence{large("b", "z1"), large("c", "z2"), large("d", "z2"), large("e", "z3"), large("f", "z4")}, nil, []string{"c", "e", "f"}},
		"large before small":    {[]presence{small, large("b", "z1"), large("c", "z1"), large("d", "z1")}, nil, []string{"b", "c", "d"}},
		"those that read go on": {[]presence{reading(large("b", "z1")), reading(large("c", "z1")), reading(large("d", "z1")), large("e", "z2")}, nil, []string{"b", "c", "d"}},
		"chosen before":         {[]presence{reading(large("b", "z1")), reading(large("c", "z1")), large("d", "z1"), large("e", "z2")}, []Member{member("d", "z1", 0.8), member("e", "z2", 0.8), member("gone", "z3", 0.8)}, []string{"b", "d", "e"}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(hostNames(chooseStandbys(leader, c.present, c.before, standbys)), c.want)
		})
	}
}

// A new leader knows no members yet and hears from them one after the other. It must not replace the standbys
// of its predecessor by whichever members call first.
func TestStandbysStayWhileTheLeaderChanges(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	before := []Member{member("b", "z2", 0.8), member("c", "z3", 0.8)}
	r := newMembership(2, before, now)
	// A small host calls first and does not become a standby.
	is.Equal(r.recordHeartbeat(member("x", "z2", 0.1), false, now), false)
	is.Equal(r.recordHeartbeat(before[0], true, now), true)
	is.Equal(r.refresh(member("a", "z1", 0.8), now), false)
	is.Equal(r.recordHeartbeat(before[1], true, now.Add(time.Second)), true)
	is.Equal(r.recordHeartbeat(member("d", "z1", 0.8), false, now.Add(time.Second)), false)
	is.Equal(r.refresh(member("a", "z1", 0.8), now.Add(settleTime)), true)
	is.Equal(hostNames(r.standbys), []string{"b", "c", "d"})
	is.Equal(r.recordHeartbeat(member("x", "z2", 0.1), false, now.Add(settleTime)), false)
	is.Equal(r.recordHeartbeat(member("d", "z1", 0.8), false, now.Add(settleTime)), true)
}

func TestLostStandbyIsReplaced(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newMembership(1, nil, now)
	self := member("a", "z1", 0.8)
	for i := range 5 {
		r.recordHeartbeat(member(fmt.Sprint("m", i), "z1", 0.8), true, now)
	}
	is.True(r.refresh(self, now.Add(settleTime)))
	is.Equal(hostNames(r.standbys), []string{"m0", "m1", "m2"})
	later := now.Add(settleTime + maxMissedHeartbeats*heartbeatPeriod)
	for i := range 4 {
		r.recordHeartbeat(member(fmt.Sprint("m", i+1), "z1", 0.8), i < 2, later)
	}
	is.True(r.refresh(self, later))
	is.Equal(hostNames(r.standbys), []string{"m1", "m2", "m3"})
}

// With a thousand members at a fixed interval, heartbeats would overload the leader; the interval must grow
// with the number of members.
func TestHeartbeatLoadOnLeaderIsBounded(t *testing.T) {
	is := is.New(t)
	r := newMembership(1, nil, time.Now())
	for i := range 1000 {
		r.recordHeartbeat(member(fmt.Sprint(i), "z1", 0.1), false, time.Now())
	}
	calls := float64(len(r.members)) / r.interval().Seconds()
	is.True(calls <= 1/heartbeatSpacing.Seconds())
}
