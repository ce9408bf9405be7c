package scenario

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"persimmonpick/standins/backend"
	"persimmonpick/standins/site"
)

// load sends requests at a constant rate until it is stopped.
type load struct {
	cancel  chan struct{}
	once    sync.Once
	started time.Time
	done    sync.WaitGroup

	mu         sync.Mutex
	statuses   map[string]int  // number of responses by status and error code
	messages   map[string]bool // distinct messages of responses with an error
	incomplete []string        // errors of requests without a complete response
}

func (l *load) stop() {
	l.once.Do(func() { close(l.cancel) })
	l.done.Wait()
}

// cmdLoad sends quote requests in the background: load start NAME e1 [Every=5ms], then
// load stop NAME [Broken=0] [Only200=true] [Without=NoInstance]. Broken is the number of requests without a complete
// response, Without an error code that no response may have. Stop fails if no request succeeded.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	plain, opts := splitOptions(args)
	if plain[0] == "start" {
		every := 5 * time.Millisecond
		if opts["Every"] != "" {
			d, err := time.ParseDuration(opts["Every"])
			ts.Check(err)
			every = d
		}
		w.loads[plain[1]] = startLoad(w.callersURL(ts, plain[2])+"/v1/requests/quote", every)
		return
	}
	l := w.loads[plain[1]]
	l.stop()
	rate := float64(l.statuses["200"]) / time.Since(l.started).Seconds()
	fmt.Fprintf(os.Stderr, "measured %s: load %s: %v, broken %d, %.0f answers a second\n",
		ts.Name(), plain[1], l.statuses, len(l.incomplete), rate)
	if opts["Broken"] != "" && fmt.Sprint(len(l.incomplete)) != opts["Broken"] {
		ts.Fatalf("%d requests without a complete response, want %s: %.500q", len(l.incomplete), opts["Broken"], l.incomplete)
	}
	if opts["Only200"] == "true" && len(l.statuses) != 1 {
		ts.Fatalf("got statuses other than 200: %v, with the messages %.2000q", l.statuses, slices.Sorted(maps.Keys(l.messages)))
	}
	for status, n := range l.statuses {
		if code := opts["Without"]; code != "" && strings.HasSuffix(status, code) {
			ts.Fatalf("%d responses %s: %v", n, status, l.statuses)
		}
	}
	if l.statuses["200"] == 0 {
		ts.Fatalf("no request succeeded: %v", l.statuses)
	}
}

func startLoad(url string, every time.Duration) *load {
	l := &load{started: time.Now(), cancel: make(chan struct{}), statuses: map[string]int{}, messages: map[string]bool{}}
	l.done.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case <-l.cancel:
				return
			case <-tick.C:
				l.done.Go(func() { l.send(url) })
			}
		}
	})
	return l
}

func (l *load) send(url string) {
	status, data, err := site.Call(http.MethodPost, url, token, []byte(`{"ServiceMillis": 20}`), nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.incomplete = append(l.incomplete, err.Error())
		return
	}
	var f struct{ Code, Message string }
	if status != http.StatusOK {
		_ = json.Unmarshal(data, &f)
		l.messages[f.Message] = true
	}
	l.statuses[fmt.Sprint(status)+f.Code]++
}

// cmdBackends checks that no backend server had more than 8 slots in use or more than 64 connections.
func cmdBackends(ts *testscript.TestScript, _ bool, _ []string) {
	for _, p := range stateOf(ts).site.Backends {
		addr, err := p.Address("")
		ts.Check(err)
		var c backend.Stats
		ts.Check(site.Get("http://"+addr+"/admin/stats", "", &c))
		if c.SlotViolations+c.ConnViolations > 0 || c.HighestSlots > 8 || c.HighestConnections > 64 {
			c.RunsByID, c.RunsByKey = nil, nil
			ts.Fatalf("%s: %+v", p.Name, c)
		}
	}
}
