package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"

	"persimmonpick/table"
)

// Limits of the number of entry hosts.
const (
	maxSeats        = 9
	productionSeats = 7 // fewer are allowed for trials, with a warning
)

var logLevels = []string{"debug", "info", "warn", "error"}

func (s *Settings) check(f *faults) {
	s.checkSeats(f)
	s.checkPlatform(f)
	s.Callers.check("Callers", false, f)
	s.Operators.check("Operators", true, f)
	s.Peers.check("Peers", true, f)
	s.checkTokens(f)
	if !slices.Contains(logLevels, s.LogLevel) {
		f.add("LogLevel", "must be one of %v", logLevels)
	}
	s.Limits.check(f)
	s.Timing.check(f)
	s.Policy.check(f)
}

// Warnings describes settings that are valid but not meant for production; the daemon logs them at start.
func (s *Settings) Warnings() []string {
	var ws []string
	if len(s.Seats) < productionSeats {
		ws = append(ws, fmt.Sprintf("Seats: %d listed, production needs %d to %d", len(s.Seats), productionSeats, maxSeats))
	}
	for _, l := range s.listeners() {
		if l.Plain {
			ws = append(ws, l.name+".Plain: traffic is not encrypted and clients are not authenticated by certificate")
		}
	}
	return ws
}

type namedListener struct {
	name string
	Listener
}

func (s *Settings) listeners() []namedListener {
	return []namedListener{{"Callers", s.Callers}, {"Operators", s.Operators}, {"Peers", s.Peers}}
}

func (s *Settings) checkSeats(f *faults) {
	if len(s.Seats) < 1 || len(s.Seats) > maxSeats {
		f.add("Seats", "must list 1 to %d seats, not %d", maxSeats, len(s.Seats))
	}
	ids := map[table.SeatID]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, seat := range s.Seats {
		at := fmt.Sprintf("Seats[%d]", i)
		if seat.ID == "" {
			f.add(at+".ID", "must be set")
		}
		if ids[seat.ID] {
			f.add(at+".ID", "%q is listed twice", seat.ID)
		}
		ids[seat.ID] = true
		seat.checkAddress(at, addresses, f)
		if seat.ID == s.Seat && seat.Zone != s.Zone {
			f.add("Zone", "%q differs from zone %q of this host's seat", s.Zone, seat.Zone)
		}
	}
	if !ids[s.Seat] || s.Seat == "" {
		f.add("Seat", "%q is not listed in Seats", s.Seat)
	}
}

func (seat Seat) checkAddress(at string, seen map[netip.AddrPort]bool, f *faults) {
	if seat.Zone == "" {
		f.add(at+".Zone", "must be set")
	}
	address, ok := parseAddress(at+".PeerAddress", seat.PeerAddress, f)
	if !ok {
		return
	}
	if address.Port() == 0 {
		f.add(at+".PeerAddress", "must have a port above 0")
		return
	}
	if address.Addr().IsUnspecified() {
		f.add(at+".PeerAddress", "must be an address that peers can reach")
	}
	if seen[address] {
		f.add(at+".PeerAddress", "%s is listed twice", address)
	}
	seen[address] = true
}

func parseAddress(at, address string, f *faults) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		f.add(at, "must be an IP number and a port, not %q", address)
		return netip.AddrPort{}, false
	}
	return parsed, true
}

func (s *Settings) checkPlatform(f *faults) {
	u, err := url.Parse(s.PlatformURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		f.add("PlatformURL", "must be an http or https URL")
		return
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		f.add("PlatformURL", "must have no user, query or fragment")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		f.add("PlatformURL", "must have an IP address as its host")
	}
}

func (l Listener) check(at string, certificates bool, f *faults) {
	parseAddress(at+".Address", l.Address, f)
	files := []struct {
		name, value string
		needed      bool
	}{
		{"CertFile", l.CertFile, true},
		{"KeyFile", l.KeyFile, true},
		{"CAFile", l.CAFile, certificates},
	}
	for _, file := range files {
		if l.Plain && file.value != "" {
			f.add(joinPath(at, file.name), "must not be set together with Plain")
		}
		if !l.Plain && file.needed && file.value == "" {
			f.add(joinPath(at, file.name), "must be set unless Plain is true")
		}
	}
}

func (s *Settings) checkTokens(f *faults) {
	for i, token := range slices.Sorted(maps.Keys(s.TeamTokens)) {
		at := fmt.Sprintf("TeamTokens[%d]", i)
		if token == "" {
			f.add(at, "the token must not be empty")
		}
		if s.TeamTokens[token] == "" {
			f.add(at, "the team must not be empty")
		}
	}
}
