package commands

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/urfave/cli/v2"

	"persimmonpick/fault"
	"persimmonpick/fleet"
)

// maxStatusBytes limits the size of the status of one host.
const maxStatusBytes = 4 << 20

// fleet shows the status of entry hosts on the users' platform, queried at their metrics addresses.
func (p *program) fleet() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "show entry hosts on the users' platform", ArgsUsage: "METRICS-ADDRESS...",
		Action: p.runFleet,
	}
}

func (p *program) runFleet(c *cli.Context) error {
	if c.NArg() == 0 {
		return fault.New(fault.Invalid, "no address is named; use persimmonpick fleet HOST:PORT...")
	}
	client := &http.Client{Timeout: c.Duration(flagTimeout)}
	var all []fleet.Status
	for _, address := range c.Args().Slice() {
		s, err := fetchStatus(client, address)
		if err != nil {
			return err
		}
		all = append(all, s)
	}
	return p.show(c, all, func(w io.Writer) error {
		g := newGrid(w, "HOST", "ZONE", "READY", "LEADER", "EPOCH", "SOURCE", "VIEW AGE", "CONFIGURATION", "PENDING")
		for _, s := range all {
			pending := 0
			for _, q := range s.Queues {
				pending += max(0, q.Pending)
			}
			g.row(s.Host, s.Zone, yesNo(s.Ready), s.Leader, s.Epoch, stateSource(s), s.ViewAge, s.Version, pending)
		}
		return g.w.Flush()
	})
}

// stateSource returns where a host gets the state of jobs from: the log, or the host that it names.
func stateSource(s fleet.Status) string {
	if s.Source == "" {
		return "log"
	}
	return s.Source
}

func fetchStatus(client *http.Client, address string) (fleet.Status, error) {
	var s fleet.Status
	resp, err := client.Get("http://" + address + fleet.PathStatus)
	if err != nil {
		return s, fault.Wrap(err, fault.NotReady, "host %s does not answer", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fault.New(fault.NotReady, "host %s answered with status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return s, fault.Wrap(err, fault.BadAnswer, "status of host %s cannot be decoded", address)
	}
	return s, nil
}
