package fleet

import (
	"strings"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// Version is the version number of a configuration.
type Version int64

// Route maps the requests of callers to a queue.
type Route struct {
	Host   string // of the request, without a port
	Prefix string // of the path
	Queue  workload.Queue
}

// Configuration is the operator's configuration.
type Configuration struct {
	Version Version
	Routes  []Route
	MaxBody table.Bytes // 0 means only the limit of this host applies
}

// Find returns the route of host with the longest matching prefix, and the rest of the path.
func (c *Configuration) Find(host, path string) (Route, string, bool) {
	var best Route
	found := false
	for _, r := range c.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, strings.TrimPrefix(path, best.Prefix), found
}

// Queues returns the queues of all routes.
func (c *Configuration) Queues() []workload.Queue {
	qs := make([]workload.Queue, len(c.Routes))
	for i, r := range c.Routes {
		qs[i] = r.Queue
	}
	return qs
}
