package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// The bounds that Dial takes where Config leaves them at zero.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultMaxResponse    = table.Bytes(16 << 20)
	DefaultMaxConnections = 256
)

const (
	idleTimeout = 90 * time.Second
	drainLimit  = 64 << 10 // bytes of an unread answer that are worth reading to keep the connection
)

// Config says where the platform is and bounds the calls to it.
type Config struct {
	URL            string            // such as http://10.0.0.1:7000
	Timeout        time.Duration     // of one call; a waiting read may take its wait longer
	MaxResponse    table.Bytes       // largest answer that is read
	MaxConnections int               // to the log, and as many again to hosts and workers
	Transport      http.RoundTripper // replaces the network in tests; nil for TCP
}

// Dial returns the platform behind an HTTP address; it does not connect before the first call.
func Dial(cfg Config) Platform {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.MaxResponse <= 0 {
		cfg.MaxResponse = DefaultMaxResponse
	}
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	// Calls to frozen workers must not use up the connections to the log.
	log := newClient(cfg, fault.LogUnavailable)
	rest := newClient(cfg, fault.PlatformFailed)
	return Platform{
		Log:     Log{Append: log.append, Read: log.read},
		Hosts:   Hosts{List: rest.list},
		Workers: rest.workers(),
	}
}

type client struct {
	cfg    Config
	base   string
	outageKind fault.Kind // kind of an error that the platform did not name
	http   *http.Client
}

func newClient(cfg Config, outage fault.Kind) *client {
	transport := cfg.Transport
	if transport == nil {
		transport = &http.Transport{
			DialContext:            (&net.Dialer{Timeout: cfg.Timeout}).DialContext,
			MaxConnsPerHost:        cfg.MaxConnections,
			MaxIdleConns:           cfg.MaxConnections,
			MaxIdleConnsPerHost:    cfg.MaxConnections,
			IdleConnTimeout:        idleTimeout,
			TLSHandshakeTimeout:    cfg.Timeout,
			MaxResponseHeaderBytes: drainLimit,
			DisableCompression:     true,
		}
	}
	return &client{
		cfg:    cfg,
		base:   strings.TrimSuffix(cfg.URL, "/"),
		outageKind: outage,
		http:   &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

// refuseRedirect keeps a redirected call from being sent a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// post sends one call and decodes its answer into out, which may be nil.
func (c *client) post(ctx context.Context, path string, wait time.Duration, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "call %s cannot be encoded", path)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "platform URL %q is not usable", c.cfg.URL)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return c.callError(err, path)
	}
	defer drainAndClose(resp.Body)
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.cfg.MaxResponse)+1))
	if err != nil {
		return c.callError(err, path)
	}
	if table.Bytes(len(data)) > c.cfg.MaxResponse {
		return fault.New(c.outageKind, "answer to %s exceeds %d bytes%s", path, c.cfg.MaxResponse, unknownOutcomeNote(path))
	}
	if resp.StatusCode != http.StatusOK {
		return c.refusalError(path, resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fault.Wrap(err, c.outageKind, "answer to %s cannot be decoded%s", path, unknownOutcomeNote(path))
	}
	return nil
}

// refusalError keeps the kind that the platform named; an answer without one, as a proxy gives, is an outage.
func (c *client) refusalError(path string, status int, data []byte) error {
	var r Refusal
	if json.Unmarshal(data, &r) == nil {
		k := fault.ParseKind(r.Code)
		if k != fault.None && k.String() == r.Code {
			return fault.New(k, "platform refused %s: %s", path, r.Message)
		}
	}
	return fault.New(c.outageKind, "platform answered %s with status %d and no known code%s", path, status, unknownOutcomeNote(path))
}

func (c *client) callError(err error, path string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(err, c.outageKind, "call %s was not sent", path)
	}
	return fault.Wrap(err, c.outageKind, "call %s failed%s", path, unknownOutcomeNote(path))
}

// unknownOutcomeNote says in an error that a call which changes something may have taken effect.
func unknownOutcomeNote(path string) string {
	switch path {
	case PathRead, PathHosts, PathReport:
		return ""
	case PathAppend:
		return "; the outcome is unknown: the append may have taken effect or may still do so"
	}
	return "; the outcome is unknown: the command may have taken effect or may still do so"
}

// drainAndClose reads a short rest of an answer so that the connection can be used again.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, drainLimit)
	_ = body.Close()
}
