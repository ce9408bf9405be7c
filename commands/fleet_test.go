package commands

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonpick/fleet"
)

// Guards against a fleet command that omits hosts or fields, or that succeeds without an address or an answer.
func TestFleetShowsHosts(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, fleet.PathStatus)
		is.NoErr(json.NewEncoder(w).Encode(fleet.Status{
			Host: "front-1", Ready: true, Leader: "front-2", Epoch: 7,
			Queues: []fleet.QueueStatus{{Queue: "q", Pending: 3}, {Queue: "r", Pending: 4}},
		}))
	}))
	defer srv.Close()
	var out, errs bytes.Buffer
	code := Run(t.Context(), Env{Stdout: &out, Stderr: &errs}, []string{"persimmonpick", "fleet", strings.TrimPrefix(srv.URL, "http://")})
	is.Equal(errs.String(), "")
	is.Equal(code, 0)
	is.True(strings.Contains(out.String(), "front-2"))
	is.True(strings.Contains(out.String(), "7"))
	is.True(Run(t.Context(), Env{Stdout: &out, Stderr: &errs}, []string{"persimmonpick", "fleet"}) != 0)
	is.True(Run(t.Context(), Env{Stdout: &out, Stderr: &errs}, []string{"persimmonpick", "fleet", "127.0.0.1:1"}) != 0)
}
