package route

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

var errSealed = errors.New("connection is sealed against writing")

// sending says whether a byte of one request was written on one connection; the mutex of the connection guards it.
type sending struct {
	began bool      // a byte may have been sent
	limit time.Time // no byte is written from this time on
	got   received  // the answer so far
}

// countedConn knows whether a byte of each request was written, and can rule out that one is written later.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	current *sending // nil before the first request
}

// begin starts a request on the connection; on a sealed one its writes fail.
func (c *countedConn) begin(limit time.Time) *sending {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &sending{limit: limit}
	return c.current
}

// seal stops all further writes and reports whether a byte of s may have been sent.
func (c *countedConn) seal(s *sending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return s.began
}

// sealUnsent makes sure that no byte of s is sent, and reports false if one may have been sent already.
func (c *countedConn) sealUnsent(s *sending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.began {
		return false
	}
	if c.current == s {
		c.sealed = true
	}
	return true
}

// Write refuses bytes on a sealed connection and after the limit: a process that was frozen must not send a request late.
func (c *countedConn) Write(b []byte) (int, error) {
	s, first, err := c.admit()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil && first {
		c.takeBack(s)
	}
	return n, err
}

// Read notes what arrives for the current request.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.current.got.add(b[:n])
	}
	return n, err
}

// excess says whether more than length bytes of the body of s arrived.
func (c *countedConn) excess(s *sending, length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.got.ended && s.got.body > length
}

// admit marks the request as begun before the write, so that seal never misses a write in progress.
func (c *countedConn) admit() (s *sending, first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s = c.current
	if c.sealed || s == nil {
		return nil, false, errSealed
	}
	if !time.Now().Before(s.limit) {
		return nil, false, os.ErrDeadlineExceeded
	}
	first = !s.began
	s.began = true
	return s, first, nil
}

// takeBack clears the mark of a first write of which no byte was accepted, unless somebody relied on the mark already.
func (c *countedConn) takeBack(s *sending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sealed {
		s.began = false
		c.sealed = true
	}
}
