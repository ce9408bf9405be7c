package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job as its caller sends it.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"` // thousandths of a core
	MemoryMB    int    `json:"memMb"`
	EstimateMs  int    `json:"estimateMs"`
	After       []int  `json:"after,omitempty"`
	Label       string `json:"requirements,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	MayMiss     int    `json:"mayMiss,omitempty"` // tasks that may be away by the doing of the system
}

// job is a job of a caller.
type job struct {
	ID      string        `json:"-"`
	Payload string        `json:"taskSpec"`
	Steps   []step        `json:"steps"`
	runTime time.Duration // of each task
}

// newJob returns a job with an ID of its own, of which the workers know.
func (p *play) newJob(runTime time.Duration, steps ...step) *job {
	j := &job{ID: fmt.Sprintf("%016x", rand.Uint64()), Payload: "work", Steps: steps, runTime: runTime}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[j.ID] = j
	return j
}

// stepOf returns the step and the run time of the task ID.K.STEP.INDEX.
func (p *play) stepOf(task string) (step, time.Duration, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[parts[0]]
	n, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || n < 0 || n >= len(j.Steps) {
		return step{}, 0, false
	}
	return j.Steps[n], j.runTime, true
}

// Statuses of requests without an answer.
const noAnswer = 0

var callerClient = &http.Client{Timeout: deadline}

// call sends a request of a caller to h and returns the status, or noAnswer, and the body.
func (p *play) call(h *host, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err) // jobs always encode
		}
	}
	req, err := http.NewRequestWithContext(p.ctx, method, "http://"+h.callers+routePrefix+id, bytes.NewReader(data))
	if err != nil {
		return noAnswer, ""
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Persimmonpick-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := callerClient.Do(req)
	if err != nil {
		p.rec.add("%s %s to %s: no answer", method, id, h.name)
		return noAnswer, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	p.rec.add("%s %s to %s: %d %s", method, id, h.name, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// persist repeats a request at one host after the other until it is answered with one of the statuses.
func (p *play) persist(method, id string, body any, statuses ...int) bool {
	for n := 0; p.ctx.Err() == nil; n++ {
		got, _ := p.call(p.hosts[n%len(p.hosts)], method, id, body)
		for _, s := range statuses {
			if got == s {
				return true
			}
		}
		p.sleep(200 * time.Millisecond)
	}
	return false
}

func (p *play) submit(j *job) bool { return p.persist(http.MethodPost, j.ID, j, http.StatusOK) }

func (p *play) cancel(j *job) bool {
	return p.persist(http.MethodDelete, j.ID, nil, http.StatusOK, http.StatusGone)
}
