package route

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"persimmonpick/table"
)

const (
	// idleConnTimeout is shorter than the usual keep-alive time of servers, so that requests rarely meet a
	// connection that is being closed.
	idleConnTimeout        = 4 * time.Second
	dialTimeout            = time.Second
	maxResponseHeaderBytes = 64 << 10
)

// transportPool holds an http.Transport for each instance, so that connections are limited and closed per instance.
type transportPool struct {
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	connections func(table.Instance) int

	mu         sync.Mutex
	byInstance map[table.InstanceID]*instanceTransport
}

// instanceTransport is the transport to one instance at one address.
type instanceTransport struct {
	address     string
	connections int
	http        *http.Transport
}

func newTransportPool(cfg *Config) *transportPool {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &transportPool{dial: dial, connections: cfg.Slots.Connections, byInstance: map[table.InstanceID]*instanceTransport{}}
}

func (t *transportPool) get(inst table.Instance) *http.Transport {
	n := t.connections(inst)
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.byInstance[inst.ID]
	if b != nil && b.address == inst.Address && b.connections == n {
		return b.http
	}
	if b != nil {
		b.http.CloseIdleConnections()
	}
	b = &instanceTransport{address: inst.Address, connections: n, http: t.newTransport(n)}
	t.byInstance[inst.ID] = b
	return b.http
}

func (t *transportPool) newTransport(connections int) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            t.dialTracked,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true, // decompression would hide the length of the response
		ForceAttemptHTTP2:      false,
	}
}

func (t *transportPool) dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

// retain drops the transports of instances for which keep returns false.
func (t *transportPool) retain(keep func(table.InstanceID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, b := range t.byInstance {
		if !keep(id) {
			b.http.CloseIdleConnections()
			delete(t.byInstance, id)
		}
	}
}
