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

// HTTP headers that the stand-in reads and writes.
const (
	HeaderRequestID     = "X-Request-Id" // echoed in the response
	HeaderKey           = "Idempotency-Key"
	HeaderDeadline      = "Persimmonpick-Deadline" // Unix time in milliseconds
	HeaderRefused       = "Persimmonpick-Refused"  // set on a 503 response to a request that did not run
	HeaderServiceMillis = "X-Service-Millis"       // overrides the service time
)

// AdminPrefix is the path prefix of the admin interface.
const AdminPrefix = "/admin"

// The actions of faults, described in standins/README.md.
const (
	Slow        harness.Action = "Slow"        // the service time is multiplied by Factor
	Fail        harness.Action = "Fail"        // status 500 after the run
	Truncate    harness.Action = "Truncate"    // half of the response body, then the connection closes
	WrongLength harness.Action = "WrongLength" // Content-Length is half of the body that is sent
	CloseBefore harness.Action = "CloseBefore" // the connection closes before the request runs
	CloseAfter  harness.Action = "CloseAfter"  // the connection closes after the request has run
	WrongAnswer harness.Action = "WrongAnswer" // the response of another request
	ExtraBytes  harness.Action = "ExtraBytes"  // a second response follows on the same connection
	Freeze      harness.Action = "Freeze"      // requests are held until the fault ends
)

// Config configures a Server; zero values select the defaults.
type Config struct {
	Name        string
	Slots       int // requests that may run at once, 8 by default
	Connections int // open connections above which each new one is a violation, 64 by default
	Seed        uint64

	// Requests that set no service time get one drawn from a log-normal distribution.
	Median table.Millis // of the distribution, 5 by default
	Sigma  float64      // standard deviation of the logarithm, 0.5 by default
}

// Stats counts requests and connections; those to the admin interface are not counted.
type Stats struct {
	SlotsInUse         int
	HighestSlots       int
	Connections        int
	HighestConnections int
	Requests           int         // received completely, including refused ones
	Bytes              table.Bytes // of request bodies received
	Runs               int
	Finished           int            // runs that completed
	Cancelled          int            // runs aborted because the client cancelled the request
	Late               int            // runs aborted at the deadline
	SlotViolations     int            // requests refused because no slot was free
	ConnViolations     int            // connections opened beyond Config.Connections
	RunsByID           map[string]int // by X-Request-Id
	RunsByKey          map[string]int // by Idempotency-Key, or by Request.Key without that header
}

// Server is the backend server stand-in.
type Server struct {
	Faults *harness.Faults

	cfg          Config
	mu           sync.Mutex
	stats        Stats
	rng          *rand.Rand
	lastResponse response // of the latest request that completed
}

// New returns a Server without faults.
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

// Stats returns a copy of the counters.
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

// HTTPServer returns an HTTP server for the stand-in. Connections are counted if it serves on a listener from Listener.
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

// conn is counted from its first request on, admin requests aside, until it is closed.
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

// Listener wraps l so that the connections it accepts are counted.
func (s *Server) Listener(l net.Listener) net.Listener {
	return listener{l, s}
}

type listener struct {
	net.Listener
	s *Server
}

// Accept returns a connection that is removed from the count when it is closed.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, s: l.s}, nil
}

// Close closes the connection and removes it from the count.
func (c *conn) Close() error {
	c.s.mu.Lock()
	if c.counted {
		c.counted = false
		c.s.stats.Connections--
	}
	c.s.mu.Unlock()
	return c.Conn.Close()
}

// countConn counts the connection of a request once. s.mu must be held.
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

// drawServiceTime draws a service time from the log-normal distribution.
func (s *Server) drawServiceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := float64(s.cfg.Median) * math.Exp(s.cfg.Sigma*s.rng.NormFloat64())
	return time.Duration(ms * float64(time.Millisecond))
}
