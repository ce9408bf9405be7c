package route

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"persimmonpick/share"
	"persimmonpick/table"
)

const capacityBody = 1024 // bytes of a request body and of a response body

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// capacityBackend starts a backend server on the loopback interface that responds immediately.
func capacityBackend(b *testing.B) string {
	answer := bytes.Repeat([]byte("a"), capacityBody)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
		_, _ = w.Write(answer)
	}))
	b.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// capacityRouter returns a router for n instances that share one address.
func capacityRouter(n int, address string) *Router {
	view := table.NewView(table.New())
	for i := range n {
		view.Instances["quote"] = append(view.Instances["quote"], table.Instance{
			ID: table.InstanceID(fmt.Sprintf("instance-%05d", i)), Service: "quote", Zone: "zone-a", Address: address, Slots: 8, Connections: 64,
		})
	}
	slots := share.New(share.Config{
		Seat: "seat-1", Seats: []table.SeatID{"seat-1"}, LoanTerm: 2 * time.Second, MaxRequestTime: 5 * time.Second,
		Usable: func() bool { return true },
	})
	return New(Config{
		Zone: "zone-a", View: func() *table.View { return view }, Slots: slots, MaxAnswer: 1 << 20, MaxQueue: 256,
		RequestTimeout: 2 * time.Second, MaxRequestTime: 5 * time.Second, RetryBudget: 0.1, EjectAfter: 5, EjectFloor: 0.5,
	})
}

func capacityRequest(i int) Request {
	return Request{
		ID: fmt.Sprintf("request-%d", i), Header: http.Header{}, Body: make([]byte, capacityBody),
		Kind: table.Kind{ID: "quote", Service: "quote", Path: "/quote"},
	}
}

func serveRouted(b *testing.B, r *Router, i int) {
	ans, err := r.Serve(b.Context(), capacityRequest(i))
	if err != nil || len(ans.Body) != capacityBody {
		b.Errorf("response of %d bytes: %v", len(ans.Body), err)
	}
}

func serveDirect(b *testing.B, c *http.Client, address string, i int) {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+address+"/quote", bytes.NewReader(make([]byte, capacityBody)))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set("X-Request-Id", fmt.Sprintf("request-%d", i))
	res, err := c.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer res.Body.Close()
	if body, err := io.ReadAll(res.Body); err != nil || len(body) != capacityBody {
		b.Errorf("response of %d bytes: %v", len(body), err)
	}
}

// BenchmarkServeCost measures the CPU time of a routed request and, for comparison, of a direct call. Both
// include the backend server.
func BenchmarkServeCost(b *testing.B) {
	address := capacityBackend(b)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.Run("direct", func(b *testing.B) {
		began := cpuTime()
		for i := 0; b.Loop(); i++ {
			serveDirect(b, c, address, i)
		}
		b.ReportMetric(float64(cpuTime()-began)/float64(b.N)/1e3, "cpu-us/op")
	})
	for _, n := range []int{8, 65, 195, 390, 1950} {
		r := capacityRouter(n, address)
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for i := range 500 {
				serveRouted(b, r, i)
			}
			began := cpuTime()
			for i := 0; b.Loop(); i++ {
				serveRouted(b, r, i)
			}
			b.ReportMetric(float64(cpuTime()-began)/float64(b.N)/1e3, "cpu-us/op")
		})
	}
}

// BenchmarkServeLatency compares routed and direct calls with 1 and with 32 callers, alternating within one run.
func BenchmarkServeLatency(b *testing.B) {
	address := capacityBackend(b)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			r := capacityRouter(65, address)
			var d, v []time.Duration
			var spentD, spentV time.Duration
			for b.Loop() {
				const each = 20000
				list, took := measureLatencies(callers, each, func(i int) { serveDirect(b, c, address, i) })
				d, spentD = append(d, list...), spentD+took
				list, took = measureLatencies(callers, each, func(i int) { serveRouted(b, r, i) })
				v, spentV = append(v, list...), spentV+took
			}
			slices.Sort(d)
			slices.Sort(v)
			for name, q := range map[string]float64{"p50": 0.5, "p99": 0.99, "p99.9": 0.999} {
				k := int(q * float64(len(d)))
				b.ReportMetric(float64(d[k])/1e3, name+"-direct-us")
				b.ReportMetric(float64(v[k])/1e3, name+"-routed-us")
			}
			b.ReportMetric(float64(len(d))/spentD.Seconds(), "direct/s")
			b.ReportMetric(float64(len(v))/spentV.Seconds(), "routed/s")
		})
	}
}

// measureLatencies makes n calls from several concurrent callers. It returns the latency of each call and the
// total time.
func measureLatencies(callers, n int, call func(int)) ([]time.Duration, time.Duration) {
	list := make([]time.Duration, n)
	began := time.Now()
	var wg sync.WaitGroup
	for k := range callers {
		wg.Go(func() {
			for i := k; i < n; i += callers {
				at := time.Now()
				call(i)
				list[i] = time.Since(at)
			}
		})
	}
	wg.Wait()
	return list, time.Since(began)
}
