package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the pages.
const (
	beatInterval  = 1500 * time.Millisecond
	entryLifetime = 3 * beatInterval // of silence, after which the entry of a worker goes
	saveInterval  = 2 * time.Second
	restoreTime   = 250 * time.Millisecond
	stopTime      = 200 * time.Millisecond
	gangTimeout   = 3 * time.Second
	maxWait       = 2 * time.Second
	maxHold       = 6 * time.Second
	endsInReply   = 500
)

// taskSpec is the text that a caller hands in with a job; it tells the stand-in how long each task works.
type taskSpec struct {
	Ms    int   `json:"ms"`    // 0 for a task that lasts
	Steps []int `json:"steps"` // by step, instead of Ms
}

// need is what one task of a step counts against a worker.
type need struct {
	cpu, mem int
	gang     int // members, or 0
}

// site holds all workers, and what the case knows of the jobs.
type site struct {
	rec   *record
	store *store

	mu      sync.Mutex
	needs   map[string]need // by ID.STEP
	workers []*worker
	present map[string]int // members of a gang run that are there, by ID.K.STEP/run
	runs    []*taskRun     // of all workers
}

// taskRun is one run of a task on one worker. Fields without a comment are guarded by site.mu.
type taskRun struct {
	task    string // constant, as are run, worker and life
	run     int
	worker  string
	life    int
	started time.Time
	ended   time.Time // zero while it runs
	how     string    // of the end; "crashed" if the worker went down

	need     need
	work     time.Duration // in all; 0 for a task that lasts
	saved    time.Duration // work that the checkpoint at the start stood for
	workFrom time.Time     // when it began to work; zero for a member of a gang that waits
	timer    *time.Timer
	stopping bool
}

type endedRun struct {
	number int64
	run    *taskRun
	saved  string
}

// worker is a worker of the platform, through all of its lives.
type worker struct {
	site    *site
	id      string
	service string
	labels  []string // kind and rack
	cpu     int
	mem     int
	address string

	// Guarded by site.mu.
	life      int
	up        bool
	cut       chan struct{} // not nil while the worker is cut off; closed when the cut ends
	born      time.Time
	token     int64
	lease     time.Time
	running   map[string]*taskRun
	ended     []endedRun
	lastEnd   int64
	highest   map[string]int // highest run stopped or ended, by task
	changed   chan struct{}
	listed    bool
	silentAt  time.Time // since when it has not reached the store; zero if it does
	server    *http.Server
	listedSeq int
}

// addWorker starts a worker on a free port.
func (s *site) addWorker(id, service string, labels []string, cpu, mem int) (*worker, error) {
	w := &worker{site: s, id: id, service: service, labels: labels, cpu: cpu, mem: mem}
	ln, err := listenFree()
	if err != nil {
		return nil, err
	}
	w.address = ln.Addr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
	w.begin(ln)
	return w, nil
}

// begin starts a life; site.mu must be held.
func (w *worker) begin(ln net.Listener) {
	w.life++
	w.up, w.born, w.token, w.lease = true, time.Now(), 0, time.Time{}
	w.running, w.ended, w.lastEnd, w.highest = map[string]*taskRun{}, nil, 0, map[string]int{}
	w.changed = make(chan struct{})
	w.server = &http.Server{Handler: w.handler(w.life), ReadHeaderTimeout: 10 * time.Second}
	srv := w.server
	go func() { _ = srv.Serve(ln) }() // ends with the life
	w.site.rec.printf("worker %s: life %d begins", w.id, w.life)
	if w.cut == nil {
		w.list()
	}
}

// list writes the entry of the worker; site.mu must be held.
func (w *worker) list() {
	w.listedSeq++
	w.listed, w.silentAt = true, time.Time{}
	w.site.store.put("keyed.servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "z1", "configVersion": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "sequence": w.listedSeq, "labels": w.labels, "born": w.born.UnixMilli(),
		"capacity": map[string]int{"cpu": w.cpu, "memMb": w.mem, "gpu": 0},
	})
}

// crash ends the life of the worker: what runs is gone, and all connections are reset.
func (w *worker) crash() {
	s := w.site
	s.mu.Lock()
	defer s.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	s.rec.printf("worker %s: crashes", w.id)
	for _, r := range w.running {
		r.timer.Stop()
		r.ended, r.how = time.Now(), "crashed"
		s.leaveGang(r)
		s.rec.printf("worker %s: run %d of %s is lost", w.id, r.run, r.task)
	}
	w.running = map[string]*taskRun{}
	w.silence()
	close(w.changed)
	w.changed = make(chan struct{})
	srv, cut := w.server, w.cut
	go func() {
		if cut != nil {
			<-cut // until then nobody hears of it
		}
		_ = srv.Close() // also closes the listener
	}()
}

// silence removes the entry of the worker after entryLifetime unless it reaches the store again; site.mu must be held.
func (w *worker) silence() {
	if !w.silentAt.IsZero() {
		return
	}
	at := time.Now()
	w.silentAt = at
	time.AfterFunc(entryLifetime, func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if w.silentAt.Equal(at) && w.listed {
			w.listed = false
			w.site.rec.printf("worker %s: its entry is removed", w.id)
			w.site.store.put("keyed.servers", w.id, nil)
		}
	})
}

// restart begins a new life under the same id and address.
func (w *worker) restart() error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	w.begin(ln)
	return nil
}

// cutOff cuts the worker off from everything for d; what it runs runs on.
func (w *worker) cutOff(d time.Duration) {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	over := make(chan struct{})
	w.cut = over
	w.site.rec.printf("worker %s: is cut off for %v", w.id, d)
	w.silence()
	time.AfterFunc(d, func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		w.cut = nil
		close(over)
		w.site.rec.printf("worker %s: is reached again", w.id)
		if w.up {
			w.list()
		}
	})
}

// clock returns the worker's clock in milliseconds; site.mu must be held.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"taskSpec"`
	Expires int64  `json:"expiresMs"`
	Token   int64  `json:"fencingToken"`
	Saved   string `json:"checkpoint"`
	Ack     int64  `json:"ackPosition"`
	WaitMs  int    `json:"waitMs"`
}

// handler serves the orders to one life of the worker.
func (w *worker) handler(life int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.passCut(r)
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("Persimmonpick-Expect-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := w.serve(r, life, o)
		w.passCut(r)
		answer(rw, status, body)
	})
}

// passCut breaks the connection after a cut that the call has met.
func (w *worker) passCut(r *http.Request) {
	w.site.mu.Lock()
	cut := w.cut
	w.site.mu.Unlock()
	if cut == nil {
		return
	}
	select {
	case <-cut:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (w *worker) serve(r *http.Request, life int, o order) (int, any) {
	s := w.site
	s.mu.Lock()
	defer s.mu.Unlock()
	if !w.up || w.life != life {
		panic(http.ErrAbortHandler)
	}
	reason := ""
	switch {
	case o.Token < w.token:
		reason = "fence"
	case r.URL.Path == "/-/run-start":
		w.token = o.Token
		reason = w.start(o)
	case r.URL.Path == "/-/run-stop":
		w.token = o.Token
		w.stop(o)
	case r.URL.Path == "/-/pace":
		w.token = o.Token
	case r.URL.Path == "/-/hold":
		w.token = o.Token
		return w.hold(r, life, o)
	default:
		return http.StatusNotFound, struct{}{}
	}
	body := map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
		s.rec.printf("worker %s: %s of run %d of %s refused: %s", w.id, r.URL.Path, o.Run, o.Task, reason)
		return http.StatusConflict, body
	}
	return http.StatusOK, body
}

// extend extends the lease; site.mu must be held.
func (w *worker) extend(expires int64) {
	if expires <= 0 {
		return
	}
	end := w.born.Add(time.Duration(expires) * time.Millisecond)
	if most := time.Now().Add(maxHold); end.After(most) {
		end = most
	}
	if !end.After(w.lease) {
		return
	}
	w.lease = end
	life := w.life
	time.AfterFunc(time.Until(end), func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if w.life != life || !w.up || time.Now().Before(w.lease) {
			return
		}
		for _, r := range w.running {
			w.end(r, "lapsed")
		}
	})
}

// start carries out a start order and returns the reason of a refusal; site.mu must be held.
func (w *worker) start(o order) string {
	s := w.site
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] || w.running[o.Task] != nil {
		w.extend(o.Expires)
		return "old"
	}
	if o.Expires <= w.clock() {
		return "late"
	}
	w.extend(o.Expires)
	id, _, step, _ := splitTask(o.Task)
	n, known := s.needs[id+"."+strconv.Itoa(step)]
	if !known {
		s.rec.printf("worker %s: start of %s, which nobody sent", w.id, o.Task)
	}
	cpu, mem := n.cpu, n.mem
	for _, r := range w.running {
		cpu, mem = cpu+r.need.cpu, mem+r.need.mem
	}
	if cpu > w.cpu || mem > w.mem {
		return "room"
	}
	var spec taskSpec
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
		s.rec.printf("worker %s: task text of %s cannot be read: %v", w.id, o.Task, err)
	}
	ms := spec.Ms
	if step < len(spec.Steps) {
		ms = spec.Steps[step]
	}
	r := &taskRun{task: o.Task, run: o.Run, worker: w.id, life: w.life, started: time.Now(), need: n, work: time.Duration(ms) * time.Millisecond}
	if saved, err := strconv.ParseInt(o.Saved, 16, 64); err == nil {
		r.saved = time.Duration(saved) * time.Millisecond
	}
	s.runs = append(s.runs, r)
	w.running[o.Task] = r
	s.rec.printf("worker %s: run %d of %s begins", w.id, o.Run, o.Task)
	r.timer = time.AfterFunc(gangTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if w.running[r.task] == r && r.workFrom.IsZero() && !r.stopping {
			w.end(r, "alone")
		}
	})
	s.joinGang(w, r)
	return ""
}

// gangKey names one run of a gang.
func gangKey(r *taskRun) string {
	return r.task[:strings.LastIndex(r.task, ".")] + "/" + strconv.Itoa(r.run)
}

// joinGang lets a run work, a member of a gang once all are there; s.mu must be held.
func (s *site) joinGang(w *worker, r *taskRun) {
	if r.need.gang <= 1 {
		w.beginWork(r)
		return
	}
	key := gangKey(r)
	s.present[key]++
	if s.present[key] < r.need.gang {
		return
	}
	for _, x := range s.workers {
		for _, m := range x.running {
			if gangKey(m) == key {
				x.beginWork(m)
			}
		}
	}
}

// leaveGang breaks the other members of the gang of a run that has ended without being done; s.mu must be held.
func (s *site) leaveGang(r *taskRun) {
	if r.need.gang <= 1 {
		return
	}
	key := gangKey(r)
	s.present[key] = 0
	for _, x := range s.workers {
		for _, m := range x.running {
			if m != r && gangKey(m) == key && !m.workFrom.IsZero() {
				x.end(m, "broken")
			}
		}
	}
}

// gangDone ends the other members of a gang that is done; s.mu must be held.
func (s *site) gangDone(r *taskRun) {
	if r.need.gang <= 1 {
		return
	}
	key := gangKey(r)
	for _, x := range s.workers {
		for _, m := range x.running {
			if m != r && gangKey(m) == key && !m.stopping {
				x.end(m, "done")
			}
		}
	}
}

// beginWork lets a run work until it is done; site.mu must be held.
func (w *worker) beginWork(r *taskRun) {
	r.workFrom = time.Now()
	r.timer.Stop()
	left := r.work - r.saved
	if r.saved > 0 {
		r.workFrom = r.workFrom.Add(restoreTime)
		left += restoreTime
	}
	if r.work <= 0 {
		left = time.Hour // it lasts
	}
	r.timer = time.AfterFunc(max(0, left), func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if w.running[r.task] != r || r.stopping {
			return
		}
		w.end(r, "done")
		w.site.gangDone(r)
	})
}

// worked returns the work that stands behind a run; site.mu must be held.
func (r *taskRun) worked() time.Duration {
	if r.workFrom.IsZero() {
		return r.saved
	}
	return r.saved + max(0, time.Since(r.workFrom))
}

func (r *taskRun) percent() int {
	if r.work <= 0 {
		return 100
	}
	return min(99, int(100*r.worked()/r.work))
}

func checkpoint(d time.Duration) string { return fmt.Sprintf("%016x", d.Milliseconds()) }

// lastSaved returns the newest checkpoint of a run; site.mu must be held.
func (r *taskRun) lastSaved() string {
	d := r.worked() / saveInterval * saveInterval
	if d = max(d, r.saved); d <= 0 {
		return ""
	}
	return checkpoint(d)
}

// end ends a run and lists it; site.mu must be held.
func (w *worker) end(r *taskRun, how string) {
	r.timer.Stop()
	delete(w.running, r.task)
	saved := r.lastSaved()
	if how == "stopped" {
		saved = checkpoint(r.worked())
	}
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, r, saved})
	w.highest[r.task] = max(w.highest[r.task], r.run)
	r.ended, r.how = time.Now(), how
	w.site.rec.printf("worker %s: run %d of %s ends %s", w.id, r.run, r.task, how)
	if how != "done" {
		w.site.leaveGang(r)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// stop carries out a stop order; site.mu must be held.
func (w *worker) stop(o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r := w.running[o.Task]
	if r == nil || r.run != o.Run || r.stopping {
		return
	}
	w.site.rec.printf("worker %s: run %d of %s is told to stop", w.id, r.run, r.task)
	r.stopping = true
	time.AfterFunc(stopTime, func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if w.running[r.task] == r {
			w.end(r, "stopped")
		}
	})
}

// hold answers with the lists, after an end or the wait; site.mu must be held, and is released meanwhile.
func (w *worker) hold(r *http.Request, life int, o order) (int, any) {
	s := w.site
	w.extend(o.Expires)
	i := slices.IndexFunc(w.ended, func(e endedRun) bool { return e.number > o.Ack })
	switch {
	case i < 0:
		w.ended = nil
	case i > 0:
		w.ended = w.ended[i:]
	}
	if len(w.ended) == 0 && o.WaitMs > 0 {
		changed := w.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(maxWait, time.Duration(o.WaitMs)*time.Millisecond)):
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if !w.up || w.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.run, r.lastSaved(), r.percent(), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), endsInReply)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.run, e.run.how, e.saved})
	}
	return http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
}

// splitTask returns the parts of ID.K.STEP.INDEX.
func splitTask(name string) (id string, occurrence, step, index int) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return name, 0, 0, 0
	}
	occurrence, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], occurrence, step, index
}
