package site

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startTimeout bounds the time from the start of a process until it prints the address that it listens on.
const startTimeout = 20 * time.Second

// Process is a process that the site has started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File

	mu        sync.Mutex
	addresses map[string]string // by listener name, empty for the only listener of a stand-in
	changed   chan struct{}     // closed at the next change of addresses
	ended     chan struct{}
	waitErr   error
}

// start starts a program. Its output is copied to a log file and scanned for the addresses that it listens on.
func start(name, logPath string, args ...string) (*Process, error) {
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	r, w := io.Pipe()
	p := &Process{
		Name: name, log: log, cmd: exec.Command(args[0], args[1:]...),
		addresses: map[string]string{}, changed: make(chan struct{}), ended: make(chan struct{}),
	}
	p.cmd.Stdout = w
	p.cmd.Stderr = w
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.copyOutput(r)
	go func() {
		p.waitErr = p.cmd.Wait()
		w.Close()
		close(p.ended)
	}()
	return p, nil
}

// copyOutput copies the output of the process to the log file and records the addresses in it.
func (p *Process) copyOutput(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		fmt.Fprintln(p.log, line)
		if addr, ok := strings.CutPrefix(line, "Listening="); ok {
			p.setAddress("", addr)
		}
		if strings.Contains(line, "msg=listening") {
			p.setAddress(field(line, "For"), field(line, "Address"))
		}
	}
	p.log.Close()
}

// field returns the value of key in a line of key=value pairs.
func field(line, key string) string {
	_, rest, ok := strings.Cut(line, " "+key+"=")
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return value
}

func (p *Process) setAddress(listener, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[listener] = addr
	close(p.changed)
	p.changed = make(chan struct{})
}

// Address waits until the process has printed the address of the named listener. It fails if the process ends first.
func (p *Process) Address(listener string) (string, error) {
	timeout := time.After(startTimeout)
	for {
		p.mu.Lock()
		addr, ok := p.addresses[listener]
		changed := p.changed
		p.mu.Unlock()
		if ok {
			return addr, nil
		}
		select {
		case <-changed:
		case <-p.ended:
			return "", fmt.Errorf("%s exited before it listened: %v", p.Name, p.waitErr)
		case <-timeout:
			return "", fmt.Errorf("%s did not listen within %v", p.Name, startTimeout)
		}
	}
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	return p.cmd.Process.Signal(sig)
}

// Wait waits for the process to end and returns its exit status, or an error after the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, fmt.Errorf("%s did not exit within %v", p.Name, timeout)
	}
}

// Kill kills the process, even if it is stopped by SIGSTOP, and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}
