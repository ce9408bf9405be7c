package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// machines stands in for the service that lists the machines and takes them down for their upkeep.
type machines struct {
	play *play
	wave wave

	mu    sync.Mutex
	list  []*machine
	began []string // machines whose upkeep in the wave has begun
	down  int      // machines that are down for it
}

type machine struct {
	name   string
	worker *worker
	busy   bool
	token  uint64 // highest that was seen
}

// wave is a request of the operator.
type wave struct {
	Wave     int      `json:"wave"`
	Machines []string `json:"machines"`
	PeriodS  float64  `json:"periodS"`
	Maximum  int      `json:"maximum"`
}

func newMachines(p *play) *machines {
	m := &machines{play: p}
	for i, w := range p.workers {
		m.list = append(m.list, &machine{name: fmt.Sprintf("m-%02d", i), worker: w})
	}
	return m
}

// request writes a wave over all machines.
func (m *machines) request(v wave) error {
	for _, o := range m.list {
		v.Machines = append(v.Machines, o.name)
	}
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.wave, m.began = v, nil
	m.mu.Unlock()
	m.play.rec.add("wave %s", data)
	m.play.store.Put(topicOperator, fmt.Sprintf("wave/%d", v.Wave), data)
	return nil
}

// over reports whether all machines of the wave have begun their upkeep and are up again.
func (m *machines) over() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.began) == len(m.list) && m.down == 0
}

// ServeHTTP serves one call.
func (m *machines) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/machines":
		m.answerList(rw)
	case "/-/machine-upkeep":
		m.upkeep(rw, r)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (m *machines) answerList(rw http.ResponseWriter) {
	m.mu.Lock()
	rows := []map[string]any{}
	for _, o := range m.list {
		o.worker.mu.Lock()
		l, up := o.worker.life, o.worker.server != nil
		row := map[string]any{
			"machine": o.name, "pool": serviceName, "state": "up", "zone": o.worker.cfg.zone,
			"labels": []string{l.kind, o.worker.cfg.rack}, "capacity": l.capacity, "id": l.id,
		}
		switch {
		case o.busy:
			row["state"], row["id"] = "upkeep", ""
		case !up:
			row["state"], row["id"] = "down", ""
		}
		o.worker.mu.Unlock()
		rows = append(rows, row)
	}
	m.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

func (m *machines) upkeep(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Persimmonpick-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := m.order(o.Machine, o.Wave, token)
	m.play.rec.add("upkeep of %s for wave %d by %s, token %d: %d %s", o.Machine, o.Wave, r.Header.Get("Persimmonpick-Duty-Holder"), token, status, reason)
	if reason != "" {
		answer(rw, status, map[string]string{"reason": reason})
		return
	}
	answer(rw, status, struct{}{})
}

// order begins the upkeep of a machine and returns the status, and the reason of a refusal.
func (m *machines) order(name string, number int, token uint64) (int, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.IndexFunc(m.list, func(o *machine) bool { return o.name == name })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	o := m.list[i]
	switch {
	case token < o.token:
		return http.StatusConflict, "fence"
	case number != m.wave.Wave || !slices.Contains(m.wave.Machines, name):
		return http.StatusConflict, "wave"
	case slices.Contains(m.began, name):
		o.token = token
		return http.StatusOK, "" // it is done already
	}
	o.token = token
	if m.down >= m.wave.Maximum {
		m.play.rec.violation("LIMIT: upkeep of %s begins while %d machines are down", name, m.down)
	}
	m.began = append(m.began, name)
	m.down++
	o.busy = true
	l := o.worker.life
	o.worker.crash(upkeepTime, fmt.Sprintf("%s-w%d", l.id, number), l.kind, l.capacity)
	time.AfterFunc(upkeepTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		o.busy = false
		m.down--
	})
	return http.StatusOK, ""
}
