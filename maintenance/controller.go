package maintenance

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/table"
)

// Timing of the controller's rounds.
const (
	roundInterval = 500 * time.Millisecond // while a wave is active; each round reads the list of machines
	idleInterval  = 500 * time.Millisecond // between checks for a new wave
	callTimeout   = 1500 * time.Millisecond
	// Without a confirmation for longer nothing is ordered: others claim leadership after 1.5 s, and a platform may
	// check no tokens. An append that succeeds takes less.
	maxUnconfirmed = time.Second
)

// Token is the fencing token of the holder that may take machines down; the platform refuses lower tokens.
type Token uint64

// Order asks the platform to take a machine down for its maintenance in a wave.
type Order struct {
	Machine MachineID
	Wave    WaveID
	Holder  string
	Token   Token
}

// Notice tells the operator that a wave has started, or that it is over.
type Notice struct {
	Wave  WaveID
	Over  bool
	Token Token
}

// Platform gives access to the machines.
//
// Order fails with fault.Stale for a token that is too low, with fault.Conflict for a machine that is not up,
// with fault.NotFound for one that is unknown or not part of the wave, with fault.Overloaded or fault.NotReady
// if nothing was done, and with another kind if the order may have been carried out. An order that has been
// carried out before succeeds.
type Platform struct {
	Machines func(ctx context.Context) ([]Machine, error)
	Order    func(ctx context.Context, o Order) error
	// NotifyOperator tells the operator that a wave has started or is over. It fails with fault.Stale for a token that
	// is too low. A notice that was not answered does not take effect after a later one of its wave.
	NotifyOperator func(ctx context.Context, n Notice) error
}

// Scheduler gives access to the task scheduler.
type Scheduler struct {
	// Evacuate evacuates the given workers, and no others, and returns what still runs on them.
	Evacuate func(ctx context.Context, ws []table.WorkerID) (map[table.WorkerID]Remaining, error)
	// SaveHandover passes data to the next leader under name; it returns once the data is in the log.
	SaveHandover func(ctx context.Context, name string, data []byte) error
}

// Config configures a Controller.
type Config struct {
	Holder          string
	Token           Token
	UsualDuration   time.Duration     // usual duration of the maintenance of a machine
	Waves           func() []Wave     // requested by the operator
	HandoverRecords map[string][]byte // handover data of the last leader, by name
	Platform        Platform
	Scheduler       Scheduler
	// Confirmed returns when this host was last known to be the leader; nil means always.
	Confirmed func() time.Time
	Logger    *slog.Logger
}

// Controller carries out waves while this host leads.
type Controller struct {
	cfg            Config
	waves          map[WaveID]*waveState
	savedProgress  map[WaveID]string // encoded progress that is in the log, by wave
	noneEvacuating bool
}

// New returns a Controller whose Run must be called.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, waves: map[WaveID]*waveState{}, savedProgress: map[WaveID]string{}, noneEvacuating: true}
}

// Run carries out waves until ctx ends or another holder has taken over.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.updateWaves(time.Now()) {
			ledger.Sleep(ctx, idleInterval)
			continue
		}
		if err := c.round(ctx); err != nil {
			c.cfg.Logger.Info("maintenance round failed", "Kind", fault.Of(err).String(), "Error", err)
			if fault.Of(err) == fault.Stale {
				return
			}
		}
		ledger.Sleep(ctx, roundInterval)
	}
}

func handoverName(id WaveID) string { return fmt.Sprintf("wave/%d", id) }

// updateWaves adds newly requested waves and reports whether there is work left.
func (c *Controller) updateWaves(now time.Time) bool {
	active := !c.noneEvacuating
	for _, w := range c.cfg.Waves() {
		v := c.waves[w.ID]
		if v == nil {
			v = newWaveState(w, c.cfg.UsualDuration, now)
			if data := c.cfg.HandoverRecords[handoverName(w.ID)]; data != nil {
				var m progress
				if err := cbor.Unmarshal(data, &m); err != nil {
					c.cfg.Logger.Error("handover record of the wave cannot be decoded; repeating its orders", "Wave", w.ID, "Error", err)
				} else {
					v.restore(m, now)
				}
			}
			c.waves[w.ID] = v
			c.cfg.Logger.Info("maintenance wave loaded", "Wave", w.ID, "Machines", len(w.Machines), "Most", w.MaxDown, "Period", w.Period, "Ended", v.endReported)
		}
		v.withdraw(w.Machines)
		active = active || !v.endReported
	}
	return active
}

// round advances each active wave as far as possible.
func (c *Controller) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	list, err := c.cfg.Platform.Machines(ctx)
	if err != nil {
		return err
	}
	machines := make(map[MachineID]Machine, len(list))
	for _, m := range list {
		machines[m.ID] = m
	}
	now := time.Now()
	var evacuatingWorkers []table.WorkerID
	active := c.active()
	for _, v := range active {
		v.observe(machines, now)
		evacuatingWorkers = append(evacuatingWorkers, v.startEvacuations(machines, now)...)
	}
	remaining, err := c.cfg.Scheduler.Evacuate(ctx, evacuatingWorkers)
	if err != nil {
		return err
	}
	c.noneEvacuating = len(evacuatingWorkers) == 0
	for _, v := range active {
		if err := c.advance(ctx, v, remaining); err != nil {
			return err
		}
	}
	return nil
}

// active returns the waves that are not over, the oldest first.
func (c *Controller) active() []*waveState {
	var vs []*waveState
	for _, v := range c.waves {
		if !v.endReported {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b *waveState) int { return cmp.Compare(a.ID, b.ID) })
	return vs
}

// advance gives the orders that are due in a wave and reports the start and the end of the wave to the
// operator.
func (c *Controller) advance(ctx context.Context, v *waveState, remaining map[table.WorkerID]Remaining) error {
	if !v.startReported {
		if err := c.cfg.Platform.NotifyOperator(ctx, Notice{Wave: v.ID, Token: c.cfg.Token}); err != nil {
			return err
		}
		v.startReported = true
	}
	now := time.Now()
	due := v.due(remaining, now)
	for _, id := range due {
		if s := v.machineStates[id]; s.phase == evacuating {
			s.phase, s.since = ordered, now
		}
	}
	// The order must be in the log before it is given, so that the next leader knows of it.
	if err := c.saveProgress(ctx, v); err != nil {
		return err
	}
	for _, id := range due {
		if c.cfg.Confirmed != nil && time.Since(c.cfg.Confirmed()) > maxUnconfirmed {
			return fault.New(fault.NotReady, "another host may lead, nothing is ordered")
		}
		if err := c.order(ctx, v, id); err != nil {
			return err
		}
	}
	if !v.complete() {
		return nil
	}
	if err := c.cfg.Platform.NotifyOperator(ctx, Notice{Wave: v.ID, Over: true, Token: c.cfg.Token}); err != nil {
		return err
	}
	v.endReported = true
	c.cfg.Logger.Info("maintenance wave over", "Wave", v.ID, "Late", max(0, time.Since(v.deadline)).Round(time.Millisecond))
	return c.saveProgress(ctx, v)
}

// saveProgress writes the progress of a wave to the log if it has changed.
func (c *Controller) saveProgress(ctx context.Context, v *waveState) error {
	data, err := cbor.Marshal(v.progress())
	if err != nil {
		return fault.Wrap(err, fault.Internal, "progress of wave %d cannot be encoded", v.ID)
	}
	if c.savedProgress[v.ID] == string(data) {
		return nil
	}
	if err := c.cfg.Scheduler.SaveHandover(ctx, handoverName(v.ID), data); err != nil {
		return err
	}
	c.savedProgress[v.ID] = string(data)
	return nil
}

// order gives one order. It returns an error only if another holder has taken over.
func (c *Controller) order(ctx context.Context, v *waveState, id MachineID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := v.machineStates[id]
	err := c.cfg.Platform.Order(ctx, Order{Machine: id, Wave: v.ID, Holder: c.cfg.Holder, Token: c.cfg.Token})
	c.cfg.Logger.Info("maintenance order sent", "Wave", v.ID, "Machine", id, "Worker", s.worker, "Kind", fault.Of(err).String(), "Error", err)
	switch fault.Of(err) {
	case fault.None:
		s.phase, s.since, s.unconfirmed, s.refusals = down, time.Now(), false, 0
	case fault.Stale:
		return err
	case fault.NotFound:
		v.orderRefused(s, time.Now())
	case fault.Conflict:
		if !s.unconfirmed {
			s.phase = pending // retried once the machine is up again
		}
	case fault.Overloaded, fault.NotReady:
	default:
		s.unconfirmed = true
	}
	// An unconfirmed order is repeated in the next round and counts as carried out until then.
	return nil
}
