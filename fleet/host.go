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
	"persimmonpick/ingress"
	"persimmonpick/intake"
	"persimmonpick/ledger"
	"persimmonpick/maintenance"
	"persimmonpick/peer"
	"persimmonpick/standby"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// Timing of an entry host.
const (
	readInterval    = 150 * time.Millisecond  // between reads of the log by a host that does not lead
	maxConfigAge    = 1800 * time.Millisecond // for answering that a route does not exist
	readyMaxViewAge = 2500 * time.Millisecond // with an older view and a failing log, the host is not ready
	stopMargin      = 1200 * time.Millisecond // between the end of the wait for open requests and the kill, at most
	stopMarginPart  = 5                       // the margin is at most one of so many parts of the grace period
	headerTimeout   = 5 * time.Second
	idleTimeout     = 75 * time.Second // of keep-alive connections
)

// Metric labels of the operations that other hosts carry out for this one.
const (
	operationRelay = "Relay" // appends through the leader
	operationQuery = "Ask"   // queries to log readers
)

// Config configures a Host.
type Config struct {
	Settings       Settings
	Log            ledger.Log
	Workers        dispatch.Workers
	FollowWorkers  func(ctx context.Context, apply func(dispatch.WorkerListUpdate))
	FollowOperator func(ctx context.Context, to OperatorCallbacks)
	Machines       maintenance.Platform
	Callers        func(h *Host) http.Handler // serves the callers' protocol
	Readiness      func(h *Host) http.Handler
	Dial           peer.DialFunc                                       // connects to other hosts; nil for plain TCP
	Listen         func(network, address string) (net.Listener, error) // nil for net.Listen
	Logger         *slog.Logger
}

// OperatorCallbacks receive the operator's configuration, maintenance waves and zone evacuations.
type OperatorCallbacks struct {
	Configure func(Configuration)
	ConfigAge func(func() time.Duration) // sets the function that returns the age of the last confirmed configuration
	Wave      func(maintenance.Wave)
	Zones     func([]table.ZoneID) // all availability zones to evacuate, after each change; also if there are none
}

// Host is an entry host: it accepts jobs, answers queries and, while elected, schedules tasks.
type Host struct {
	cfg       Config
	logger    *slog.Logger
	view      *ledger.View
	reader    *ledger.Reader
	appender  *ledger.Appender // appends for callers of this host
	relayed   *ledger.Appender // appends for other hosts while this one leads
	elector   *ledger.Elector
	standby   *standby.Node
	jobs      *intake.JobService
	metrics   *metrics
	gate      *ingress.Gate
	process   string // unique for each process of the host
	config    atomic.Pointer[Configuration]
	configAge atomic.Pointer[func() time.Duration]
	zones     atomic.Pointer[[]table.ZoneID] // to evacuate; nil until they are known
	stopping  atomic.Bool

	mu    sync.Mutex
	waves map[maintenance.WaveID]maintenance.Wave
}

// New returns a host; call Run to start it.
func New(cfg Config) *Host {
	h := &Host{cfg: cfg, logger: cfg.Logger, metrics: newMetrics(), waves: map[maintenance.WaveID]maintenance.Wave{}}
	if h.cfg.Listen == nil {
		h.cfg.Listen = net.Listen
	}
	h.gate = newGate(cfg.Settings, h.metrics, h.logger)
	h.process = cfg.Settings.Host + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	h.view = ledger.NewView(h.logger)
	h.reader = ledger.NewReader(ledger.ReaderConfig{
		Log: cfg.Log, View: h.view, Pause: readInterval, Idle: func() bool { return h.standby.Idle() }, Logger: h.logger,
	})
	h.standby = standby.New(standby.Config{
		Self: standby.Member{Host: cfg.Settings.Host, Address: cfg.Settings.Relay, Zone: cfg.Settings.Zone, Size: cfg.Settings.Cores},
		Log:  cfg.Log, View: h.view, Leading: h.reader.Leading, Dial: cfg.Dial,
		Observe: func(err error, took time.Duration) { h.metrics.observeAnswer(operationQuery, fault.Of(err), took) }, Logger: h.logger,
	})
	relay := ledger.NewRelay(ledger.RelayConfig{
		Host: cfg.Settings.Host, Leader: h.standby.Leader, Dial: cfg.Dial,
		Observe: func(err error, took time.Duration) { h.metrics.observeAnswer(operationRelay, fault.Of(err), took) }, Logger: h.logger,
	})
	h.appender = ledger.NewAppender(ledger.AppenderConfig{
		Log: cfg.Log, Producer: h.process, Relay: relay.Append, Logger: h.logger,
		Failing: func() bool { return h.reader.Failing() || h.standby.LogUnavailable() },
	})
	h.relayed = ledger.NewAppender(ledger.AppenderConfig{
		Log: cfg.Log, Producer: h.process + "-relayed", Failing: h.reader.Failing, Logger: h.logger,
	})
	h.elector = ledger.NewElector(ledger.ElectorConfig{
		Log: cfg.Log, View: h.view, Reader: h.reader, Host: cfg.Settings.Host, Process: h.process,
		Address: cfg.Settings.Relay, Size: cfg.Settings.Cores, Rank: h.standby.ClaimRank, Lead: h.lead, Logger: h.logger,
	})
	h.jobs = intake.New(intake.Config{
		View: h.view, Refresh: h.reader.Refresh, Query: h.standby.Query, ApprovalAvailable: cfg.Settings.ApprovalService != "", Logger: h.logger,
		Append: func(ctx context.Context, r ledger.Record) error { return h.appender.Append(ctx, r) },
	})
	return h
}

// Jobs returns the job service of this host.
func (h *Host) Jobs() *intake.JobService { return h.jobs }

// Configuration returns the newest configuration, or nil if none was read.
func (h *Host) Configuration() *Configuration { return h.config.Load() }

// ConfigurationFresh reports whether the configuration is recent enough to answer that a route does not exist.
func (h *Host) ConfigurationFresh() bool {
	age := h.configAge.Load()
	return age != nil && (*age)() < maxConfigAge
}

// Ready reports whether the host accepts new callers.
func (h *Host) Ready() bool {
	if h.stopping.Load() || h.config.Load() == nil {
		return false
	}
	if h.standby.Delegating() {
		return true
	}
	_, loaded := h.view.Position()
	return loaded && (!h.reader.Failing() || time.Since(h.view.Confirmed()) < readyMaxViewAge)
}

// Observe records the latency and the result of an answer to a caller.
func (h *Host) Observe(what string, err error, took time.Duration) {
	h.metrics.observeAnswer(what, fault.Of(err), took)
}

// Reloaded logs whether s differs from the settings in force, which take effect only at the start of a process.
func (h *Host) Reloaded(s Settings) {
	if s != h.cfg.Settings {
		h.logger.Warn("settings changed; restart the process to apply them", "Host", s.Host)
		return
	}
	h.logger.Info("settings reloaded without changes")
}

// Run serves until ctx ends, then drains open requests. It returns the error of a listener that failed.
func (h *Host) Run(ctx context.Context) error {
	s := h.cfg.Settings
	h.logger.Info("starting", "Host", s.Host, "Zone", s.Zone, "Cores", s.Cores, "Lease", s.lease())
	servers := []*http.Server{h.server(h.cfg.Callers(h)), h.server(h.cfg.Readiness(h))}
	addresses := []string{s.Callers, s.Readiness}
	if s.Metrics != "" {
		servers, addresses = append(servers, h.server(h.monitoringHandler())), append(addresses, s.Metrics)
	}
	failed := make(chan error, len(servers)+1)
	for i, srv := range servers {
		l, err := h.listen(addresses[i])
		if err != nil {
			return fault.Wrap(err, fault.Internal, "cannot listen on %s", addresses[i])
		}
		go func() { failed <- srv.Serve(l) }()
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	if err := h.servePeers(serveCtx, failed); err != nil {
		cancel()
		return err
	}
	var leading sync.WaitGroup
	h.startBackground(serveCtx)
	electionCtx, resign := context.WithCancel(ctx)
	defer resign()
	leading.Go(func() { h.elector.Run(electionCtx) })
	h.logger.Info("serving", "Host", s.Host)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	h.stopping.Store(true)
	h.logger.Info("stopping", "Host", s.Host, "Error", err)
	resign()
	leading.Wait()
	h.drain(servers)
	cancel()
	h.logger.Info("stopped", "Host", s.Host)
	return err
}

// servePeers serves relayed appends and queries of other hosts until ctx ends.
func (h *Host) servePeers(ctx context.Context, failed chan<- error) error {
	if h.cfg.Settings.Relay == "" {
		return nil
	}
	l, err := h.cfg.Listen("tcp", h.cfg.Settings.Relay)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot listen on %s", h.cfg.Settings.Relay)
	}
	go func() {
		if err := peer.ServeLinks(ctx, h.gate.Listener(l), map[string]any{
			ledger.RelayService: ledger.NewRelayServer(h.relayed), standby.Service: standby.NewServer(h.standby), intake.Service: intake.NewServer(h.jobs),
		}, h.logger); err != nil {
			failed <- err
		}
	}()
	return nil
}

// startBackground starts the goroutines that run until ctx ends whether or not this host leads.
func (h *Host) startBackground(ctx context.Context) {
	go h.standby.Run(ctx)
	go h.reader.Run(ctx)
	go h.appender.Run(ctx)
	go h.relayed.Run(ctx)
	go h.cfg.FollowOperator(ctx, OperatorCallbacks{
		Configure: h.configure, ConfigAge: func(age func() time.Duration) { h.configAge.Store(&age) }, Wave: h.addWave, Zones: h.setZones,
	})
}

// configure puts c in force unless the current configuration is as new.
func (h *Host) configure(c Configuration) {
	if old := h.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	h.config.Store(&c)
	h.logger.Info("configuration applied", "Version", c.Version, "Routes", len(c.Routes))
}

// drain closes each connection after its next response, then shuts the servers down.
func (h *Host) drain(servers []*http.Server) {
	keepAlives, open := h.cfg.Settings.drainTimes()
	for _, s := range servers {
		s.SetKeepAlivesEnabled(false)
	}
	time.Sleep(keepAlives)
	ctx, cancel := context.WithTimeout(context.Background(), open)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.logger.Warn("requests still open after the stop grace period", "Error", err)
		}
	}
}

func (h *Host) lead(ctx context.Context, w *ledger.Writer) {
	s := h.cfg.Settings
	d := dispatch.NewDispatcher(dispatch.DispatcherConfig{
		Scheduler: dispatch.Config{LeaseTerm: s.lease(), MaxLease: s.MaxLease, DeferDisplaced: s.DeferDisplaced, StatusRetention: s.statusRetention(), RemoteFactor: max(1, s.RemoteFactor), EvacuationDelay: s.EvacuationDelay},
		Writer:    w, View: h.view, Workers: h.cfg.Workers, Queues: h.queues, FollowWorkers: h.cfg.FollowWorkers,
		ZoneRequests: h.zoneRequests, ReportZones: h.metrics.setZoneTasks,
		ReportCounts: h.metrics.addCounts, ObserveCall: h.metrics.observeWorkerCall, Log: h.logger,
	})
	if s.Machines != "" {
		go maintenance.New(maintenance.Config{
			Holder: h.process, Token: maintenance.Token(w.Epoch()), UsualDuration: s.MaintenanceDuration, Waves: h.operatorWaves, HandoverRecords: h.view.HandoverRecords(),
			Platform: h.cfg.Machines, Scheduler: maintenance.Scheduler{Evacuate: d.Evacuate, SaveHandover: d.HandOver}, Confirmed: w.Confirmed, Logger: h.logger,
		}).Run(ctx)
	}
	d.Run(ctx)
	h.metrics.setZoneTasks(nil)
}

// addWave stores a maintenance wave that the operator requested.
func (h *Host) addWave(w maintenance.Wave) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waves[w.ID] = w
}

// operatorWaves returns all maintenance waves that the operator requested, finished ones included.
func (h *Host) operatorWaves() []maintenance.Wave {
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
