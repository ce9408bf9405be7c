package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"persimmonpick/platform/emulator"
	"persimmonpick/standins/faultproxy"
)

// host is an entry host that runs as a separate process and reaches the log through a fault proxy.
type host struct {
	name    string
	binary  string
	dir     string
	callers string
	log     *faultproxy.Proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool // must not be started again
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func newHost(n int, binary, dir, log string) (*host, error) {
	// The address depends on the process ID so that concurrent soak processes do not take each other's ports.
	ip := fmt.Sprintf("127.8.%d.%d", os.Getpid()%250, n+1)
	p, err := faultproxy.Listen("127.0.0.1:0", log)
	if err != nil {
		return nil, err
	}
	cfg := emulator.HostConfig{Name: fmt.Sprintf("host-%d", n), IP: ip, Log: p.Address()}
	for _, port := range []*int{&cfg.Callers, &cfg.Readiness, &cfg.Metrics, &cfg.Relay} {
		if *port, err = freePort(ip); err != nil {
			return nil, err
		}
	}
	h := &host{name: cfg.Name, binary: binary, dir: dir, callers: fmt.Sprintf("%s:%d", ip, cfg.Callers), log: p}
	return h, os.WriteFile(h.settings(), emulator.NodeFile(cfg), 0o600)
}

func (h *host) settings() string { return filepath.Join(h.dir, h.name+".json") }

// start starts the process and restarts it whenever it ends, as the platform does.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(h.binary, "fleet", "--settings", h.settings())
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.ended = ended
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // the process is killed on purpose at times
		_ = out.Close()
		close(ended)
		if err := h.start(); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", h.name, "cannot be restarted:", err)
		}
	}(h.cmd)
	return nil
}

// signal sends a signal to the process, if one was started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s) // the process may have ended
	}
}

// stop kills the process, keeps it from being restarted, and closes the proxy.
func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	ended := h.ended
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
	h.log.Close()
}
