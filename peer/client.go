package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"persimmonpick/fault"
	"persimmonpick/share"
)

// Client calls one peer and reconnects after a failure.
type Client struct {
	addr string
	conf func() *tls.Config

	mu   sync.Mutex
	conn *rpc.Client
}

// NewClient returns a client for the peer at addr; a nil conf means plaintext.
func NewClient(addr string, conf func() *tls.Config) *Client {
	return &Client{addr: addr, conf: conf}
}

func (c *Client) dial(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	var raw net.Conn
	var err error
	if c.conf != nil {
		raw, err = (&tls.Dialer{Config: c.conf()}).DialContext(ctx, "tcp", c.addr)
	} else {
		raw, err = (&net.Dialer{}).DialContext(ctx, "tcp", c.addr)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.PlatformFailed, "dial peer %s", c.addr)
	}
	conn = rpc.NewClient(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		conn.Close()
		return c.conn, nil
	}
	c.conn = conn
	return conn, nil
}

// drop closes conn, so that a late reply to an abandoned call is not read.
func (c *Client) drop(conn *rpc.Client) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.Close()
}

// call fails with the kind that the peer returned, or with fault.PlatformFailed if the outcome is unknown.
func (c *Client) call(ctx context.Context, method string, args, reply any) error {
	conn, err := c.dial(ctx)
	if err != nil {
		return err
	}
	call := conn.Go("Peer."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.drop(conn)
		return fault.Wrap(ctx.Err(), fault.PlatformFailed, "call %s of peer %s", method, c.addr)
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	var answered rpc.ServerError
	if errors.As(call.Error, &answered) {
		return fault.New(fault.ParseKind(string(answered)), "peer %s refused %s", c.addr, method)
	}
	c.drop(conn)
	return fault.Wrap(call.Error, fault.PlatformFailed, "call %s of peer %s", method, c.addr)
}

// Heartbeat sends hb and returns the peer's heartbeat.
func (c *Client) Heartbeat(ctx context.Context, hb Heartbeat) (Heartbeat, error) {
	reply := &Heartbeat{}
	if err := c.call(ctx, "Heartbeat", hb, reply); err != nil {
		return Heartbeat{}, err
	}
	return *reply, nil
}

// Snapshot fetches the tables of the peer in chunks.
func (c *Client) Snapshot(ctx context.Context, args SnapshotArgs) (SnapshotReply, error) {
	reply := &SnapshotReply{}
	if err := c.call(ctx, "Snapshot", args, reply); err != nil {
		return SnapshotReply{}, err
	}
	return *reply, nil
}

// Borrow requests slots from the peer.
func (c *Client) Borrow(ctx context.Context, args share.BorrowRequest) (share.BorrowReply, error) {
	reply := &share.BorrowReply{}
	if err := c.call(ctx, "Borrow", args, reply); err != nil {
		return share.BorrowReply{}, err
	}
	return *reply, nil
}

// Return returns borrowed slots to the peer.
func (c *Client) Return(ctx context.Context, args share.ReturnRequest) error {
	return c.call(ctx, "Return", args, &struct{}{})
}

// Recall requests the return of slots that the peer has borrowed.
func (c *Client) Recall(ctx context.Context, args share.RecallRequest) (share.RecallReply, error) {
	reply := &share.RecallReply{}
	if err := c.call(ctx, "Recall", args, reply); err != nil {
		return share.RecallReply{}, err
	}
	return *reply, nil
}

// Burn fetches the service-level counts that the peer has and this host lacks.
func (c *Client) Burn(ctx context.Context, args BurnArgs) (BurnReply, error) {
	reply := &BurnReply{}
	if err := c.call(ctx, "Burn", args, reply); err != nil {
		return BurnReply{}, err
	}
	return *reply, nil
}

// Reports fetches the usage reports of the workers that the peer monitors.
func (c *Client) Reports(ctx context.Context, args ReportsArgs) (ReportsReply, error) {
	reply := &ReportsReply{}
	if err := c.call(ctx, "Reports", args, reply); err != nil {
		return ReportsReply{}, err
	}
	return *reply, nil
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
