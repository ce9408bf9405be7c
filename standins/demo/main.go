// Command demo builds the programs, runs an end-to-end example against stand-ins on this machine, and prints the
// results.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"persimmonpick/journal"
	"persimmonpick/settings"
	"persimmonpick/standins/site"
	"persimmonpick/table"
)

const (
	token       = "vakaoti-demo-token"
	stepTimeout = 20 * time.Second
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed")
}

func run() error {
	dir, err := os.MkdirTemp("", "persimmonpick-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fmt.Println("building the programs")
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"./cmd/persimmonpickd", "./cmd/persimmonpick", "./standins/platformd", "./standins/backendd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return err
	}
	s, err := site.Start(site.Config{
		Dir: dir, Bin: dir, Hosts: 3, Workers: 4, Instances: 6, Service: "quoting",
		Resources: table.Resources{CPU: 16000, Memory: 60 << 30},
		Zones:     []table.ZoneID{"az1", "az2", "az3"},
		Tokens:    map[string]table.TeamID{token: "vakaoti"},
		Adjust: func(cfg *settings.Settings) {
			cfg.Timing.DrainDelay = settings.Duration(200 * time.Millisecond)
		},
	})
	defer s.Stop()
	if err != nil {
		return err
	}
	d := &demo{s: s, dir: dir}
	for _, step := range []func() error{d.waitReady, d.confirmPlans, d.sendRequests, d.runJobs, d.changeLimit, d.printStatus, d.stopHost} {
		if err := step(); err != nil {
			if os.Getenv("KEEP_LOGS") != "" {
				_ = exec.Command("cp", "-r", dir, os.Getenv("KEEP_LOGS")).Run()
			}
			return err
		}
	}
	return nil
}

type demo struct {
	s         *site.Site
	dir       string
	callers   []string
	operators []string
}

func (d *demo) waitReady() error {
	for i := range d.s.Hosts {
		if err := d.s.WaitReady(i, stepTimeout); err != nil {
			return err
		}
		c, err := d.s.CallersURL(i)
		if err != nil {
			return err
		}
		o, err := d.s.OperatorsURL(i)
		if err != nil {
			return err
		}
		d.callers = append(d.callers, c)
		d.operators = append(d.operators, o)
	}
	fmt.Printf("%d entry hosts are ready\n", len(d.callers))
	return nil
}

// confirmPlans creates and confirms the plans that add the team and its kinds of work.
func (d *demo) confirmPlans() error {
	intents := []journal.Intent{
		{Type: journal.SetTeam, Team: &table.Team{ID: "vakaoti", Weight: 1, Quota: table.Resources{CPU: 1 << 20, Memory: 1 << 40, Accelerators: 8}}},
		{Type: journal.SetKind, Kind: &table.Kind{
			ID: "quote", Class: table.LatencyCritical, Service: "quoting", Path: "/quote", Timeout: 2000,
			Objective: table.Objective{Target: 0.999, Latency: 200},
		}},
		{Type: journal.SetKind, Kind: &table.Kind{ID: "cut-plan", Class: table.Batch, NonIdempotent: true}},
		{Type: journal.SetKind, Kind: &table.Kind{ID: "stock-tally", Class: table.Batch}},
	}
	for i, in := range intents {
		if err := site.Confirm(d.operators[i%len(d.operators)], in); err != nil {
			return err
		}
	}
	fmt.Printf("%d plans are confirmed: team vakaoti, kinds quote, cut-plan and stock-tally\n", len(intents))
	return nil
}

// sendRequests sends a latency-critical request to each entry host.
func (d *demo) sendRequests() error {
	for i, url := range d.callers {
		var lastErr error
		began := time.Now()
		err := site.Poll(stepTimeout, func() error {
			began = time.Now()
			status, data, err := site.Call("POST", url+"/v1/requests/quote", token, []byte(`{"ServiceMillis": 5}`), nil)
			if err == nil && status != 200 {
				err = fmt.Errorf("quote: %d %s", status, data)
			}
			lastErr = err
			return err
		})
		if err != nil {
			return lastErr
		}
		fmt.Printf("a quote through entry host %s is answered in %v\n", d.s.Seats[i].ID, time.Since(began).Round(100*time.Microsecond))
	}
	return nil
}

// runJobs submits two batch jobs to one host and waits for their results at another.
func (d *demo) runJobs() error {
	for _, kind := range []string{"cut-plan", "stock-tally"} {
		body := fmt.Sprintf(`{"Kind": %q, "Need": {"CPU": 2000, "Memory": 1073741824}, "RunTime": 300, "Payload": {"RunMillis": 300, "Result": "done: %s"}}`, kind, kind)
		var job struct {
			ID    string
			State string
			Tasks []struct{ Worker, Result, State string }
		}
		began := time.Now()
		status, data, err := site.Call("POST", d.callers[0]+"/v1/jobs", token, []byte(body), map[string]string{"Idempotency-Key": kind + "-1"})
		if err != nil || status != 202 {
			return fmt.Errorf("submit %s: %d %s %v", kind, status, data, err)
		}
		if err := json.Unmarshal(data, &job); err != nil {
			return err
		}
		err = site.Poll(stepTimeout, func() error {
			if err := site.Get(d.callers[1]+"/v1/jobs/"+job.ID, token, &job); err != nil {
				return err
			}
			if job.State != "Finished" {
				return fmt.Errorf("job %s is %s: %+v", job.ID, job.State, job.Tasks)
			}
			return nil
		})
		if err != nil {
			return err
		}
		fmt.Printf("job %s (%s) is finished after %v with result %q\n", job.ID, kind, time.Since(began).Round(time.Millisecond), job.Tasks[0].Result)
	}
	var violations []any
	if err := site.Get(d.s.PlatformURL()+"/ledger/violations", "", &violations); err != nil {
		return err
	}
	if len(violations) > 0 {
		return fmt.Errorf("the ledger of the workers shows violations: %v", violations)
	}
	fmt.Println("the ledger of the workers shows no violation")
	return nil
}

// changeLimit changes a limit through a confirmed plan and checks that a stale plan is refused.
func (d *demo) changeLimit() error {
	in := journal.Intent{Type: journal.SetLimit, Limit: &table.Limit{ID: "MaxInFlight", Value: 500}}
	first, err := site.MakePlan(d.operators[0], in)
	if err != nil {
		return err
	}
	in.Limit.Value = 300
	second, err := site.MakePlan(d.operators[1], in)
	if err != nil {
		return err
	}
	status, data, err := site.Call("POST", d.operators[0]+"/v1/plans/confirm", "", first, nil)
	if err != nil || status != 200 {
		return fmt.Errorf("confirm: %d %s %v", status, data, err)
	}
	fmt.Printf("limit MaxInFlight=500 is confirmed: %s", data)
	status, data, err = site.Call("POST", d.operators[1]+"/v1/plans/confirm", "", second, nil)
	if err != nil || status != 409 {
		return fmt.Errorf("a stale plan was not refused: %d %s %v", status, data, err)
	}
	fmt.Printf("the second operator's stale plan is refused: %s", data)
	return nil
}

// printStatus runs operator commands against one entry host.
func (d *demo) printStatus() error {
	for _, command := range []string{"status", "workers", "report"} {
		fmt.Printf("\n$ persimmonpick %s\n", command)
		c := exec.Command(filepath.Join(d.dir, "persimmonpick"), "-operators", d.operators[2], command)
		c.Stdout = os.Stdout
		c.Stderr = os.Stderr
		if err := c.Run(); err != nil {
			return fmt.Errorf("persimmonpick %s: %w", command, err)
		}
	}
	fmt.Println()
	return nil
}

// stopHost sends SIGTERM to one host and checks that it exits with status 0.
func (d *demo) stopHost() error {
	if err := d.s.Hosts[0].Signal(syscall.SIGTERM); err != nil {
		return err
	}
	code, err := d.s.Hosts[0].Wait(stepTimeout)
	if err != nil || code != 0 {
		return fmt.Errorf("entry host e1 ended with status %d: %v", code, err)
	}
	fmt.Println("entry host e1 stopped gracefully with status 0")
	return nil
}
