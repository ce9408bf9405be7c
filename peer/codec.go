package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"

	"persimmonpick/ingress"
)

// serverCodec encodes the calls of other hosts as net/rpc does, and reads whole messages of limited size.
type serverCodec struct {
	conn   net.Conn
	client *ingress.Conn
	dec    *gob.Decoder
	out    *bufio.Writer
	enc    *gob.Encoder
	once   sync.Once
}

func newServerCodec(conn net.Conn) *serverCodec {
	out := bufio.NewWriter(conn)
	return &serverCodec{
		conn: conn, client: ingress.ConnOf(conn), dec: gob.NewDecoder(newMessageReader(conn)), out: out, enc: gob.NewEncoder(out),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.dec.Decode(r) }

// ReadRequestBody implements rpc.ServerCodec. The arguments have arrived whole when it returns.
func (c *serverCodec) ReadRequestBody(args any) error {
	defer c.client.CallArrived()
	return c.dec.Decode(args)
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, reply any) error {
	defer c.client.CallAnswered()
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(reply)
	}
	if err != nil {
		_ = c.Close() // the client cannot read on after a part of a response
		return err
	}
	return c.out.Flush()
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	var err error
	c.once.Do(func() { err = c.conn.Close() })
	return err
}
