package standby

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/ledger"
	"persimmonpick/table"
)

// Member is an entry host that sends heartbeats to the leader.
type Member struct {
	Host    string
	Address string // host:port that other hosts call; empty for none
	Zone    table.ZoneID
	Size    float64 // cores available to the host; may be a fraction
}

// Parameters of the choice of standbys.
const (
	standbys = 3 // log readers besides the leader; two of them may fail at once
	// Time between heartbeats of a member; shorter than the time in which the loss of a leader is noticed.
	heartbeatPeriod = time.Second
	// Time between heartbeats of all members together, which bounds their cost for the leader.
	heartbeatSpacing    = 5 * time.Millisecond
	maxMissedHeartbeats = 3 // missed heartbeats before a member is considered lost
	// A new leader keeps the standbys until it has heard from the members for this long.
	settleTime = 2 * time.Second
)

// membership is the set of members known to a leader.
type membership struct {
	epoch    ledger.Epoch
	since    time.Time
	members  map[string]presence // by host
	standbys []Member
}

type presence struct {
	Member
	reads    bool // reads the log
	lastSeen time.Time
}

func newMembership(epoch ledger.Epoch, before []Member, now time.Time) *membership {
	return &membership{epoch: epoch, since: now, members: map[string]presence{}, standbys: before}
}

// recordHeartbeat records a heartbeat and reports whether the member is to read the log.
func (ms *membership) recordHeartbeat(m Member, reads bool, now time.Time) bool {
	ms.members[m.Host] = presence{m, reads, now}
	if now.Sub(ms.since) < settleTime {
		return reads
	}
	return slices.ContainsFunc(ms.standbys, func(s Member) bool { return s.Host == m.Host })
}

// interval returns the interval between heartbeats of a member.
func (ms *membership) interval() time.Duration {
	return max(heartbeatPeriod, time.Duration(len(ms.members))*heartbeatSpacing)
}

// refresh removes lost members and chooses the standbys; it reports whether they changed.
func (ms *membership) refresh(self Member, now time.Time) bool {
	if now.Sub(ms.since) < settleTime {
		return false
	}
	var present []presence
	for host, m := range ms.members {
		if now.Sub(m.lastSeen) > maxMissedHeartbeats*ms.interval() {
			delete(ms.members, host)
			continue
		}
		present = append(present, m)
	}
	chosen := chooseStandbys(self, present, ms.standbys, standbys)
	if slices.Equal(chosen, ms.standbys) {
		return false
	}
	ms.standbys = chosen
	return true
}

// chooseStandbys returns the log readers besides the leader. Larger hosts come first, since the next leader is
// one of them; among equals those that were chosen before, then those that already read the log, then those of
// zones with the fewest readers. At most count hosts are chosen, so that the read load of the log does not
// grow with the number of hosts.
func chooseStandbys(leader Member, present []presence, before []Member, count int) []Member {
	chosenBefore := func(a presence) bool { return slices.Contains(before, a.Member) }
	remaining := slices.DeleteFunc(slices.Clone(present), func(a presence) bool {
		return a.Address == "" || a.Host == leader.Host
	})
	zones := map[table.ZoneID]int{leader.Zone: 1}
	var chosen []Member
	for len(chosen) < count && len(remaining) > 0 {
		best := 0
		for i, a := range remaining[1:] {
			b := remaining[best]
			if cmp.Or(cmp.Compare(b.Size, a.Size), compareBool(chosenBefore(b), chosenBefore(a)), compareBool(b.reads, a.reads), cmp.Compare(zones[a.Zone], zones[b.Zone]),
				cmp.Compare(a.Host, b.Host)) < 0 {
				best = i + 1
			}
		}
		chosen = append(chosen, remaining[best].Member)
		zones[remaining[best].Zone]++
		remaining = slices.Delete(remaining, best, best+1)
	}
	slices.SortFunc(chosen, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return chosen
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
