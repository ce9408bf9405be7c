package route

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

var errSealed = errors.New("connection is sealed against writing")

// countedConn knows whether a byte of the current request was written, and can rule out that one is written later.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	sealed bool
	began  bool      // a byte of the current request may have been sent
	limit  time.Time // no byte is written from this time on
}

// begin starts a request on the connection; it reports false on a sealed one.
func (c *countedConn) begin(limit time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = false
	c.limit = limit
	return !c.sealed
}

// seal stops all further writes and reports whether a byte of the current request may have been sent.
func (c *countedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.began
}

// sealUnsent seals the connection unless a byte of the current request may have been sent.
func (c *countedConn) sealUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.began {
		return false
	}
	c.sealed = true
	return true
}

// Write refuses bytes on a sealed connection and after the limit: a process that was frozen must not send a request late.
func (c *countedConn) Write(b []byte) (int, error) {
	first, err := c.admit()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil && first {
		c.unsent()
	}
	return n, err
}

// admit marks the request as begun before the write, so that seal never misses a write in progress.
func (c *countedConn) admit() (first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false, errSealed
	}
	if !c.limit.IsZero() && !time.Now().Before(c.limit) {
		return false, os.ErrDeadlineExceeded
	}
	first = !c.began
	c.began = true
	return first, nil
}

// unsent takes the mark back: the kernel accepted no byte of the first write.
func (c *countedConn) unsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sealed {
		c.began = false
		c.sealed = true
	}
}
