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

// maxStale bounds how many closed connections of an instance one attempt may meet.
const maxStale = 8

// attempt sends a request to one instance once; it runs to its answer or its deadline even if the caller leaves, so that its slot is counted while the backend server may work on it.
type attempt struct {
	inst     table.Instance
	deadline time.Time
	cancel   context.CancelFunc

	mu    sync.Mutex
	conn  *countedConn
	send  *sending
	kept  bool // conn served a request before
	stale bool // takes no further connection
	left  bool // abandoned before a byte was sent
}

// outcome is what came of an attempt.
type outcome struct {
	answer    Response
	err       error
	sent      bool // a byte of the request may have been sent
	refused   bool // the backend server says that it did not run the request
	abandoned bool // the caller left before a byte was sent
	latency   time.Duration
	inst      table.Instance
}

func (o *outcome) good() bool {
	return o.err == nil && !o.refused && o.answer.Status < http.StatusInternalServerError
}

// run sends the request and reads the whole answer.
func (a *attempt) run(ctx context.Context, transport http.RoundTripper, req *Request, maxAnswer int64) outcome {
	start := time.Now()
	out := a.exchange(ctx, transport, req, maxAnswer)
	// A kept connection that turned out to be closed says nothing about the instance.
	for range maxStale {
		if out.err == nil || out.sent || !a.renew() {
			break
		}
		out = a.exchange(ctx, transport, req, maxAnswer)
	}
	out.latency = time.Since(start)
	out.inst = a.inst
	out.abandoned = a.abandoned()
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
	defer res.Body.Close() //nolint:errcheck // the body was read whole or its connection is closed
	if err := checkHead(res, req.ID); err != nil {
		return outcome{err: err, sent: a.fail()}
	}
	body, err := readWhole(res, maxAnswer)
	if err != nil {
		return outcome{err: err, sent: a.fail()}
	}
	if res.ContentLength >= 0 && a.excess(res.ContentLength) {
		err := fault.New(fault.BadAnswer, "more bytes came than the answer's length of %d", res.ContentLength)
		return outcome{err: err, sent: a.fail()}
	}
	ans := Response{
		Status:   res.StatusCode,
		Header:   endToEnd(res.Header),
		Body:     body,
		Instance: a.inst.ID,
		Ran:      fault.RanYes,
	}
	return outcome{answer: ans, sent: true, refused: refused(res)}
}

func (a *attempt) request(ctx context.Context, req *Request) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.inst.Address+req.Kind.Path, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "request of kind %s", req.Kind.ID)
	}
	if len(req.Body) > 0 {
		// Without GetBody the transport cannot replay the request.
		hreq.Body = io.NopCloser(bytes.NewReader(req.Body))
		hreq.ContentLength = int64(len(req.Body))
	}
	hreq.Header = requestHeader(req, a.deadline)
	return hreq, nil
}

// gotConn accepts one connection for an attempt; a second one means that the transport repeats the request by itself, which is prevented.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	send := conn.begin(a.deadline)
	if a.stale || a.conn != nil {
		conn.seal(send)
		return
	}
	a.conn = conn
	a.send = send
	a.kept = info.Reused
}

// excess says whether more than length bytes of the answer's body arrived: its length is wrong, or another answer is mixed in.
func (a *attempt) excess(length int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && a.conn.excess(a.send, length)
}

// fail closes the connection and reports whether a byte may have been sent; none is sent later.
func (a *attempt) fail() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stale = true
	if a.conn == nil {
		return false
	}
	sent := a.conn.seal(a.send)
	_ = a.conn.Close()
	return sent
}

// renew allows another connection where the last one was a kept one and no byte was sent on it.
func (a *attempt) renew() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left || !a.kept {
		return false
	}
	a.conn = nil
	a.send = nil
	a.kept = false
	a.stale = false
	return true
}

// abandon stops an attempt of which no byte was sent, and reports whether one may have been sent.
func (a *attempt) abandon() (sent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && !a.conn.sealUnsent(a.send) {
		return true
	}
	a.stale = true
	a.left = true
	a.cancel()
	return false
}

func (a *attempt) abandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// working says whether the backend server may still work on the request although its answer was given up.
func (o *outcome) working() bool {
	if o.err == nil || !o.sent {
		return false
	}
	closed := errors.Is(o.err, io.EOF) || errors.Is(o.err, io.ErrUnexpectedEOF) ||
		errors.Is(o.err, syscall.ECONNRESET) || errors.Is(o.err, syscall.EPIPE)
	return !closed
}
