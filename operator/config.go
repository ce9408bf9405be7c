package operator

import (
	"context"
	"net/http"
	"time"

	"persimmonpick/burn"
	"persimmonpick/journal"
	"persimmonpick/table"
)

// Config holds the dependencies of the operators' HTTP API on the entry host.
type Config struct {
	// Propose appends records to the log and returns once this host has applied them.
	Propose func(ctx context.Context, records []journal.Record) (journal.Result, error)
	// ReadTables runs read on the control goroutine; if it returns an error, read has not run and never will.
	ReadTables func(ctx context.Context, read func(*table.Tables)) error
	// CountApplied counts the entry hosts that have joined and not left, and those of them that applied the log up to
	// off.
	CountApplied func(ctx context.Context, off table.Offset) (applied, total int)
	Hosts        func() []HostStatus
	Report       func() burn.Report
	Identity     func(r *http.Request) string // returns the operator who sent r; "" rejects the request
	// Unplaceable returns why no worker can run a job, or "". It is called on the control goroutine and may be nil.
	Unplaceable func(table.JobID) string
	Metrics     http.Handler // serves /metrics; nil disables the path
}

// States of a seat as seen by the reporting entry host.
const (
	HostLive   = "Live"   // answers heartbeats and is not stopping
	HostSilent = "Silent" // joined, but does not answer heartbeats or is stopping
	HostLeft   = "Left"   // shut down cleanly
	HostAbsent = "Absent" // never joined
)

// HostStatus describes one seat as seen by the reporting entry host.
type HostStatus struct {
	Seat        table.SeatID
	Zone        table.ZoneID
	Incarnation table.Incarnation
	Address     string
	State       string
	Self        bool // this is the reporting host
	Proposer    bool // it proposes task placements
	Current     bool // its tables are current enough to act on; set for the reporting host only
	Applied     table.Offset
	HeardMillis table.Millis // time since its last answer
	InFlight    int          // requests being served
}

const (
	maxBodyBytes = 256 << 10 // a plan lists at most a few hundred short lines

	// requestTimeout bounds the handling of one operator request, including the wait for the log.
	requestTimeout = 20 * time.Second
	// applyTimeout bounds the wait for other entry hosts to apply a confirmed plan.
	applyTimeout    = 3 * time.Second
	applyPollPeriod = 50 * time.Millisecond

	readTimeout    = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// CertificateName returns the common name of the verified client certificate of r, or "" if there is none.
func CertificateName(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return ""
	}
	return r.TLS.PeerCertificates[0].Subject.CommonName
}

// PlainName returns the operator name recorded for every request on a listener without TLS, where clients have none.
func PlainName(*http.Request) string {
	return "plain"
}
