package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"persimmonpick/burn"
	"persimmonpick/claim"
	"persimmonpick/fault"
	"persimmonpick/ingress"
	"persimmonpick/journal"
	"persimmonpick/peer"
	"persimmonpick/provider"
	"persimmonpick/queue"
	"persimmonpick/route"
	"persimmonpick/settings"
	"persimmonpick/share"
	"persimmonpick/table"
	"persimmonpick/tlsfiles"
)

// Config configures a Host.
type Config struct {
	Settings settings.Settings
	Platform provider.Platform
	Logger   *slog.Logger
}

// Host is an entry host.
type Host struct {
	cfg         settings.Settings
	platform    provider.Platform
	incarnation table.Incarnation
	log         *slog.Logger

	ctx    context.Context // ends when the process stops
	cancel context.CancelFunc
	wg     sync.WaitGroup

	control    *control
	writer     *journal.Writer
	reader     *journal.Reader
	group      *peer.Group
	shares     *share.Manager
	router     *route.Router
	guard      *claim.Guard
	burnCounts *burn.SnapshotStore
	recorder   *burn.Recorder
	metrics    *metrics
	gate       *ingress.Gate
	reports    reportBuffer

	listeners     listeners
	stopping      atomic.Bool
	superseded    chan struct{} // closed when a newer process has taken the seat
	supersedeOnce sync.Once
}

// New returns a host that is not yet running. Call Listen and then Run to start it.
func New(cfg Config) (*Host, error) {
	s := cfg.Settings
	h := &Host{
		cfg: s, platform: cfg.Platform, log: cfg.Logger, metrics: newMetrics(),
		incarnation: table.Incarnation(string(s.Seat) + "-" + rand.Text()[:16]),
		superseded:  make(chan struct{}),
	}
	h.gate = newGate(s, h.metrics, cfg.Logger)
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.writer = journal.NewWriter(journal.WriterConfig{
		Log: cfg.Platform.Log, Incarnation: h.incarnation, Delay: s.Timing.BatchDelay.D(), Logger: cfg.Logger,
	})
	if err := h.connectPeers(); err != nil {
		return nil, err
	}
	h.control = newControl(s, h.incarnation, h.group, h.writer, cfg.Logger)
	h.control.superseded = func() { h.supersedeOnce.Do(func() { close(h.superseded) }) }
	h.connectControl()
	h.reader = journal.NewReader(journal.ReaderConfig{
		Log: cfg.Platform.Log, Deliver: func(d journal.Delivery) { h.control.deliver(h.ctx, d) },
		FromPeer: h.tablesFromPeer, Wait: readWait, Logger: cfg.Logger,
	})
	h.burnCounts = burn.NewSnapshotStore(h.windows())
	h.recorder = h.newRecorder()
	h.metrics.registry.MustRegister(burn.NewCollector(h.report))
	h.connectTraffic()
	return h, nil
}

func (h *Host) connectPeers() error {
	conf, err := clientTLS(h.cfg.Peers)
	if err != nil {
		return err
	}
	var seats []peer.Seat
	for _, s := range h.cfg.Seats {
		seats = append(seats, peer.Seat{ID: s.ID, Address: s.PeerAddress})
	}
	t := h.cfg.Timing
	h.group = peer.NewGroup(peer.Config{
		Seat: h.cfg.Seat, Seats: seats, Period: t.Heartbeat.D(), Timeout: t.PeerTimeout.D(), LogGrace: t.LogGrace.D(),
		TLS: conf, Self: h.heartbeat, Log: h.log,
	})
	return nil
}

// connectControl creates the lease agent and the proposer of the control loop.
func (h *Host) connectControl() {
	c := h.control
	c.agent = &leaseAgent{
		cfg: h.cfg, incarnation: h.incarnation, group: h.group, workers: h.platform.Workers,
		submit: c.submit, onNextTick: c.onNextTick, polls: c.polls, log: h.log, ctx: h.ctx,
		slots: make(chan struct{}, maxPolls), sentStarts: map[leaseKey]bool{},
	}
	c.agent.reload(c.tables)
	p := newPolicy(h.cfg, h.log)
	p.workers = h.platform.Workers
	p.background = h.inBackground
	c.agent.onReport = func(t *table.Tables, rep provider.Report, now time.Time) {
		h.reports.add(rep)
		p.handleReport(t, rep, now)
	}
	c.proposer = proposer{
		cfg: h.cfg, submit: c.submit, onNextTick: c.onNextTick, unreachable: h.unreachableWorkers, policy: p,
		reportUnplaceable: h.reportUnplaceable,
		hosts: &hostList{
			cfg: h.cfg, hosts: h.platform.Hosts, submit: c.submit, onNextTick: c.onNextTick,
			unreachable: h.unreachableWorkers, log: h.log,
		},
		snapshots: snapshotWriter{
			ctx: h.ctx, log: h.platform.Log, period: h.cfg.Timing.SnapshotPeriod.D(), onNextTick: c.onNextTick,
			logger: h.log, wg: &h.wg,
		},
	}
}

func (h *Host) connectTraffic() {
	h.shares = share.New(share.Config{
		Seat: h.cfg.Seat, Seats: h.seatIDs(), LoanTerm: h.cfg.Timing.LoanTerm.D(),
		MaxRequestTime: h.cfg.Timing.MaxRequestTime.D() + h.cfg.Timing.ClockBound.D(),
		Usable:         h.control.usable, Lookup: h.instance,
		Borrow: func(ctx context.Context, id table.SeatID, req share.BorrowRequest) (share.BorrowReply, error) {
			return h.group.Client(id).Borrow(ctx, req)
		},
		Return: func(ctx context.Context, id table.SeatID, req share.ReturnRequest) error {
			return h.group.Client(id).Return(ctx, req)
		},
		Recall: func(ctx context.Context, id table.SeatID, req share.RecallRequest) (share.RecallReply, error) {
			return h.group.Client(id).Recall(ctx, req)
		},
	})
	p := h.cfg.Policy
	h.control.ownSeat.settleTime = h.shares.SettleTime()
	h.router = route.New(route.Config{
		Zone: h.cfg.Zone, View: h.control.view.Load, Slots: h.shares, Observe: h.observe,
		MaxAnswer: h.cfg.Limits.MaxAnswer, MaxQueue: h.cfg.Limits.MaxQueue,
		RequestTimeout: h.cfg.Timing.RequestTimeout.D(), MaxRequestTime: h.cfg.Timing.MaxRequestTime.D(),
		ClockBound: h.cfg.Timing.ClockBound.D(), RetryBudget: p.RetryBudget, Hedge: p.Hedge, EjectAfter: p.EjectAfter, EjectFloor: p.EjectFloor,
		ZonePreference: p.ZonePreference.D(),
	})
	h.guard = &claim.Guard{
		Propose: h.proposeIfLogReadable, ReadTables: h.control.readTables, Seat: h.cfg.Seat, Incarnation: h.incarnation,
	}
}

func (h *Host) seatIDs() []table.SeatID {
	ids := make([]table.SeatID, 0, len(h.cfg.Seats))
	for _, s := range h.cfg.Seats {
		ids = append(ids, s.ID)
	}
	return ids
}

// clientTLS returns a function that reads the TLS configuration for dialing a peer, so that each dial uses the current
// files, or nil if peers use plain TCP.
func clientTLS(l settings.Listener) (func() *tls.Config, error) {
	if l.Plain {
		return nil, nil
	}
	files, err := tlsfiles.New(l)
	if err != nil {
		return nil, err
	}
	return files.Client, nil
}

// inBackground runs f, which calls workers, in a new goroutine, so that it does not block the control goroutine.
func (h *Host) inBackground(f func(context.Context)) {
	h.wg.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, h.cfg.Timing.ReportPeriod.D())
		defer cancel()
		f(ctx)
	})
}

// instance returns an instance of the newest view, even if it is excluded from new requests.
func (h *Host) instance(id table.InstanceID) (table.Instance, bool) {
	in, ok := h.control.view.Load().ByID[id]
	return in, ok
}

// sender returns a function that sends req after its idempotency key has been claimed.
func (h *Host) sender(req route.Request) func(context.Context) (route.Response, error) {
	return func(ctx context.Context) (route.Response, error) { return h.router.Serve(ctx, req) }
}

const (
	// readWait is the longest time that one read of the log waits for a new entry.
	readWait = 500 * time.Millisecond
	// logSilence is the time without a read to the end of the log after which proposals are refused. It is measured
	// from the start of a read, so two reads that wait for entries leave 2 s for a slow log or a busy host.
	logSilence = 3 * time.Second
)

// proposeIfLogReadable appends records. During an outage of the log it fails with LogUnavailable at once, while it is
// certain that nothing was sent, rather than with an unknown outcome later.
func (h *Host) proposeIfLogReadable(ctx context.Context, rs []journal.Record) (journal.Result, error) {
	if !h.readsLog() {
		last := h.group.Fence.LastTailRead().UTC().Format(time.RFC3339)
		return journal.Result{}, fault.New(fault.LogUnavailable, "the log was last read to its end at %s", last)
	}
	return h.writer.Propose(ctx, rs)
}

// readsLog reports whether a read has reached the end of the log within logSilence.
func (h *Host) readsLog() bool {
	return time.Since(h.group.Fence.LastTailRead()) <= logSilence
}

// propose appends records and returns an error if any of them had no effect.
func (h *Host) propose(ctx context.Context, rs ...journal.Record) error {
	return effectError(h.proposeIfLogReadable(ctx, rs))
}

// effectError converts the result of a proposal to an error. If some records had no effect, the error has the kind of
// the first of them.
func effectError(res journal.Result, err error) error {
	if err != nil {
		return err
	}
	if k := res.First(); k != fault.None {
		return fault.New(k, "the log refused the change")
	}
	return nil
}

func (h *Host) heartbeat() peer.Heartbeat {
	hb := peer.Heartbeat{
		Seat: h.cfg.Seat, Incarnation: h.incarnation, Stopping: h.stopping.Load(),
	}
	if h.control == nil {
		return hb
	}
	hb.Applied = h.control.appliedOffset()
	hb.Ready = h.control.caughtUp.Load() && h.control.joined.Load()
	hb.ReadsLog = h.readsLog()
	hb.Unreachable = h.control.agent.unreachable()
	hb.InFlight = h.router.InFlight()
	return hb
}

// unreachableWorkers returns the workers that any live host watches and cannot reach.
func (h *Host) unreachableWorkers() map[table.WorkerID]bool {
	ids := map[table.WorkerID]bool{}
	for _, st := range h.group.Status() {
		if !st.Live {
			continue
		}
		for _, id := range st.Unreachable {
			ids[id] = true
		}
	}
	return ids
}

func (h *Host) reportUnplaceable(fresh []queue.UnplaceableJob, all int) {
	h.metrics.unplaceable.Set(float64(all))
	for _, n := range fresh {
		h.log.Warn("job cannot be placed", "Job", n.Job, "Reason", n.Reason)
	}
}
