package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

// lingerTime is how long a hijacked connection stays open, so that the client can reuse it and read the extra bytes.
const lingerTime = time.Second

// Request is the optional JSON content of a request body; any other body selects the defaults.
type Request struct {
	ServiceMillis float64 // overridden by the header X-Service-Millis
	AnswerBytes   int     // length of the response padding, in bytes
	Key           string  // used if the header Idempotency-Key is missing
}

// Response is the JSON body of a response.
type Response struct {
	RequestID string
	Instance  string
	Key       string
	Digest    string // xxhash of the request body
	Pad       string
}

type response struct {
	id   string
	body []byte
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, harness.MaxBody))
	if !s.acquireSlot(r, len(body), err == nil) {
		w.Header().Set(HeaderRefused, "NoSlot")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	if err != nil {
		http.Error(w, "body was not received whole", http.StatusBadRequest)
		return
	}
	f, ended, _ := s.Faults.Take(func(harness.Fault) bool { return true })
	if f.Action == CloseBefore {
		panic(http.ErrAbortHandler)
	}
	if f.Action == Freeze {
		select {
		case <-ended:
		case <-r.Context().Done():
			return
		}
	}
	var in Request
	_ = json.Unmarshal(body, &in)
	if key := r.Header.Get(HeaderKey); key != "" {
		in.Key = key
	}
	if !s.execute(r, in.Key, s.serviceTime(r, in, f)) {
		http.Error(w, "request was cut short", http.StatusGatewayTimeout)
		return
	}
	resp, previous := s.buildResponse(r, in, body)
	s.reply(w, f, resp, previous)
}

// acquireSlot counts a request, takes a slot for it, and reports whether one was free.
func (s *Server) acquireSlot(r *http.Request, size int, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countConn(r.Context())
	s.stats.Bytes += table.Bytes(size)
	if complete {
		s.stats.Requests++
	}
	if s.stats.SlotsInUse == s.cfg.Slots {
		s.stats.SlotViolations++
		return false
	}
	s.stats.SlotsInUse++
	s.stats.HighestSlots = max(s.stats.HighestSlots, s.stats.SlotsInUse)
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.SlotsInUse--
}

func (s *Server) serviceTime(r *http.Request, in Request, f harness.Fault) time.Duration {
	d := time.Duration(in.ServiceMillis * float64(time.Millisecond))
	if ms, err := strconv.ParseFloat(r.Header.Get(HeaderServiceMillis), 64); err == nil {
		d = time.Duration(ms * float64(time.Millisecond))
	}
	if d <= 0 {
		d = s.drawServiceTime()
	}
	if f.Action == Slow {
		d = time.Duration(float64(d) * f.Factor)
	}
	return d
}

// execute counts a run and lets it take d. It returns false if the run is aborted because the request was cancelled or
// its deadline passed.
func (s *Server) execute(r *http.Request, key string, d time.Duration) bool {
	s.mu.Lock()
	s.stats.Runs++
	s.stats.RunsByID[r.Header.Get(HeaderRequestID)]++
	if key != "" {
		s.stats.RunsByKey[key]++
	}
	s.mu.Unlock()
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, time.UnixMilli(ms))
		defer cancel()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Context().Err() != nil {
		s.stats.Cancelled++
	} else {
		s.stats.Late++
	}
	return false
}

// buildResponse counts a completed run and returns its response, and that of the previous request for WrongAnswer and
// ExtraBytes.
func (s *Server) buildResponse(r *http.Request, in Request, body []byte) (resp, previous response) {
	resp.id = r.Header.Get(HeaderRequestID)
	resp.body, _ = json.Marshal(Response{
		RequestID: resp.id,
		Instance:  s.cfg.Name,
		Key:       in.Key,
		Digest:    fmt.Sprintf("%016x", xxhash.Sum64(body)),
		Pad:       strings.Repeat("x", min(max(0, in.AnswerBytes), harness.MaxBody)),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Finished++
	previous = s.lastResponse
	s.lastResponse = resp
	if previous.body == nil || previous.id == resp.id {
		previous = response{"other-request", []byte(`{"RequestID":"other-request"}`)}
	}
	return resp, previous
}

func (s *Server) reply(w http.ResponseWriter, f harness.Fault, resp, previous response) {
	switch f.Action {
	case Fail:
		w.Header().Set(HeaderRequestID, resp.id)
		http.Error(w, "fails on demand", http.StatusInternalServerError)
	case CloseAfter:
		panic(http.ErrAbortHandler)
	case Truncate:
		writeResponse(w, resp, len(resp.body)/2)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case WrongLength:
		writeRaw(w, rawResponse(resp, len(resp.body)/2))
	case ExtraBytes:
		writeRaw(w, append(rawResponse(resp, len(resp.body)), rawResponse(previous, len(previous.body))...))
	case WrongAnswer:
		writeResponse(w, previous, len(previous.body))
	default:
		writeResponse(w, resp, len(resp.body))
	}
}

// writeResponse writes the first n bytes of a response body; Content-Length is the full length.
func writeResponse(w http.ResponseWriter, resp response, n int) {
	w.Header().Set(HeaderRequestID, resp.id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	_, _ = w.Write(resp.body[:n])
}

// rawResponse returns a complete HTTP response with the given Content-Length.
func rawResponse(resp response, length int) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", HeaderRequestID, resp.id, length)
	return append([]byte(head), resp.body...)
}

// writeRaw hijacks the connection, because net/http would not write a malformed response.
func writeRaw(w http.ResponseWriter, data []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = c.Write(data)
	time.AfterFunc(lingerTime, func() { _ = c.Close() })
}
