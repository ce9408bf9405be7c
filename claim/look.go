package claim

import (
	"context"
	"net/http"

	"persimmonpick/fault"
	"persimmonpick/route"
	"persimmonpick/table"
)

// look answers a repeat from the tables; again says that the key is free by now.
func (g *Guard) look(ctx context.Context, c Claim) (ans route.Response, again bool, err error) {
	var found *table.Claim
	lost := false
	lookErr := g.Look(ctx, func(t *table.Tables) {
		if known := t.Claims[c.key()]; known != nil {
			copied := *known
			found = &copied
			lost = holderLost(t, known)
		}
	})
	switch {
	case lookErr != nil:
		return route.Response{}, false, fault.New(fault.StillRunning, "key %q is claimed, and its state could not be read: %v", c.Key, lookErr)
	case found == nil || found.State == table.ClaimNotRun:
		return route.Response{}, true, nil
	case found.Kind != c.Kind || found.Digest != c.Digest:
		return route.Response{}, false, keyReused(c)
	case found.State == table.ClaimRunning && lost:
		return route.Response{}, false, fault.New(fault.OutcomeUnknown, "the host that ran key %q was lost", c.Key)
	case found.State == table.ClaimRunning:
		return route.Response{}, false, stillRunning(c)
	}
	ans, err = recorded(c, found.State, found.Status, found.ContentType, found.Answer, found.Fault)
	return ans, false, err
}

// holderLost says whether the process that made the claim can no longer record its end.
func holderLost(t *table.Tables, c *table.Claim) bool {
	host := t.Hosts[c.Seat]
	return host == nil || host.Left || host.Incarnation != c.Incarnation
}

// recorded turns the recorded end of a claim into the answer for a repeat.
func recorded(c Claim, state table.ClaimState, status int, contentType string, body []byte, kind fault.Kind) (route.Response, error) {
	if state != table.ClaimDone || kind != fault.None {
		return route.Response{}, fault.New(fault.OutcomeUnknown, "key %q: recorded as %s with %s and status %d", c.Key, state, kind, status)
	}
	ans := route.Response{Status: status, Header: http.Header{}, Body: body, Ran: fault.RanYes}
	if contentType != "" {
		ans.Header.Set("Content-Type", contentType)
	}
	return ans, nil
}

func keyReused(c Claim) error {
	return fault.New(fault.KeyReused, "key %q was used for another request", c.Key)
}

func stillRunning(c Claim) error {
	return fault.New(fault.StillRunning, "the request with key %q still runs", c.Key)
}
