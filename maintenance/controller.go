package maintenance

import (
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

// The timing of the controller's rounds.
const (
	roundEvery  = 500 * time.Millisecond // while a wave runs; the list of machines is read with each
	idleEvery   = 500 * time.Millisecond // between looks for a wave
	callTimeout = 1500 * time.Millisecond
)

// Token orders the holders of the duty to take a machine down; the platform refuses lower ones.
type Token uint64

// Order asks the platform to take a machine down for its maintenance in a wave.
type Order struct {
	Machine MachineID
	Wave    WaveID
	Holder  string
	Token   Token
}

// Platform reaches the machines. Order fails with fault.Stale for a token that is too low, with fault.Conflict for a machine that is not up, with fault.NotFound for one that is not of the wave or not known, with fault.Overloaded or fault.NotReady if nothing was done, and with another kind if it may have been; an order that was carried out before succeeds.
type Platform struct {
	Machines func(ctx context.Context) ([]Machine, error)
	Order    func(ctx context.Context, o Order) error
	Tell     func(ctx context.Context, w WaveID, over bool) error // the operator
}

// Scheduler reaches what decides where tasks run.
type Scheduler struct {
	// Empty has the given workers emptied, and no others, and returns what is left on them.
	Empty func(ctx context.Context, ws []table.WorkerID) (map[table.WorkerID]Remaining, error)
	// Note hands data on to the next leader; it returns once that is in the log.
	Note func(ctx context.Context, name string, data []byte) error
}

// Config configures a Controller.
type Config struct {
	Holder   string
	Token    Token
	Usual    time.Duration // that the maintenance of a machine takes
	Waves    func() []Wave // that the operator wants
	Notes    map[string][]byte
	Platform Platform
	Tasks    Scheduler
	Log      *slog.Logger
}

// Controller carries out the waves while this host leads.
type Controller struct {
	cfg   Config
	waves map[WaveID]*wave
	told  map[WaveID]string // marks that are in the log
	empty bool              // no worker is being emptied
}

// New returns a controller whose Run must be called.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, waves: map[WaveID]*wave{}, told: map[WaveID]string{}, empty: true}
}

// Run carries out waves until ctx ends, or another holder has the duty.
func (k *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !k.take(time.Now()) {
			ledger.Sleep(ctx, idleEvery)
			continue
		}
		if err := k.round(ctx); err != nil {
			k.cfg.Log.Info("maintenance held up", "Kind", fault.Of(err).String(), "Error", err)
			if fault.Of(err) == fault.Stale {
				return
			}
		}
		ledger.Sleep(ctx, roundEvery)
	}
}

func noteName(id WaveID) string { return fmt.Sprintf("wave/%d", id) }

// take takes in the waves that the operator wants; it says whether any is not over.
func (k *Controller) take(now time.Time) bool {
	active := !k.empty
	for _, w := range k.cfg.Waves() {
		v := k.waves[w.ID]
		if v == nil {
			v = newWave(w, k.cfg.Usual, now)
			if data := k.cfg.Notes[noteName(w.ID)]; data != nil {
				var m progress
				if err := cbor.Unmarshal(data, &m); err != nil {
					k.cfg.Log.Error("what the last leader did for a wave cannot be read; its orders are given again", "Wave", w.ID, "Error", err)
				} else {
					v.restore(m, now)
				}
			}
			k.waves[w.ID] = v
			k.cfg.Log.Info("wave of maintenance", "Wave", w.ID, "Machines", len(w.Machines), "Most", w.Most, "Period", w.Period, "Ended", v.ended)
		}
		active = active || !v.ended
	}
	return active
}

// round takes each wave as far as it can.
func (k *Controller) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	list, err := k.cfg.Platform.Machines(ctx)
	if err != nil {
		return err
	}
	machines := make(map[MachineID]Machine, len(list))
	for _, m := range list {
		machines[m.ID] = m
	}
	now := time.Now()
	var emptying []table.WorkerID
	active := k.active()
	for _, v := range active {
		v.observe(machines, now)
		emptying = append(emptying, v.begin(machines, now)...)
	}
	left, err := k.cfg.Tasks.Empty(ctx, emptying)
	if err != nil {
		return err
	}
	k.empty = len(emptying) == 0
	for _, v := range active {
		if err := k.advance(ctx, v, left); err != nil {
			return err
		}
	}
	return nil
}

// active returns the waves that are not over, the oldest first.
func (k *Controller) active() []*wave {
	var vs []*wave
	for _, v := range k.waves {
		if !v.ended {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b *wave) int { return int(a.ID - b.ID) })
	return vs
}

// advance orders what is due in a wave, and tells the operator how it stands.
func (k *Controller) advance(ctx context.Context, v *wave, left map[table.WorkerID]Remaining) error {
	if !v.running {
		if err := k.cfg.Platform.Tell(ctx, v.ID, false); err != nil {
			return err
		}
		v.running = true
	}
	now := time.Now()
	due := v.due(left, now)
	for _, id := range due {
		if s := v.steps[id]; s.phase == emptying {
			s.phase, s.since = ordered, now
		}
	}
	// The next leader must know of each order before it is given.
	if err := k.note(ctx, v); err != nil {
		return err
	}
	for _, id := range due {
		if err := k.order(ctx, v, id); err != nil {
			return err
		}
	}
	if !v.over() {
		return nil
	}
	if err := k.cfg.Platform.Tell(ctx, v.ID, true); err != nil {
		return err
	}
	v.ended = true
	k.cfg.Log.Info("wave of maintenance over", "Wave", v.ID, "Late", max(0, time.Since(v.until)).Round(time.Millisecond))
	return k.note(ctx, v)
}

// note hands on how far a wave is, if that has changed.
func (k *Controller) note(ctx context.Context, v *wave) error {
	data, err := cbor.Marshal(v.progress())
	if err != nil {
		return fault.Wrap(err, fault.Internal, "progress of wave %d cannot be encoded", v.ID)
	}
	if k.told[v.ID] == string(data) {
		return nil
	}
	if err := k.cfg.Tasks.Note(ctx, noteName(v.ID), data); err != nil {
		return err
	}
	k.told[v.ID] = string(data)
	return nil
}

// order gives one order; only a refusal for another holder is an error.
func (k *Controller) order(ctx context.Context, v *wave, id MachineID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := v.steps[id]
	err := k.cfg.Platform.Order(ctx, Order{Machine: id, Wave: v.ID, Holder: k.cfg.Holder, Token: k.cfg.Token})
	k.cfg.Log.Info("machine ordered down", "Wave", v.ID, "Machine", id, "Worker", s.worker, "Kind", fault.Of(err).String(), "Error", err)
	switch fault.Of(err) {
	case fault.None:
		s.phase, s.since, s.unsure = down, time.Now(), false
	case fault.Stale:
		return err
	case fault.NotFound:
		s.phase = finished // it takes no part in the wave
	case fault.Conflict:
		if !s.unsure {
			s.phase = pending // until it is up again
		}
	case fault.Overloaded, fault.NotReady:
	default:
		s.unsure = true
	}
	// An order that is not settled is given again with the next round, and counts as carried out until then.
	return nil
}
