package settings

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

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/timer"
)

func validSettings() Settings {
	return Settings{
		VM: "n1", Hall: "hall-a", CallerListen: "127.0.0.1:1", PeerListen: "127.0.0.1:2", AdminListen: "127.0.0.1:3",
		PlatformURL: "http://127.0.0.1:4", PlatformRate: 100, RoutePolicy: "affinity", ExchangeInterval: time.Second,
	}
}

func TestCheck(t *testing.T) {
	ok := validSettings()
	require.NoError(t, ok.Check())
	cases := []struct {
		name, flag string
		change     func(s *Settings)
	}{
		{"name with a dot", "--vm", func(s *Settings) { s.VM = "a.b" }},
		{"host name instead of an address", "--peer-listen", func(s *Settings) { s.PeerListen = "localhost:1" }},
		{"no scheme", "--platform", func(s *Settings) { s.PlatformURL = "127.0.0.1:4" }},
		{"no rate", "--platform-rate", func(s *Settings) { s.PlatformRate = 0 }},
		{"interval too short", "--exchange", func(s *Settings) { s.ExchangeInterval = time.Millisecond }},
		{"token instead of its hash", "--admin-token-hash", func(s *Settings) { s.AdminTokenHashes = []string{"secret"} }},
		{"certificate without key", "--tls-cert", func(s *Settings) { s.CertFile = "x" }},
		{"public address without TLS", "--admin-listen", func(s *Settings) { s.AdminListen = "0.0.0.0:3" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := validSettings()
			c.change(&s)
			assert.ErrorContains(t, s.Check(), c.flag)
		})
	}
	open := validSettings()
	open.AdminListen, open.Insecure = "0.0.0.0:3", true
	assert.NoError(t, open.Check(), "--insecure allows it")
}

// authority is a certificate authority that issues certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	require.NoError(t, err)
	c, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	p := x509.NewCertPool()
	p.AddCert(c)
	return &authority{c, k, p}
}

func (a *authority) issue(t *testing.T, serial int64, cert, key string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	require.NoError(t, err)
	b, err := x509.MarshalECPrivateKey(k)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: b}), 0o600))
}

// serverSerial connects and returns the serial number of the server's certificate.
func serverSerial(address string, c *tls.Config) (int64, error) {
	v, err := tls.Dial("tcp", address, c)
	if err != nil {
		return 0, err
	}
	defer v.Close()
	if _, err := io.ReadAll(v); err != nil { // fails if the server rejected the client's certificate
		return 0, err
	}
	return v.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualTLSAndReload(t *testing.T) {
	d := t.TempDir()
	cert, key := filepath.Join(d, "c.pem"), filepath.Join(d, "k.pem")
	a := newAuthority(t)
	a.issue(t, 2, cert, key)
	clock := timer.NewManual(time.Now())
	c, err := NewCertificates(cert, key, clock.Service())
	require.NoError(t, err)
	l, err := tls.Listen("tcp", "127.0.0.1:0", c.ServerConfig(a.pool, true))
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			v, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _ = v.(*tls.Conn).Handshake(); _ = v.Close() }()
		}
	}()
	address := l.Addr().String()
	n, err := serverSerial(address, c.ClientConfig(a.pool))
	require.NoError(t, err)
	assert.EqualValues(t, 2, n)
	_, err = serverSerial(address, &tls.Config{RootCAs: a.pool})
	assert.Error(t, err, "client without a certificate")
	_, err = serverSerial(address, c.ClientConfig(newAuthority(t).pool))
	assert.Error(t, err, "server certificate of another authority")
	a.issue(t, 3, cert, key)
	require.NoError(t, os.Chtimes(cert, time.Now().Add(time.Minute), time.Now().Add(time.Minute)))
	clock.Advance(certificateCheckInterval)
	n, err = serverSerial(address, c.ClientConfig(a.pool))
	require.NoError(t, err)
	assert.EqualValues(t, 3, n, "reloaded without a restart")
	require.NoError(t, os.WriteFile(cert, []byte("half"), 0o600))
	clock.Advance(certificateCheckInterval)
	n, err = serverSerial(address, c.ClientConfig(a.pool))
	require.NoError(t, err)
	assert.EqualValues(t, 3, n, "an invalid file leaves the previous certificate in use")
}
