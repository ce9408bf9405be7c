package faultproxy

import (
	"net"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Mode selects the fault that the proxy injects.
type Mode string

// The modes of a proxy.
const (
	Pass        Mode = "Pass"        // forward everything
	Delay       Mode = "Delay"       // delay each chunk by Setting.Delay, in both directions
	Cut         Mode = "Cut"         // reset open and new connections
	HalfOpen    Mode = "HalfOpen"    // accept new connections, but forward nothing
	Freeze      Mode = "Freeze"      // keep connections open and hold back all bytes until the mode changes
	DropReplies Mode = "DropReplies" // forward requests, discard responses
	Truncate    Mode = "Truncate"    // close a connection after Setting.Bytes of responses in this mode
)

const (
	maxConns    = 1024     // client connections; each has a second one to the target
	chunkSize   = 32 << 10 // bytes read at once
	dialTimeout = 2 * time.Second
)

// Setting is a mode with its parameters.
type Setting struct {
	Mode  Mode
	Delay table.Millis `json:",omitempty"`
	Bytes int          `json:",omitempty"`
}

// Proxy forwards connections from its listener to one target.
type Proxy struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	setting Setting
	changed chan struct{} // closed at the next change of the setting
	conns   map[net.Conn]bool
	closed  bool
	wg      sync.WaitGroup
}

// Listen starts a proxy in mode Pass on a loopback address such as 127.0.0.1:0.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target: target, listener: l, setting: Setting{Mode: Pass},
		changed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	if !l.Addr().(*net.TCPAddr).IP.IsLoopback() {
		_ = l.Close()
		return nil, fault.New(fault.Invalid, "%s is not a loopback address", address)
	}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the host:port that the proxy listens on.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Set changes the setting for open and new connections. It fails if the mode is unknown.
func (p *Proxy) Set(s Setting) error {
	switch s.Mode {
	case Pass, Delay, Cut, HalfOpen, Freeze, DropReplies, Truncate:
	default:
		return fault.New(fault.Invalid, "unknown mode %q", s.Mode)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setting = s
	close(p.changed)
	p.changed = make(chan struct{})
	if s.Mode == Cut {
		p.resetAll()
	}
	return nil
}

// Setting returns the current setting.
func (p *Proxy) Setting() Setting {
	s, _ := p.current()
	return s
}

// Close stops the proxy, resets its connections, and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.resetAll()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Proxy) current() (Setting, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.setting, p.changed
}

func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset, so that the peer sees an error instead of EOF.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// register tracks a connection. If the proxy is closed, in mode Cut or at its limit, it resets the connection instead.
func (p *Proxy) register(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.setting.Mode == Cut || len(p.conns) >= 2*maxConns {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) unregister(cs ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		delete(p.conns, c)
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.register(c) {
			continue
		}
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.serve(c)
		}()
	}
}
