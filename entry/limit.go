package entry

import (
	"net"
	"sync"
)

// limitListener returns a listener that accepts at most n concurrent connections. Further connections wait in the
// kernel's backlog.
func limitListener(ln net.Listener, n int) net.Listener {
	return &limitedListener{Listener: ln, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept waits until fewer than n connections are open and then for a new connection.
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

// Close closes the listener. It also ends an Accept that waits for a connection to close.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close closes the connection and lets the listener accept another one.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
