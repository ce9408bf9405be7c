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

// startTimeout is the longest time until a process says where it listens.
const startTimeout = 20 * time.Second

// Process is one process that the site started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File

	mu        sync.Mutex
	addresses map[string]string // what it listens for to its address
	changed   chan struct{}     // closed when listen changes
	ended     chan struct{}
	waitErr   error
}

// start runs a program whose output goes to a log file and is searched for addresses.
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

// copyOutput copies the output to the log and notes the lines that tell an address.
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

// field returns the value of a key in a line of key=value pairs.
func field(line, key string) string {
	_, rest, ok := strings.Cut(line, " "+key+"=")
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return value
}

func (p *Process) setAddress(what, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[what] = addr
	close(p.changed)
	p.changed = make(chan struct{})
}

// Address waits until the process tells where it listens for what.
func (p *Process) Address(what string) (string, error) {
	timeout := time.After(startTimeout)
	for {
		p.mu.Lock()
		addr, ok := p.addresses[what]
		grown := p.changed
		p.mu.Unlock()
		if ok {
			return addr, nil
		}
		select {
		case <-grown:
		case <-p.ended:
			return "", fmt.Errorf("%s ended before it listened: %v", p.Name, p.waitErr)
		case <-timeout:
			return "", fmt.Errorf("%s does not listen after %v", p.Name, startTimeout)
		}
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	return p.cmd.Process.Signal(sig)
}

// Wait returns the exit status once the process has ended, or an error after the timeout.
func (p *Process) Wait(timeout time.Duration) (int, error) {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, fmt.Errorf("%s has not ended after %v", p.Name, timeout)
	}
}

// Kill ends the process at once; it is also woken if it was stopped.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}
