package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"persimmonpick/platform/emulator"
)

const (
	callTimeout = 3500 * time.Millisecond
	maxAttempts = 5
	retryDelay  = time.Second
)

// deadlyPrefix begins the IDs of jobs whose first task crashes each worker that starts it.
const deadlyPrefix = "dead"

func isDeadly(task string) bool {
	return strings.HasPrefix(task, deadlyPrefix) && strings.HasSuffix(task, ".0.0.0")
}

// caller submits jobs, polls their states and cancels some of them.
type caller struct {
	hosts   []*host
	checker *checker
	client  *http.Client // reuses connections until they break
	rnd     *rand.Rand
}

func newCaller(hosts []*host, c *checker, seed, n uint64) *caller {
	return &caller{hosts: hosts, checker: c, client: &http.Client{Timeout: callTimeout}, rnd: rand.New(rand.NewPCG(seed, n))}
}

// call sends a request to a random host. It returns the HTTP status, or 0 if there was no response, and the job state
// in the response body.
func (c *caller) call(method, id string, body any) (int, string) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, ""
	}
	h := c.hosts[c.rnd.IntN(len(c.hosts))]
	req, err := http.NewRequest(method, "http://"+h.callers+emulator.RoutePrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	req.Host = emulator.RouteHost
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, emulator.StateIn(text)
}

// run submits, polls and cancels jobs until ctx is done.
func (c *caller) run(ctx context.Context) {
	var accepted []string
	for ctx.Err() == nil {
		id := fmt.Sprintf("%016x", c.rnd.Uint64())
		if c.rnd.IntN(40) == 0 {
			id = deadlyPrefix + id[len(deadlyPrefix):]
		}
		width := 1 + c.rnd.IntN(6)
		for range maxAttempts {
			status, _ := c.call(http.MethodPost, id, emulator.Job(width))
			c.checker.submitted(id, 2*width, status)
			if status == http.StatusOK {
				accepted = append(accepted, id)
				break
			}
			sleep(ctx, retryDelay)
		}
		for range min(3, len(accepted)) {
			c.pollJob(accepted[c.rnd.IntN(len(accepted))])
		}
		if c.rnd.IntN(10) == 0 && len(accepted) > 0 {
			id := accepted[c.rnd.IntN(len(accepted))]
			switch status, _ := c.call(http.MethodDelete, id, nil); status {
			case http.StatusOK:
				c.checker.cancelConfirmed(id)
			case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
				c.checker.cancelUnanswered(id)
			}
		}
		sleep(ctx, time.Duration(100+c.rnd.IntN(400))*time.Millisecond)
	}
}

func (c *caller) pollJob(id string) {
	status, state := c.call(http.MethodGet, id, nil)
	c.checker.observed(id, status, state)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
