package route

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

var errSealed = errors.New("connection is sealed against writing")

// transmission is the state of one request on one connection. The mutex of the connection guards it.
type transmission struct {
	started  bool            // a byte may have been sent
	deadline time.Time       // no byte is written from this time on
	response responseCounter // counts the response bytes read so far
}

// trackedConn records whether a byte of the current request was written. After it is sealed no further byte is written.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	current *transmission // nil before the first request
}

// begin starts a request on the connection. On a sealed connection its writes fail.
func (c *trackedConn) begin(deadline time.Time) *transmission {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &transmission{deadline: deadline}
	return c.current
}

// seal blocks all further writes and reports whether a byte of s may have been sent.
func (c *trackedConn) seal(s *transmission) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return s.started
}

// sealIfUnsent ensures that no byte of s will be sent, or reports false if one may have been sent already.
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

// Write fails on a sealed connection and after the deadline of the request. The deadline is checked here
// because a process that was suspended must not send its request late, when its slot may belong to another request.
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

// Read counts the bytes that arrive for the current request.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.current.response.add(b[:n])
	}
	return n, err
}

// bodyExceeds reports whether more than length bytes of the response body of s arrived.
func (c *trackedConn) bodyExceeds(s *transmission, length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.response.headDone && s.response.bodyBytes > length
}

// admit marks the request as started before the write, so that seal never misses a write in progress.
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

// undoAdmit resets the mark of a first write that wrote no byte, and seals the connection. If the connection
// was sealed meanwhile, the mark stays, as seal has already reported it.
func (c *trackedConn) undoAdmit(s *transmission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sealed {
		s.started = false
		c.sealed = true
	}
}
