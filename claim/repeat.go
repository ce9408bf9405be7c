package claim

import (
	"context"
	"net/http"

	"persimmonpick/fault"
	"persimmonpick/route"
	"persimmonpick/table"
)

// lookupRepeat returns the reply to a repeat according to the tables. again reports that the key is free by
// now and may be claimed again.
func (g *Guard) lookupRepeat(ctx context.Context, c Claim) (ans route.Response, again bool, err error) {
	var found *table.Claim
	lost := false
	lookErr := g.ReadTables(ctx, func(t *table.Tables) {
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
		return route.Response{}, false, keyReusedError(c)
	case found.State == table.ClaimRunning && lost:
		return route.Response{}, false, fault.New(fault.OutcomeUnknown, "the host that ran key %q was lost", c.Key)
	case found.State == table.ClaimRunning:
		return route.Response{}, false, stillRunningError(c)
	}
	ans, err = recordedResponse(c, found.State, found.Status, found.ContentType, found.Answer, found.Fault)
	return ans, false, err
}

// holderLost reports whether the process that made the claim can no longer record its outcome.
func holderLost(t *table.Tables, c *table.Claim) bool {
	host := t.Hosts[c.Seat]
	return host == nil || host.Left || host.Incarnation != c.Incarnation
}

// recordedResponse returns the reply to a repeat of a request whose outcome is recorded.
func recordedResponse(c Claim, state table.ClaimState, status int, contentType string, body []byte, kind fault.Kind) (route.Response, error) {
	if state != table.ClaimDone || kind != fault.None {
		return route.Response{}, fault.New(fault.OutcomeUnknown, "key %q: recorded as %s with %s and status %d", c.Key, state, kind, status)
	}
	ans := route.Response{Status: status, Header: http.Header{}, Body: body, Ran: fault.RanYes}
	if contentType != "" {
		ans.Header.Set("Content-Type", contentType)
	}
	return ans, nil
}

func keyReusedError(c Claim) error {
	return fault.New(fault.KeyReused, "key %q was used for another request", c.Key)
}

func stillRunningError(c Claim) error {
	return fault.New(fault.StillRunning, "the request with key %q still runs", c.Key)
}
