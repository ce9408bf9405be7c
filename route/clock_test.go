package route

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
)

// Guards against a ninth request at a backend server with eight slots whose clock is behind. It still works
// on eight requests after their deadline on this host.
func TestSlotsOutlastTheDeadlineByClockBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const behind = 90 * time.Millisecond
		b := newBackends(1, func(_ table.InstanceID, _ int, req *http.Request) (string, bool) {
			ms, err := strconv.ParseInt(req.Header.Get(DeadlineHeader), 10, 64)
			if err != nil {
				return "", false
			}
			time.Sleep(time.Until(time.UnixMilli(ms)) + behind)
			return "", false
		})
		r := b.router(t, func(cfg *Config) { cfg.ClockBound = 100 * time.Millisecond })
		for i := range 24 {
			go func() {
				time.Sleep(time.Duration(i/8) * time.Second) // later requests wait for the slots of the first eight
				_, _ = r.Serve(context.Background(), idempotentRequest(fmt.Sprint(i)))
			}()
		}
		time.Sleep(10 * time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		is.True(b.maxInFlight > 0)
		is.True(b.maxInFlight <= 8)
	})
}
