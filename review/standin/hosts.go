package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Names of the only queue, and of its service.
const (
	queueHost   = "yard.example"
	queuePrefix = "/cut/"
	serviceName = "trimdesk"
	callTimeout = 3 * time.Second
)

// host is an entry host, which runs as a process of its own.
type host struct {
	name   string
	front  string
	ready  string
	dir    string
	node   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// listenFree listens on a free port below those that the system gives to connections, so that it is still free for
// another life of its owner.
func listenFree() (net.Listener, error) {
	for range 1000 {
		ln, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(15000+rand.IntN(15000))))
		if err == nil {
			return ln, nil
		}
	}
	return nil, fmt.Errorf("no free port")
}

// freePorts returns n ports that are free now.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		ln, err := listenFree()
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// newHost writes the settings of an entry host.
func newHost(name, dir, storeAddress string) (*host, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[i])) }
	h := &host{name: name, front: at(0), ready: at(1), dir: dir, node: filepath.Join(dir, name+".json")}
	return h, os.WriteFile(h.node, encode(map[string]any{
		"nodeName": name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": "127.0.0.1",
		"zone": "z1", "region": "r", "zones": map[string]string{"z1": "r"},
		"listenAddrs":   map[string]string{"front": h.front, "readinessAddr": h.ready},
		"internalPorts": []int{ports[2], ports[3]}, "bootstrap": true, "discovery": "platform", "entryPoint": "vip",
		"heartbeatMs": 1500, "orders": "call", "limits": map[string]any{"cpuShare": 0.16, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100},
		"bounds": map[string]any{
			"contactMs": 3000, "ackMs": 4000, "graceS": 6, "maxHoldMs": maxHold.Milliseconds(), "stopTimeoutMs": 400,
			"gangTimeoutMs": gangTimeout.Milliseconds(), "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
			"status_s": 120, "remoteFactor": 3, "checkpointS": 2, "restoreMs": 250, "maintenanceS": 2, "fencingRequired": true,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "log", "writesPerS": 600, "readsPerS": 2000, "recordBytes": recordBytes,
			"callBytes": callBytes, "keep_s": 300, "minTtlMs": 1000,
		},
	}), 0o600)
}

// start starts the process as deploy/system.toml says.
func (h *host) start() error {
	out, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/persimmonpickd", "fleet")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "LANG=C.UTF-8", "PERSIMMONPICK_NODE_FILE=" + h.node}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.exited = make(chan struct{})
	if err := h.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = h.cmd.Wait() // a signal ends most of them
		_ = out.Close()
		close(h.exited)
	}()
	return nil
}

// startHost starts an entry host. It chooses other ports if another program has taken one of them meanwhile.
func startHost(name, dir, storeAddress string) (*host, error) {
	for range 5 {
		h, err := newHost(name, dir, storeAddress)
		if err != nil {
			return nil, err
		}
		if err := h.start(); err != nil {
			return nil, err
		}
		select {
		case <-h.exited:
		case <-time.After(300 * time.Millisecond):
			return h, nil
		}
	}
	return nil, fmt.Errorf("host %s does not start", name)
}

func (h *host) signal(s syscall.Signal) error { return h.cmd.Process.Signal(s) }

// end kills the process unless it has exited.
func (h *host) end() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill() // it may have exited
	<-h.exited
}

// isReady reports whether the host takes callers.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends one request to the host as a caller does; status 0 means no answer.
func (h *host) call(method, id string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Persimmonpick-Deadline-Ms", strconv.Itoa(int(callTimeout.Milliseconds())))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(data))
}

func stateIn(body string) string {
	var s struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(body), &s) != nil {
		return ""
	}
	return s.State
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }

// restart ends the process of a host by a signal and starts it again, as the platform does.
func restart(h *host, s syscall.Signal) error {
	if err := h.signal(s); err != nil {
		return err
	}
	select {
	case <-h.exited:
	case <-time.After(6 * time.Second): // the grace period
		h.end()
	}
	time.Sleep(300 * time.Millisecond)
	return h.start()
}
