package provider

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
)

// Guards against errors of the wrong kind for responses that are truncated, too large, refused, redirected or late.
func TestKindsOfErrors(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
		want   fault.Kind
	}{
		{"refusal keeps its kind", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"Code":"Overloaded","Message":"later"}`))
		}, fault.Overloaded},
		{"refusal without a known code", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
			_, _ = w.Write([]byte(`{"Code":"Gone"}`))
		}, fault.LogUnavailable},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, fault.LogUnavailable},
		{"cut answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"Offset":7}`))
		}, fault.LogUnavailable},
		{"too large answer", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"Offset":7,"Pad":"` + strings.Repeat("x", 2000) + `"}`))
		}, fault.LogUnavailable},
		{"no answer in time", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after it has read the body
			<-r.Context().Done()
		}, fault.LogUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(c.answer)
			defer srv.Close()
			p := Dial(Config{URL: srv.URL, Timeout: 200 * time.Millisecond, MaxResponse: 1000})
			_, err := p.Log.Append(context.Background(), "s", nil)
			is.Equal(fault.Of(err), c.want)
			is.Equal(strings.Contains(err.Error(), "unknown"), c.want == fault.LogUnavailable)
		})
	}
}

// Guards against a call that was never sent but is reported as having an unknown outcome.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(nil)
	srv.Close()
	p := Dial(Config{URL: srv.URL})
	_, err := p.Log.Append(context.Background(), "s", nil)
	is.Equal(fault.Of(err), fault.LogUnavailable)
	is.True(strings.Contains(err.Error(), "not sent"))
	is.Equal(fault.Of(p.Workers.Renew(context.Background(), "w", nil)), fault.PlatformFailed)
}
