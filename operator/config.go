package operator

import (
	"context"
	"net/http"
	"time"

	"persimmonpick/burn"
	"persimmonpick/journal"
	"persimmonpick/table"
)

// Config holds what the operators' interface needs from the entry host.
type Config struct {
	Propose   func(ctx context.Context, records []journal.Record) (journal.Result, error) // returns when the batch has been applied
	ReadTables      func(ctx context.Context, read func(*table.Tables)) error                   // runs read on the control goroutine; after an error read never runs
	CountApplied   func(ctx context.Context, off table.Offset) (have, want int)                // entry hosts that applied off
	Hosts     func() []HostStatus
	Report    func() burn.Report
	Identity  func(r *http.Request) string // operator who sent r; "" refuses the request
	NeverFits func(table.JobID) string     // why a job can run nowhere, or ""; called by Look's function; may be nil
	Metrics   http.Handler                 // serves /metrics; nil serves none
}

// The states of a seat as an entry host sees it.
const (
	HostLive   = "Live"   // answers heartbeats
	HostSilent = "Silent" // joined, but does not answer
	HostLeft   = "Left"   // stopped as planned
	HostAbsent = "Absent" // never joined
)

// HostStatus is what one entry host knows about a seat.
type HostStatus struct {
	Seat        table.SeatID
	Zone        table.ZoneID
	Incarnation table.Incarnation
	Address     string
	State       string
	Self        bool // the host that answers
	Proposer    bool // it proposes placements
	Current     bool // it may act on its tables; known of itself only
	Applied     table.Offset
	HeardMillis table.Millis // time since its last answer
	InFlight    int          // requests that it serves
}

const (
	maxBody = 256 << 10 // a plan lists at most a few hundred short lines

	// requestTime bounds one request of an operator, the wait for the log included.
	requestTime = 20 * time.Second
	// forceWait bounds the wait for other entry hosts to apply a confirmed plan.
	forceWait   = 3 * time.Second
	forcePeriod = 50 * time.Millisecond

	readTime  = 10 * time.Second
	idleTime  = time.Minute
	maxHeader = 16 << 10
)

// CertificateName returns the common name of the client's certificate, or "" where there is none.
func CertificateName(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return ""
	}
	return r.TLS.PeerCertificates[0].Subject.CommonName
}

// PlainName names every operator of a listener that the settings leave without TLS.
func PlainName(*http.Request) string {
	return "plain"
}
