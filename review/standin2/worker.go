package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// capacity is what a worker offers.
type capacity struct {
	CPU      int `json:"cpu"`
	MemoryMB int `json:"memMb"`
	GPU      int `json:"gpu"`
}

// workerConfig configures a worker.
type workerConfig struct {
	id, zone, rack string // id is that of the first life
	guards         bool
	stopTime       time.Duration
	// judge is called with w.mu held for each start, before its run is added; ended, unless nil, for each run after its
	// end.
	judge func(w *worker, task string, s step)
	ended func(w *worker, task, how string)
}

// life is what a worker has and knows from one start to the next.
type life struct {
	id         string
	born       time.Time
	clockAhead time.Duration // of the clock when the life begins
	kind       string
	capacity   capacity
	token      uint64
	lease      time.Duration // until the clock shows it
	leaseEnds  *time.Timer
	runs       map[string]*runningTask
	ended      []endedRun
	lastEnd    int64
	barred     map[string]int // highest run that was stopped or ended, by task
	changed    chan struct{}  // closed and replaced when a run ends
	listed     bool           // a poll was answered, so the caller knows of the life
}

type runningTask struct {
	run      int
	began    time.Time
	duration time.Duration
	stopping bool
	end      *time.Timer
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
}

// worker stands in for a worker, on one address for all its lives.
type worker struct {
	cfg     workerConfig
	play    *play
	address string

	mu     sync.Mutex
	server *http.Server // nil while the worker is down
	life   *life
	late   float64 // share of the orders that are not answered, and carried out late
	over   bool
}

// newWorker starts a worker and lists it.
func (p *play) newWorker(cfg workerConfig, kind string, c capacity) (*worker, error) {
	ln, err := net.Listen("tcp", loopback(workerHost)+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{cfg: cfg, play: p, address: ln.Addr().String()}
	p.workers = append(p.workers, w)
	w.begin(ln, cfg.id, kind, c)
	go w.beat()
	return w, nil
}

// begin begins a life, which the worker lists at once.
func (w *worker) begin(ln net.Listener, id, kind string, c capacity) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life = &life{
		id: id, born: time.Now(), clockAhead: time.Duration(1000+rand.IntN(1e6)) * time.Millisecond, kind: kind, capacity: c,
		runs: map[string]*runningTask{}, barred: map[string]int{}, changed: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(ln) }(w.server)
	w.play.rec.add("worker %s begins a life at %s, kind %s, capacity %v", id, w.address, kind, c)
	w.list()
}

// crash ends the life at once, and begins another one after a time.
func (w *worker) crash(downFor time.Duration, id, kind string, c capacity) {
	w.mu.Lock()
	s, l := w.server, w.life
	w.server = nil
	if l.leaseEnds != nil {
		l.leaseEnds.Stop()
	}
	w.play.rec.add("worker %s goes down with %d runs", l.id, len(l.runs))
	for task, r := range l.runs {
		r.end.Stop()
		delete(l.runs, task)
		w.tellEnd(task, "down")
	}
	w.mu.Unlock()
	_ = s.Close()
	time.AfterFunc(downFor, func() {
		w.mu.Lock()
		over := w.over
		w.mu.Unlock()
		if over {
			return
		}
		ln, err := net.Listen("tcp", w.address)
		if err != nil {
			w.play.rec.add("worker %s cannot listen again: %v", w.cfg.id, err)
			return
		}
		w.begin(ln, id, kind, c)
	})
}

func (w *worker) end() {
	w.mu.Lock()
	s := w.server
	w.over, w.server = true, nil
	w.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// beat lists the worker with each heartbeat while it is up, and removes its entry after three silent ones. The
// heartbeats of the workers are spread.
func (w *worker) beat() {
	silent := 0
	time.Sleep(time.Duration(rand.Int64N(int64(heartbeat))))
	for range time.Tick(heartbeat) {
		w.mu.Lock()
		switch {
		case w.over:
			w.mu.Unlock()
			return
		case w.server != nil:
			silent = 0
			w.list()
		default:
			if silent++; silent == 3 {
				w.play.store.Put(topicWorkers, w.life.id, nil)
			}
		}
		w.mu.Unlock()
	}
}

// list writes the entry of w; w.mu must be held.
func (w *worker) list() {
	l := w.life
	data, err := json.Marshal(map[string]any{
		"service": serviceName, "address": w.address, "zone": w.cfg.zone, "configVersion": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "sequence": time.Now().UnixNano(), "labels": []string{l.kind, w.cfg.rack}, "born": l.born.UnixMilli(), "capacity": l.capacity,
	})
	if err != nil {
		panic(err) // maps of plain values always encode
	}
	w.play.store.Put(topicWorkers, l.id, data)
}

// clock returns what the clock of l shows.
func (l *life) clock() time.Duration { return l.clockAhead + time.Since(l.born) }

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Payload string `json:"taskSpec"`
	Expires int64  `json:"expiresMs"`
	Token   uint64 `json:"fencingToken"`
	Ack     int64  `json:"ackPosition"`
	WaitMs  int    `json:"waitMs"`
}

// ServeHTTP serves one order.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	path, id := r.URL.Path, r.Header.Get("Persimmonpick-Expect-Instance")
	w.mu.Lock()
	l := w.life
	if w.late > 0 && rand.Float64() < w.late {
		w.carryOutLate(path, id, o)
		w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reason := w.carryOut(l, path, id, o)
	if status == http.StatusOK && path == pathHold {
		w.mu.Unlock()
		w.answerPoll(rw, r, l, o)
		return
	}
	body := map[string]any{"clockMs": l.clock().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	w.mu.Unlock()
	answer(rw, status, body)
}

// pathHold is the path of a poll.
const pathHold = "/-/hold"

// carryOut carries out an order for the life with the given ID, and returns the status and the reason of a refusal;
// w.mu must be held.
func (w *worker) carryOut(l *life, path, id string, o order) (int, string) {
	if id != "" && id != l.id {
		return http.StatusMisdirectedRequest, ""
	}
	if o.Token < l.token {
		return http.StatusConflict, "fence"
	}
	l.token = o.Token
	switch path {
	case "/-/run-start":
		if reason := w.startRun(l, o); reason != "" {
			return http.StatusConflict, reason
		}
	case "/-/run-stop":
		w.stopRun(l, o)
	case pathHold:
		w.applyPoll(l, o)
	case "/-/pace":
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// carryOutLate carries out an order that is not answered, seconds later, in whichever life the worker is then; w.mu
// must be held.
func (w *worker) carryOutLate(path, id string, o order) {
	by := leastLate + time.Duration(rand.Int64N(int64(mostLate-leastLate)))
	w.play.rec.add("worker %s leaves %s %s run %d unanswered, to carry it out after %s", w.life.id, path, o.Task, o.Run, by.Round(time.Millisecond))
	time.AfterFunc(by, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.server == nil {
			return
		}
		status, reason := w.carryOut(w.life, path, id, o)
		w.play.rec.add("worker %s carries out %s %s run %d late: %d %s", w.life.id, path, o.Task, o.Run, status, reason)
	})
}

// setLate sets the share of the orders that are not answered.
func (w *worker) setLate(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = share
}

func answer(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // an error means that the caller has disconnected
}

// extend extends the lease of l; w.mu must be held.
func (w *worker) extend(l *life, expiresMs int64) {
	until := min(time.Duration(expiresMs)*time.Millisecond, l.clock()+maxHold)
	if until <= l.lease {
		return
	}
	l.lease = until
	if l.leaseEnds != nil {
		l.leaseEnds.Stop()
	}
	l.leaseEnds = time.AfterFunc(until-l.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if l.clock() < l.lease {
			return
		}
		for task, t := range l.runs {
			w.endRun(l, task, t, "lapsed")
		}
	})
}

// startRun carries out a start order and returns the reason of a refusal; w.mu must be held.
func (w *worker) startRun(l *life, o order) string {
	s, duration, known := w.play.stepOf(o.Task)
	if !known {
		w.play.rec.violation("worker %s is told to start %s, which nobody sent", l.id, o.Task)
		return "room"
	}
	if t := l.runs[o.Task]; t != nil || o.Run <= l.barred[o.Task] {
		w.extend(l, o.Expires)
		if t != nil && t.run == o.Run {
			return ""
		}
		return "old"
	}
	if time.Duration(o.Expires)*time.Millisecond <= l.clock() {
		return "late"
	}
	w.extend(l, o.Expires)
	if used := w.used(l); w.cfg.guards && (used.CPU+s.CPU > l.capacity.CPU || used.MemoryMB+s.MemoryMB > l.capacity.MemoryMB) {
		return "room"
	}
	w.cfg.judge(w, o.Task, s)
	t := &runningTask{run: o.Run, began: time.Now(), duration: duration}
	t.end = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if l.runs[o.Task] == t && !t.stopping && !s.LongRunning {
			w.endRun(l, o.Task, t, "done")
		}
	})
	l.runs[o.Task] = t
	w.play.rec.add("worker %s starts %s run %d, used %v of %v", l.id, o.Task, o.Run, w.used(l), l.capacity)
	return ""
}

// used returns what the runs of l use, those that are being stopped included; w.mu must be held.
func (w *worker) used(l *life) capacity {
	var c capacity
	for task := range l.runs {
		s, _, _ := w.play.stepOf(task)
		c.CPU += s.CPU
		c.MemoryMB += s.MemoryMB
	}
	return c
}

// stopRun carries out a stop order; w.mu must be held.
func (w *worker) stopRun(l *life, o order) {
	l.barred[o.Task] = max(l.barred[o.Task], o.Run)
	t := l.runs[o.Task]
	if t == nil || t.run != o.Run || t.stopping {
		return
	}
	t.stopping = true
	t.end.Stop()
	w.play.rec.add("worker %s stops %s run %d", l.id, o.Task, o.Run)
	time.AfterFunc(w.cfg.stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if l.runs[o.Task] == t {
			w.endRun(l, o.Task, t, "stopped")
		}
	})
}

// tellEnd tells the case of the end of a run; w.mu must be held.
func (w *worker) tellEnd(task, how string) {
	if w.cfg.ended != nil {
		w.cfg.ended(w, task, how)
	}
}

// endRun ends a run and lists its end; w.mu must be held.
func (w *worker) endRun(l *life, task string, t *runningTask, how string) {
	t.end.Stop()
	delete(l.runs, task)
	l.barred[task] = max(l.barred[task], t.run)
	l.lastEnd++
	l.ended = append(l.ended, endedRun{l.lastEnd, task, t.run, how})
	w.play.rec.add("worker %s ends %s run %d: %s", l.id, task, t.run, how)
	close(l.changed)
	l.changed = make(chan struct{})
	w.tellEnd(task, how)
}

// applyPoll extends the lease and forgets the ends that are acknowledged; w.mu must be held.
func (w *worker) applyPoll(l *life, o order) {
	if o.Expires > 0 {
		w.extend(l, o.Expires)
	}
	for len(l.ended) > 0 && l.ended[0].number <= o.Ack {
		l.ended = l.ended[1:]
	}
}

// answerPoll answers a poll, after the next end if it waits for one.
func (w *worker) answerPoll(rw http.ResponseWriter, r *http.Request, l *life, o order) {
	w.mu.Lock()
	changed, pending := l.changed, len(l.ended) > 0
	w.mu.Unlock()
	if !pending && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for task, t := range l.runs {
		running = append(running, []any{task, t.run, "", w.percent(task, t), 0})
	}
	for _, e := range l.ended[:min(len(l.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	l.listed = true
	body := map[string]any{"clockMs": l.clock().Milliseconds(), "born": l.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

// percent returns the progress of a run; one that lasts is at work after its startup.
func (w *worker) percent(task string, t *runningTask) int {
	if s, _, _ := w.play.stepOf(task); s.LongRunning {
		return int(min(100, 100*time.Since(t.began)/startup))
	}
	return int(min(99, 100*time.Since(t.began)/max(1, t.duration)))
}

// addWorkers starts n workers of one kind.
func (p *play) addWorkers(n int, cfg workerConfig, kind func(i int) (string, capacity)) error {
	for i := range n {
		c := cfg
		c.id, c.rack = fmt.Sprintf("i-%04x", 0x7f30+i), fmt.Sprintf("r%d", i/6)
		c.zone = []string{"catania-porto", "acireale", "siracusa"}[i%3]
		k, room := kind(i)
		if _, err := p.newWorker(c, k, room); err != nil {
			return err
		}
	}
	return nil
}
