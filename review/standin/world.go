package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// world is the installation that a case plays with.
type world struct {
	*site
	dir      string
	hosts    []*host
	trouble  bool
	accepted []string // ids of accepted jobs
	next     int      // number of the next job
}

// newWorld starts the store, the workers and the entry hosts, and waits until all hosts take callers.
func newWorld(rec *record, trouble bool, hosts int, addWorkers func(s *site) error) (*world, error) {
	dir, err := os.MkdirTemp("", "persimmonpick-review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, store: newStore(rec), needs: map[string]need{}, present: map[string]int{}}
	w := &world{site: s, dir: dir, trouble: trouble}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w, err
	}
	srv := &http.Server{Handler: s.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(ln) }() // ends with the process
	s.store.put("keyed.op", "config", map[string]any{
		"configVersion": 3,
		"routes": []any{map[string]any{
			"name": "cut", "hostname": queueHost, "pathPrefix": queuePrefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": 0, "service": serviceName, "maxAttempts": 3, "stretch": 2.0,
		}},
		"services": []any{map[string]any{"name": serviceName, "admissionCheck": true}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	if err := addWorkers(s); err != nil {
		return w, err
	}
	for i := range hosts {
		h, err := startHost(fmt.Sprintf("front-%d", i+1), dir, ln.Addr().String())
		if err != nil {
			return w, err
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if !waitFor(20*time.Second, h.isReady) {
			return w, fmt.Errorf("host %s does not get ready", h.name)
		}
	}
	time.Sleep(3 * time.Second) // the leader has polled all workers and chosen its standbys
	return w, nil
}

// close ends all processes. The logs stay in the temporary folder if keep is set.
func (w *world) close(keep bool) {
	for _, h := range w.hosts {
		h.end()
	}
	if !keep {
		_ = os.RemoveAll(w.dir) // a leftover does no harm
	}
}

func waitFor(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// step is a step of a job as callers write it.
type step map[string]any

// submit hands a job in as a caller does, with retries at other hosts, and returns its id.
func (w *world) submit(spec taskSpec, job map[string]any, steps ...step) (string, error) {
	w.next++
	id := jobID(w.next)
	w.mu.Lock()
	for i, s := range steps {
		n := need{}
		n.cpu, _ = s["cpu"].(int)
		n.mem, _ = s["memMb"].(int)
		if gang, _ := s["gang"].(bool); gang {
			n.gang, _ = s["count"].(int)
		}
		w.needs[fmt.Sprintf("%s.%d", id, i)] = n
	}
	w.mu.Unlock()
	body := map[string]any{"taskSpec": string(encode(spec)), "steps": steps}
	for k, v := range job {
		body[k] = v
	}
	data := encode(body)
	for try := range 5 {
		h := w.hosts[(w.next+try)%len(w.hosts)]
		status, text := h.call(http.MethodPost, id, data)
		w.rec.printf("caller: POST %s at %s, %d bytes -> %d %s", id, h.name, len(data), status, text)
		if status == http.StatusOK {
			w.accepted = append(w.accepted, id)
			return id, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return id, fmt.Errorf("job %s was not accepted", id)
}

// state asks the hosts for the state of a job until one answers.
func (w *world) state(id string) string {
	for _, h := range w.hosts {
		status, text := h.call(http.MethodGet, id, nil)
		w.rec.printf("caller: GET %s at %s -> %d %s", id, h.name, status, text)
		if status == http.StatusOK {
			return stateIn(text)
		}
		if status == http.StatusGone {
			return "unknown"
		}
	}
	return "unanswered"
}

// waitState waits until a job has one of the given states, and returns the last one seen.
func (w *world) waitState(d time.Duration, id string, states ...string) string {
	last := ""
	for end := time.Now().Add(d); ; time.Sleep(400 * time.Millisecond) {
		last = w.state(id)
		for _, s := range states {
			if last == s {
				return last
			}
		}
		if time.Now().After(end) {
			return last
		}
	}
}

// runsOf returns copies of the runs of the tasks whose names begin with prefix.
func (s *site) runsOf(prefix string) []taskRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rs []taskRun
	for _, r := range s.runs {
		if strings.HasPrefix(r.task, prefix) {
			rs = append(rs, *r)
		}
	}
	return rs
}

// started returns the number of runs of a task that have begun.
func (s *site) started(prefix string) int { return len(s.runsOf(prefix)) }

// worker returns the worker with an id.
func (s *site) worker(id string) *worker {
	for _, w := range s.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// leader returns the host whose name stands in the newest leader record of the topic of jobs, or nil. The record is a
// CBOR map of the host's name and more; only its name is looked for.
func (w *world) leader() *host {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic("keyed.jobs")
	at, ok := t.newest["L"]
	if !ok {
		return nil
	}
	for _, h := range w.hosts {
		// A CBOR text of less than 24 bytes begins with its length.
		text := append([]byte{0x60 + byte(len(h.name))}, h.name...)
		if strings.Contains(string(t.records[at].value), string(text)) {
			return h
		}
	}
	return nil
}

// quiet returns for how long, up to now, nothing of the given tasks has run.
func (s *site) quiet(prefix string, since time.Time) time.Duration {
	last := since
	for _, r := range s.runsOf(prefix) {
		if r.ended.IsZero() {
			return 0
		}
		if r.ended.After(last) {
			last = r.ended
		}
	}
	return time.Since(last)
}

// room returns how many more tasks of a size fit on the worker with most room, and the share of all processors in use.
func (s *site) room(cpu, mem int) (best int, used float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, busy := 0, 0
	for _, w := range s.workers {
		if !w.up || w.cut != nil {
			continue
		}
		c, m := w.cpu, w.mem
		for _, r := range w.running {
			c, m = c-r.need.cpu, m-r.need.mem
		}
		total, busy = total+w.cpu, busy+w.cpu-c
		best = max(best, min(c/max(1, cpu), m/max(1, mem)))
	}
	return best, float64(busy) / float64(max(1, total))
}

// Workers of a small deployment.
const (
	workerCPU = 16000
	workerMem = 64000
)

func addWorkers(n int) func(s *site) error {
	return func(s *site) error {
		for i := range n {
			id := fmt.Sprintf("minion%06d", i)
			if _, err := s.addWorker(id, serviceName, []string{"a", fmt.Sprintf("r%d", i/8)}, workerCPU, workerMem); err != nil {
				return err
			}
		}
		return nil
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
