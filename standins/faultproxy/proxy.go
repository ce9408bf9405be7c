package faultproxy

import (
	"net"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Mode says what the proxy does with connections and bytes.
type Mode string

// The modes.
const (
	Pass        Mode = "Pass"
	Delay       Mode = "Delay"       // each chunk waits for Setting.Delay, in both directions
	Cut         Mode = "Cut"         // open connections are reset, new ones too
	HalfOpen    Mode = "HalfOpen"    // new connections are accepted and never forwarded
	Freeze      Mode = "Freeze"      // connections stay open, bytes wait for the next mode
	DropReplies Mode = "DropReplies" // requests are forwarded, answers are thrown away
	Truncate    Mode = "Truncate"    // a connection closes after Setting.Bytes of answers in this mode
)

const (
	maxConns    = 1024
	chunkSize   = 32 << 10 // bytes
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

// Listen starts a proxy on a loopback address, such as 127.0.0.1:0, in mode Pass.
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

// Address returns host:port of the listener.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Set changes the mode for open and new connections.
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

// Setting returns the mode in force.
func (p *Proxy) Setting() Setting {
	s, _ := p.current()
	return s
}

// Close ends the proxy and all its connections.
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

// reset closes a connection so that its peer sees an error and not an end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// register takes a connection into the books unless the proxy refuses it.
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
