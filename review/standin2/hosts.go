package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// host is an entry host, which runs as a process.
type host struct {
	name      string
	settings  string
	callers   string
	readiness string
	metrics   string
	relay     string
	log       *os.File
	cmd       *exec.Cmd
	ended     chan struct{}
}

// workerHost is the last number of the address of all workers, which no entry host has.
const workerHost = 200

// loopback returns a loopback address with the given last number, which only this process uses, so that no connection
// of another one takes a port while its listener is down.
func loopback(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, last)
}

// freePort returns a port that is free on ip.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// newHost writes the settings of an entry host with an address of its own; change may alter them.
func (p *play) newHost(n int, change func(map[string]any)) (*host, error) {
	ip := loopback(1 + n)
	var ports [4]int
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	h := &host{name: fmt.Sprintf("front-%d", n), callers: at(0), readiness: at(1), metrics: at(2), relay: at(3)}
	zone := []string{"catania-porto", "acireale", "siracusa"}[n%3]
	settings := map[string]any{
		"nodeName": h.name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": ip,
		"zone": zone, "region": "sicilia-est",
		"listenAddrs":   map[string]string{"front": h.callers, "readinessAddr": h.readiness},
		"internalPorts": ports[2:], "bootstrap": true, "heartbeatMs": heartbeat.Milliseconds(), "bounds": bounds, "orders": "call",
		"limits":   map[string]any{"cpuShare": 0.16, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"platform": map[string]any{"address": p.storeAddress, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "partMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "minTtlMs": 1000},
	}
	if change != nil {
		change(settings)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	h.settings = filepath.Join(p.dir, h.name+".json")
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(p.dir, h.name+".log"))
	return h, err
}

// start starts the process of h with the command of the deploy file.
func (p *play) start(h *host) error {
	h.cmd = exec.Command(p.bin, "fleet")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERSIMMONPICK_NODE_FILE=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	p.rec.add("host %s started", h.name)
	cmd, ended := h.cmd, make(chan struct{})
	h.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (p *play) stop(h *host) {
	p.rec.add("SIGTERM to %s", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.ended:
	case <-time.After(graceTime):
		p.kill(h)
	}
	p.rec.add("host %s ended", h.name)
}

func (p *play) kill(h *host) {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.ended
}

// ready reports whether h answers that it is ready.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.readiness + "/-/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leader returns the host that leads, by the status page of the hosts, or nil.
func (p *play) leader() *host {
	c := http.Client{Timeout: time.Second}
	for _, h := range p.hosts {
		resp, err := c.Get("http://" + h.metrics + "/status")
		if err != nil {
			continue
		}
		var s struct{ Leader string }
		err = json.NewDecoder(resp.Body).Decode(&s)
		_ = resp.Body.Close()
		if err != nil {
			continue
		}
		for _, o := range p.hosts {
			if o.name == s.Leader {
				return o
			}
		}
	}
	return nil
}
