package ingress

import (
	"log/slog"
	"sync"
	"time"

	"persimmonpick/table"
)

// Reason is why a client was refused.
type Reason string

// The reasons.
const (
	Held        Reason = "Held"        // the requests together hold too much memory
	Connections Reason = "Connections" // too many connections
	Unfinished  Reason = "Unfinished"  // too many connections with requests that have not arrived whole
	Slow        Reason = "Slow"        // a request arrives too slowly
	TooLarge    Reason = "TooLarge"    // a request is over its own limit
)

const (
	sweepInterval = time.Second
	logInterval   = 10 * time.Second // between log lines of one reason
)

// Config configures a Gate.
type Config struct {
	Limits  Limits
	Refused func(Reason) // may be nil
	Logger  *slog.Logger
}

// Gate holds the connections of all listeners of a process within common limits.
type Gate struct {
	cfg Config

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	held     table.Bytes
	arriving int        // connections in phase arriving
	leaving  int        // connections that gave way and still hold something
	left     *sync.Cond // one of them has let go
	sweeping bool       // a sweep is due
	refusals map[Reason]int
	loggedAt map[Reason]time.Time
}

// New returns a Gate.
func New(cfg Config) *Gate {
	g := &Gate{cfg: cfg, conns: map[*Conn]struct{}{}, refusals: map[Reason]int{}, loggedAt: map[Reason]time.Time{}}
	g.left = sync.NewCond(&g.mu)
	return g
}

// Usage is what clients hold at a moment.
type Usage struct {
	Held        table.Bytes
	Connections int
	Unfinished  int
}

// Usage returns what clients hold now.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Held: g.held, Connections: len(g.conns), Unfinished: g.arriving}
}

// admit adds a connection, for which others give way if there are too many. It reports false if none can.
func (g *Gate) admit(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.conns) >= g.cfg.Limits.Connections {
		v := g.heaviest()
		if v == nil {
			v = g.longestIdle()
		}
		if v == nil {
			g.refuse(Connections)
			return false
		}
		g.evict(v, Connections)
	}
	g.conns[c] = struct{}{}
	c.phase = answered // counts as none until begin
	g.begin(c)
	return true
}

// begin starts the arrival of a request; g.mu must be held.
func (g *Gate) begin(c *Conn) {
	g.setPhase(c, arriving)
	c.since, c.got, c.sweeps = time.Now(), 0, 0
	for g.arriving > g.cfg.Limits.Unfinished {
		v := g.heaviest()
		g.evict(v, Unfinished)
		if v == c {
			return
		}
	}
}

// charge takes n bytes for c; unfinished requests give way if there are too many, and c waits until they have. It
// reports false if c has to; g.mu must be held.
func (g *Gate) charge(c *Conn, n table.Bytes) bool {
	for g.held+n > g.cfg.Limits.Held {
		if g.leaving > 0 {
			g.left.Wait()
			if c.phase == closed {
				return false
			}
			continue
		}
		v := g.heaviest()
		if v == nil || v == c {
			g.refuse(Held)
			return false
		}
		g.evict(v, Held)
	}
	g.held += n
	c.held += n
	return true
}

// setPhase changes the phase of c; g.mu must be held.
func (g *Gate) setPhase(c *Conn, p phase) {
	if c.phase == arriving {
		g.arriving--
	}
	if p == arriving {
		g.arriving++
		if !g.sweeping {
			g.sweeping = true
			time.AfterFunc(sweepInterval, g.sweep)
		}
	}
	c.phase = p
}

// release gives back what c holds; g.mu must be held.
func (g *Gate) release(c *Conn) {
	g.held -= c.held
	c.held = 0
	if c.leaving {
		c.leaving = false
		g.leaving--
		g.left.Broadcast()
	}
}

// heaviest returns the unfinished connection that has held the most for the longest, or nil; g.mu must be held.
func (g *Gate) heaviest() *Conn {
	var worst *Conn
	var most float64
	now := time.Now()
	for c := range g.conns {
		if c.phase != arriving {
			continue
		}
		if w := float64(c.held+connectionCost) * float64(now.Sub(c.since)); worst == nil || w > most {
			worst, most = c, w
		}
	}
	return worst
}

// longestIdle returns the connection that has waited the longest for a further request, or nil; g.mu must be held.
func (g *Gate) longestIdle() *Conn {
	var first *Conn
	for c := range g.conns {
		if c.phase == answered && c.calls == 0 && (first == nil || c.since.Before(first.since)) {
			first = c
		}
	}
	return first
}

// evict closes a connection. What it holds is free once its reader has noticed; g.mu must be held.
func (g *Gate) evict(c *Conn, why Reason) {
	g.refuse(why)
	g.remove(c)
	if c.held > 0 {
		c.leaving = true
		g.leaving++
	}
	g.left.Broadcast() // c itself may wait
	go c.Conn.Close()
}

// remove forgets c but for what it holds; g.mu must be held.
func (g *Gate) remove(c *Conn) {
	g.setPhase(c, closed)
	delete(g.conns, c)
}

// sweep closes the connections whose request arrives too slowly. It counts sweeps instead of reading a clock, so that a
// frozen process does not hold its own freeze against its clients.
func (g *Gate) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	grace := int(g.cfg.Limits.Grace / sweepInterval)
	for c := range g.conns {
		if c.phase != arriving {
			continue
		}
		c.sweeps++
		if late := c.sweeps - grace; late > 0 && c.got < table.Bytes(late)*g.cfg.Limits.Rate {
			g.evict(c, Slow)
		}
	}
	g.sweeping = g.arriving > 0
	if g.sweeping {
		time.AfterFunc(sweepInterval, g.sweep)
	}
}

// refuse counts a refusal and logs the first of a reason and later their number; g.mu must be held.
func (g *Gate) refuse(why Reason) {
	if g.cfg.Refused != nil {
		g.cfg.Refused(why)
	}
	g.refusals[why]++
	now := time.Now()
	if last, ok := g.loggedAt[why]; ok && now.Sub(last) < logInterval {
		return
	}
	g.loggedAt[why] = now
	g.cfg.Logger.Warn("clients refused", "Reason", why, "Count", g.refusals[why], "Held", g.held, "Connections", len(g.conns), "Unfinished", g.arriving)
	g.refusals[why] = 0
}
