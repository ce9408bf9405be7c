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

// relayTo returns a relay of a host other than the leader.
func relayTo(n *pipenet.Network) *Relay {
	return NewRelay(RelayConfig{
		Host: "follower", Leader: func() Leader { return Leader{Host: "leader", Address: leaderAddress} },
		Dial: n.Dial, Observe: func(error, time.Duration) {}, Logger: quiet,
	})
}

// leaderAddress is where the leader of these tests listens.
const leaderAddress = "leader:1"

func never() bool { return false }

// serveRelay appends to log what relays hand over.
func serveRelay(ctx context.Context, n *pipenet.Network, log Log) {
	g := NewAppender(AppenderConfig{Log: log, Producer: "leader-relayed", Failing: never, Logger: quiet})
	go g.Run(ctx)
	ln := n.Listen(leaderAddress)
	// It ends with the context of the test.
	go func() { _ = peer.ServeLinks(ctx, ln, map[string]any{RelayService: NewRelayServer(g)}, quiet) }()
}

func TestRelayTellsUnknownFromRefused(t *testing.T) {
	refused := fault.New(fault.LogUnavailable, "refused")
	for name, c := range map[string]struct {
		appendErr error
		hang      bool // the leader does not answer
		away      bool // the leader cannot be reached
		want      fault.Kind
	}{
		"appended":  {want: fault.None},
		"refused":   {appendErr: refused, want: fault.LogUnavailable},
		"no answer": {hang: true, want: fault.OutcomeUnknown},
		"away":      {away: true, want: fault.NotReady},
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
				if !c.away {
					serveRelay(ctx, p, log)
				}
				r := relayTo(p)
				began := time.Now()
				is.Equal(fault.Of(r.Append(ctx, []Record{submission(is, "j")})), c.want)
				is.True(time.Since(began) <= relayTimeout)
				if c.away {
					began = time.Now()
					is.Equal(fault.Of(r.Append(ctx, []Record{submission(is, "j")})), fault.NotReady)
					is.Equal(time.Since(began), time.Duration(0)) // not tried again so soon
				}
				cancel()
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// TestUnansweredRelayIsNoRefusal plays a leader that appends without answering while this host cannot reach the log.
func TestUnansweredRelayIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := NewAppender(AppenderConfig{
			Log: newMemoryLog().log(), Producer: "p", Failing: func() bool { return true }, Logger: quiet,
			Relay: func(context.Context, []Record) error { return fault.New(fault.OutcomeUnknown, "silence") },
		})
		is.Equal(fault.Of(g.Append(t.Context(), submission(is, "j"))), fault.OutcomeUnknown)
	})
}

// TestSlowLogTakesTheJobsOfAllHosts plays the load for which the relay is there: 34 hosts with one job a second each before a log that takes six appends a second.
func TestSlowLogTakesTheJobsOfAllHosts(t *testing.T) {
	const (
		hosts     = 34
		perAppend = 166 * time.Millisecond
		deadline  = 2750 * time.Millisecond // of callers
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		m := newMemoryLog()
		one := make(chan struct{}, 1) // the log takes one append at a time; the clock of the test goes on while others wait
		var waiting atomic.Int32
		log := m.log()
		log.Append = func(ctx context.Context, a Append) error {
			if time.Duration(waiting.Add(1))*perAppend > 2*time.Second {
				waiting.Add(-1)
				return fault.New(fault.LogUnavailable, "too many wait")
			}
			defer waiting.Add(-1)
			one <- struct{}{}
			defer func() { <-one }()
			time.Sleep(perAppend)
			return m.append(ctx, a)
		}
		p := pipenet.New()
		serveRelay(ctx, p, log)
		var taken, refused atomic.Int32
		var callers sync.WaitGroup
		for h := range hosts {
			g := NewAppender(AppenderConfig{Log: log, Producer: fmt.Sprint(h), Failing: never, Relay: relayTo(p).Append, Logger: quiet})
			go g.Run(ctx)
			callers.Go(func() {
				time.Sleep(time.Duration(h) * 29 * time.Millisecond)
				for n := range 5 {
					callers.Go(func() {
						ctx, cancel := context.WithTimeout(ctx, deadline)
						defer cancel()
						if g.Append(ctx, submission(is, table.JobID(fmt.Sprintf("j%d-%d", h, n)))) == nil {
							taken.Add(1)
						} else {
							refused.Add(1)
						}
					})
					time.Sleep(time.Second)
				}
			})
		}
		callers.Wait()
		is.Equal(int(taken.Load()), 5*hosts)
		is.Equal(int(refused.Load()), 0)
		cancel()
		time.Sleep(time.Minute)
	})
}
