package route

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

var errSealed = errors.New("connection is sealed against writing")

// transmission says whether a byte of one request was written on one connection; the mutex of the connection guards it.
type transmission struct {
	started  bool            // a byte may have been sent
	deadline time.Time       // no byte is written from this time on
	response responseCounter // the answer so far
}

// trackedConn knows whether a byte of each request was written, and can rule out that one is written later.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	current *transmission // nil before the first request
}

// begin starts a request on the connection; on a sealed one its writes fail.
func (c *trackedConn) begin(limit time.Time) *transmission {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &transmission{deadline: limit}
	return c.current
}

// seal stops all further writes and reports whether a byte of s may have been sent.
func (c *trackedConn) seal(s *transmission) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return s.started
}

// sealIfUnsent makes sure that no byte of s is sent, and reports false if one may have been sent already.
func (c *trackedConn) sealIfUnsent(s *transmission) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.started {
		return false
	}
	if c.current == s {
		c.sealed = true
	}
	return true
}

// Write refuses bytes on a sealed connection and after the limit: a process that was frozen must not send a request late.
func (c *trackedConn) Write(b []byte) (int, error) {
	s, first, err := c.admit()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil && first {
		c.undoAdmit(s)
	}
	return n, err
}

// Read notes what arrives for the current request.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.current.response.add(b[:n])
	}
	return n, err
}

// bodyExceeds says whether more than length bytes of the body of s arrived.
func (c *trackedConn) bodyExceeds(s *transmission, length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.response.headDone && s.response.bodyBytes > length
}

// admit marks the request as begun before the write, so that seal never misses a write in progress.
func (c *trackedConn) admit() (s *transmission, first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s = c.current
	if c.sealed || s == nil {
		return nil, false, errSealed
	}
	if !time.Now().Before(s.deadline) {
		return nil, false, os.ErrDeadlineExceeded
	}
	first = !s.started
	s.started = true
	return s, first, nil
}

// undoAdmit clears the mark of a first write of which no byte was accepted, unless somebody relied on the mark already.
func (c *trackedConn) undoAdmit(s *transmission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sealed {
		s.started = false
		c.sealed = true
	}
}
