package entry

import (
	"net"
	"sync"
)

// limitListener returns a listener that accepts at most n connections at once; further ones wait in the backlog of the kernel.
func limitListener(ln net.Listener, n int) net.Listener {
	return &limitedListener{Listener: ln, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept waits for a free place and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close also ends an Accept that waits for a place.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close frees the place of the connection.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
