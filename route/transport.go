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
	// idleConnTimeout is shorter than the usual keep-alive of servers, so that requests rarely meet a connection being closed.
	idleConnTimeout = 4 * time.Second
	dialTimeout     = time.Second
	maxAnswerHeader = 64 << 10 // bytes
)

// transports keeps one http.Transport for each instance, so that the connections of each are bounded and closed on their own.
type transports struct {
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	connections func(table.Instance) int

	mu  sync.Mutex
	all map[table.InstanceID]*backend
}

// backend is the transport to one instance at one address.
type backend struct {
	address     string
	connections int
	http        *http.Transport
}

func newTransports(cfg *Config) *transports {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &transports{dial: dial, connections: cfg.Slots.Connections, all: map[table.InstanceID]*backend{}}
}

func (t *transports) get(inst table.Instance) *http.Transport {
	n := t.connections(inst)
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.all[inst.ID]
	if b != nil && b.address == inst.Address && b.connections == n {
		return b.http
	}
	if b != nil {
		b.http.CloseIdleConnections()
	}
	b = &backend{address: inst.Address, connections: n, http: t.transport(n)}
	t.all[inst.ID] = b
	return b.http
}

func (t *transports) transport(connections int) *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            t.dialCounted,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		DisableCompression:     true, // decoding would hide the length of the answer
		ForceAttemptHTTP2:      false,
	}
}

func (t *transports) dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// keep drops the transports of instances that keep rejects.
func (t *transports) keep(keep func(table.InstanceID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, b := range t.all {
		if !keep(id) {
			b.http.CloseIdleConnections()
			delete(t.all, id)
		}
	}
}
