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

// control owns the tables. Only its goroutine may use fields that are neither atomic nor channels.
type control struct {
	cfg         settings.Settings
	incarnation table.Incarnation
	group       *peer.Group
	writer      *journal.Writer
	log         *slog.Logger

	tables    *table.Tables
	viewStale bool // the tables have changed in a part that the view copies
	view      atomic.Pointer[table.View]
	applied   atomic.Uint64 // offset of the tables; View.Applied is lower if later records did not change the view

	deliveries chan journal.Delivery
	reads      chan tableRead
	calls      callQueue
	polls      chan pollResult

	proposer proposer
	agent    *leaseAgent

	caughtUp   atomic.Bool // a read has reached the end of the log
	joined     atomic.Bool // HostJoined of this process is applied, and it still holds the seat
	ownSeat    seatUse
	superseded func() // called when a newer process has taken this host's seat
}

// seatUse determines when this process may use the slots of its seat.
type seatUse struct {
	joined atomic.Uint64 // offset of HostJoined of this process
	vacant atomic.Bool   // no process had held the seat before the join, or all had left it
	// joinPassed is when this host first saw that no other host still acts on tables without the join
	// (peer.Fence.Passed), in ns after processStart; 0 if it has not seen that yet.
	joinPassed   atomic.Int64
	processStart time.Time     // base of joinPassed; its monotonic clock reading is not affected by wall clock steps
	settleTime   time.Duration // longest time for which requests and loans of a previous process may continue
}

// tableRead is a call of readTables that waits for the control goroutine.
type tableRead struct {
	f    func(*table.Tables)
	done chan struct{}
}

func newControl(cfg settings.Settings, inc table.Incarnation, group *peer.Group, w *journal.Writer, log *slog.Logger) *control {
	c := &control{
		cfg: cfg, incarnation: inc, group: group, writer: w, log: log,
		tables:     table.New(),
		deliveries: make(chan journal.Delivery),
		reads:      make(chan tableRead),
		polls:      make(chan pollResult, 64),
	}
	c.ownSeat.processStart = time.Now()
	c.view.Store(table.NewView(c.tables))
	return c
}

// run applies deliveries and poll results, and runs the lease agent and the proposer's work on each tick, until ctx
// ends.
func (c *control) run(ctx context.Context) {
	tick := time.NewTicker(c.cfg.Timing.Tick.D())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-c.deliveries:
			c.applyDelivery(d)
		case r := <-c.reads:
			r.f(c.tables)
			close(r.done)
		case res := <-c.polls:
			c.agent.handlePoll(c.tables, res, time.Now())
		case <-tick.C:
			c.tick(time.Now())
		}
	}
}

// deliver passes a delivery from the log reader to the control goroutine.
func (c *control) deliver(ctx context.Context, d journal.Delivery) {
	select {
	case <-ctx.Done():
	case c.deliveries <- d:
	}
}

// readTables runs f on the control goroutine and waits for it to return. f must not change the tables.
func (c *control) readTables(ctx context.Context, f func(*table.Tables)) error {
	r := tableRead{f, make(chan struct{})}
	select {
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Overloaded, "the control loop did not answer in time")
	case c.reads <- r:
	}
	<-r.done
	return nil
}

// applyDelivery replaces the tables if the delivery has new ones, applies its entries and publishes the result.
func (c *control) applyDelivery(d journal.Delivery) {
	now := time.Now()
	if d.Tables != nil {
		c.tables = d.Tables
		c.viewStale = true
		c.writer.Reloaded(c.tables)
		c.group.Fence.SetHosts(c.tables.Hosts, now, true)
		c.agent.reload(c.tables)
		c.proposer.reload(c.tables, now)
		c.log.Info("switched to loaded tables", "Applied", c.tables.Applied)
	}
	for _, e := range d.Entries {
		c.apply(e, now)
	}
	var tail time.Time
	if d.AtEnd {
		tail = d.Began
		c.caughtUp.Store(true)
	}
	c.group.Fence.Advance(c.tables.Applied, tail, now)
	c.publish()
}

// publish replaces the view if it is stale. Other hosts rely on this host acting on the offset that it reports, so the
// offset is updated after the view.
func (c *control) publish() {
	if c.viewStale {
		c.view.Store(table.NewView(c.tables))
		c.viewStale = false
	}
	c.applied.Store(uint64(c.tables.Applied))
}

// appliedOffset returns the last offset that both the tables and the view reflect.
func (c *control) appliedOffset() table.Offset {
	return table.Offset(c.applied.Load())
}

// apply applies one entry of the log and passes on the records that took effect.
func (c *control) apply(e journal.Entry, now time.Time) {
	c.recordOwnJoin(e)
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
		c.viewStale = c.viewStale || r.AffectsView()
		hosts = hosts || r.HostJoined != nil || r.HostLeft != nil
		worker := c.agent.workerFor(r)
		c.agent.recordApplied(c.tables, r)
		if worker != "" {
			c.proposer.policy.leaseChanged(c.tables, worker, r, now)
		}
		c.proposer.recordApplied(c.tables, now)
	}
	if hosts {
		c.group.Fence.SetHosts(c.tables.Hosts, now, false)
		c.checkSeat()
	}
}

// recordOwnJoin records whether this host's seat was vacant. It must run before HostJoined of this process is applied,
// which replaces the previous holder.
func (c *control) recordOwnJoin(e journal.Entry) {
	for _, r := range e.Batch.Records {
		j := r.HostJoined
		if j == nil || j.Incarnation != c.incarnation || c.ownSeat.joined.Load() != 0 {
			continue
		}
		prev := c.tables.Hosts[j.Seat]
		c.ownSeat.vacant.Store(prev == nil || (prev.Left && !prev.Displaced))
		c.ownSeat.joined.Store(uint64(e.Offset))
	}
}

// checkSeat updates joined, and stops this process if a newer one has taken its seat.
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

// usable reports whether this process may use the slots of its seat now.
func (c *control) usable() bool {
	now := time.Now()
	if !c.joined.Load() || !c.group.Fence.Current(now) {
		return false
	}
	passed := c.ownSeat.joinPassed.Load()
	if passed == 0 {
		if !c.group.Fence.Passed(table.Offset(c.ownSeat.joined.Load()), now) {
			return false
		}
		c.ownSeat.joinPassed.CompareAndSwap(0, int64(now.Sub(c.ownSeat.processStart))+1)
	}
	return c.settled(now)
}

// settled reports whether all loans and requests of previous processes of this host's seat have certainly ended.
func (c *control) settled(now time.Time) bool {
	passed := c.ownSeat.joinPassed.Load()
	if passed == 0 {
		return false
	}
	if c.ownSeat.vacant.Load() {
		return true
	}
	return now.Sub(c.ownSeat.processStart)-time.Duration(passed) > c.ownSeat.settleTime
}

// ready reports whether callers may be served.
func (c *control) ready() bool {
	if c.caughtUp.Load() {
		return c.joined.Load()
	}
	return c.newestOfMajority()
}

// newestOfMajority reports whether the tables are at least as new as those of every live peer, and the live peers are a
// majority of the seats. It is used during an outage of the log, when the tables came from a peer.
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

// onNextTick schedules f to run on the control goroutine at its next tick.
func (c *control) onNextTick(f func()) {
	c.calls.add(f)
}

func (c *control) tick(now time.Time) {
	c.calls.run()
	c.agent.run(c.tables, now)
	if c.caughtUp.Load() && c.group.IsProposer() {
		c.proposer.run(c.tables, now)
		return
	}
	c.proposer.runFollower(c.tables, now)
}

// submit proposes records and logs if they were not appended or had no effect. what describes the records in the log.
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
