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

// Confirmed is the response to a confirmed plan: where it took effect and how many entry hosts have applied it.
type Confirmed struct {
	ID      table.PlanID
	Offset  table.Offset
	InForce int // entry hosts that had applied it when the response was sent
	Hosts   int // entry hosts that have joined and not left
}

func (h *handler) plan(w http.ResponseWriter, r *http.Request) error {
	var in journal.Intent
	if err := answer.Decode(r, maxBodyBytes, &in); err != nil {
		return err
	}
	var p Plan
	var planErr error
	err := h.readTables(r.Context(), func(t *table.Tables) { p, planErr = MakePlan(t, in) })
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
	if err := answer.Decode(r, maxBodyBytes, &p); err != nil {
		return err
	}
	if err := validatePlan(&p); err != nil {
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
	applied, total := h.waitApplied(r.Context(), off)
	answer.JSON(w, http.StatusOK, Confirmed{ID: p.ID, Offset: off, InForce: applied, Hosts: total})
	return nil
}

// validatePlan checks a plan that a client sent back and clears versions in its intent.
//
// It does not check for staleness. That is done when the record is applied, where a plan that was already confirmed is
// recognized by its id and its repeat succeeds.
func validatePlan(p *Plan) error {
	if err := checkName("ID", string(p.ID)); err != nil {
		return err
	}
	if err := Check(p.Intent); err != nil {
		return err
	}
	p.Intent = withoutVersion(p.Intent)
	return nil
}

// waitApplied waits up to applyTimeout until every entry host has applied the log up to off.
func (h *handler) waitApplied(ctx context.Context, off table.Offset) (applied, total int) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		applied, total = h.cfg.CountApplied(ctx, off)
		if applied >= total {
			return applied, total
		}
		select {
		case <-ctx.Done():
			return applied, total
		case <-time.After(applyPollPeriod):
		}
	}
}
