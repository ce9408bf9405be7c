package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter blocks each write until release is closed, like a standard output without a reader.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against a process that blocks on its log because nothing reads its standard output.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	stuck := blockedWriter{make(chan struct{})}
	defer close(stuck.release)
	l := NewLineWriter(stuck)
	began := time.Now()
	for range 10 * logQueueLines {
		n, err := l.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(time.Since(began) < time.Second)
	is.True(l.dropped.Load() > 0)
}

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	c := Configuration{Routes: []Route{{Host: "h", Prefix: "/a/"}, {Host: "h", Prefix: "/a/b/"}, {Host: "other", Prefix: "/a/b/c/"}}}
	r, rest, ok := c.Find("H", "/a/b/c/x")
	is.True(ok)
	is.Equal(r.Prefix, "/a/b/")
	is.Equal(rest, "c/x")
	_, _, ok = c.Find("h", "/b")
	is.True(!ok)
}
