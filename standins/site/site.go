package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"persimmonpick/provider"
	"persimmonpick/settings"
	standin "persimmonpick/standins/platform"
	"persimmonpick/table"
)

// Config configures a site.
type Config struct {
	Dir       string // directory for settings and logs
	Bin       string // directory of the programs
	Hosts     int    // number of entry hosts
	Idle      int    // number of them, from the end, that Start does not start
	Workers   int
	Instances int
	Kinds     []table.Kind
	Tokens    map[string]table.TeamID
	Adjust    func(*settings.Settings) // modifies the settings of each entry host; may be nil
	Platform  func(*standin.Config)    // modifies the configuration of the platform; may be nil
	Service   table.ServiceID          // of all instances
	Resources table.Resources          // of each worker
	Zones     []table.ZoneID
}

// Site is a running set of processes.
type Site struct {
	cfg      Config
	Platform *Process
	Backends []*Process
	Hosts    []*Process // by seat; nil if never started
	Seats    []settings.Seat

	platformAddr string
	network      Network
	processes    []*Process
	starts       int
}

// Start starts the stand-ins and the entry hosts. Stop must be called even if Start fails.
func Start(cfg Config) (*Site, error) {
	s := &Site{cfg: cfg, Hosts: make([]*Process, cfg.Hosts)}
	instances, err := s.startBackends()
	if err != nil {
		return s, err
	}
	if err := s.startPlatform(instances); err != nil {
		return s, err
	}
	if err := s.reserveSeats(); err != nil {
		return s, err
	}
	if err := s.startProxies(); err != nil {
		return s, err
	}
	for i := range s.Hosts {
		if i >= cfg.Hosts-cfg.Idle {
			break
		}
		if err := s.StartHost(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *Site) run(name, program string, args ...string) (*Process, error) {
	s.starts++
	log := filepath.Join(s.cfg.Dir, fmt.Sprintf("%s-%d.log", name, s.starts))
	p, err := start(name, log, append([]string{filepath.Join(s.cfg.Bin, program)}, args...)...)
	if err == nil {
		s.processes = append(s.processes, p)
	}
	return p, err
}

func (s *Site) zone(i int) table.ZoneID {
	return s.cfg.Zones[i%len(s.cfg.Zones)]
}

func (s *Site) workerID(i int) table.WorkerID {
	return table.WorkerID(fmt.Sprintf("w%02d", i))
}

func (s *Site) startBackends() ([]table.Instance, error) {
	var list []table.Instance
	for i := range s.cfg.Instances {
		id := fmt.Sprintf("i%02d", i)
		p, err := s.run("backend-"+id, "backendd")
		if err != nil {
			return nil, err
		}
		addr, err := p.Address("")
		if err != nil {
			return nil, err
		}
		s.Backends = append(s.Backends, p)
		proxy, err := s.network.add(addr)
		if err != nil {
			return nil, err
		}
		s.network.backends = append(s.network.backends, proxy)
		list = append(list, table.Instance{
			ID: table.InstanceID(id), Service: s.cfg.Service, Worker: s.workerID(i % s.cfg.Workers), Zone: s.zone(i % s.cfg.Workers),
			Address: proxy.Address(), Slots: 8, Connections: 64, Need: table.Resources{CPU: 4000, Memory: 8 << 30},
		})
	}
	return list, nil
}

func (s *Site) startPlatform(instances []table.Instance) error {
	cfg := standin.Config{Instances: instances, ListLag: 500, UsageLag: 500}
	for i := range s.cfg.Workers {
		cfg.Workers = append(cfg.Workers, provider.WorkerInfo{
			ID: s.workerID(i), Rack: table.RackID(fmt.Sprintf("r%d", i/8)), Zone: s.zone(i), Capacity: s.cfg.Resources,
		})
	}
	if s.cfg.Platform != nil {
		s.cfg.Platform(&cfg)
	}
	path := filepath.Join(s.cfg.Dir, "platform.json")
	if err := writeJSON(path, cfg); err != nil {
		return err
	}
	p, err := s.run("platform", "platformd", "-config", path)
	if err != nil {
		return err
	}
	s.Platform = p
	s.platformAddr, err = p.Address("")
	return err
}

// reserveSeats picks free ports for the peer listeners in advance, because the settings of every host list all of them.
func (s *Site) reserveSeats() error {
	ip := peerIP().String()
	for i := range s.cfg.Hosts {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return err
		}
		defer ln.Close()
		s.Seats = append(s.Seats, settings.Seat{
			ID: table.SeatID(fmt.Sprintf("e%d", i+1)), Zone: s.zone(i), PeerAddress: ln.Addr().String(),
		})
	}
	return nil
}

// StartHost starts the entry host of seat i, which must not be running.
func (s *Site) StartHost(i int) error {
	path, err := s.writeSettings(i)
	if err != nil {
		return err
	}
	p, err := s.run(string(s.Seats[i].ID), "persimmonpickd", "-settings", path)
	if err != nil {
		return err
	}
	s.Hosts[i] = p
	return nil
}

func (s *Site) writeSettings(i int) (string, error) {
	cfg := settings.Default()
	cfg.Seat = s.Seats[i].ID
	cfg.Zone = s.Seats[i].Zone
	cfg.Seats = s.seatsFor(i)
	cfg.PlatformURL = "http://" + s.network.platform[i].Address()
	cfg.Callers = settings.Listener{Address: "127.0.0.1:0", Plain: true}
	cfg.Operators = settings.Listener{Address: "127.0.0.1:0", Plain: true}
	cfg.Peers = settings.Listener{Address: s.Seats[i].PeerAddress, Plain: true}
	cfg.TeamTokens = s.cfg.Tokens
	if s.cfg.Adjust != nil {
		s.cfg.Adjust(&cfg)
	}
	path := filepath.Join(s.cfg.Dir, string(cfg.Seat)+".json")
	return path, writeJSON(path, cfg)
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// PlatformURL returns the base URL of the platform stand-in.
func (s *Site) PlatformURL() string {
	return "http://" + s.platformAddr
}

// CallersURL returns the base URL of the callers' listener of host i.
func (s *Site) CallersURL(i int) (string, error) {
	addr, err := s.Hosts[i].Address("callers")
	return "http://" + addr, err
}

// OperatorsURL returns the base URL of the operators' listener of host i.
func (s *Site) OperatorsURL(i int) (string, error) {
	addr, err := s.Hosts[i].Address("operators")
	return "http://" + addr, err
}

// WaitReady waits until host i reports on its callers' listener that it is ready.
func (s *Site) WaitReady(i int, timeout time.Duration) error {
	url, err := s.CallersURL(i)
	if err != nil {
		return err
	}
	return Poll(timeout, func() error {
		resp, err := http.Get(url + "/readyz")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("readiness of %s: %s", s.Seats[i].ID, resp.Status)
		}
		return nil
	})
}

// Poll calls f until it succeeds. After the timeout it returns the last error of f.
func Poll(timeout time.Duration, f func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %w", timeout, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Stop kills all processes of the site and closes the proxies.
func (s *Site) Stop() {
	for _, p := range s.processes {
		p.Kill()
	}
	s.network.close()
}
