package entry

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"persimmonpick/table"
)

// Guards against requests that are cut because callers keep using their connections until a stopping host closes them.
func TestStoppingHostClosesConnectionsAfterAResponse(t *testing.T) {
	is := is.New(t)
	h := capacityHost(table.New(), nil)
	h.control.publish()
	srv := httptest.NewServer((&callerAPI{host: h}).handler())
	defer srv.Close()
	for _, stopping := range []bool{false, true} {
		h.stopping.Store(stopping)
		resp, err := srv.Client().Post(srv.URL+"/v1/requests/quote", "application/json", nil)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.Close, stopping)
	}
}
