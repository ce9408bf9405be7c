package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"persimmonpick/answer"
	"persimmonpick/claim"
	"persimmonpick/fault"
	"persimmonpick/ingress"
	"persimmonpick/route"
	"persimmonpick/table"
)

const (
	keyHeader     = "Idempotency-Key"
	timeoutHeader = "Request-Timeout-Ms" // longest time that the caller waits, in milliseconds
	maxKeyLength  = 128                  // bytes
)

// callerAPI serves the HTTP API of callers.
type callerAPI struct {
	host *Host
}

func (c *callerAPI) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", c.healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", c.readyz).Methods(http.MethodGet)
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.HandleFunc("/requests/{Kind}", c.withTeam(c.serveRequest)).Methods(http.MethodPost)
	v1.HandleFunc("/jobs", c.withTeam(c.submitJob)).Methods(http.MethodPost)
	v1.HandleFunc("/jobs/{ID}", c.withTeam(c.getJob)).Methods(http.MethodGet)
	v1.HandleFunc("/jobs/{ID}", c.withTeam(c.cancelJob)).Methods(http.MethodDelete)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer.Error(w, fault.New(fault.NotFound, "no such path: %s", r.URL.Path))
	})
	return c.closeWhileStopping(c.limitInFlight(r))
}

// closeWhileStopping wraps next and closes each connection after its next response once the host is stopping. When the
// server shuts down it closes the others, also if a caller has begun to send on one.
func (c *callerAPI) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.host.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// limitInFlight wraps next and rejects requests above the limit MaxInFlight, which operators can change. Health checks
// are exempt.
func (c *callerAPI) limitInFlight(next http.Handler) http.Handler {
	var serving atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/v1/") {
			next.ServeHTTP(w, r)
			return
		}
		limit := c.host.control.view.Load().Limit(table.MaxInFlight, c.host.cfg.Limits.MaxInFlight)
		n := serving.Add(1)
		defer serving.Add(-1)
		if n > int64(limit) {
			c.answerError(w, fault.New(fault.Overloaded, "more than %d requests in flight", limit))
			return
		}
		c.host.metrics.inFlight.Inc()
		defer c.host.metrics.inFlight.Dec()
		next.ServeHTTP(w, r)
	})
}

func (c *callerAPI) healthz(w http.ResponseWriter, _ *http.Request) {
	answer.JSON(w, http.StatusOK, map[string]string{"Status": "Alive"})
}

func (c *callerAPI) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case c.host.stopping.Load():
		answer.Error(w, fault.New(fault.Stopping, "this entry host is stopping"))
	case !c.host.control.ready():
		answer.Error(w, fault.New(fault.NotReady, "this entry host has not read the log to its end"))
	case !c.host.group.Fence.Current(time.Now()):
		// This host may not use any slot, so the load balancer should send callers to other hosts.
		answer.Error(w, fault.New(fault.NotCurrent, "this entry host reaches neither the log nor a majority of its peers"))
	default:
		answer.JSON(w, http.StatusOK, map[string]string{"Status": "Ready"})
	}
}

type teamHandler func(w http.ResponseWriter, r *http.Request, team table.TeamID) error

// withTeam returns a handler that calls next with the team of the caller and writes its error as the response.
func (c *callerAPI) withTeam(next teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := c.serveTeam(w, r, next); err != nil {
			c.answerError(w, err)
		}
	}
}

// answerError writes an error as the response to a caller, and counts it.
func (c *callerAPI) answerError(w http.ResponseWriter, err error) {
	c.host.metrics.errors.WithLabelValues(fault.Of(err).String()).Inc()
	answer.Error(w, err)
}

// serveTeam identifies the team by its bearer token and calls next for it.
func (c *callerAPI) serveTeam(w http.ResponseWriter, r *http.Request, next teamHandler) error {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return fault.New(fault.Unauthorized, "no bearer token")
	}
	team, ok := c.host.cfg.TeamTokens[token]
	if !ok {
		return fault.New(fault.Unauthorized, "unknown bearer token")
	}
	if !c.host.control.ready() {
		return fault.New(fault.NotReady, "this entry host has not read the log to its end")
	}
	if c.host.control.view.Load().Teams[team].ID == "" {
		return fault.New(fault.Forbidden, "team %s is not admitted", team)
	}
	return next(w, r, team)
}

// serveRequest serves a latency-critical request.
func (c *callerAPI) serveRequest(w http.ResponseWriter, r *http.Request, team table.TeamID) error {
	kind, ok := c.host.control.view.Load().Kinds[table.KindID(mux.Vars(r)["Kind"])]
	if !ok || kind.Class != table.LatencyCritical {
		return fault.New(fault.NotFound, "no latency-critical kind %q is admitted", mux.Vars(r)["Kind"])
	}
	body, err := ingress.ReadBody(w, r, c.host.cfg.Limits.MaxBody)
	if err != nil {
		return err
	}
	deadline, err := c.deadline(r, kind)
	if err != nil {
		return err
	}
	req := route.Request{ID: rand.Text(), Kind: kind, Team: team, Body: body, Header: r.Header, Deadline: deadline}
	resp, err := c.send(r, req)
	if err != nil {
		return err
	}
	return writeResponse(w, resp)
}

// send sends the request to a backend server, under its idempotency key if it has one.
func (c *callerAPI) send(r *http.Request, req route.Request) (route.Response, error) {
	req.Key = r.Header.Get(keyHeader)
	if req.Key == "" {
		return c.host.router.Serve(r.Context(), req)
	}
	if len(req.Key) > maxKeyLength {
		return route.Response{}, fault.New(fault.Invalid, "%s is longer than %d bytes", keyHeader, maxKeyLength)
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	digest := claim.Digest(req.Kind.ID, r.Header.Get("Content-Type"), req.Body)
	key := claim.Claim{Team: req.Team, Key: req.Key, Kind: req.Kind.ID, Digest: digest}
	return c.host.guard.Do(ctx, key, c.host.sender(req))
}

// deadline returns the time until which the caller waits. The timeout in the header, if any, is bounded by the
// timeout of the kind (at most MaxRequestTime) or, if the kind has none, by RequestTimeout.
func (c *callerAPI) deadline(r *http.Request, kind table.Kind) (time.Time, error) {
	limit := c.host.cfg.Timing.RequestTimeout.D()
	if kind.Timeout > 0 {
		limit = min(time.Duration(kind.Timeout)*time.Millisecond, c.host.cfg.Timing.MaxRequestTime.D())
	}
	if s := r.Header.Get(timeoutHeader); s != "" {
		ms, err := strconv.ParseInt(s, 10, 32)
		if err != nil || ms <= 0 {
			return time.Time{}, fault.New(fault.Invalid, "%s must be a positive number of milliseconds", timeoutHeader)
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return time.Now().Add(limit), nil
}

// writeResponse writes a complete response. Content-Length is set, so that a caller can detect a truncated body.
func writeResponse(w http.ResponseWriter, resp route.Response) error {
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // fails if the caller has disconnected
	return nil
}
