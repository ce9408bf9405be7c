package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/operator"
	"persimmonpick/peer"
	"persimmonpick/settings"
	"persimmonpick/table"
	"persimmonpick/tlsfiles"
)

const (
	joinRetryDelay = time.Second // between attempts to take the seat
	// headerTimeout is long enough that a host frozen for 5 s does not reset the connections that waited meanwhile.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// listeners holds the listening sockets of a host and their servers.
type listeners struct {
	callers         net.Listener
	operators       net.Listener
	peers           net.Listener
	callersServer   *http.Server
	operatorsServer *http.Server
	peersServer     *peer.Server
}

// Listen opens the three listeners. It is separate from Run, so that a wrong address is reported before anything
// starts.
func (h *Host) Listen() error {
	for _, l := range []struct {
		name string
		from settings.Listener
		to   *net.Listener
	}{
		{"callers", h.cfg.Callers, &h.listeners.callers},
		{"operators", h.cfg.Operators, &h.listeners.operators},
		{"peers", h.cfg.Peers, &h.listeners.peers},
	} {
		ln, err := net.Listen("tcp", l.from.Address)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "listen for %s on %s", l.name, l.from.Address)
		}
		*l.to = ln
		h.log.Info("listening", "For", l.name, "Address", ln.Addr(), "Plain", l.from.Plain)
	}
	return nil
}

// Run serves until ctx ends or a newer process takes the seat, and then stops gracefully. In the latter case it returns
// a Conflict error.
func (h *Host) Run(ctx context.Context) error {
	defer h.wg.Wait()
	defer h.cancel()
	if err := h.serve(); err != nil {
		return err
	}
	h.wg.Go(func() { h.writer.Run(h.ctx) })
	h.wg.Go(func() { h.control.run(h.ctx) })
	h.wg.Go(func() { h.group.Run(h.ctx) })
	h.wg.Go(func() { h.reader.Run(h.ctx) })
	h.wg.Go(func() { h.shares.Run(h.ctx) })
	h.wg.Go(func() { h.control.proposer.hosts.poll(h.ctx) })
	h.wg.Go(func() { h.exchangeBurn(h.ctx) })
	h.wg.Go(func() { h.exchangeReports(h.ctx) })
	h.wg.Go(func() { h.join(h.ctx) })
	select {
	case <-ctx.Done():
		return h.stop(true)
	case <-h.superseded:
		_ = h.stop(false)
		return fault.New(fault.Conflict, "a newer process holds seat %s", h.cfg.Seat)
	}
}

func (h *Host) serve() error {
	peersTLS, err := tlsfiles.ServerConfig(h.cfg.Peers)
	if err != nil {
		return err
	}
	h.listeners.peersServer, err = peer.Serve(h.gate.Listener(h.listeners.peers), peersTLS, peer.Handlers{
		Heartbeat: h.group.HandleHeartbeat, Snapshot: h.handleSnapshot, Burn: h.handleBurn, Reports: h.handleReports,
		Borrow: h.shares.HandleBorrow, Return: h.shares.HandleReturn, Recall: h.shares.HandleRecall,
	}, h.log)
	if err != nil {
		return err
	}
	h.listeners.callersServer = h.newCallersServer()
	if err := serveHTTP(h, h.listeners.callersServer, h.listeners.callers, h.cfg.Callers); err != nil {
		return err
	}
	h.listeners.operatorsServer = operator.NewServer(h.operatorConfig())
	return serveHTTP(h, h.listeners.operatorsServer, h.listeners.operators, h.cfg.Operators)
}

func (h *Host) newCallersServer() *http.Server {
	longest := h.cfg.Timing.MaxRequestTime.D() + headerTimeout
	return &http.Server{
		Handler:           (&callerAPI{h}).handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       longest,
		WriteTimeout:      longest + headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(h.cfg.Limits.MaxHeader),
	}
}

func serveHTTP(h *Host, s *http.Server, ln net.Listener, from settings.Listener) error {
	conf, err := tlsfiles.ServerConfig(from)
	if err != nil {
		return err
	}
	s.TLSConfig = conf
	h.gate.Attach(s)
	ln = h.gate.Listener(ln)
	h.wg.Go(func() {
		var err error
		if conf != nil {
			err = s.ServeTLS(ln, "", "")
		} else {
			err = s.Serve(ln)
		}
		if err != http.ErrServerClosed {
			h.log.Error("listener failed", "Address", ln.Addr(), "Error", err)
		}
	})
	return nil
}

// join takes the seat. It retries until it succeeds or ctx ends, for instance while the log is unavailable.
func (h *Host) join(ctx context.Context) {
	rec := journal.Record{HostJoined: &journal.HostJoined{
		Seat: h.cfg.Seat, Incarnation: h.incarnation, Address: h.listeners.peers.Addr().String(), Zone: h.cfg.Zone,
	}}
	for {
		// This does not use proposeIfLogReadable, since a host that starts during an outage of the log waits for it
		// here.
		err := effectError(h.writer.Propose(ctx, []journal.Record{rec}))
		if err == nil || ctx.Err() != nil {
			return
		}
		h.log.Warn("failed to take the seat, retrying", "Seat", h.cfg.Seat, "Error", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinRetryDelay):
		}
	}
}

// stop shuts down gracefully: it fails the readiness check, waits for requests in flight to end, and, if leave is set,
// returns borrowed slots and releases the seat.
func (h *Host) stop(leave bool) error {
	h.stopping.Store(true)
	h.log.Info("stopping", "Leave", leave, "DrainDelay", h.cfg.Timing.DrainDelay.D())
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.Timing.StopTimeout.D())
	defer cancel()
	if leave {
		// The load balancer needs DrainDelay to notice that readiness fails. Requests that it sends until then are
		// served.
		time.Sleep(h.cfg.Timing.DrainDelay.D())
	}
	err := h.listeners.callersServer.Shutdown(ctx)
	if err != nil {
		h.log.Error("callers' server did not shut down cleanly, closing its connections", "Error", err)
		h.listeners.callersServer.Close()
	}
	if drainErr := h.router.Drain(ctx); drainErr != nil {
		err = drainErr
	}
	if flushErr := h.guard.Flush(ctx); flushErr != nil {
		h.log.Warn("failed to record outcomes of requests with idempotency keys", "Error", flushErr)
	}
	if leave {
		h.releaseSeat(ctx)
	}
	_ = h.listeners.operatorsServer.Shutdown(ctx)
	h.listeners.peersServer.Close()
	h.log.Info("stopped", "Clean", err == nil)
	return err
}

// awaitIdleSlots waits until no slot of this host's seat is in use or loaned, and reports whether that happened before
// ctx ended. After HostLeft the next process may use all slots at once, so a loan that outlives this process would
// exceed them.
func (h *Host) awaitIdleSlots(ctx context.Context) bool {
	tick := time.NewTicker(h.cfg.Timing.Tick.D())
	defer tick.Stop()
	for !h.shares.Idle() {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}

// releaseSeat releases the seat, so that the next process can use its slots at once.
func (h *Host) releaseSeat(ctx context.Context) {
	h.shares.Close()
	_ = h.control.readTables(ctx, func(*table.Tables) { h.control.agent.stopped = true })
	h.control.agent.wg.Wait()
	if !h.awaitIdleSlots(ctx) {
		h.log.Warn("failed to release the seat", "Seat", h.cfg.Seat, "Reason", "slots are still in use")
		return
	}
	rec := journal.Record{HostLeft: &journal.HostLeft{
		Seat: h.cfg.Seat, Incarnation: h.incarnation, Settled: h.control.settled(time.Now()),
	}}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timing.RequestTimeout.D())
	defer cancel()
	if err := h.propose(ctx, rec); err != nil {
		h.log.Warn("failed to release the seat", "Seat", h.cfg.Seat, "Error", err)
	}
}
