package route

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against overlooking bytes beyond Content-Length when the header section arrives in pieces or after a 1xx
// response.
func TestReceivedCountsTheBody(t *testing.T) {
	is := is.New(t)
	answer := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbody"
	for size := 1; size <= len(answer); size++ {
		var r responseCounter
		for i := 0; i < len(answer); i += size {
			r.add([]byte(answer[i:min(i+size, len(answer))]))
		}
		is.True(r.headDone)
		is.Equal(r.bodyBytes, int64(4))
	}
}
