package route

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Internal headers. Headers with InternalPrefix are removed from the requests of callers and from responses.
const (
	InternalPrefix  = "Persimmonpick-"
	DeadlineHeader  = "Persimmonpick-Deadline" // Unix milliseconds
	RefusedHeader   = "Persimmonpick-Refused"  // "1" in a response with status 503: the request did not run
	requestIDHeader = "X-Request-Id"
)

// strippedHeaders lists headers that are not forwarded in either direction.
var strippedHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true, // set from the length of the body
}

// strippedRequestHeaders lists further headers that are not forwarded to backend servers.
var strippedRequestHeaders = map[string]bool{
	"Host":          true,
	"Authorization": true, // the caller's token is meant for the entry host only
	"Expect":        true, // the transport would wait for a 100 Continue
	// http.Transport replays requests that have one of these headers.
	"Idempotency-Key":   true,
	"X-Idempotency-Key": true,
}

// endToEndHeaders returns a copy of the headers that are not specific to one connection or internal.
func endToEndHeaders(from http.Header) http.Header {
	named := map[string]bool{}
	for _, list := range from.Values("Connection") {
		for token := range strings.SplitSeq(list, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	to := make(http.Header, len(from))
	for name, values := range from {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if strippedHeaders[name] || named[name] || strings.HasPrefix(name, InternalPrefix) {
			continue
		}
		to[name] = append(to[name], values...)
	}
	return to
}

// requestHeader returns the headers of a request to a backend server.
func requestHeader(req *Request, deadline time.Time) http.Header {
	h := endToEndHeaders(req.Header)
	for name := range strippedRequestHeaders {
		h.Del(name)
	}
	if h.Get("User-Agent") == "" {
		h.Set("User-Agent", "") // keeps the transport from adding its own
	}
	h.Set(requestIDHeader, req.ID)
	h.Set(DeadlineHeader, strconv.FormatInt(deadline.UnixMilli(), 10))
	return h
}
