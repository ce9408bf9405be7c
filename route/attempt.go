package route

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// maxStaleConns bounds the closed idle connections of an instance that one attempt may meet and replace.
const maxStaleConns = 8

// attempt sends a request to one instance once. It runs until its response or its deadline even if the caller
// leaves, so that its slot stays occupied while the backend server may work on the request.
type attempt struct {
	inst     table.Instance
	deadline time.Time
	cancel   context.CancelFunc

	mu           sync.Mutex
	conn         *trackedConn
	transmission *transmission
	reused       bool // conn has served a request before
	rejectConns  bool // further connections are sealed
	abandoned    bool // stopped before a byte was sent
}

// outcome is the result of an attempt.
type outcome struct {
	response  Response
	err       error
	sent      bool // a byte of the request may have been sent
	refused   bool // the backend server reported that it did not run the request
	abandoned bool // the caller left before a byte was sent
	latency   time.Duration
	inst      table.Instance
}

func (o *outcome) succeeded() bool {
	return o.err == nil && !o.refused && o.response.Status < http.StatusInternalServerError
}

// run sends the request and reads the complete response.
func (a *attempt) run(ctx context.Context, transport http.RoundTripper, req *Request, maxAnswer int64) outcome {
	start := time.Now()
	out := a.exchange(ctx, transport, req, maxAnswer)
	// An idle connection that turned out to be closed says nothing about the health of the instance.
	for range maxStaleConns {
		if out.err == nil || out.sent || !a.allowReconnect() {
			break
		}
		out = a.exchange(ctx, transport, req, maxAnswer)
	}
	out.latency = time.Since(start)
	out.inst = a.inst
	out.abandoned = a.isAbandoned()
	return out
}

func (a *attempt) exchange(ctx context.Context, transport http.RoundTripper, req *Request, maxAnswer int64) outcome {
	hreq, err := a.request(ctx, req)
	if err != nil {
		return outcome{err: err}
	}
	res, err := transport.RoundTrip(hreq)
	if err != nil {
		return outcome{err: fault.Wrap(err, fault.BackendFailed, "instance %s", a.inst.ID), sent: a.fail()}
	}
	defer res.Body.Close() //nolint:errcheck // the body was read or its connection is closed
	if err := checkHead(res, req.ID); err != nil {
		return outcome{err: err, sent: a.fail()}
	}
	body, err := readBody(res, maxAnswer)
	if err != nil {
		return outcome{err: err, sent: a.fail()}
	}
	if res.ContentLength >= 0 && a.bodyExceeds(res.ContentLength) {
		err := fault.New(fault.BadAnswer, "more bytes came than the answer's length of %d", res.ContentLength)
		return outcome{err: err, sent: a.fail()}
	}
	ans := Response{
		Status:   res.StatusCode,
		Header:   endToEndHeaders(res.Header),
		Body:     body,
		Instance: a.inst.ID,
		Ran:      fault.RanYes,
	}
	return outcome{response: ans, sent: true, refused: refused(res)}
}

func (a *attempt) request(ctx context.Context, req *Request) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.inst.Address+req.Kind.Path, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "request of kind %s", req.Kind.ID)
	}
	if len(req.Body) > 0 {
		// The transport replays only requests that have GetBody set.
		hreq.Body = io.NopCloser(bytes.NewReader(req.Body))
		hreq.ContentLength = int64(len(req.Body))
	}
	hreq.Header = requestHeader(req, a.deadline)
	return hreq, nil
}

// gotConn accepts the first connection of an attempt. A second one means that the transport replays the
// request on its own; it is sealed, so that the replay fails.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	tr := conn.begin(a.deadline)
	if a.rejectConns || a.conn != nil {
		conn.seal(tr)
		return
	}
	a.conn = conn
	a.transmission = tr
	a.reused = info.Reused
}

// bodyExceeds reports whether more than length bytes of the response body arrived. Then Content-Length is
// wrong, or the connection carries bytes of another response.
func (a *attempt) bodyExceeds(length int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && a.conn.bodyExceeds(a.transmission, length)
}

// fail closes the connection and reports whether a byte of the request may have been sent. No byte is sent afterwards.
func (a *attempt) fail() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rejectConns = true
	if a.conn == nil {
		return false
	}
	sent := a.conn.seal(a.transmission)
	_ = a.conn.Close()
	return sent
}

// allowReconnect prepares the attempt for another connection. It reports false unless the last connection had
// served a request before.
func (a *attempt) allowReconnect() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned || !a.reused {
		return false
	}
	a.conn = nil
	a.transmission = nil
	a.reused = false
	a.rejectConns = false
	return true
}

// abandon stops the attempt if no byte of the request was sent, and reports whether one may have been sent.
func (a *attempt) abandon() (sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && !a.conn.sealIfUnsent(a.transmission) {
		return true
	}
	a.rejectConns = true
	a.abandoned = true
	a.cancel()
	return false
}

func (a *attempt) isAbandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned
}

// mayStillRun reports whether the backend server may still work on the request although the attempt has
// failed. It does not if it closed the connection.
func (o *outcome) mayStillRun() bool {
	if o.err == nil || !o.sent {
		return false
	}
	closed := errors.Is(o.err, io.EOF) || errors.Is(o.err, io.ErrUnexpectedEOF) ||
		errors.Is(o.err, syscall.ECONNRESET) || errors.Is(o.err, syscall.EPIPE)
	return !closed
}
