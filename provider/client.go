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

// Defaults for fields of Config that are zero.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultMaxResponse    = table.Bytes(16 << 20)
	DefaultMaxConnections = 256
)

const (
	idleTimeout = 90 * time.Second
	drainLimit  = 64 << 10 // longest unread rest of a response, in bytes, that is read to reuse the connection
)

// Config holds the address of the platform and the limits of calls to it.
type Config struct {
	URL            string            // such as http://10.0.0.1:7000
	Timeout        time.Duration     // of one call; a read may take longer by its wait
	MaxResponse    table.Bytes       // largest response that is accepted
	MaxConnections int               // to the log, and as many again to the other services
	Transport      http.RoundTripper // for tests; nil for TCP
}

// Dial returns a client of the platform at cfg.URL; it does not connect before the first call.
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
	// The log has its own client, so that calls to hung workers cannot use up its connections.
	log := newClient(cfg, fault.LogUnavailable)
	rest := newClient(cfg, fault.PlatformFailed)
	return Platform{
		Log:     Log{Append: log.append, Read: log.read},
		Hosts:   Hosts{List: rest.list},
		Workers: rest.workers(),
	}
}

type client struct {
	cfg        Config
	base       string
	outageKind fault.Kind // kind of errors for which the platform gives none
	http       *http.Client
}

func newClient(cfg Config, outageKind fault.Kind) *client {
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
		cfg:        cfg,
		base:       strings.TrimSuffix(cfg.URL, "/"),
		outageKind: outageKind,
		http:       &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

// refuseRedirect keeps a redirected call from being sent twice.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// post sends one call and decodes the response into out unless out is nil; wait extends the timeout.
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

// refusalError returns an error of the kind in the refusal; a response without a known kind, such as from a proxy,
// counts as an outage.
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

// callError distinguishes a call that was not sent from one whose outcome may be unknown.
func (c *client) callError(err error, path string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(err, c.outageKind, "call %s was not sent", path)
	}
	return fault.Wrap(err, c.outageKind, "call %s failed%s", path, unknownOutcomeNote(path))
}

// unknownOutcomeNote returns the note for errors of calls that change state and may have taken effect.
func unknownOutcomeNote(path string) string {
	switch path {
	case PathRead, PathHosts, PathReport:
		return ""
	case PathAppend:
		return "; the outcome is unknown: the append may have taken effect or may still do so"
	}
	return "; the outcome is unknown: the command may have taken effect or may still do so"
}

// drainAndClose reads up to drainLimit of the remaining response, so that the connection can be reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, drainLimit)
	_ = body.Close()
}
