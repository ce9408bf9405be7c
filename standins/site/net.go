package site

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"persimmonpick/settings"
	"persimmonpick/standins/faultproxy"
)

// Network holds the fault proxies between the processes of a site.
type Network struct {
	peers    map[[2]int]*faultproxy.Proxy // by source and destination entry host
	platform []*faultproxy.Proxy          // by entry host
	backends []*faultproxy.Proxy          // by instance
	all      []*faultproxy.Proxy
}

func (n *Network) add(target string) (*faultproxy.Proxy, error) {
	p, err := faultproxy.Listen("127.0.0.1:0", target)
	if err == nil {
		n.all = append(n.all, p)
	}
	return p, err
}

func (n *Network) close() {
	for _, p := range n.all {
		p.Close()
	}
}

func setAll(list []*faultproxy.Proxy, s faultproxy.Setting) error {
	for _, p := range list {
		if err := p.Set(s); err != nil {
			return err
		}
	}
	return nil
}

// SetPeers changes the proxies in both directions between entry hosts i and j, or between i and all other entry hosts
// if j is negative.
func (s *Site) SetPeers(i, j int, setting faultproxy.Setting) error {
	var list []*faultproxy.Proxy
	for pair, p := range s.network.peers {
		a, b := pair[0], pair[1]
		if a == i && (j < 0 || b == j) || b == i && (j < 0 || a == j) {
			list = append(list, p)
		}
	}
	return setAll(list, setting)
}

// SetPlatform changes the proxy from entry host i to the platform.
func (s *Site) SetPlatform(i int, setting faultproxy.Setting) error {
	return s.network.platform[i].Set(setting)
}

// SetBackend changes the proxy from all entry hosts to the backend server of instance i.
func (s *Site) SetBackend(i int, setting faultproxy.Setting) error {
	return s.network.backends[i].Set(setting)
}

// startProxies starts the proxies between the entry hosts and from each of them to the platform.
func (s *Site) startProxies() error {
	s.network.peers = map[[2]int]*faultproxy.Proxy{}
	for i := range s.Seats {
		for j, seat := range s.Seats {
			if i == j {
				continue
			}
			p, err := s.network.add(seat.PeerAddress)
			if err != nil {
				return err
			}
			s.network.peers[[2]int{i, j}] = p
		}
		p, err := s.network.add(s.platformAddr)
		if err != nil {
			return err
		}
		s.network.platform = append(s.network.platform, p)
	}
	return nil
}

// seatsFor returns the seats with the peer addresses that entry host i uses: those of its proxies, and its own.
func (s *Site) seatsFor(i int) []settings.Seat {
	var seats []settings.Seat
	for j, seat := range s.Seats {
		if p := s.network.peers[[2]int{i, j}]; p != nil {
			seat.PeerAddress = p.Address()
		}
		seats = append(seats, seat)
	}
	return seats
}

var siteCount atomic.Int32

// peerIP returns a loopback address that only this site uses. A port that is free on it stays free until a process of
// the site listens there, because the kernel assigns no process of another site a port on it.
func peerIP() net.IP {
	return net.ParseIP(fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, 1+siteCount.Add(1)%254))
}
