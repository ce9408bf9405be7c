package fleet

import (
	"strings"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// Version numbers the configurations of an operator.
type Version int64

// Route sends the requests of callers to a queue.
type Route struct {
	Host   string // of the request, without a port
	Prefix string // of the path
	Queue  workload.Queue
}

// Configuration is what the operator wants to be in force.
type Configuration struct {
	Version Version
	Routes  []Route
	MaxBody table.Bytes // 0 means no limit beyond that of this host
}

// Find returns the route with the longest prefix of a path, and the rest of the path.
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
