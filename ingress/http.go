package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Attach makes a server that serves listeners of g report its requests to g.
func (g *Gate) Attach(s *http.Server) {
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = int(g.cfg.Limits.Header)
	}
	s.Protocols = new(http.Protocols) // a Conn has one request at a time
	s.Protocols.SetHTTP1(true)
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.headerDone()
		next.ServeHTTP(w, r)
		if r.Body != http.NoBody && !c.bodyWhole {
			c.resume() // the server reads on
		}
	})
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		c := ConnOf(conn)
		if c != nil {
			c.boundWrites = s.WriteTimeout == 0
		}
		return newContext(ctx, c)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			ConnOf(conn).Answered()
		}
	}
}

// ReadBody reads the body of r whole. It fails as soon as the body is known to be over limit, or finds no room, and
// then has the connection closed after the answer with the rest unread. w is that of the server, or nil.
func ReadBody(w http.ResponseWriter, r *http.Request, limit table.Bytes) ([]byte, error) {
	c := connOf(r.Context())
	if r.ContentLength > int64(limit) {
		return nil, tooLarge(w, c, limit)
	}
	c.resume()
	defer c.pause()
	data, err := io.ReadAll(&bodyReader{r: r.Body, conn: c, left: limit})
	switch {
	case errors.Is(err, errTooLarge):
		return nil, tooLarge(w, c, limit)
	case errors.Is(err, errRefused):
		closeAfterAnswer(w)
		c.stopReading(Held)
		return nil, fault.New(fault.Overloaded, overloadedText)
	case err != nil:
		return nil, fault.Wrap(err, fault.Invalid, "read the body")
	}
	if c != nil {
		c.bodyWhole = true
	}
	return data, nil
}

// ReserveDecoded takes room for what n bytes of the body of r decode to, until r is answered.
func ReserveDecoded(r *http.Request, n int) error {
	if !connOf(r.Context()).reserve(table.Bytes(n) * decodedCost) {
		return fault.New(fault.Overloaded, overloadedText)
	}
	return nil
}

const overloadedText = "too many large requests at once"

func tooLarge(w http.ResponseWriter, c *Conn, limit table.Bytes) error {
	closeAfterAnswer(w)
	c.stopReading(TooLarge)
	return fault.New(fault.TooLarge, "the body is larger than %d bytes", limit)
}

// closeAfterAnswer has the server close the connection after the answer in such a way that the client still reads the
// answer while it sends. Only a reader over its limit can ask net/http for that.
func closeAfterAnswer(w http.ResponseWriter) {
	if w == nil {
		return
	}
	over := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("over")), 0)
	_, _ = over.Read(make([]byte, 1)) // always over the limit
}

var errTooLarge = errors.New("body over its limit")

// bodyReader charges a body as it arrives.
type bodyReader struct {
	r    io.Reader
	conn *Conn
	left table.Bytes
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.left -= table.Bytes(n)
	switch {
	case b.left < 0:
		return 0, errTooLarge
	case n > 0 && !b.conn.reserve(table.Bytes(n)*arrivalCost):
		return 0, errRefused
	}
	return n, err
}
