package scenario

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"persimmonpick/operator"
	"persimmonpick/standins/backend"
	"persimmonpick/standins/faultproxy"
	"persimmonpick/standins/platform"
	"persimmonpick/standins/site"
)

// cmdNet sets the mode of fault proxies: net e1 peers Cut, net e1 e2 Freeze, net e1 platform Cut, net backend-0 Pass.
func cmdNet(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	mode := faultproxy.Setting{Mode: faultproxy.Mode(args[len(args)-1])}
	if n, ok := strings.CutPrefix(args[0], "backend-"); ok {
		ts.Check(w.site.SetBackend(intOption(ts, map[string]string{"": n}, "", 0), mode))
		return
	}
	i := w.seatIndex(ts, args[0])
	switch args[1] {
	case "peers":
		ts.Check(w.site.SetPeers(i, -1, mode))
	case "platform":
		ts.Check(w.site.SetPlatform(i, mode))
	default:
		ts.Check(w.site.SetPeers(i, w.seatIndex(ts, args[1]), mode))
	}
}

// cmdInForce waits until the status of a host shows a limit with a value: inforce e1 MaxInFlight 5 Within=15s.
func cmdInForce(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := splitOptions(args)
	url := stateOf(ts).operatorsURL(ts, plain[0])
	ts.Check(retryWithin(ts, opts, func() error {
		var s operator.Status
		if err := site.Get(url+"/v1/status", "", &s); err != nil {
			return err
		}
		for _, l := range s.Limits {
			if string(l.ID) == plain[1] && fmt.Sprint(l.Value) == plain[2] {
				return nil
			}
		}
		return fmt.Errorf("%s has limits %+v, want %s = %s", plain[0], s.Limits, plain[1], plain[2])
	}))
}

// cmdNotReady checks that a host does not become ready within a period: notready e1 5s.
func cmdNotReady(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	w := stateOf(ts)
	if err := w.site.WaitReady(w.seatIndex(ts, args[0]), d); err == nil {
		ts.Fatalf("%s became ready", args[0])
	}
}

// cmdBackendFault injects a fault at every backend server: backfault '{"Action":"Truncate","Count":3}'.
// backfault clear removes all faults.
func cmdBackendFault(ts *testscript.TestScript, _ bool, args []string) {
	for _, p := range stateOf(ts).site.Backends {
		addr, err := p.Address("")
		ts.Check(err)
		method, body := http.MethodPost, []byte(args[0])
		if args[0] == "clear" {
			method, body = http.MethodDelete, nil
		}
		status, data, err := site.Call(method, "http://"+addr+"/admin/faults", "", body, nil)
		ts.Check(err)
		if status >= http.StatusBadRequest {
			ts.Fatalf("faults of %s: %d %s", p.Name, status, data)
		}
	}
}

// cmdCerts writes a self-signed CA certificate for 127.0.0.1 and its key for each name: certs ca other. Hosts are
// configured with one of them; another one stands for an authority that they do not trust.
func cmdCerts(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(makeCerts(ts.Getenv("WORK"), name))
	}
}

func makeCerts(dir, name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	blocks := map[string]*pem.Block{"crt": {Type: "CERTIFICATE", Bytes: der}, "key": {Type: "EC PRIVATE KEY", Bytes: keyDER}}
	for ext, b := range blocks {
		if err := os.WriteFile(filepath.Join(dir, name+"."+ext), pem.EncodeToMemory(b), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// cmdHandshake dials the peer listener of a host with the named client certificate, or none, and checks that the host
// accepts it: [!] handshake e1 ca.
func cmdHandshake(ts *testscript.TestScript, neg bool, args []string) {
	w := stateOf(ts)
	file := func(name string) string { return filepath.Join(ts.Getenv("WORK"), name) }
	conf := &tls.Config{InsecureSkipVerify: true}
	if args[1] != "none" {
		cert, err := tls.LoadX509KeyPair(file(args[1]+".crt"), file(args[1]+".key"))
		ts.Check(err)
		conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &cert, nil }
	}
	c, err := tls.Dial("tcp", w.site.Seats[w.seatIndex(ts, args[0])].PeerAddress, conf)
	ts.Check(err)
	defer c.Close()
	// With TLS 1.3 a client sees the refusal of its certificate only when it reads. A server that accepts sends
	// nothing before the first call, so that the read times out.
	ts.Check(c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = c.Read(make([]byte, 1))
	if accepted := errors.Is(err, os.ErrDeadlineExceeded); accepted == neg {
		ts.Fatalf("certificate %s: accepted %v: %v", args[1], accepted, err)
	}
}

// countRuns sums the runs at all backend servers by idempotency key or request id.
func countRuns(ts *testscript.TestScript, pick func(backend.Stats) map[string]int) map[string]int {
	sum := map[string]int{}
	for _, p := range stateOf(ts).site.Backends {
		addr, err := p.Address("")
		ts.Check(err)
		var s backend.Stats
		ts.Check(site.Get("http://"+addr+"/admin/stats", "", &s))
		for id, n := range pick(s) {
			sum[id] += n
		}
	}
	return sum
}

// cmdKeyRuns checks how often requests with an idempotency key ran at the backend servers: keyruns k1 1.
func cmdKeyRuns(ts *testscript.TestScript, _ bool, args []string) {
	n := countRuns(ts, func(s backend.Stats) map[string]int { return s.RunsByKey })[args[0]]
	if fmt.Sprint(n) != args[1] {
		ts.Fatalf("%d runs of key %s, want %s", n, args[0], args[1])
	}
}

// cmdAnswers sends concurrent requests with distinct bodies and checks every response:
// answers e1 billed 100 [Keyed=true].
// A response with status 200 must be complete and made from the body of its request. A billed request must run at most
// once, and a request that is answered with Ran=No must not have run.
func cmdAnswers(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	plain, opts := splitOptions(args)
	url := w.callersURL(ts, plain[0]) + "/v1/requests/" + plain[1]
	n := intOption(ts, map[string]string{"": plain[2]}, "", 0)
	w.requestBatches++
	results := make([]answerCheck, n)
	forEachConcurrently(n, func(i int) {
		results[i] = requestAndCheck(url, fmt.Sprintf("%s-%d-%d", plain[1], w.requestBatches, i), opts["Keyed"] == "true")
	})
	runs := countRuns(ts, func(s backend.Stats) map[string]int { return s.RunsByKey })
	codes := map[string]int{}
	for _, r := range results {
		codes[r.code+r.ran]++
		if r.failure != "" {
			ts.Fatalf("%s: %s", r.key, r.failure)
		}
		if plain[1] == "billed" && runs[r.key] > 1 || r.ran == "No" && runs[r.key] > 0 {
			ts.Fatalf("%s: %d runs, response %s Ran=%s", r.key, runs[r.key], r.code, r.ran)
		}
	}
	fmt.Fprintf(os.Stderr, "measured %s: %s %v\n", ts.Name(), plain[1], codes)
}

type answerCheck struct{ key, code, ran, failure string }

func requestAndCheck(url, key string, keyed bool) answerCheck {
	body := []byte(fmt.Sprintf(`{"ServiceMillis":5,"AnswerBytes":3000,"Key":%q}`, key))
	header := map[string]string{}
	if keyed {
		header["Idempotency-Key"] = key
	}
	status, data, err := site.Call(http.MethodPost, url, token, body, header)
	r := answerCheck{key: key, code: fmt.Sprint(status)}
	if err != nil {
		r.failure = err.Error()
		return r
	}
	if status == http.StatusGatewayTimeout && string(data) == "request was cut short\n" {
		return r // complete response of a backend server that stopped at the deadline of the request
	}
	if status != http.StatusOK {
		var f struct{ Code, Ran string }
		if err := json.Unmarshal(data, &f); err != nil || f.Code == "" || f.Ran == "" {
			r.failure = fmt.Sprintf("%d %s", status, data)
		}
		r.code, r.ran = f.Code, f.Ran
		return r
	}
	var a backend.Response
	err = json.Unmarshal(data, &a)
	if err != nil || a.Key != key || a.Digest != fmt.Sprintf("%016x", xxhash.Sum64(body)) || len(a.Pad) != 3000 {
		r.failure = fmt.Sprintf("%v: response incomplete or made for another request: %.200s", err, data)
	}
	return r
}

// cmdBurst submits jobs of one task each with run times from 100 to 1050 ms, cancels all of them, and waits until each
// is in a final state: burst e1 tally 1000.
func cmdBurst(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	url := w.callersURL(ts, args[0]) + "/v1/jobs"
	n := intOption(ts, map[string]string{"": args[2]}, "", 0)
	ids := make([]string, n)
	errs := make([]error, n)
	forEachConcurrently(n, func(i int) { ids[i], errs[i] = submitJob(url, args[1], 100+i%20*50) })
	for _, err := range errs {
		ts.Check(err)
	}
	began := time.Now()
	forEachConcurrently(n, func(i int) {
		status, data, err := site.Call(http.MethodDelete, url+"/"+ids[i], token, nil, nil)
		if err == nil && status != http.StatusOK && status != http.StatusConflict {
			err = fmt.Errorf("cancel: %d %s", status, data)
		}
		errs[i] = err
	})
	cancelled := time.Since(began)
	states := map[string]int{}
	for i, id := range ids {
		ts.Check(errs[i])
		ts.Check(site.Poll(defaultWait, func() error {
			st, err := w.jobStatus(ts, args[0], id)
			if err == nil && !st.State.Final() {
				err = fmt.Errorf("job %s is %s", id, st.State)
			}
			if err == nil {
				states[string(st.State)]++
			}
			return err
		}))
	}
	fmt.Fprintf(os.Stderr, "measured %s: %d cancelled in %v, all ended after %v: %v\n", ts.Name(), n,
		cancelled.Round(time.Millisecond), time.Since(began).Round(time.Millisecond), states)
}

// forEachConcurrently calls f for 0 to n-1, with at most 32 calls at a time, and waits for all of them.
func forEachConcurrently(n int, f func(i int)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, 32)
	for i := range n {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	group.Wait()
}

func submitJob(url, kind string, runMillis int) (string, error) {
	body := fmt.Sprintf(`{"Kind":%q,"Tasks":1,"Need":{"CPU":100,"Memory":1000000},"RunTime":%d,"Payload":{"RunMillis":%d}}`, kind, runMillis, runMillis)
	status, data, err := site.Call(http.MethodPost, url, token, []byte(body), nil)
	if err == nil && status != http.StatusAccepted {
		err = fmt.Errorf("submit: %d %s", status, data)
	}
	var st struct{ ID string }
	if err == nil {
		err = json.Unmarshal(data, &st)
	}
	return st.ID, err
}

// cmdNoneRuns waits until the platform's ledger has an end event for every start: noneruns Within=5s.
func cmdNoneRuns(ts *testscript.TestScript, _ bool, args []string) {
	_, opts := splitOptions(args)
	ts.Check(retryWithin(ts, opts, func() error {
		var events []platform.Event
		if err := site.Get(stateOf(ts).site.PlatformURL()+"/ledger", "", &events); err != nil {
			return err
		}
		open := map[string]int{}
		for _, e := range events {
			if e.Event == "Start" || e.Event == "Resume" {
				open[string(e.Task)]++
			} else {
				open[string(e.Task)]--
			}
		}
		for id, n := range open {
			if n != 0 {
				return fmt.Errorf("task %s: %d starts without an end event", id, n)
			}
		}
		return nil
	}))
}
