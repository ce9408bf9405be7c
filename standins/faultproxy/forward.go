package faultproxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"persimmonpick/standins/harness"
)

var errCut = errors.New("connection was cut by the proxy")

func (p *Proxy) serve(client net.Conn) {
	defer p.unregister(client)
	if s, _ := p.current(); s.Mode == HalfOpen {
		// Read the bytes so that the client can keep sending, until it closes the connection or Cut resets it.
		_, _ = io.Copy(io.Discard, client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	if !p.register(server) {
		reset(client)
		return
	}
	defer p.unregister(server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copyDirection(server, client, false)
	}()
	p.copyDirection(client, server, true)
	<-done
}

// copyDirection copies one direction of a connection until EOF, which it forwards, or an error, which resets both ends.
func (p *Proxy) copyDirection(to, from net.Conn, isResponse bool) {
	buf := make([]byte, chunkSize)
	sent := 0
	for {
		n, err := from.Read(buf)
		if n > 0 {
			var out int
			out, err = p.forwardChunk(to, buf[:n], isResponse, sent)
			sent += out
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && p.forwardEOF(to) {
			return
		}
		reset(to)
		reset(from)
		return
	}
}

// forwardEOF closes the write side of a connection as soon as the proxy is not frozen.
func (p *Proxy) forwardEOF(to net.Conn) bool {
	if _, err := p.waitWhileFrozen(); err != nil {
		return false
	}
	t, ok := to.(*net.TCPConn)
	return ok && t.CloseWrite() == nil
}

// waitWhileFrozen blocks while the mode is Freeze and returns the setting then in effect, or errCut if the proxy is cut
// or closed.
func (p *Proxy) waitWhileFrozen() (Setting, error) {
	for {
		s, changed := p.current()
		if p.isClosed() || s.Mode == Cut {
			return s, errCut
		}
		if s.Mode != Freeze {
			return s, nil
		}
		<-changed
	}
}

func (p *Proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// forwardChunk applies the mode to one chunk and returns the number of bytes sent that count toward Truncate.
func (p *Proxy) forwardChunk(to net.Conn, data []byte, isResponse bool, sent int) (int, error) {
	s, err := p.waitWhileFrozen()
	if err != nil {
		return 0, err
	}
	if s.Mode == Delay {
		time.Sleep(time.Duration(s.Delay) * time.Millisecond)
	}
	if isResponse && s.Mode == DropReplies {
		return 0, nil
	}
	if isResponse && s.Mode == Truncate && sent+len(data) >= s.Bytes {
		_, _ = to.Write(data[:max(0, s.Bytes-sent)])
		_ = to.Close() // a reset could discard bytes that the client has not read yet
		return 0, errCut
	}
	n, err := to.Write(data)
	if s.Mode != Truncate {
		n = 0
	}
	return n, err
}

// Admin returns a handler that serves GET and POST of the setting at /mode.
func (p *Proxy) Admin() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/mode", func(w http.ResponseWriter, _ *http.Request) {
		harness.WriteResponse(w, p.Setting(), nil)
	}).Methods(http.MethodGet)
	r.HandleFunc("/mode", func(w http.ResponseWriter, r *http.Request) {
		var s Setting
		if harness.Decode(w, r, &s) {
			err := p.Set(s)
			harness.WriteResponse(w, p.Setting(), err)
		}
	}).Methods(http.MethodPost)
	return r
}
