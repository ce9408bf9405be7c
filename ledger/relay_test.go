package ledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/peer"
	"persimmonpick/standins/pipenet"
	"persimmonpick/table"
)

// relayTo returns the relay of a host that is not the leader.
func relayTo(n *pipenet.Network) *Relay {
	return NewRelay(RelayConfig{
		Host: "follower", Leader: func() Leader { return Leader{Host: "leader", Address: leaderAddress} },
		Dial: n.Dial, Observe: func(error, time.Duration) {}, Logger: discardLogger,
	})
}

// leaderAddress is the address of the leader in these tests.
const leaderAddress = "leader:1"

func never() bool { return false }

// serveRelay serves relayed appends and writes them to log.
func serveRelay(ctx context.Context, n *pipenet.Network, log Log) {
	a := NewAppender(AppenderConfig{Log: log, Producer: "leader-relayed", Failing: never, Logger: discardLogger})
	go a.Run(ctx)
	ln := n.Listen(leaderAddress)
	// Ends with the context of the test.
	go func() { _ = peer.ServeLinks(ctx, ln, map[string]any{RelayService: NewRelayServer(a)}, discardLogger) }()
}

func TestRelayDistinguishesUnknownFromRefused(t *testing.T) {
	refused := fault.New(fault.LogUnavailable, "refused")
	for name, c := range map[string]struct {
		appendErr   error
		hang        bool // the leader does not reply
		unreachable bool // the leader cannot be called
		want        fault.Kind
	}{
		"appended":  {want: fault.None},
		"refused":   {appendErr: refused, want: fault.LogUnavailable},
		"no answer": {hang: true, want: fault.OutcomeUnknown},
		"away":      {unreachable: true, want: fault.NotReady},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				m, p := newMemoryLog(), pipenet.New()
				m.appendErr = c.appendErr
				log := m.log()
				if c.hang {
					log.Append = func(context.Context, Append) error {
						time.Sleep(time.Hour)
						return nil
					}
				}
				if !c.unreachable {
					serveRelay(ctx, p, log)
				}
				r := relayTo(p)
				began := time.Now()
				is.Equal(fault.Of(r.Append(ctx, []Record{submission(is, "j")})), c.want)
				is.True(time.Since(began) <= relayTimeout)
				if c.unreachable {
					began = time.Now()
					is.Equal(fault.Of(r.Append(ctx, []Record{submission(is, "j")})), fault.NotReady)
					is.Equal(time.Since(began), time.Duration(0)) // no new call during relayBackoff
				}
				cancel()
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// A relay call without a reply must be reported as an unknown outcome, even if this host cannot reach the log:
// the leader may have appended the records.
func TestUnansweredRelayIsReportedAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := NewAppender(AppenderConfig{
			Log: newMemoryLog().log(), Producer: "p", Failing: func() bool { return true }, Logger: discardLogger,
			Relay: func(context.Context, []Record) error { return fault.New(fault.OutcomeUnknown, "silence") },
		})
		is.Equal(fault.Of(a.Append(t.Context(), submission(is, "j"))), fault.OutcomeUnknown)
	})
}

// Without the relay, 34 hosts that each submit one job per second would exceed a log that takes six appends
// per second, and jobs would be refused.
func TestRelayBatchesJobsOfAllHostsOnSlowLog(t *testing.T) {
	const (
		hosts     = 34
		perAppend = 166 * time.Millisecond
		deadline  = 2750 * time.Millisecond // of callers
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		m := newMemoryLog()
		// A channel rather than a mutex: the fake clock must advance while appends wait for their turn.
		appendSlot := make(chan struct{}, 1)
		var waiting atomic.Int32
		log := m.log()
		log.Append = func(ctx context.Context, a Append) error {
			if time.Duration(waiting.Add(1))*perAppend > 2*time.Second {
				waiting.Add(-1)
				return fault.New(fault.LogUnavailable, "too many wait")
			}
			defer waiting.Add(-1)
			appendSlot <- struct{}{}
			defer func() { <-appendSlot }()
			time.Sleep(perAppend)
			return m.append(ctx, a)
		}
		p := pipenet.New()
		serveRelay(ctx, p, log)
		var accepted, refused atomic.Int32
		var callers sync.WaitGroup
		for h := range hosts {
			a := NewAppender(AppenderConfig{Log: log, Producer: fmt.Sprint(h), Failing: never, Relay: relayTo(p).Append, Logger: discardLogger})
			go a.Run(ctx)
			callers.Go(func() {
				time.Sleep(time.Duration(h) * 29 * time.Millisecond)
				for n := range 5 {
					callers.Go(func() {
						ctx, cancel := context.WithTimeout(ctx, deadline)
						defer cancel()
						if a.Append(ctx, submission(is, table.JobID(fmt.Sprintf("j%d-%d", h, n)))) == nil {
							accepted.Add(1)
						} else {
							refused.Add(1)
						}
					})
					time.Sleep(time.Second)
				}
			})
		}
		callers.Wait()
		is.Equal(int(accepted.Load()), 5*hosts)
		is.Equal(int(refused.Load()), 0)
		cancel()
		time.Sleep(time.Minute)
	})
}
