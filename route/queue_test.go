package route

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/share"
	"persimmonpick/table"
)

// Guards against refusing requests that can be served in time, after a pause in which no slot was granted.
func TestPauseIsNotTheRateOfGrants(t *testing.T) {
	for _, pause := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBackends(4, replyAfter(20*time.Millisecond))
			var usable atomic.Bool
			usable.Store(true)
			slots := share.New(share.Config{
				Seat: "s1", Seats: []table.SeatID{"s1"}, LoanTerm: time.Second, MaxRequestTime: 10 * time.Second, Usable: usable.Load,
			})
			r := b.router(t, func(c *Config) { c.Slots = slots; c.RequestTimeout = 2 * time.Second })
			time.AfterFunc(time.Second, func() { usable.Store(false) })
			time.AfterFunc(time.Second+pause, func() { usable.Store(true) })
			answered, refused, other := sendLoad(r, 600, 5*time.Millisecond, idempotentRequest)
			t.Logf("pause of %v: %d answered, %d refused", pause, len(answered), len(refused))
			is.Equal(len(refused)+other, 0)
		})
	}
}

// Guards against a rate of grants that is too high where each slot is in use for long, so that requests wait in vain.
func TestSlowGrantsAreMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const usual = 300 * time.Millisecond
		// 8 slots serve 1600 requests in the minute in which 4800 come.
		b := newBackends(1, func(_ table.InstanceID, _ int, req *http.Request) (string, bool) {
			time.Sleep(usual/2 + rand.N(usual))
			return okResponse(req), true
		})
		r := b.router(t, func(c *Config) { c.RequestTimeout = 2 * time.Second })
		answered, refused, other := sendLoad(r, 4800, time.Minute/4800, idempotentRequest)
		t.Logf("%d answered, %d refused, %d not in time", len(answered), len(refused), other)
		is.True(len(answered) > 1600*90/100)
		is.True(quantile(refused, 0.95) < time.Millisecond)
	})
}
