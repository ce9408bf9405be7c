package ingress

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"persimmonpick/table"
)

// phase is where a connection stands.
type phase int

const (
	arriving phase = iota // a request has not arrived whole, or none has yet
	serving               // a request has arrived whole; the connection is not closed before its answer
	answered              // no further request has begun
	closed
)

var errRefused = errors.New("the connection holds too much")

// Conn is a connection of a Gate. A nil Conn has no limits.
type Conn struct {
	net.Conn
	gate *Gate
	once sync.Once

	boundWrites bool // the server has no time limit for answers

	bodyWhole bool // of the present request; for the goroutine that serves it

	// gate.mu guards what follows.
	phase   phase
	inBody  bool        // bytes are counted as parts of a body, and not as they are read
	held    table.Bytes // charged
	leaving bool        // gave way and still holds something
	got     table.Bytes // arrived of the request
	since   time.Time   // when phase began
	sweeps  int         // while arriving
	calls   int         // of a host, at work
}

// Read reads and charges what is not part of an HTTP body.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.arrived(table.Bytes(n)) {
		n, err = 0, errRefused
	}
	if err != nil {
		c.letGo()
	}
	return n, err
}

// letGo gives back what the connection holds if it gave way. Its server may close it only after calls at work.
func (c *Conn) letGo() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.leaving {
		c.gate.release(c)
	}
}

// Write writes p. It fails if the client does not take it, since a connection does not give way before its answer.
func (c *Conn) Write(p []byte) (int, error) {
	if c.boundWrites {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.gate.cfg.Limits.Grace)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// arrived counts n bytes and reports whether they may be kept.
func (c *Conn) arrived(n table.Bytes) bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == answered {
		g.begin(c)
	}
	if c.phase == closed {
		return false
	}
	c.got += n
	if c.inBody || c.phase == serving {
		return true
	}
	return g.charge(c, n*arrivalCost)
}

// reserve takes n bytes for a request and reports whether they were free.
func (c *Conn) reserve(n table.Bytes) bool {
	if c == nil {
		return true
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.phase != closed && c.gate.charge(c, n)
}

// pause notes that a request stops arriving: it has arrived whole, or is at work before its body is read. Its
// connection does not give way to others.
func (c *Conn) pause() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.phase == arriving {
		c.gate.setPhase(c, serving)
	}
}

// resume notes that the rest of a request is read.
func (c *Conn) resume() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.phase == serving {
		c.gate.setPhase(c, arriving)
	}
}

// headerDone notes that the header of an HTTP request has arrived.
func (c *Conn) headerDone() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.phase == answered { // the server had read it with the request before
		c.gate.begin(c)
	}
	c.inBody = true
	if c.phase == arriving {
		c.gate.setPhase(c, serving)
	}
}

// Answered notes that a request is answered and gives back what it held.
func (c *Conn) Answered() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.phase == closed {
		return
	}
	c.gate.release(c)
	c.gate.setPhase(c, answered)
	c.since, c.inBody, c.bodyWhole = time.Now(), false, false
}

// CallArrived notes that a call of a host has arrived whole. A connection with calls at work is not idle.
func (c *Conn) CallArrived() {
	if c == nil {
		return
	}
	c.Answered()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.calls++
}

// CallAnswered notes that a call of a host is answered.
func (c *Conn) CallAnswered() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.calls--
}

// stopReading makes further reads fail, so that the server closes the connection after its answer, and gives back what
// was read.
func (c *Conn) stopReading(why Reason) {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	c.gate.release(c)
	if why != Held { // which was counted when the charge failed
		c.gate.refuse(why)
	}
	c.gate.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// Close closes the connection and gives back what it held.
func (c *Conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// end gives back what the connection holds, once.
func (c *Conn) end() {
	c.once.Do(func() {
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		c.gate.remove(c)
		c.gate.release(c)
	})
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// ConnOf returns the connection of a Gate that conn is or wraps, or nil.
func ConnOf(conn net.Conn) *Conn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

type connKey struct{}

func newContext(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
