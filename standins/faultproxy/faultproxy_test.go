package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEchoServer starts a server that echoes what it receives and also sends it to got.
func startEchoServer(t *testing.T) (address string, got <-chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	ch := make(chan string, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 64)
				for {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					ch <- string(buf[:n])
					_, _ = c.Write(buf[:n])
				}
			}()
		}
	}()
	return l.Addr().String(), ch
}

func startProxy(t *testing.T, s Setting) (*Proxy, net.Conn, <-chan string) {
	is := is.New(t)
	address, got := startEchoServer(t)
	p, err := Listen("127.0.0.1:0", address)
	is.NoErr(err)
	t.Cleanup(p.Close)
	is.NoErr(p.Set(s))
	c, err := net.Dial("tcp", p.Address())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return p, c, got
}

// sendHello writes hello and returns what is echoed within d.
func sendHello(c net.Conn, d time.Duration) (string, error) {
	if _, err := io.WriteString(c, "hello"); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	buf := make([]byte, 5)
	n, err := io.ReadFull(c, buf)
	return string(buf[:n]), err
}

const (
	long  = 5 * time.Second
	short = 50 * time.Millisecond
)

// Guards against a mode that forwards bytes which it should hold or discard, or holds bytes which it should forward.
func TestModes(t *testing.T) {
	t.Run("Delay", func(t *testing.T) {
		is := is.New(t)
		_, c, _ := startProxy(t, Setting{Mode: Delay, Delay: 20})
		begun := time.Now()
		answer, err := sendHello(c, long)
		is.NoErr(err)
		is.Equal(answer, "hello")
		is.True(time.Since(begun) >= 40*time.Millisecond)
	})
	t.Run("DropReplies", func(t *testing.T) {
		is := is.New(t)
		_, c, got := startProxy(t, Setting{Mode: DropReplies})
		_, err := sendHello(c, short)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(<-got, "hello")
	})
	t.Run("HalfOpen", func(t *testing.T) {
		is := is.New(t)
		_, c, got := startProxy(t, Setting{Mode: HalfOpen})
		_, err := sendHello(c, short)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(len(got), 0)
	})
	t.Run("Freeze", func(t *testing.T) {
		is := is.New(t)
		p, c, got := startProxy(t, Setting{Mode: Freeze})
		_, err := sendHello(c, short)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(len(got), 0)
		is.NoErr(p.Set(Setting{Mode: Pass}))
		is.Equal(<-got, "hello") // held bytes are delivered after the freeze
	})
	t.Run("Cut", func(t *testing.T) {
		is := is.New(t)
		p, c, _ := startProxy(t, Setting{Mode: Pass})
		_, err := sendHello(c, long)
		is.NoErr(err)
		is.NoErr(p.Set(Setting{Mode: Cut}))
		_, err = sendHello(c, long)
		is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	})
	t.Run("Truncate", func(t *testing.T) {
		is := is.New(t)
		_, c, _ := startProxy(t, Setting{Mode: Truncate, Bytes: 3})
		answer, err := sendHello(c, long)
		is.Equal(answer, "hel")
		is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	})
}
