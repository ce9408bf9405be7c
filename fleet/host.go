package fleet

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"persimmonpick/dispatch"
	"persimmonpick/fault"
	"persimmonpick/intake"
	"persimmonpick/ledger"
	"persimmonpick/maintenance"
	"persimmonpick/peer"
	"persimmonpick/standby"
	"persimmonpick/workload"
)

// The timing of an entry host.
const (
	followPause   = 150 * time.Millisecond  // between reads of a host that does not lead
	configFresh   = 1800 * time.Millisecond // a configuration confirmed within this says which routes do not exist
	readyFor      = 2500 * time.Millisecond // a host that could not read the log for this long sends callers elsewhere
	stopMargin    = 1200 * time.Millisecond // before the kill, when open connections are closed
	headerTimeout = 5 * time.Second
	keepOpen      = 75 * time.Second // of idle connections of callers
)

// What the metrics call the work that other hosts do for this one.
const (
	answerRelay = "Relay" // appends by the leader
	answerAsk   = "Ask"   // answers from the log
)

// Config configures a Host.
type Config struct {
	Settings       Settings
	Log            ledger.Log
	Workers        dispatch.Workers
	FollowWorkers  func(ctx context.Context, apply func(dispatch.WorkerListUpdate))
	FollowOperator func(ctx context.Context, to OperatorCallbacks)
	Machines       maintenance.Platform
	Callers        func(h *Host) http.Handler // what callers speak
	Readiness      func(h *Host) http.Handler
	Dial           peer.DialFunc // to other hosts; nil for plain TCP
	Logger         *slog.Logger
}

// OperatorCallbacks takes what an operator wants.
type OperatorCallbacks struct {
	Configure func(Configuration)
	Age       func(func() time.Duration) // takes a function that says how old the last confirmed configuration is
	Wave      func(maintenance.Wave)
}

// Host is an entry host.
type Host struct {
	cfg       Config
	log       *slog.Logger
	fold      *ledger.View
	reader    *ledger.Reader
	group     *ledger.Appender // of the callers of this host
	relayed   *ledger.Appender // of other hosts, while this one leads
	elector   *ledger.Elector
	standby   *standby.Node
	desk      *intake.JobService
	metrics   *metrics
	process   string // tells this process from earlier ones of the host
	config    atomic.Pointer[Configuration]
	configAge atomic.Pointer[func() time.Duration]
	stopping  atomic.Bool

	mu    sync.Mutex
	waves map[maintenance.WaveID]maintenance.Wave
}

// New returns a host whose Run must be called.
func New(cfg Config) *Host {
	h := &Host{cfg: cfg, log: cfg.Logger, metrics: newMetrics(), waves: map[maintenance.WaveID]maintenance.Wave{}}
	h.process = cfg.Settings.Host + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	h.fold = ledger.NewView(h.log)
	h.reader = ledger.NewReader(ledger.ReaderConfig{
		Log: cfg.Log, Fold: h.fold, Pause: followPause, Idle: func() bool { return h.standby.Idle() }, Logger: h.log,
	})
	h.standby = standby.New(standby.Config{
		Self: standby.Member{Host: cfg.Settings.Host, Address: cfg.Settings.Relay, Zone: cfg.Settings.Zone, Size: cfg.Settings.Size},
		Log:  cfg.Log, Fold: h.fold, Leading: h.reader.Leading, Dial: cfg.Dial,
		Observe: func(err error, took time.Duration) { h.metrics.answer(answerAsk, fault.Of(err), took) }, Logger: h.log,
	})
	relay := ledger.NewRelay(ledger.RelayConfig{
		Host: cfg.Settings.Host, Leader: h.standby.Leader, Dial: cfg.Dial,
		Observe: func(err error, took time.Duration) { h.metrics.answer(answerRelay, fault.Of(err), took) }, Logger: h.log,
	})
	h.group = ledger.NewAppender(ledger.AppenderConfig{
		Log: cfg.Log, Producer: h.process, Relay: relay.Append, Logger: h.log,
		Failing: func() bool { return h.reader.Failing() || h.standby.LogUnavailable() },
	})
	h.relayed = ledger.NewAppender(ledger.AppenderConfig{
		Log: cfg.Log, Producer: h.process + "-relayed", Failing: h.reader.Failing, Logger: h.log,
	})
	h.elector = ledger.NewElector(ledger.ElectorConfig{
		Log: cfg.Log, Fold: h.fold, Reader: h.reader, Host: cfg.Settings.Host, Process: h.process,
		Address: cfg.Settings.Relay, Size: cfg.Settings.Size, Lead: h.lead, Logger: h.log,
	})
	h.desk = intake.New(intake.Config{
		Fold: h.fold, Refresh: h.reader.Refresh, Ask: h.standby.Query, Advised: cfg.Settings.Advisor != "", Log: h.log,
		Append: func(ctx context.Context, r ledger.Record) error { return h.group.Append(ctx, r) },
	})
	return h
}

// Jobs returns what answers callers.
func (h *Host) Jobs() *intake.JobService { return h.desk }

// Configuration returns the newest configuration, or nil if none was read.
func (h *Host) Configuration() *Configuration { return h.config.Load() }

// ConfigurationFresh says whether the configuration was confirmed lately enough to say that a route does not exist.
func (h *Host) ConfigurationFresh() bool {
	age := h.configAge.Load()
	return age != nil && (*age)() < configFresh
}

// Ready says whether the host wants new callers.
func (h *Host) Ready() bool {
	if h.stopping.Load() || h.config.Load() == nil {
		return false
	}
	if h.standby.Delegating() {
		return true
	}
	_, loaded := h.fold.Position()
	return loaded && (!h.reader.Failing() || time.Since(h.fold.Confirmed()) < readyFor)
}

// Observe takes the time that an answer to a caller took.
func (h *Host) Observe(what string, err error, took time.Duration) {
	h.metrics.answer(what, fault.Of(err), took)
}

// Reloaded takes settings that were read again; all of them are fixed for the life of a process.
func (h *Host) Reloaded(s Settings) {
	if s != h.cfg.Settings {
		h.log.Warn("changed settings take effect at the next start", "Host", s.Host)
		return
	}
	h.log.Info("settings read again, nothing changed")
}

// Run serves until ctx ends, and then until open requests are answered.
func (h *Host) Run(ctx context.Context) error {
	s := h.cfg.Settings
	h.log.Info("starting", "Host", s.Host, "Zone", s.Zone, "Cores", s.Size, "Lease", s.lease())
	servers := []*http.Server{h.server(h.cfg.Callers(h)), h.server(h.cfg.Readiness(h))}
	addresses := []string{s.Callers, s.Readiness}
	if s.Metrics != "" {
		servers, addresses = append(servers, h.server(h.pages())), append(addresses, s.Metrics)
	}
	failed := make(chan error, len(servers)+1)
	for i, srv := range servers {
		l, err := net.Listen("tcp", addresses[i])
		if err != nil {
			return fault.Wrap(err, fault.Internal, "cannot listen on %s", addresses[i])
		}
		go func() { failed <- srv.Serve(l) }()
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if err := h.serveHosts(serveCtx, failed); err != nil {
		cancel()
		return err
	}
	var leading sync.WaitGroup
	h.follow(serveCtx)
	leading.Go(func() { h.elector.Run(ctx) })
	h.log.Info("serving", "Host", s.Host)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	h.stopping.Store(true)
	h.log.Info("stopping", "Host", s.Host, "Error", err)
	leading.Wait()
	h.drain(servers)
	cancel()
	h.log.Info("stopped", "Host", s.Host)
	return err
}

// serveHosts takes the records and the questions of other hosts until ctx ends.
func (h *Host) serveHosts(ctx context.Context, failed chan<- error) error {
	if h.cfg.Settings.Relay == "" {
		return nil
	}
	l, err := net.Listen("tcp", h.cfg.Settings.Relay)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot listen on %s", h.cfg.Settings.Relay)
	}
	go func() {
		if err := peer.ServeLinks(ctx, l, map[string]any{
			ledger.RelayService: ledger.NewRelayServer(h.relayed), standby.Service: standby.NewServer(h.standby), intake.Service: intake.NewServer(h.desk),
		}, h.log); err != nil {
			failed <- err
		}
	}()
	return nil
}

func (h *Host) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepOpen,
		ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
	}
}

func (h *Host) follow(ctx context.Context) {
	go h.standby.Run(ctx)
	go h.reader.Run(ctx)
	go h.group.Run(ctx)
	go h.relayed.Run(ctx)
	go h.cfg.FollowOperator(ctx, OperatorCallbacks{
		Configure: h.configure, Age: func(age func() time.Duration) { h.configAge.Store(&age) }, Wave: h.takeWave,
	})
}

// configure puts a configuration in force unless a newer one is.
func (h *Host) configure(c Configuration) {
	if old := h.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	h.config.Store(&c)
	h.log.Info("configuration in force", "Version", c.Version, "Routes", len(c.Routes))
}

// drain lets callers go: those with open connections are told to leave with their next answer.
func (h *Host) drain(servers []*http.Server) {
	for _, s := range servers {
		s.SetKeepAlivesEnabled(false)
	}
	time.Sleep(h.cfg.Settings.grace() / 2)
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.Settings.grace()/2-stopMargin)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.log.Warn("requests left open at the stop", "Error", err)
		}
	}
}

func (h *Host) lead(ctx context.Context, w *ledger.Writer) {
	s := h.cfg.Settings
	d := dispatch.NewDispatcher(dispatch.DispatcherConfig{
		Board:  dispatch.Config{Term: s.lease(), StatusKept: s.statusKept(), Far: max(1, s.Far)},
		Writer: w, Fold: h.fold, Workers: h.cfg.Workers, Queues: h.queues, Follow: h.cfg.FollowWorkers,
		Count: h.metrics.board, Observe: h.metrics.call, Log: h.log,
	})
	if s.Machines != "" {
		go maintenance.New(maintenance.Config{
			Holder: h.process, Token: maintenance.Token(w.Epoch()), Usual: s.Maintains, Waves: h.wanted, Notes: h.fold.HandoverRecords(),
			Platform: h.cfg.Machines, Tasks: maintenance.Scheduler{Empty: d.Evacuate, Note: d.HandOver}, Log: h.log,
		}).Run(ctx)
	}
	d.Run(ctx)
}

// takeWave takes a wave of maintenance that the operator wants.
func (h *Host) takeWave(w maintenance.Wave) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waves[w.ID] = w
}

// wanted returns the waves that the operator wants, over or not.
func (h *Host) wanted() []maintenance.Wave {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.waves))
}

func (h *Host) queues() []workload.Queue {
	c := h.config.Load()
	if c == nil {
		return nil
	}
	return c.Queues()
}
