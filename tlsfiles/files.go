package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/settings"
)

// checkPeriod is the shortest time between two checks of the files for changes, which handshakes trigger.
const checkPeriod = time.Second

// fileStamp identifies a version of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Files holds the certificate, private key and CA certificates of one listener and reloads them from its files.
type Files struct {
	listener settings.Listener

	mu      sync.Mutex
	checked time.Time
	stamps  [3]fileStamp
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// New loads the files of l, which must be a listener with TLS.
func New(l settings.Listener) (*Files, error) {
	f := &Files{listener: l}
	stamps, err := f.stat()
	if err != nil {
		return nil, err
	}
	if err := f.load(stamps); err != nil {
		return nil, err
	}
	f.checked = time.Now()
	return f, nil
}

// ServerConfig returns the TLS configuration of a server at l, or nil if l is without TLS.
func ServerConfig(l settings.Listener) (*tls.Config, error) {
	if l.Plain {
		return nil, nil
	}
	f, err := New(l)
	if err != nil {
		return nil, err
	}
	return f.Server(), nil
}

// Server returns a server configuration that requires client certificates if the listener has a CA file.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return f.serverConfig(), nil
		},
	}
}

// Client returns a configuration for one connection to a server whose certificate the CA file verifies.
func (f *Files) Client() *tls.Config {
	cert, pool := f.reload()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
	}
}

func (f *Files) serverConfig() *tls.Config {
	cert, pool := f.reload()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		// A session resumed with a ticket issued before a change of the CA file would not verify the client
		// certificate against the new one.
		SessionTicketsDisabled: true,
	}
	if pool != nil {
		config.ClientCAs = pool
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// reload returns the content of the files. If they changed and cannot be loaded, the previous content stays in use.
func (f *Files) reload() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.checked) < checkPeriod {
		return f.cert, f.pool
	}
	f.checked = now
	stamps, err := f.stat()
	if err == nil && stamps != f.stamps {
		err = f.load(stamps)
	}
	if err != nil {
		slog.Error("TLS files not reloaded, previous certificates stay in use", "Address", f.listener.Address, "Error", err.Error())
	}
	return f.cert, f.pool
}

func (f *Files) paths() [3]string {
	return [3]string{f.listener.CertFile, f.listener.KeyFile, f.listener.CAFile}
}

func (f *Files) stat() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, name := range f.paths() {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, fault.Wrap(err, fault.Invalid, "TLS file")
		}
		stamps[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

// load reads the files and stores stamps, which must have been taken before, so that a change during the read is
// detected by the next check.
func (f *Files) load(stamps [3]fileStamp) error {
	cert, err := tls.LoadX509KeyPair(f.listener.CertFile, f.listener.KeyFile)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "TLS certificate and key")
	}
	var pool *x509.CertPool
	if f.listener.CAFile != "" {
		pool, err = loadPool(f.listener.CAFile)
		if err != nil {
			return err
		}
	}
	f.cert, f.pool, f.stamps = &cert, pool, stamps
	return nil
}

func loadPool(name string) (*x509.CertPool, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "TLS authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fault.New(fault.Invalid, "TLS authority %s: no certificate in the file", name)
	}
	return pool, nil
}
