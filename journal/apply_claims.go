package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// maxKeyBytes is the length of the longest idempotency key that Apply accepts.
const maxKeyBytes = 512

func (a *applier) claimMade(r *ClaimMade) fault.Kind {
	if r.Key.Key == "" || len(r.Key.Key) > maxKeyBytes {
		return fault.Invalid
	}
	// No process would ever end a claim whose owner has already lost its seat.
	if !a.holdsSeat(r.Seat, r.Incarnation) {
		return fault.Stale
	}
	old := a.t.Claims[r.Key]
	if old != nil {
		if k := checkReclaim(old, r, a.off); k != fault.None {
			return k
		}
	}
	a.t.Claims[r.Key] = &table.Claim{
		ClaimKey: r.Key, Kind: r.Kind, Digest: r.Digest, State: table.ClaimRunning,
		Seat: r.Seat, Incarnation: r.Incarnation, Made: a.off,
	}
	return fault.None
}

func checkReclaim(old *table.Claim, r *ClaimMade, off table.Offset) fault.Kind {
	if old.State == table.ClaimNotRun {
		// A claim is identified by its offset, so a key can be claimed only once per batch.
		if old.Made == off {
			return fault.Conflict
		}
		return fault.None
	}
	if old.Digest != r.Digest || old.Kind != r.Kind {
		return fault.KeyReused
	}
	if old.State == table.ClaimRunning {
		return fault.StillRunning
	}
	return fault.Conflict
}

func (a *applier) claimEnded(r *ClaimEnded) fault.Kind {
	c := a.t.Claims[r.Key]
	if c == nil || c.Made != r.Made {
		return fault.Stale
	}
	if k := a.checkClaimEnd(c, r.State); k != fault.None {
		return k
	}
	c.State = r.State
	c.Status = r.Status
	c.ContentType = r.ContentType
	c.Answer = r.Answer
	c.Fault = r.Fault
	return fault.None
}

func (a *applier) checkClaimEnd(c *table.Claim, state table.ClaimState) fault.Kind {
	switch state {
	case table.ClaimDone, table.ClaimUnknown, table.ClaimNotRun:
	default:
		return fault.Invalid
	}
	if c.State == table.ClaimRunning {
		return fault.None
	}
	// The process that sent the request may receive its response after the claim was marked as unknown.
	if c.State == table.ClaimUnknown && state == table.ClaimDone && a.b.Writer == c.Incarnation {
		return fault.None
	}
	return fault.Conflict
}
