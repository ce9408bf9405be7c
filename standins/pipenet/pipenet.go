// Package pipenet is a network in memory, whose waits the paused clock of a test sees.
package pipenet

import (
	"context"
	"net"
	"sync"
)

// Network connects listeners and dialers by address.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	unreachable map[string]bool
	conns       map[string][]net.Conn
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, unreachable: map[string]bool{}, conns: map[string][]net.Conn{}}
}

type listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener that replaces an earlier one at the address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// SetUnreachable makes an address unreachable, silently: connections break and new ones hang. A second call with false mends it.
func (n *Network) SetUnreachable(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[address] = cut
	for _, c := range n.conns[address] {
		_ = c.Close() // pipes never fail to close
	}
	n.conns[address] = nil
}

// Dial connects to an address; it hangs until ctx ends where nobody accepts.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, silent := n.listeners[address], n.unreachable[address]
	n.mu.Unlock()
	if l == nil || silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = append(n.conns[address], near)
	return near, nil
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and new connections fail.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address of the right type.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
