package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Seat is one configured entry host.
type Seat struct {
	ID      table.SeatID
	Address string // host:port of its peer listener
}

// Config sets up a Group.
type Config struct {
	Seat     table.SeatID
	Seats    []Seat // in the order in which they propose
	Period   time.Duration
	Timeout  time.Duration // a peer silent for this long counts as dead for proposing
	LogGrace time.Duration
	TLS      func() *tls.Config // read for each dial; nil means plaintext
	Self     func() Heartbeat   // state of this host
	Log      *slog.Logger
}

// Status is what this host knows of a seat.
type Status struct {
	Heartbeat
	Heard time.Time
	Live  bool
}

// Group sends heartbeats to all peers and knows which are live.
type Group struct {
	cfg     Config
	Fence   *Fence
	clients map[table.SeatID]*Client

	mu    sync.Mutex
	heard map[table.SeatID]Status
}

// NewGroup returns a group that is silent until Run.
func NewGroup(cfg Config) *Group {
	g := &Group{cfg: cfg, clients: map[table.SeatID]*Client{}, heard: map[table.SeatID]Status{}}
	var ids []table.SeatID
	for _, s := range cfg.Seats {
		ids = append(ids, s.ID)
		if s.ID != cfg.Seat {
			g.clients[s.ID] = NewClient(s.Address, cfg.TLS)
		}
	}
	g.Fence = NewFence(FenceConfig{Seat: cfg.Seat, Seats: ids, LogGrace: cfg.LogGrace})
	return g
}

// Client returns the client of a seat, or nil for the own or an unknown seat.
func (g *Group) Client(id table.SeatID) *Client {
	return g.clients[id]
}

// Run sends heartbeats until ctx ends.
func (g *Group) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for id, c := range g.clients {
		wg.Go(func() { g.beat(ctx, id, c) })
	}
	wg.Wait()
}

func (g *Group) beat(ctx context.Context, id table.SeatID, c *Client) {
	tick := time.NewTicker(g.cfg.Period)
	defer tick.Stop()
	defer c.Close()
	failing := false
	for {
		err := g.once(ctx, id, c)
		if ctx.Err() != nil {
			return
		}
		if failing != (err != nil) {
			failing = err != nil
			g.cfg.Log.Info("peer reachability changed", "Seat", id, "Reachable", !failing, "Error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (g *Group) once(ctx context.Context, id table.SeatID, c *Client) error {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Timeout)
	defer cancel()
	began := time.Now()
	reply, err := c.Heartbeat(ctx, g.cfg.Self())
	if err != nil {
		return err
	}
	if reply.Seat != id {
		return fault.New(fault.Invalid, "peer at the address of seat %s answers as seat %s", id, reply.Seat)
	}
	g.Fence.RecordReply(reply, began, time.Now())
	g.note(reply)
	return nil
}

// HandleHeartbeat is the server's side of a heartbeat.
func (g *Group) HandleHeartbeat(hb Heartbeat) Heartbeat {
	g.Fence.RecordHeartbeat(hb, time.Now())
	if g.clients[hb.Seat] != nil {
		g.note(hb)
	}
	return g.cfg.Self()
}

func (g *Group) note(hb Heartbeat) {
	g.mu.Lock()
	g.heard[hb.Seat] = Status{Heartbeat: hb, Heard: time.Now()}
	g.mu.Unlock()
}

// Status returns what is known of every seat, the own one included, in the order of the settings.
func (g *Group) Status() []Status {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Status, 0, len(g.cfg.Seats))
	for _, s := range g.cfg.Seats {
		if s.ID == g.cfg.Seat {
			list = append(list, Status{Heartbeat: g.cfg.Self(), Heard: now, Live: true})
			continue
		}
		st := g.heard[s.ID]
		st.Seat = s.ID
		st.Live = !st.Heard.IsZero() && now.Sub(st.Heard) <= g.cfg.Timeout
		list = append(list, st)
	}
	return list
}

// Working returns the seats that are live, ready and not stopping, in the order of the settings.
//
// Seats that do not read the log are left out unless none does: they can record nothing, but in an outage of the log leases must be renewed all the same.
func (g *Group) Working() []table.SeatID {
	var working, reading []table.SeatID
	for _, st := range g.Status() {
		if !st.Live || !st.Ready || st.Stopping {
			continue
		}
		working = append(working, st.Seat)
		if st.ReadsLog {
			reading = append(reading, st.Seat)
		}
	}
	if len(reading) > 0 {
		return reading
	}
	return working
}

// IsProposer says whether this host is the first working seat, which proposes what any host could.
func (g *Group) IsProposer() bool {
	ids := g.Working()
	return len(ids) > 0 && ids[0] == g.cfg.Seat
}
