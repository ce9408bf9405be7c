package commands

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"persimmonpick/answer"
	"persimmonpick/fault"
)

const (
	// maxResponseBytes limits the response body that is read from a server.
	maxResponseBytes = 64 << 20
	// dialTimeout is short so that the client soon moves on from a dead entry host to the next one.
	dialTimeout = 3 * time.Second
)

// client sends requests to the first of several equivalent servers that answers.
type client struct {
	urls    []string
	http    *http.Client
	timeout time.Duration
}

// effect classifies what a call does to the servers, which decides whether it may be retried.
type effect int

const (
	readOnly      effect = iota
	idempotent           // changes state, but a repeat has no further effect
	nonIdempotent        // changes state, and a repeat could take effect twice or give a misleading response
)

// call is one request, independent of the server that it is sent to.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	effect effect
}

// response is a server's response with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
}

func newClient(c *cli.Context, urls []string) (*client, error) {
	for _, raw := range urls {
		u, err := url.Parse(raw)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, newUsageError("%q is not a URL with http or https", raw)
		}
	}
	config, err := tlsConfig(c.String(flagCert), c.String(flagKey), c.String(flagCA))
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{TLSClientConfig: config, DialContext: dialer.DialContext}
	return &client{
		urls:    urls,
		timeout: c.Duration(flagTimeout),
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

func newOperatorClient(c *cli.Context) (*client, error) {
	urls := c.StringSlice(flagOperators)
	if len(urls) == 0 {
		return nil, newUsageError("-%s or PERSIMMONPICK_OPERATORS must name a URL", flagOperators)
	}
	return newClient(c, urls)
}

func tlsConfig(certFile, keyFile, caFile string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if (certFile == "") != (keyFile == "") {
		return nil, newUsageError("-%s and -%s go together", flagCert, flagKey)
	}
	if certFile != "" {
		cert, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "certificate and key")
		}
		config.Certificates = []tls.Certificate{cert}
	}
	if caFile != "" {
		data, err := os.ReadFile(caFile)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "authority")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(data) {
			return nil, fault.New(fault.Invalid, "authority %s: no certificate in the file", caFile)
		}
	}
	return config, nil
}

// doJSON sends v as JSON, or no body if v is nil, and decodes the response into into.
func (c *client) doJSON(ctx context.Context, method, path string, sideEffect effect, v, into any) error {
	request := call{method: method, path: path, effect: sideEffect, header: http.Header{}}
	if v != nil {
		body, err := json.Marshal(v)
		if err != nil {
			return fault.Wrap(err, fault.Internal, "encode the request")
		}
		request.body = body
		request.header.Set("Content-Type", "application/json")
	}
	resp, err := c.do(ctx, request)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, into); err != nil {
		return request.lostResponse(err, "the answer could not be read")
	}
	return nil
}

func (c *client) get(ctx context.Context, path string, into any) error {
	return c.doJSON(ctx, http.MethodGet, path, readOnly, nil, into)
}

// do sends request to the servers in turn until one succeeds or fails with an error after which it may not be retried.
func (c *client) do(ctx context.Context, request call) (response, error) {
	var lastErr, unknown error
	for _, base := range c.urls {
		resp, err := c.send(ctx, base, request)
		if err == nil {
			return resp, nil
		}
		lastErr = err
		if fault.Of(err) == fault.OutcomeUnknown {
			unknown = err
		}
		if !request.mayRetry(err) || ctx.Err() != nil {
			break
		}
	}
	if unknown != nil && request.mayRetry(lastErr) {
		// The last server did not run the request, but an earlier one may have.
		return response{}, unknown
	}
	return response{}, lastErr
}

// mayRetry reports whether the request may be sent to another server after err.
func (request call) mayRetry(err error) bool {
	row := fault.Of(err).Answer()
	if row.Ran == fault.RanNo {
		return row.Retry
	}
	return request.effect != nonIdempotent
}

func (c *client) send(ctx context.Context, base string, request call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := strings.TrimSuffix(base, "/") + request.path
	r, err := http.NewRequestWithContext(ctx, request.method, target, bytes.NewReader(request.body))
	if err != nil {
		return response{}, newUsageError("%v", err)
	}
	for name, values := range request.header {
		r.Header[name] = values
	}
	// Without GetBody the transport never resends a request with a body on its own.
	r.GetBody = nil
	resp, err := c.http.Do(r)
	if err != nil {
		return response{}, request.transportError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return response{}, request.lostResponse(err, "the answer was not received whole")
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return response{}, request.decodeFault(resp.StatusCode, body)
	}
	return response{resp.StatusCode, resp.Header, body}, nil
}

// transportError distinguishes a failed connection, after which the request cannot have run, from later errors.
func (request call) transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(err, fault.NotReady, "no connection")
	}
	return request.lostResponse(err, "no answer")
}

// lostResponse returns the error of a call whose response is missing or unusable. The outcome is then unknown, unless
// the call is read-only.
func (request call) lostResponse(err error, message string) error {
	if request.effect == readOnly {
		return fault.Wrap(err, fault.NotReady, "%s", message)
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "%s; it may or may not have been done", message)
}

// decodeFault converts the error body of a server into an error of the same kind.
func (request call) decodeFault(status int, body []byte) error {
	var f answer.Fault
	if err := json.Unmarshal(body, &f); err != nil || f.Code == "" {
		return request.lostResponse(fault.New(fault.Internal, "status %d", status), "unexpected answer")
	}
	kind := fault.ParseKind(f.Code)
	if kind == fault.Internal && request.effect != readOnly {
		kind = fault.OutcomeUnknown
	}
	return fault.New(kind, "%s (%s)", f.Message, f.Code)
}

// fetch sends a GET request to an operators' listener and decodes the response into v.
func fetch(c *cli.Context, path string, v any) error {
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	return client.get(c.Context, path, v)
}
