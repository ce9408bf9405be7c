package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/settings"
)

// writeSelfSigned writes a new self-signed certificate, its key and, as the CA file, the certificate again.
func writeSelfSigned(t *testing.T, dir string, serial int64) settings.Listener {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "kim"},
		NotAfter:     time.Now().Add(time.Hour),
		IsCA:         true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	l := settings.Listener{
		CertFile: filepath.Join(dir, "a.crt"), KeyFile: filepath.Join(dir, "a.key"), CAFile: filepath.Join(dir, "ca.crt"),
	}
	writeFile(t, l.CertFile, cert, serial)
	writeFile(t, l.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), serial)
	writeFile(t, l.CAFile, cert, serial)
	return l
}

// writeFile writes data with a modification time that depends on version, because file system clocks may be too coarse
// to tell versions apart.
func writeFile(t *testing.T, name string, data []byte, version int64) {
	t.Helper()
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
	at := time.Unix(1_700_000_000+version, 0)
	if err := os.Chtimes(name, at, at); err != nil {
		t.Fatal(err)
	}
}

// handshake connects client to server and returns the serial number of the server's certificate.
func handshake(server, client *tls.Config) (int64, error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	go func() {
		conn := tls.Server(a, server)
		if conn.Handshake() == nil {
			_, _ = conn.Write([]byte("x"))
		}
		conn.Close()
	}()
	client.ServerName = "127.0.0.1"
	conn := tls.Client(b, client)
	// In TLS 1.3 a client learns that the server rejected its certificate only from the first read.
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against accepting clients without a certificate, and against changed files that take effect only after a
// restart, or that break the listener when invalid.
func TestReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l := writeSelfSigned(t, dir, 1)
	f, err := New(l)
	is.NoErr(err)
	server := f.Server()
	serial, err := handshake(server, f.Client())
	is.NoErr(err)
	is.Equal(serial, int64(1))
	anonymous := f.Client()
	anonymous.Certificates = nil
	_, err = handshake(server, anonymous)
	is.True(err != nil) // no client certificate

	writeSelfSigned(t, dir, 2)
	serial, err = handshake(server, f.Client())
	is.NoErr(err)
	is.Equal(serial, int64(1)) // checked less than a second ago
	f.checked = time.Time{}
	serial, err = handshake(server, f.Client())
	is.NoErr(err)
	is.Equal(serial, int64(2))

	writeFile(t, l.CertFile, []byte("broken"), 3)
	f.checked = time.Time{}
	serial, err = handshake(server, f.Client())
	is.NoErr(err)
	is.Equal(serial, int64(2)) // the previous files stay in use

	_, err = New(l)
	is.True(err != nil)
	config, err := ServerConfig(settings.Listener{Plain: true})
	is.NoErr(err)
	is.True(config == nil)
}
