package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/platform"
	"persimmonpick/platform/emulator"
	"persimmonpick/standins/site"
)

// Limits of the machine that the tests' settings describe, which are also the bounds of the checks.
const (
	memoryMB = 96
	maxFiles = 600
	graceS   = 3
)

// answerTimeout bounds the wait for an ordinary request to be answered, not its latency.
const answerTimeout = 30 * time.Second

// bin is the directory of the programs.
var bin string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "persimmonpick-crowd-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"../cmd/persimmonpickd", "../standins/platformd", "../standins/backendd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	bin = dir
	return m.Run()
}

// daemon is a `persimmonpickd fleet` process beside an emulated platform.
type daemon struct {
	is      *is.I
	site    *emulator.Site
	file    string // settings
	log     string
	cmd     *exec.Cmd
	ended   chan struct{}
	callers string
	relay   string
	jobs    int
}

func newDaemon(t *testing.T) *daemon {
	d := &daemon{is: is.New(t), file: filepath.Join(t.TempDir(), "node.json")}
	d.site = emulator.NewSite(emulator.SiteConfig{Workers: 1, Worker: func(int) emulator.WorkerConfig {
		return emulator.WorkerConfig{
			ID: "w0", Service: "s", Zone: "z1", Rack: "r1", CPU: 16000, MemoryMB: 64000,
			Duration: func(string) time.Duration { return 100 * time.Millisecond },
		}
	}})
	d.site.Configure(3, "s")
	t.Cleanup(d.site.Close)
	ip := fmt.Sprintf("127.9.%d.1", os.Getpid()%250)
	ports, err := emulator.FreePorts(ip, 4)
	d.is.NoErr(err)
	d.writeSettings(emulator.NodeFile(emulator.HostConfig{
		Name: "h0", IP: ip, Log: d.site.LogAddr, Callers: ports[0], Readiness: ports[1], Metrics: ports[2], Relay: ports[3],
		Machines: d.site.MachinesAddr,
	}))
	d.callers, d.relay = net.JoinHostPort(ip, strconv.Itoa(ports[0])), net.JoinHostPort(ip, strconv.Itoa(ports[3]))
	d.log = filepath.Join(os.TempDir(), fmt.Sprintf("crowd-%d.log", os.Getpid()))
	d.start()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.ended
		if t.Failed() {
			out, _ := os.ReadFile(d.log)
			t.Logf("%.4000s", out)
		}
		os.Remove(d.log)
	})
	return d
}

// writeSettings writes the settings file with the limits of the tests' machine.
func (d *daemon) writeSettings(node []byte) {
	var v map[string]any
	d.is.NoErr(json.Unmarshal(node, &v))
	limits := v["limits"].(map[string]any)
	limits["memoryMb"], limits["maxFds"] = memoryMB, maxFiles
	v["bounds"].(map[string]any)["graceS"] = graceS
	data, err := json.Marshal(v)
	d.is.NoErr(err)
	d.is.NoErr(os.WriteFile(d.file, data, 0o600))
}

func (d *daemon) start() {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.is.NoErr(err)
	defer log.Close()
	d.cmd = exec.Command(filepath.Join(bin, "persimmonpickd"), "fleet")
	d.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+d.file)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.is.NoErr(d.cmd.Start())
	d.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(d.cmd, d.ended)
	d.answers()
}

// answers checks that an ordinary job is accepted.
func (d *daemon) answers() {
	d.jobs++
	id := fmt.Sprintf("%016x", d.jobs)
	d.is.NoErr(site.Poll(answerTimeout, func() error {
		body, err := json.Marshal(emulator.Job(2))
		if err != nil {
			return err
		}
		return call(d.callers, http.MethodPost, emulator.RoutePrefix+id, emulator.RouteHost, nil, string(body))
	}))
}

// call sends a request on a new connection and returns an error unless the answer is a success.
func call(addr, method, path, host string, header http.Header, body string) error {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Host = host
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// stop sends SIGTERM and checks that the process ends by itself without an error.
func (d *daemon) stop(during func()) {
	d.is.NoErr(d.cmd.Process.Signal(syscall.SIGTERM))
	during()
	select {
	case <-d.ended:
	case <-time.After(answerTimeout):
		d.is.Fail() // the process does not end
	}
	d.is.Equal(d.cmd.ProcessState.ExitCode(), 0)
}

// usage is what a process has taken of its machine.
type usage struct {
	peakMB int
	files  int
}

// usageOf reads the usage of a process, or an error if it has ended.
func usageOf(pid int) (usage, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage{}, err
	}
	var u usage
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); f[0] == "VmHWM:" {
			kb, err := strconv.Atoi(f[1])
			if err != nil {
				return usage{}, err
			}
			u.peakMB = kb >> 10
		}
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.files = len(files)
	if err == nil && u.peakMB == 0 {
		err = fmt.Errorf("process %d has ended", pid)
	}
	return u, err
}
