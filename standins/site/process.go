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

// startTime is the longest time until a process says where it listens.
const startTime = 20 * time.Second

// Process is one process that the site started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File

	mu     sync.Mutex
	listen map[string]string // what it listens for to its address
	grown  chan struct{}     // closed when listen changes
	ended  chan struct{}
	err    error
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
		listen: map[string]string{}, grown: make(chan struct{}), ended: make(chan struct{}),
	}
	p.cmd.Stdout = w
	p.cmd.Stderr = w
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.read(r)
	go func() {
		p.err = p.cmd.Wait()
		w.Close()
		close(p.ended)
	}()
	return p, nil
}

// read copies the output to the log and notes the lines that tell an address.
func (p *Process) read(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		fmt.Fprintln(p.log, line)
		if addr, ok := strings.CutPrefix(line, "Listening="); ok {
			p.note("", addr)
		}
		if strings.Contains(line, "msg=listening") {
			p.note(field(line, "For"), field(line, "Address"))
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

func (p *Process) note(what, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listen[what] = addr
	close(p.grown)
	p.grown = make(chan struct{})
}

// Address waits until the process tells where it listens for what.
func (p *Process) Address(what string) (string, error) {
	timeout := time.After(startTime)
	for {
		p.mu.Lock()
		addr, ok := p.listen[what]
		grown := p.grown
		p.mu.Unlock()
		if ok {
			return addr, nil
		}
		select {
		case <-grown:
		case <-p.ended:
			return "", fmt.Errorf("%s ended before it listened: %v", p.Name, p.err)
		case <-timeout:
			return "", fmt.Errorf("%s does not listen after %v", p.Name, startTime)
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
