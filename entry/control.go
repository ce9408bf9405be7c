package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/peer"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// control owns the tables; all its fields but the atomic ones and the channels belong to its goroutine.
type control struct {
	cfg         settings.Settings
	incarnation table.Incarnation
	group       *peer.Group
	writer      *journal.Writer
	log         *slog.Logger

	tables  *table.Tables
	changed bool // the tables differ from the view in what it copies
	view    atomic.Pointer[table.View]
	applied atomic.Uint64 // offset of the tables; that of the view is lower while it needs no rebuild

	deliveries chan journal.Delivery
	looks      chan look
	calls      deferred
	visits     chan visit

	systems systems
	agents  *agents

	atEnd      atomic.Bool // a read has reached the end of the log
	joined     atomic.Bool // the own HostJoined is folded
	ownSeat    seatUse
	superseded func() // called when a newer process holds the own seat
}

// seatUse tells when the slots of the own seat may be used.
type seatUse struct {
	joined   atomic.Uint64 // offset of the own HostJoined
	fresh    atomic.Bool   // nobody held the seat before, or its holder had left
	passed   atomic.Int64  // since when the join has passed, in nanoseconds after began; 0 if it has not
	began    time.Time     // of this process; durations from it do not follow steps of the wall clock
	requests time.Duration // longest time that a request or a loan of the previous process may still run
}

type look struct {
	f    func(*table.Tables)
	done chan struct{}
}

func newControl(cfg settings.Settings, inc table.Incarnation, group *peer.Group, w *journal.Writer, log *slog.Logger) *control {
	c := &control{
		cfg: cfg, incarnation: inc, group: group, writer: w, log: log,
		tables:     table.New(),
		deliveries: make(chan journal.Delivery),
		looks:      make(chan look),
		visits:     make(chan visit, 64),
	}
	c.ownSeat.began = time.Now()
	c.view.Store(table.NewView(c.tables))
	return c
}

// run folds deliveries and runs the systems each tick until ctx ends.
func (c *control) run(ctx context.Context) {
	tick := time.NewTicker(c.cfg.Timing.Tick.D())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-c.deliveries:
			c.fold(d)
		case l := <-c.looks:
			l.f(c.tables)
			close(l.done)
		case v := <-c.visits:
			c.agents.visited(c.tables, v, time.Now())
		case <-tick.C:
			c.tick(time.Now())
		}
	}
}

// deliver hands a delivery of the reader to the control goroutine.
func (c *control) deliver(ctx context.Context, d journal.Delivery) {
	select {
	case <-ctx.Done():
	case c.deliveries <- d:
	}
}

// look runs f on the control goroutine; f must not change the tables.
func (c *control) look(ctx context.Context, f func(*table.Tables)) error {
	l := look{f, make(chan struct{})}
	select {
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Overloaded, "the control loop did not answer in time")
	case c.looks <- l:
	}
	<-l.done
	return nil
}

func (c *control) fold(d journal.Delivery) {
	now := time.Now()
	if d.Tables != nil {
		c.tables = d.Tables
		c.changed = true
		c.writer.Reloaded(c.tables)
		c.group.Fence.SetHosts(c.tables.Hosts, now, true)
		c.agents.reload(c.tables)
		c.systems.reload(c.tables, now)
		c.log.Info("loaded tables", "Applied", c.tables.Applied)
	}
	for _, e := range d.Entries {
		c.apply(e, now)
	}
	var tail time.Time
	if d.AtEnd {
		tail = d.Began
		c.atEnd.Store(true)
	}
	c.group.Fence.Advance(c.tables.Applied, tail, now)
	c.publish()
}

// publish replaces the view where it is out of date. Other hosts rely on the offset that this host reports, so the offset follows the view.
func (c *control) publish() {
	if c.changed {
		c.view.Store(table.NewView(c.tables))
		c.changed = false
	}
	c.applied.Store(uint64(c.tables.Applied))
}

// appliedOffset returns the offset up to which the tables and the view hold the log.
func (c *control) appliedOffset() table.Offset {
	return table.Offset(c.applied.Load())
}

func (c *control) apply(e journal.Entry, now time.Time) {
	c.noteOwnJoin(e)
	kinds := journal.Apply(c.tables, e.Offset, e.Batch)
	if e.Batch.Writer == c.incarnation {
		c.writer.BatchApplied(e.Offset, e.Batch, kinds)
	}
	hosts := false
	for i, r := range e.Batch.Records {
		if kinds[i] != fault.None {
			c.log.Debug("record without effect", "Offset", e.Offset, "Index", i, "Kind", kinds[i])
			continue
		}
		c.changed = c.changed || r.AffectsView()
		hosts = hosts || r.HostJoined != nil || r.HostLeft != nil
		worker := c.agents.workerFor(r)
		c.agents.folded(c.tables, r)
		if worker != "" {
			c.systems.policy.leaseChanged(c.tables, worker, r, now)
		}
		c.systems.folded(c.tables, now)
	}
	if hosts {
		c.group.Fence.SetHosts(c.tables.Hosts, now, false)
		c.checkSeat()
	}
}

// noteOwnJoin looks at the holder of the own seat before the own join replaces it.
func (c *control) noteOwnJoin(e journal.Entry) {
	for _, r := range e.Batch.Records {
		j := r.HostJoined
		if j == nil || j.Incarnation != c.incarnation || c.ownSeat.joined.Load() != 0 {
			continue
		}
		prev := c.tables.Hosts[j.Seat]
		c.ownSeat.fresh.Store(prev == nil || (prev.Left && !prev.Displaced))
		c.ownSeat.joined.Store(uint64(e.Offset))
	}
}

// checkSeat stops this process when a newer one holds its seat.
func (c *control) checkSeat() {
	h := c.tables.Hosts[c.cfg.Seat]
	if h == nil {
		return
	}
	if h.Incarnation == c.incarnation {
		c.joined.Store(!h.Left)
		return
	}
	if c.joined.Swap(false) {
		c.log.Error("a newer process holds the seat", "Seat", c.cfg.Seat, "Incarnation", h.Incarnation)
		c.superseded()
	}
}

// usable says whether the slots of the own seat may be used now.
func (c *control) usable() bool {
	now := time.Now()
	if !c.joined.Load() || !c.group.Fence.Current(now) {
		return false
	}
	passed := c.ownSeat.passed.Load()
	if passed == 0 {
		if !c.group.Fence.Passed(table.Offset(c.ownSeat.joined.Load()), now) {
			return false
		}
		c.ownSeat.passed.CompareAndSwap(0, int64(now.Sub(c.ownSeat.began))+1)
	}
	return c.settled(now)
}

// settled says whether loans and requests of processes that held the own seat before have certainly ended.
func (c *control) settled(now time.Time) bool {
	passed := c.ownSeat.passed.Load()
	if passed == 0 {
		return false
	}
	if c.ownSeat.fresh.Load() {
		return true
	}
	return now.Sub(c.ownSeat.began)-time.Duration(passed) > c.ownSeat.requests
}

// ready says whether callers may be served.
func (c *control) ready() bool {
	if c.atEnd.Load() {
		return c.joined.Load()
	}
	return c.newestOfMajority()
}

// newestOfMajority says whether the tables, taken from a peer in an outage of the log, are as new as any that a majority of seats reports.
func (c *control) newestOfMajority() bool {
	applied := c.appliedOffset()
	if applied == 0 {
		return false
	}
	n := 0
	for _, st := range c.group.Status() {
		if !st.Live || st.Seat == c.cfg.Seat {
			continue
		}
		if st.Applied > applied {
			return false
		}
		n++
	}
	return n > len(c.cfg.Seats)/2
}

// later runs f on the control goroutine at its next tick.
func (c *control) later(f func()) {
	c.calls.add(f)
}

func (c *control) tick(now time.Time) {
	c.calls.run()
	c.agents.run(c.tables, now)
	if c.atEnd.Load() && c.group.IsProposer() {
		c.systems.run(c.tables, now)
		return
	}
	c.systems.follow(c.tables, now)
}

// submit proposes records from the control goroutine and logs those without effect.
func (c *control) submit(what string, rs []journal.Record, done func(journal.Result, error)) {
	if len(rs) == 0 {
		return
	}
	c.writer.Submit(rs, func(res journal.Result, err error) {
		if err != nil {
			c.log.Warn("records not appended", "What", what, "Records", len(rs), "Error", err)
		} else if k := res.First(); k != fault.None {
			c.log.Debug("records without effect", "What", what, "First", k, "Offset", res.Offset)
		}
		if done != nil {
			done(res, err)
		}
	})
}
