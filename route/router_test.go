package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// sendLoad sends n requests at even intervals. It returns the sorted latencies of responses and of refusals.
func sendLoad(r *Router, n int, every time.Duration, build func(string) Request) (answered, refused []time.Duration, other int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			start := time.Now()
			_, err := r.Serve(context.Background(), build(fmt.Sprintf("r%d", i)))
			mu.Lock()
			defer mu.Unlock()
			switch fault.Of(err) {
			case fault.None:
				answered = append(answered, time.Since(start))
			case fault.Overloaded:
				refused = append(refused, time.Since(start))
			default:
				other++
			}
		})
		time.Sleep(every)
	}
	wg.Wait()
	slices.Sort(answered)
	slices.Sort(refused)
	return answered, refused, other
}

func quantile(ds []time.Duration, q float64) time.Duration {
	return ds[int(q*float64(len(ds)-1))]
}

// Guards against retries that multiply the load on failing backend servers.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBackends(10, func(table.InstanceID, int, *http.Request) (string, bool) { return "", false })
		_, _, other := sendLoad(b.router(t, nil), 1000, time.Millisecond, idempotentRequest)
		is.Equal(other, 1000)
		is.True(b.total() > 1100)
		is.True(b.total() <= 1000+1000/10+maxRetryTokens)
	})
}

// Guards against a non-idempotent request being sent again after a byte was sent, and against one not being
// sent again when the backend server refused it or could not be reached.
func TestRetryOnlyWhatDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refusing := "HTTP/1.1 503 Service Unavailable\r\nPersimmonpick-Refused: 1\r\nContent-Length: 0\r\n\r\n"
		b := newBackends(2, func(_ table.InstanceID, n int, req *http.Request) (string, bool) {
			if req.Header.Get("X-Request-Id") == "fails" {
				return "", false
			}
			if n == 1 {
				return refusing, true
			}
			return okResponse(req), true
		})
		r := b.router(t, func(c *Config) { c.RetryBudget = 1 })
		_, err := r.Serve(t.Context(), nonIdempotentRequest("refused"))
		is.NoErr(err) // refused by both instances, answered in the third attempt
		is.Equal(b.total(), 3)
		_, err = r.Serve(t.Context(), nonIdempotentRequest("fails"))
		is.Equal(fault.Of(err), fault.OutcomeUnknown)
		is.Equal(b.total(), 4)
		b.down = func(id table.InstanceID) bool { return id == "i0" }
		r.transports.retain(func(table.InstanceID) bool { return false })
		for i := range 20 {
			_, err = r.Serve(t.Context(), nonIdempotentRequest(fmt.Sprint(i)))
			is.NoErr(err)
		}
		is.Equal(b.total(), 24)
		b.down = func(table.InstanceID) bool { return true }
		r.transports.retain(func(table.InstanceID) bool { return false })
		_, err = r.Serve(t.Context(), nonIdempotentRequest("none up"))
		is.Equal(fault.Of(err), fault.NoInstance)
	})
}

// Guards against ejecting so many instances that the others cannot carry the load, and against full load on
// an instance in probation.
func TestEjectionFloorAndProbation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		failing := true
		b := newBackends(10, func(id table.InstanceID, _ int, req *http.Request) (string, bool) {
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if failing && id < "i8" {
				return "", false
			}
			return okResponse(req), true
		})
		r := b.router(t, func(c *Config) { c.RetryBudget = 0 })
		sendLoad(r, 2000, time.Millisecond, idempotentRequest)
		ejected := 0
		for _, m := range r.service(svc).states {
			if m.ejected {
				ejected++
			}
		}
		is.Equal(ejected, 5) // 8 of 10 instances fail, and EjectFloor is 0.5
		mu.Lock()
		failing = false
		mu.Unlock()
		before := b.requestsAt("i0")
		sendLoad(r, 100, time.Millisecond, idempotentRequest)
		is.True(b.requestsAt("i0")-before < 50)
		sendLoad(r, 15000, time.Millisecond, idempotentRequest)
		for id, m := range r.service(svc).states {
			is.True(!m.ejected)             // all were readmitted
			is.True(b.requestsAt(id) > 300) // and get requests
		}
	})
}

// Guards against queues so long that all callers run into their deadline. At three times the capacity, the
// capacity must still be used for responses in time, and the other requests be refused immediately.
func TestEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// 32 slots serve 1600 requests per second. The connection limit allows all slots to be used.
		b := newBackends(4, replyAfter(20*time.Millisecond))
		r := b.router(t, func(c *Config) { c.RequestTimeout = 200 * time.Millisecond; c.MaxQueue = 5000 })
		answered, refused, other := sendLoad(r, 4800*2, time.Second/4800, idempotentRequest)
		is.Equal(other, 0)
		t.Logf("answered %d, refused %d; latency p50 %v p99 %v; refusal p50 %v p99 %v", len(answered), len(refused),
			quantile(answered, 0.5), quantile(answered, 0.99), quantile(refused, 0.5), quantile(refused, 0.99))
		is.True(len(answered) > 1600*2*95/100)
		is.True(quantile(refused, 0.95) < time.Millisecond)
		is.True(b.mostInFlight() <= 8)
	})
}

// Guards against one slow instance raising the tail latency of all requests.
func TestSlowInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBackends(10, func(id table.InstanceID, _ int, req *http.Request) (string, bool) {
			d := time.Duration(8+rand.IntN(5)) * time.Millisecond
			if id == "i3" {
				d *= 10
			}
			time.Sleep(d)
			return okResponse(req), true
		})
		r := b.router(t, nil)
		sendLoad(r, 1000, time.Millisecond, idempotentRequest)
		answered, _, _ := sendLoad(r, 5000, time.Millisecond, idempotentRequest)
		t.Logf("p50 %v p99 %v p99.9 %v max %v", quantile(answered, 0.5), quantile(answered, 0.99), quantile(answered, 0.999), quantile(answered, 1))
		is.Equal(len(answered), 5000)
		is.True(quantile(answered, 0.99) <= 15*time.Millisecond)
		is.True(b.requestsAt("i3") < 200)
	})
}

// Guards against hedging a non-idempotent kind, exceeding the retry budget, and hedging without effect on p99.
func TestHedge(t *testing.T) {
	p99 := map[bool]time.Duration{}
	for _, hedge := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBackends(10, func(_ table.InstanceID, n int, req *http.Request) (string, bool) {
				time.Sleep(10 * time.Millisecond)
				if n%50 == 0 {
					time.Sleep(200 * time.Millisecond)
				}
				return okResponse(req), true
			})
			r := b.router(t, func(c *Config) { c.Hedge = hedge })
			sendLoad(r, 200, time.Millisecond, nonIdempotentRequest)
			is.Equal(b.total(), 200)
			answered, _, _ := sendLoad(r, 3000, time.Millisecond, idempotentRequest)
			is.Equal(len(answered), 3000)
			p99[hedge] = quantile(answered, 0.99)
			t.Logf("hedge %v: p99 %v, %d requests sent", hedge, p99[hedge], b.total()-200)
			is.True(b.total()-200 <= 3000+3000/10+maxRetryTokens)
		})
	}
	is.New(t).True(p99[true] < p99[false]/2)
}

// Guards against a graceful stop that interrupts requests in flight or accepts new ones.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBackends(1, replyAfter(time.Second))
		r := b.router(t, nil)
		answered := make(chan error, 1)
		go func() {
			_, err := r.Serve(context.Background(), idempotentRequest("a"))
			answered <- err
		}()
		time.Sleep(100 * time.Millisecond)
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.Equal(fault.Of(r.Drain(short)), fault.Stopping)
		_, err := r.Serve(t.Context(), idempotentRequest("b"))
		is.Equal(fault.Of(err), fault.Stopping)
		is.NoErr(r.Drain(t.Context()))
		is.NoErr(<-answered)
		is.Equal(b.total(), 1)
	})
}

// Guards against more requests at an instance than it has slots when callers leave early, as the backend
// server may still work on their requests.
func TestSlotsStayCountedAfterCallersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBackends(2, replyAfter(500*time.Millisecond))
		r := b.router(t, nil)
		for i := range 1000 {
			go func() {
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(time.Duration(i%7)*20*time.Millisecond, cancel)
				_, _ = r.Serve(ctx, idempotentRequest(fmt.Sprint(i)))
			}()
			time.Sleep(2 * time.Millisecond)
		}
		is.True(b.total() > 16)
		is.True(b.mostInFlight() <= 8)
	})
}
