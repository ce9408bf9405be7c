package peer

import (
	"bytes"
	"encoding/gob"
	"net/rpc"
	"testing"

	"github.com/matryer/is"
)

// gobStream returns what a client sends for one call of a method.
func gobStream(t testing.TB, method string, args any) []byte {
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	for _, v := range []any{rpc.Request{ServiceMethod: method, Seq: 1}, args} {
		if err := enc.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

func TestMessagesArePassedOnWhole(t *testing.T) {
	is := is.New(t)
	dec := gob.NewDecoder(newMessageReader(bytes.NewReader(gobStream(t, "Peer.Echo", string(bytes.Repeat([]byte("x"), 200<<10))))))
	var req rpc.Request
	var args string
	is.NoErr(dec.Decode(&req))
	is.NoErr(dec.Decode(&args))
	is.Equal(len(args), 200<<10)
}

func TestMessagesOverTheLimitAreRefusedUnread(t *testing.T) {
	is := is.New(t)
	in := bytes.NewReader(append([]byte("\xfc\x3f\xff\xff\xff"), make([]byte, 1<<20)...))
	_, err := newMessageReader(in).ReadByte()
	is.True(err != nil)
	is.True(in.Len() > 1<<20-8<<10) // no more than a buffer was read
}

// Guards against input of other hosts that ends the process.
func FuzzCallsOfHosts(f *testing.F) {
	f.Add(gobStream(f, "Peer.Heartbeat", Heartbeat{Seat: "e1", Applied: 7, Ready: true}))
	f.Add([]byte("\xf8\x7f\xff\xff\xff\xff\xff\xff\xff"))
	f.Add([]byte("\x80\x00\x00"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		dec := gob.NewDecoder(newMessageReader(bytes.NewReader(data)))
		for {
			var req rpc.Request
			if dec.Decode(&req) != nil {
				return
			}
			var args Heartbeat
			if dec.Decode(&args) != nil {
				return
			}
		}
	})
}
