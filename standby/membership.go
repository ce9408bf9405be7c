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
	Size    float64 // share of a core
}

// The choice of standbys.
const (
	standbys            = 3                    // hosts that read the log beside the leader; two of them may be lost at once
	heartbeatPeriod     = time.Second          // between the calls of a member; a record of the leader is missed later than that
	heartbeatSpacing    = 5 * time.Millisecond // between the calls of all members, which bounds what they cost the leader
	maxMissedHeartbeats = 3                    // calls missed before a member counts as gone
	settleTime          = 2 * time.Second      // a new leader changes nothing before it has heard of the members
)

// membership is the list of members that a leader keeps.
type membership struct {
	epoch    ledger.Epoch
	since    time.Time
	members  map[string]presence // by host
	standbys []Member
}

type presence struct {
	Member
	reads    bool // the log
	lastSeen time.Time
}

func newMembership(epoch ledger.Epoch, before []Member, now time.Time) *membership {
	return &membership{epoch: epoch, since: now, members: map[string]presence{}, standbys: before}
}

// recordHeartbeat notes a member and says whether it is to read the log.
func (ms *membership) recordHeartbeat(m Member, reads bool, now time.Time) bool {
	ms.members[m.Host] = presence{m, reads, now}
	if now.Sub(ms.since) < settleTime {
		return reads
	}
	return slices.ContainsFunc(ms.standbys, func(s Member) bool { return s.Host == m.Host })
}

// interval returns how often members send heartbeats.
func (ms *membership) interval() time.Duration {
	return max(heartbeatPeriod, time.Duration(len(ms.members))*heartbeatSpacing)
}

// refresh drops the members that are gone and chooses the standbys; it says whether they changed.
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

// chooseStandbys returns the hosts that read the log beside the leader: the largest, since the next leader is one of them; among equals those that were chosen before, then those that read it already, then those of zones without one. It answers the load of reads at the log, which must not grow with the number of hosts.
func chooseStandbys(leader Member, present []presence, before []Member, most int) []Member {
	again := func(a presence) bool { return slices.Contains(before, a.Member) }
	left := slices.DeleteFunc(slices.Clone(present), func(a presence) bool {
		return a.Address == "" || a.Host == leader.Host
	})
	zones := map[table.ZoneID]int{leader.Zone: 1}
	var chosen []Member
	for len(chosen) < most && len(left) > 0 {
		best := 0
		for i, a := range left[1:] {
			b := left[best]
			if cmp.Or(cmp.Compare(b.Size, a.Size), compareBool(again(b), again(a)), compareBool(b.reads, a.reads), cmp.Compare(zones[a.Zone], zones[b.Zone]),
				cmp.Compare(a.Host, b.Host)) < 0 {
				best = i + 1
			}
		}
		chosen = append(chosen, left[best].Member)
		zones[left[best].Zone]++
		left = slices.Delete(left, best, best+1)
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
