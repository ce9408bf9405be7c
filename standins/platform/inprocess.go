package platform

import (
	"bytes"
	"net/http"
	"net/http/httptest"
)

// RoundTripper is an http.RoundTripper that calls a handler directly, without a network, so that an HTTP client can be
// used inside testing/synctest.
type RoundTripper struct {
	Handler http.Handler
}

// RoundTrip runs the handler on its own goroutine and returns early with the error of the request context once that is
// done.
func (t RoundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	done := make(chan *http.Response, 1)
	go func() {
		defer close(done)
		// Handlers abort a connection by panicking with http.ErrAbortHandler.
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler {
				panic(v)
			}
		}()
		rec := httptest.NewRecorder()
		t.Handler.ServeHTTP(rec, serverRequest(req))
		done <- rec.Result()
	}()
	select {
	case <-req.Context().Done():
		return nil, req.Context().Err()
	case resp := <-done:
		if resp == nil {
			return nil, errDropped
		}
		return resp, nil
	}
}

func serverRequest(req *http.Request) *http.Request {
	r := req.Clone(req.Context())
	if r.Body == nil {
		r.Body = http.NoBody
	}
	r.RequestURI = r.URL.RequestURI()
	var b bytes.Buffer
	_, _ = b.ReadFrom(r.Body)
	r.Body = http.NoBody
	if b.Len() > 0 {
		r.Body = readCloser{&b}
	}
	return r
}

type readCloser struct{ *bytes.Buffer }

// Close is a no-op; the buffer holds no resources.
func (readCloser) Close() error { return nil }
