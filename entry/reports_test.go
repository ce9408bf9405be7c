package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/peer"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// Guards against worker reports that peers never get because they ask for those after the last number of a previous
// process.
func TestPeersGetAllReportsOfARestartedHost(t *testing.T) {
	is := is.New(t)
	start := func(inc table.Incarnation, reports int) *Host {
		h := &Host{incarnation: inc}
		for range reports {
			h.reports.add(provider.Report{Taken: time.Unix(1, 0)})
		}
		return h
	}
	reply := start("e1-old", 3).handleReports(peer.ReportsArgs{})
	is.Equal(len(reply.Reports), 3)
	h := start("e1-new", 5)
	next := func() peer.ReportsArgs { return peer.ReportsArgs{From: reply.Next, Incarnation: reply.Incarnation} }
	reply = h.handleReports(next())
	is.Equal(len(reply.Reports), 5)
	reply = h.handleReports(next())
	is.Equal(len(reply.Reports), 0)
	h.reports.add(provider.Report{Taken: time.Unix(2, 0)})
	is.Equal(len(h.handleReports(next()).Reports), 1)
}

// Only the newest reports are retained.
func TestOldReportsAreDropped(t *testing.T) {
	is := is.New(t)
	var r reportBuffer
	for range maxBufferedReports + 1 {
		r.add(provider.Report{Taken: time.Unix(1, 0)})
	}
	list, next := r.since(0)
	is.Equal(len(list), maxBufferedReports/2)
	is.Equal(next, uint64(maxBufferedReports+1))
	list, _ = r.since(next - 3)
	is.Equal(len(list), 3)
}
