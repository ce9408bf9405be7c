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

// New returns a network without any listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, unreachable: map[string]bool{}, conns: map[string][]net.Conn{}}
}

type listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener for an address. It replaces an earlier listener for that address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// SetUnreachable makes an address unreachable or reachable again. Its open connections are closed in either case; while
// it is unreachable, new ones hang without an error.
func (n *Network) SetUnreachable(address string, unreachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[address] = unreachable
	for _, c := range n.conns[address] {
		_ = c.Close() // closing a pipe never fails
	}
	n.conns[address] = nil
}

// Dial connects to an address. It blocks until ctx is done if the address is unreachable or nobody accepts.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, unreachable := n.listeners[address], n.unreachable[address]
	n.mu.Unlock()
	if l == nil || unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = append(n.conns[address], client)
	return client, nil
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and later dials fail.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an empty TCP address.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
