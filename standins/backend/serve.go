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

// lingerTime is how long a connection with extra bytes stays open for its client to use again.
const lingerTime = time.Second

// Request is the JSON that a request body may hold; a body of another form takes the defaults.
type Request struct {
	ServiceMillis float64 // header X-Service-Millis does the same
	AnswerBytes   int     // padding of the answer
	Key           string  // names the request in Stats.RunsByKey and in the answer, if the header does not
}

// Response is the JSON of an answer.
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
	f, over, _ := s.Faults.Take(func(harness.Fault) bool { return true })
	if f.Action == CloseBefore {
		panic(http.ErrAbortHandler)
	}
	if f.Action == Freeze {
		select {
		case <-over:
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
	a, previous := s.buildResponse(r, in, body)
	s.reply(w, f, a, previous)
}

// acquireSlot takes a slot and says whether one was free.
func (s *Server) acquireSlot(r *http.Request, size int, whole bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countConn(r.Context())
	s.stats.Bytes += table.Bytes(size)
	if whole {
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

// execute runs a request for d and says whether it was not cut short.
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

func (s *Server) buildResponse(r *http.Request, in Request, body []byte) (a, previous response) {
	a.id = r.Header.Get(HeaderRequestID)
	a.body, _ = json.Marshal(Response{
		RequestID: a.id,
		Instance:  s.cfg.Name,
		Key:       in.Key,
		Digest:    fmt.Sprintf("%016x", xxhash.Sum64(body)),
		Pad:       strings.Repeat("x", min(max(0, in.AnswerBytes), harness.MaxBody)),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Finished++
	previous = s.lastResponse
	s.lastResponse = a
	if previous.body == nil || previous.id == a.id {
		previous = response{"other-request", []byte(`{"RequestID":"other-request"}`)}
	}
	return a, previous
}

func (s *Server) reply(w http.ResponseWriter, f harness.Fault, a, previous response) {
	switch f.Action {
	case Fail:
		w.Header().Set(HeaderRequestID, a.id)
		http.Error(w, "fails on demand", http.StatusInternalServerError)
	case CloseAfter:
		panic(http.ErrAbortHandler)
	case Truncate:
		writeResponse(w, a, len(a.body)/2)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case WrongLength:
		writeRaw(w, rawResponse(a, len(a.body)/2))
	case ExtraBytes:
		writeRaw(w, append(rawResponse(a, len(a.body)), rawResponse(previous, len(previous.body))...))
	case WrongAnswer:
		writeResponse(w, previous, len(previous.body))
	default:
		writeResponse(w, a, len(a.body))
	}
}

// writeResponse writes the first n bytes under the true length.
func writeResponse(w http.ResponseWriter, a response, n int) {
	w.Header().Set(HeaderRequestID, a.id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	_, _ = w.Write(a.body[:n])
}

// rawResponse is a whole answer on the wire under the given length.
func rawResponse(a response, length int) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", HeaderRequestID, a.id, length)
	return append([]byte(head), a.body...)
}

// writeRaw takes the connection over from the HTTP server, which would not write a wrong answer.
func writeRaw(w http.ResponseWriter, data []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = c.Write(data)
	time.AfterFunc(lingerTime, func() { _ = c.Close() })
}
