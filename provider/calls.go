package provider

import (
	"context"
	"time"

	"persimmonpick/table"
)

func (c *client) append(ctx context.Context, stream string, data []byte) (table.Offset, error) {
	var a AppendAnswer
	err := c.post(ctx, PathAppend, 0, AppendCall{Stream: stream, Data: data}, &a)
	return a.Offset, err
}

func (c *client) read(ctx context.Context, stream string, from table.Offset, n int, wait time.Duration) (Page, error) {
	in := ReadCall{Stream: stream, From: from, Count: n, Wait: wait}
	// JSON encodes data in base64, which takes four bytes for three.
	in.MaxBytes = c.cfg.MaxResponse / 2
	var p Page
	err := c.post(ctx, PathRead, wait, in, &p)
	return p, err
}

func (c *client) list(ctx context.Context) (HostList, error) {
	var l HostList
	err := c.post(ctx, PathHosts, 0, struct{}{}, &l)
	return l, err
}

func (c *client) workers() Workers {
	return Workers{
		Start:      c.start,
		Renew:      c.renew,
		Stop:       c.stop,
		Checkpoint: c.checkpoint,
		Throttle:   c.throttle,
		Report:     c.report,
		Forget:     c.forget,
	}
}

func (c *client) start(ctx context.Context, w table.WorkerID, req StartRequest) error {
	return c.post(ctx, PathStart, 0, WorkerCall{Worker: w, Start: &req}, nil)
}

func (c *client) renew(ctx context.Context, w table.WorkerID, rs []Renewal) error {
	return c.post(ctx, PathRenew, 0, WorkerCall{Worker: w, Renewals: rs}, nil)
}

func (c *client) stop(ctx context.Context, w table.WorkerID, task table.TaskID, token table.Token) (TaskStatus, error) {
	var s TaskStatus
	err := c.post(ctx, PathStop, 0, WorkerCall{Worker: w, Task: task, Token: token}, &s)
	return s, err
}

func (c *client) checkpoint(ctx context.Context, w table.WorkerID, task table.TaskID, token table.Token) error {
	return c.post(ctx, PathCheckpoint, 0, WorkerCall{Worker: w, Task: task, Token: token}, nil)
}

func (c *client) throttle(ctx context.Context, w table.WorkerID, task table.TaskID, token table.Token, share float64) error {
	return c.post(ctx, PathThrottle, 0, WorkerCall{Worker: w, Task: task, Token: token, Share: share}, nil)
}

func (c *client) report(ctx context.Context, w table.WorkerID) (Report, error) {
	var r Report
	err := c.post(ctx, PathReport, 0, WorkerCall{Worker: w}, &r)
	return r, err
}

func (c *client) forget(ctx context.Context, w table.WorkerID, rs []Renewal) error {
	return c.post(ctx, PathForget, 0, WorkerCall{Worker: w, Renewals: rs}, nil)
}
