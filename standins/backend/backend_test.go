package backend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/standins/harness"
)

func startServer(t *testing.T, cfg Config) (*Server, *httptest.Server) {
	s := New(cfg)
	srv := httptest.NewUnstartedServer(nil)
	srv.Listener = s.Listener(srv.Listener)
	srv.Config = s.HTTPServer()
	srv.Start()
	t.Cleanup(srv.Close)
	return s, srv
}

func post(url, id, body string) (*http.Response, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/quote", strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(HeaderRequestID, id)
	req.Header.Set(HeaderKey, "k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

// Guards against runs missing from the counters, and against a request running although no slot is free.
func TestCountsAndSlots(t *testing.T) {
	is := is.New(t)
	s, srv := startServer(t, Config{Slots: 1})
	id, err := s.Faults.Add(harness.Fault{Action: Freeze})
	is.NoErr(err)
	done := make(chan error, 1)
	go func() {
		_, _, err := post(srv.URL, "held", `{"ServiceMillis":1}`)
		done <- err
	}()
	for s.Stats().SlotsInUse == 0 {
		time.Sleep(time.Millisecond)
	}
	resp, _, err := post(srv.URL, "second", `{"ServiceMillis":1}`)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get(HeaderRefused) != "")
	s.Faults.Remove(id)
	is.NoErr(<-done)
	st := s.Stats()
	is.Equal(st.SlotViolations, 1)
	is.Equal(st.RunsByID, map[string]int{"held": 1})
	is.Equal(st.RunsByKey, map[string]int{"k": 1})
	is.Equal(st.HighestConnections, 2)
}

// Guards against a request that keeps running after the deadline in its header.
func TestDeadlineHeader(t *testing.T) {
	is := is.New(t)
	s, srv := startServer(t, Config{})
	req, err := http.NewRequest(http.MethodPost, srv.URL, strings.NewReader(`{"ServiceMillis":60000}`))
	is.NoErr(err)
	req.Header.Set(HeaderDeadline, fmt.Sprint(time.Now().Add(20*time.Millisecond).UnixMilli()))
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(s.Stats().Late, 1)
}

// Guards against response faults that leave the response intact, and against CloseBefore running the request.
func TestFaults(t *testing.T) {
	const body = `{"ServiceMillis":1,"AnswerBytes":200}`
	cases := []struct {
		action harness.Action
		fails  bool
		runs   int
	}{
		{Truncate, true, 1},
		{CloseBefore, true, 0},
		{CloseAfter, true, 1},
		{WrongLength, false, 1},
		{WrongAnswer, false, 1},
	}
	for _, c := range cases {
		t.Run(string(c.action), func(t *testing.T) {
			is := is.New(t)
			s, srv := startServer(t, Config{})
			_, err := s.Faults.Add(harness.Fault{Action: c.action, Count: 1})
			is.NoErr(err)
			resp, data, err := post(srv.URL, "a", body)
			is.Equal(err != nil, c.fails)
			is.Equal(s.Stats().Runs, c.runs)
			if err == nil {
				var a Response
				complete := json.Unmarshal(data, &a) == nil
				is.True(!complete || a.RequestID != "a" && resp.Header.Get(HeaderRequestID) != "a")
			}
		})
	}
}

// Guards against extra bytes that do not follow the proper response on the same connection.
func TestExtraBytes(t *testing.T) {
	is := is.New(t)
	s, srv := startServer(t, Config{})
	_, err := s.Faults.Add(harness.Fault{Action: ExtraBytes, Count: 1})
	is.NoErr(err)
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /quote HTTP/1.1\r\nHost: b\r\nX-Request-Id: a\r\n\r\n")
	is.NoErr(err)
	r := bufio.NewReader(c)
	for _, id := range []string{"a", "other-request"} {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.Header.Get(HeaderRequestID), id)
	}
}
