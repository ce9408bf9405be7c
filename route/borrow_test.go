package route

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/share"
	"persimmonpick/table"
)

// newManagers returns connected slot managers for several seats. Each call between them takes a millisecond.
func newManagers(b *backends, seats ...table.SeatID) map[table.SeatID]*share.Manager {
	all := map[table.SeatID]*share.Manager{}
	for _, seat := range seats {
		all[seat] = share.New(share.Config{
			Seat: seat, Seats: seats, LoanTerm: time.Second, MaxRequestTime: 10 * time.Second,
			Usable: func() bool { return true },
			Lookup: func(id table.InstanceID) (table.Instance, bool) {
				for _, inst := range b.insts {
					if inst.ID == id {
						return inst, true
					}
				}
				return table.Instance{}, false
			},
			Borrow: func(_ context.Context, to table.SeatID, req share.BorrowRequest) (share.BorrowReply, error) {
				time.Sleep(time.Millisecond)
				return all[to].HandleBorrow(req)
			},
			Return: func(_ context.Context, to table.SeatID, req share.ReturnRequest) error {
				time.Sleep(time.Millisecond)
				all[to].HandleReturn(req)
				return nil
			},
			Recall: func(_ context.Context, to table.SeatID, req share.RecallRequest) (share.RecallReply, error) {
				time.Sleep(time.Millisecond)
				return all[to].HandleRecall(req), nil
			},
		})
	}
	return all
}

// Guards against slots that stay idle at their owners while callers wait at another host, and against more
// requests at an instance than it has slots when load moves between hosts.
func TestLoadMovesBetweenHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBackends(8, func(_ table.InstanceID, _ int, req *http.Request) (string, bool) {
			time.Sleep(time.Duration(10+rand.IntN(21)) * time.Millisecond)
			return okResponse(req), true
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		managers := newManagers(b, "s1", "s2", "s3", "s4")
		var routers []*Router
		for _, seat := range []table.SeatID{"s1", "s2", "s3", "s4"} {
			go managers[seat].Run(ctx)
			routers = append(routers, b.router(t, func(c *Config) { c.Slots = managers[seat] }))
		}
		// 64 slots serve 3200 requests per second. Each host in turn gets 80% of that.
		for _, r := range routers {
			answered, refused, other := sendLoad(r, 1280, time.Second/2560, idempotentRequest)
			t.Logf("wait and service: p50 %v p99 %v", quantile(answered, 0.5), quantile(answered, 0.99))
			is.Equal(len(refused)+other, 0)
			is.True(quantile(answered, 0.99) < 60*time.Millisecond)
		}
		// All hosts at once get 1.5 times the load that the slots can serve.
		var wg sync.WaitGroup
		answered := make([]int, len(routers))
		for i, r := range routers {
			wg.Go(func() {
				got, _, other := sendLoad(r, 1200, time.Second/1200, idempotentRequest)
				answered[i] = len(got)
				is.Equal(other, 0)
			})
		}
		wg.Wait()
		t.Logf("answered at 1.5 times the load, by host: %v", answered)
		for _, n := range answered {
			is.True(n > 400) // no host starves
		}
		is.True(b.mostInFlight() <= 8)
		cancel()
	})
}
