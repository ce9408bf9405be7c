package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	"persimmonpick/platform/emulator"
)

// Topics of the platform's store that others than the entry hosts write to.
const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
)

// play is one run of a case.
type play struct {
	ctx     context.Context
	rec     *recorder
	bin     string
	dir     string
	trouble bool // whether the disruption happens

	store        *emulator.Log
	storeAddress string
	hosts        []*host
	workers      []*worker
	servers      []*httptest.Server

	background sync.WaitGroup // ends with ctx

	mu   sync.Mutex
	jobs map[string]*job // by ID
}

// errTimeout is returned if the entry hosts do not become ready.
var errTimeout = errors.New("the entry hosts are not ready in time")

// carryOut plays a case and ends all that it started.
func (p *play) carryOut(c func(p *play) error) error {
	p.jobs = map[string]*job{}
	if p.dir == "" {
		dir, err := os.MkdirTemp("", "review")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		p.dir = dir
	}
	defer p.end()
	p.store = emulator.NewLog()
	p.storeAddress = p.serve(p.store)
	ctx, cancel := context.WithCancel(p.ctx)
	p.ctx = ctx
	err := c(p)
	cancel()
	p.background.Wait()
	return err
}

// serve serves h on loopback and returns the address.
func (p *play) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	p.servers = append(p.servers, s)
	return s.Listener.Addr().String()
}

func (p *play) end() {
	for _, h := range p.hosts {
		p.kill(h)
		_ = h.log.Close()
	}
	for _, w := range p.workers {
		w.end()
	}
	for _, s := range p.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// startHosts starts n entry hosts and waits until they are ready; change may alter their settings.
func (p *play) startHosts(n int, change func(map[string]any)) error {
	for i := range n {
		h, err := p.newHost(i, change)
		if err != nil {
			return err
		}
		p.hosts = append(p.hosts, h)
		if err := p.start(h); err != nil {
			return err
		}
	}
	for _, h := range p.hosts {
		if !p.waitFor(15*time.Second, h.ready) {
			return errTimeout
		}
	}
	if !p.waitFor(10*time.Second, func() bool { return p.leader() != nil }) {
		return errTimeout
	}
	return nil
}

// configure writes the operator's first configuration, with one route.
func (p *play) configure(guards bool) error {
	data, err := json.Marshal(map[string]any{
		"configVersion": 3,
		"routes": []map[string]any{{
			"name": "lohu930", "hostname": routeHost, "pathPrefix": routePrefix, "service": serviceName, "priority": 0,
			"maxAttempts": 4, "stretch": 2.0, "targetLatencyMs": 1000,
		}},
		"services": []map[string]any{{"name": serviceName, "admissionCheck": guards}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	if err != nil {
		return err
	}
	p.store.Put(topicOperator, "config", data)
	return nil
}

// waitFor waits until ok or until the time is over.
func (p *play) waitFor(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end) && p.ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// sleep waits for d and reports whether the case goes on.
func (p *play) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-p.ctx.Done():
		return false
	}
}
