package operator

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"persimmonpick/answer"
	"persimmonpick/journal"
	"persimmonpick/table"
)

// Confirmed says where a plan took effect and how far it has spread.
type Confirmed struct {
	ID      table.PlanID
	Offset  table.Offset
	InForce int // entry hosts that applied it when the answer was sent
	Hosts   int // entry hosts in all
}

func (h *handler) plan(w http.ResponseWriter, r *http.Request) error {
	var in journal.Intent
	if err := answer.Decode(r, maxBody, &in); err != nil {
		return err
	}
	var p Plan
	var planErr error
	err := h.look(r.Context(), func(t *table.Tables) { p, planErr = MakePlan(t, in) })
	if err != nil {
		return err
	}
	if planErr != nil {
		return planErr
	}
	answer.JSON(w, http.StatusOK, p)
	return nil
}

func (h *handler) confirm(w http.ResponseWriter, r *http.Request) error {
	var p Plan
	if err := answer.Decode(r, maxBody, &p); err != nil {
		return err
	}
	if err := recheck(&p); err != nil {
		return err
	}
	name := h.cfg.Identity(r)
	record := journal.PlanConfirmed{ID: p.ID, Operator: name, Intent: p.Intent, Base: p.Base}
	off, err := h.propose(r.Context(), journal.Record{PlanConfirmed: &record})
	if err != nil {
		slog.Warn("plan not confirmed", "Plan", p.ID, "Operator", name, "Type", p.Intent.Type, "Error", err.Error())
		return err
	}
	slog.Info("plan confirmed", "Plan", p.ID, "Operator", name, "Type", p.Intent.Type, "Offset", off)
	have, want := h.waitInForce(r.Context(), off)
	answer.JSON(w, http.StatusOK, Confirmed{ID: p.ID, Offset: off, InForce: have, Hosts: want})
	return nil
}

// recheck makes sure that a plan still has the shape that MakePlan gave it.
//
// Whether it is stale is for the fold alone: it also knows a plan that was already confirmed, and such a repeat succeeds.
func recheck(p *Plan) error {
	if err := checkName("ID", string(p.ID)); err != nil {
		return err
	}
	if err := Check(p.Intent); err != nil {
		return err
	}
	p.Intent = withoutVersion(p.Intent)
	return nil
}

// waitInForce waits a bounded time for every entry host to apply off.
func (h *handler) waitInForce(ctx context.Context, off table.Offset) (have, want int) {
	ctx, cancel := context.WithTimeout(ctx, forceWait)
	defer cancel()
	for {
		have, want = h.cfg.CountApplied(ctx, off)
		if have >= want {
			return have, want
		}
		select {
		case <-ctx.Done():
			return have, want
		case <-time.After(forcePeriod):
		}
	}
}
