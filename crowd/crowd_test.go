package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/journal"
	"persimmonpick/platform/emulator"
	"persimmonpick/settings"
	"persimmonpick/standins/site"
	"persimmonpick/table"
)

// Sizes of the crowd.
const (
	clients     = 400
	silent      = 800
	legalBody   = 256 << 10 // the limit in the emulated site's configuration
	shortOf     = 64        // bytes kept back of a body
	writePeriod = 10 * time.Second
	settleTime  = time.Second
)

// client writes what one client of a crowd sends; its connection stays open afterwards.
type client func(c net.Conn)

func send(c net.Conn, text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

func head(i int, extra string) string {
	return fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s", emulator.RoutePrefix, 0xc0000+i, emulator.RouteHost, extra)
}

func sized(i, n int) string { return head(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", n)) }

func chunked(i int) string { return head(i, "Transfer-Encoding: chunked\r\n\r\n") }

func chunks(n, size int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat(" ", size)), n)
}

// manySteps returns a body of n bytes with as many steps as fit.
func manySteps(n int) string {
	left := n - len(emulator.JobBody("{}"))
	return emulator.JobBody("{}" + strings.Repeat(",{}", left/3) + strings.Repeat(" ", left%3))
}

// crowds are the kinds of crowd against the callers' listener.
var crowds = []struct {
	name  string
	n     int
	write func(i int) client
}{
	{"BodiesShortOfTheirEnd", clients, func(i int) client {
		return func(c net.Conn) { send(c, sized(i, legalBody)+strings.Repeat(" ", legalBody-shortOf)) }
	}},
	{"BodiesInPieces", clients, func(i int) client {
		return func(c net.Conn) {
			ok := send(c, sized(i, legalBody))
			for range legalBody/(16<<10) - 1 {
				time.Sleep(10 * time.Millisecond)
				ok = ok && send(c, strings.Repeat(" ", 16<<10))
			}
		}
	}},
	{"WholeBodies", clients, func(i int) client {
		return func(c net.Conn) { send(c, sized(i, legalBody)+manySteps(legalBody)) }
	}},
	{"LargeChunks", clients, func(i int) client {
		return func(c net.Conn) { send(c, chunked(i)+chunks(3, 64<<10)+chunks(1, 48<<10)) }
	}},
	{"TinyChunks", clients, func(i int) client {
		return func(c net.Conn) { send(c, chunked(i)+chunks(legalBody-shortOf, 1)) }
	}},
	{"AnnouncedFarOverTheLimit", clients, func(i int) client {
		return func(c net.Conn) { send(c, sized(i, 1<<30)+strings.Repeat(" ", legalBody-shortOf)) }
	}},
	{"SentFarOverTheLimit", clients, func(i int) client {
		return func(c net.Conn) {
			ok := send(c, chunked(i))
			for range 8 {
				time.Sleep(50 * time.Millisecond)
				ok = ok && send(c, chunks(4, 30<<10))
			}
		}
	}},
	{"SlowHeaders", clients, func(i int) client {
		return func(c net.Conn) {
			ok := send(c, head(i, ""))
			for j := range 56 {
				ok = ok && send(c, fmt.Sprintf("X-%d: %s\r\n", j, strings.Repeat("x", 16<<10)))
			}
		}
	}},
	{"HalfOpen", silent, func(int) client { return func(net.Conn) {} }},
	{"Pipelined", clients, func(i int) client {
		return func(c net.Conn) {
			for j := range 8 {
				if !send(c, sized(i<<8+j, legalBody)+manySteps(legalBody)) {
					return
				}
			}
			send(c, sized(i, legalBody)+strings.Repeat(" ", legalBody-shortOf))
		}
	}},
}

// gather lets n clients connect to addr and write, all at once. It returns when all have written what they could; the
// connections stay open until the test ends.
func gather(t *testing.T, addr string, n int, write func(i int) client) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", addr, writePeriod)
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			_ = c.SetDeadline(time.Now().Add(writePeriod))
			write(i)(c)
		})
	}
	wg.Wait()
}

// settle waits until the peak of a process has not risen for a while, so that it has read what it will read.
func settle(pid int) {
	for before := -1; ; time.Sleep(settleTime) {
		u, err := usageOf(pid)
		if err != nil || u.peakMB <= before {
			return
		}
		before = u.peakMB
	}
}

// withinLimits checks that the process lives and has stayed within the limits of its machine.
func withinLimits(t *testing.T, is *is.I, pid int) {
	settle(pid)
	u, err := usageOf(pid)
	is.NoErr(err)
	t.Logf("peak of memory %d MB, bound %d; %d descriptors, bound %d", u.peakMB, memoryMB, u.files, maxFiles)
	is.True(u.peakMB <= memoryMB)
	is.True(u.files <= maxFiles)
}

// Guards against a host that ends, or stops answering, since clients send more than its machine can hold.
func TestCrowdOfCallers(t *testing.T) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			d := newDaemon(t)
			gather(t, d.callers, c.n, c.write)
			withinLimits(t, d.is, d.cmd.Process.Pid)
			d.answers()
			withinLimits(t, d.is, d.cmd.Process.Pid)
		})
	}
}

// Guards against a crowd that ends a host in its graceful stop, or keeps it from ending.
func TestCrowdOfCallersDuringAStop(t *testing.T) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			d := newDaemon(t)
			d.stop(func() {
				var u usage
				watched := make(chan struct{})
				go func() {
					defer close(watched)
					for seen, err := usageOf(d.cmd.Process.Pid); err == nil; seen, err = usageOf(d.cmd.Process.Pid) {
						u.peakMB, u.files = max(u.peakMB, seen.peakMB), max(u.files, seen.files)
						time.Sleep(20 * time.Millisecond)
					}
				}()
				gather(t, d.callers, c.n, c.write)
				<-watched
				t.Logf("peak of memory %d MB, bound %d; %d descriptors, bound %d", u.peakMB, memoryMB, u.files, maxFiles)
				d.is.True(u.peakMB <= memoryMB)
				d.is.True(u.files <= maxFiles)
			})
			d.start() // answers an ordinary request
		})
	}
}

// Guards against limits that a single client inside the pages' limits meets: a body of the largest size, in pieces.
func TestLargestBodyInCalm(t *testing.T) {
	d := newDaemon(t)
	job := emulator.JobBody(emulator.SmallStep)
	body := job + strings.Repeat(" ", legalBody-len(job))
	c, err := net.Dial("tcp", d.callers)
	d.is.NoErr(err)
	defer c.Close()
	d.is.True(send(c, sized(0, legalBody)))
	for piece := range slices.Chunk([]byte(body), 32<<10) {
		time.Sleep(100 * time.Millisecond)
		d.is.True(send(c, string(piece)))
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	d.is.NoErr(err)
	d.is.Equal(resp.StatusCode, http.StatusOK)
}

// Guards against connections to the listener for other hosts that send long messages in part.
func TestCrowdOfHosts(t *testing.T) {
	t.Run("MessagesShortOfTheirEnd", func(t *testing.T) {
		d := newDaemon(t)
		gather(t, d.relay, clients, func(int) client {
			return func(c net.Conn) { send(c, "\xfc\x3f\xff\xff\xff"+strings.Repeat("\x00", legalBody)) }
		})
		settle(d.cmd.Process.Pid)
		d.answers()
		withinLimits(t, d.is, d.cmd.Process.Pid)
	})
	t.Run("HalfOpen", func(t *testing.T) {
		d := newDaemon(t)
		gather(t, d.relay, silent, func(int) client { return func(net.Conn) {} })
		settle(d.cmd.Process.Pid)
		d.answers()
		withinLimits(t, d.is, d.cmd.Process.Pid)
	})
}

var quoteKind = journal.Intent{Type: journal.SetKind, Kind: &table.Kind{ID: "quote", Class: table.LatencyCritical, Service: "s", Path: "/quote", Timeout: 2000}}

// admit admits the tests' team and a kind of request.
func admit(operators string) error {
	team := table.Team{ID: "team", Weight: 1, Quota: table.Resources{CPU: 1 << 20, Memory: 1 << 40}}
	if err := site.Confirm(operators, journal.Intent{Type: journal.SetTeam, Team: &team}); err != nil {
		return err
	}
	return site.Confirm(operators, quoteKind)
}

// Guards against unfinished bodies on the listeners of a host of the product's own platform.
func TestCrowdOfCallersAndOperators(t *testing.T) {
	const token = "crowd-token"
	for _, listener := range []string{"callers", "operators"} {
		t.Run(listener, func(t *testing.T) {
			is := is.New(t)
			s, err := site.Start(site.Config{
				Dir: t.TempDir(), Bin: bin, Hosts: 1, Workers: 1, Instances: 1, Service: "s", Zones: []table.ZoneID{"z1"},
				Tokens: map[string]table.TeamID{token: "team"}, Resources: table.Resources{CPU: 16000, Memory: 64 << 30},
				Adjust: func(s *settings.Settings) { s.Limits.MaxConnections = clients },
			})
			t.Cleanup(s.Stop)
			is.NoErr(err)
			is.NoErr(s.WaitReady(0, answerTimeout))
			operators, err := s.OperatorsURL(0)
			is.NoErr(err)
			is.NoErr(site.Poll(answerTimeout, func() error { return admit(operators) }))
			callers, err := s.Hosts[0].Address("callers")
			is.NoErr(err)
			quote := func() error {
				return call(callers, http.MethodPost, "/v1/requests/quote", "h", http.Header{"Authorization": {"Bearer " + token}}, "{}")
			}
			is.NoErr(site.Poll(answerTimeout, quote))
			addr, err := s.Hosts[0].Address(listener)
			is.NoErr(err)
			pid, body, request := s.Hosts[0].PID(), 1<<20, "POST /v1/requests/quote HTTP/1.1\r\nAuthorization: Bearer "+token
			if listener == "operators" {
				body, request = 256<<10, "POST /v1/plans HTTP/1.1"
			}
			gather(t, addr, clients-1, func(int) client {
				return func(c net.Conn) {
					send(c, fmt.Sprintf("%s\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", request, body, strings.Repeat(" ", body-shortOf)))
				}
			})
			settle(pid)
			is.NoErr(site.Poll(answerTimeout, quote))
			is.NoErr(site.Poll(answerTimeout, func() error {
				_, err := site.MakePlan(operators, quoteKind)
				return err
			}))
			withinLimits(t, is, pid)
		})
	}
}
