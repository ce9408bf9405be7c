package backend

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

// The headers that the stand-in reads and writes.
const (
	HeaderRequestID     = "X-Request-Id" // echoed
	HeaderKey           = "Idempotency-Key"
	HeaderDeadline      = "Persimmonpick-Deadline" // unix milliseconds
	HeaderRefused       = "Persimmonpick-Refused"  // set on a 503 of a request that did not run
	HeaderServiceMillis = "X-Service-Millis"       // service time
)

// AdminPrefix is the prefix of the admin paths.
const AdminPrefix = "/admin"

// The actions of faults; see standins/README.md.
const (
	Slow        harness.Action = "Slow"        // service time times Factor
	Fail        harness.Action = "Fail"        // status 500 after running
	Truncate    harness.Action = "Truncate"    // half of the answer, then the connection closes
	WrongLength harness.Action = "WrongLength" // Content-Length is half of what is sent
	CloseBefore harness.Action = "CloseBefore" // connection closes before the request runs
	CloseAfter  harness.Action = "CloseAfter"  // connection closes after the request ran
	WrongAnswer harness.Action = "WrongAnswer" // answer of another request
	ExtraBytes  harness.Action = "ExtraBytes"  // a second answer follows on the connection
	Freeze      harness.Action = "Freeze"      // requests are held until the fault ends
)

// Config sets up a Server; zero values take the defaults.
type Config struct {
	Name        string
	Slots       int // 8 by default
	Connections int // 64 by default
	Seed        uint64
	Median      table.Millis // of service times that no request names, 5 by default
	Sigma       float64      // of their logarithm, 0.5 by default
}

// Stats counts what reached the stand-in; admin calls do not count.
type Stats struct {
	SlotsInUse         int
	HighestSlots       int
	Connections        int
	HighestConnections int
	Requests           int         // received whole, refused ones included
	Bytes              table.Bytes // of request bodies
	Runs               int
	Finished           int // runs that were not cut short
	Cancelled          int // runs cut short because the request was cancelled
	Late               int // runs cut short by the deadline
	SlotViolations     int
	ConnViolations     int
	RunsByID           map[string]int // by X-Request-Id
	RunsByKey          map[string]int // by Idempotency-Key, or Request.Key where there is none
}

// Server is the stand-in.
type Server struct {
	Faults *harness.Faults

	cfg          Config
	mu           sync.Mutex
	stats        Stats
	rng          *rand.Rand
	lastResponse response // of the newest request that ran
}

// New returns a stand-in.
func New(cfg Config) *Server {
	if cfg.Slots == 0 {
		cfg.Slots = 8
	}
	if cfg.Connections == 0 {
		cfg.Connections = 64
	}
	if cfg.Median == 0 {
		cfg.Median = 5
	}
	if cfg.Sigma == 0 {
		cfg.Sigma = 0.5
	}
	s := &Server{
		Faults: harness.NewFaults(Slow, Fail, Truncate, WrongLength, CloseBefore, CloseAfter, WrongAnswer, ExtraBytes, Freeze),
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	s.stats.RunsByID = map[string]int{}
	s.stats.RunsByKey = map[string]int{}
	return s
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.stats
	c.RunsByID = copyCounts(c.RunsByID)
	c.RunsByKey = copyCounts(c.RunsByKey)
	return c
}

func copyCounts(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, n := range m {
		c[k] = n
	}
	return c
}

// HTTPServer returns a server with the handler and the count of connections.
func (s *Server) HTTPServer() *http.Server {
	r := mux.NewRouter()
	s.Faults.Mount(r, AdminPrefix+"/faults")
	r.HandleFunc(AdminPrefix+"/stats", func(w http.ResponseWriter, _ *http.Request) {
		harness.WriteResponse(w, s.Stats(), nil)
	})
	r.PathPrefix("/").HandlerFunc(s.serve)
	return &http.Server{Handler: r, ConnContext: s.connContext}
}

type connKey struct{}

// conn counts as a connection from its first request that is no admin call.
type conn struct {
	net.Conn
	s       *Server
	counted bool
}

func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// Listener counts the connections that l accepts.
func (s *Server) Listener(l net.Listener) net.Listener {
	return listener{l, s}
}

type listener struct {
	net.Listener
	s *Server
}

// Accept returns a connection that tells the server when it closes.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, s: l.s}, nil
}

// Close closes the connection and takes it out of the count.
func (c *conn) Close() error {
	c.s.mu.Lock()
	if c.counted {
		c.counted = false
		c.s.stats.Connections--
	}
	c.s.mu.Unlock()
	return c.Conn.Close()
}

// countConn is called under the lock of the server.
func (s *Server) countConn(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c.counted {
		return
	}
	c.counted = true
	s.stats.Connections++
	s.stats.HighestConnections = max(s.stats.HighestConnections, s.stats.Connections)
	if s.stats.Connections > s.cfg.Connections {
		s.stats.ConnViolations++
	}
}

// drawServiceTime draws from a log-normal distribution.
func (s *Server) drawServiceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := float64(s.cfg.Median) * math.Exp(s.cfg.Sigma*s.rng.NormFloat64())
	return time.Duration(ms * float64(time.Millisecond))
}
