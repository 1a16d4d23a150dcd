// Package settings checks what a daemon is told by flags and environment
// variables, all of it at once, so that an operator mends a unit file in one go.
package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/timer"
)

// Settings is what a daemon runs by.
type Settings struct {
	VM           string
	Hall         string
	Zone         string
	CallerListen      string
	PeerListen        string
	AdminListen        string
	Seeds        []string
	PlatformURL     string
	PlatformRate float64
	RoutePolicy       string
	CrossHallLatency    time.Duration
	ExchangeInterval     time.Duration
	DrainTimeout        time.Duration
	LogLevel     string
	AdminTokenHashes  []string // hashes
	CertFile         string
	KeyFile          string
	CAFile           string
	Insecure     bool
	Autoscale    bool
}

// Check reports everything that is wrong, one line each.
func (s *Settings) Check() error {
	var list []error
	bad := func(flag, format string, a ...any) {
		list = append(list, fmt.Errorf("--%s: %s", flag, fmt.Sprintf(format, a...)))
	}
	for _, v := range []struct{ flag, value string }{{"vm", s.VM}, {"hall", s.Hall}} {
		if v.value == "" || strings.ContainsAny(v.value, " ./:") {
			bad(v.flag, "%q: use a name without spaces, dots, slashes and colons", v.value)
		}
	}
	for _, v := range []struct{ flag, value string }{{"listen", s.CallerListen}, {"peer-listen", s.PeerListen}, {"admin-listen", s.AdminListen}} {
		if err := checkAddress(v.value); err != nil {
			bad(v.flag, "%v", err)
		}
	}
	for _, a := range s.Seeds {
		if err := checkAddress(a); err != nil {
			bad("seed", "%v", err)
		}
	}
	if !strings.HasPrefix(s.PlatformURL, "http://") && !strings.HasPrefix(s.PlatformURL, "https://") {
		bad("platform", "%q: use an address such as http://10.0.0.5:2379", s.PlatformURL)
	}
	if s.PlatformRate < 1 {
		bad("platform-rate", "%v: use the calls a second that the platform takes from all nodes, 1 or more", s.PlatformRate)
	}
	if !route.Policy(s.RoutePolicy).Valid() {
		bad("route-policy", "%q: use affinity, round-robin, least-in-flight or two-choices", s.RoutePolicy)
	}
	if s.ExchangeInterval < 50*time.Millisecond || s.ExchangeInterval > 10*time.Second {
		bad("exchange", "%v: use 50ms to 10s", s.ExchangeInterval)
	}
	for _, h := range s.AdminTokenHashes {
		if len(h) != 64 {
			bad("admin-token-hash", "%q: use a SHA-256 in hex, 64 digits", h)
		}
	}
	if (s.CertFile == "") != (s.KeyFile == "") || s.CAFile != "" && s.CertFile == "" {
		bad("tls-cert", "--tls-cert and --tls-key go together, and --tls-ca needs both")
	}
	s.checkExposure(bad)
	return errors.Join(list...)
}

// checkExposure refuses listeners beyond loopback without TLS and tokens, unless
// that is said to be wanted.
func (s *Settings) checkExposure(bad func(flag, format string, a ...any)) {
	if s.Insecure {
		return
	}
	for _, v := range []struct{ flag, value string }{{"listen", s.CallerListen}, {"peer-listen", s.PeerListen}, {"admin-listen", s.AdminListen}} {
		a, err := netip.ParseAddrPort(v.value)
		if err != nil || a.Addr().IsLoopback() {
			continue
		}
		if s.CertFile == "" || s.CAFile == "" || len(s.AdminTokenHashes) == 0 {
			bad(v.flag, "%s is not loopback: set --tls-cert, --tls-key, --tls-ca and --admin-token-hash, or say --insecure", v.value)
		}
	}
}

func checkAddress(a string) error {
	if _, err := netip.ParseAddrPort(a); err != nil {
		return fmt.Errorf("%q: use an IP number with a port, such as 127.0.0.1:8080", a)
	}
	return nil
}

// Certificates reads a certificate again when its file changes, so that keys are
// replaced without a restart.
type Certificates struct {
	cert, key string
	clock     *timer.Service
	mu        sync.Mutex
	current   *tls.Certificate
	checked   time.Time
	modified  time.Time
}

// NewCertificates reads the files once, to fail early.
func NewCertificates(cert, key string, clock *timer.Service) (*Certificates, error) {
	c := &Certificates{cert: cert, key: key, clock: clock}
	_, err := c.get()
	return c, err
}

const certificateCheck = 10 * time.Second

func (c *Certificates) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.current != nil && now.Sub(c.checked) < certificateCheck {
		return c.current, nil
	}
	c.checked = now
	i, err := os.Stat(c.cert)
	if err == nil && c.current != nil && i.ModTime().Equal(c.modified) {
		return c.current, nil
	}
	v, err2 := tls.LoadX509KeyPair(c.cert, c.key)
	if err = errors.Join(err, err2); err != nil {
		if c.current != nil {
			return c.current, nil // half-written files: keep what works, look again later
		}
		return nil, err
	}
	c.current, c.modified = &v, i.ModTime()
	return c.current, nil
}

// Server returns the configuration of a listener; mutual asks the other side for a
// certificate of the authority.
func (c *Certificates) ServerConfig(ca *x509.CertPool, mutual bool) *tls.Config {
	t := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get() },
	}
	if mutual {
		t.ClientAuth, t.ClientCAs = tls.RequireAndVerifyClientCert, ca
	}
	return t
}

// Client returns the configuration for calls to peers.
func (c *Certificates) ClientConfig(ca *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: ca,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.get() },
	}
}

// ReadCA reads the authority's certificates.
func ReadCA(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("%s holds no certificate", file)
	}
	return p, nil
}

// Listen opens a listener, with TLS if a configuration is given.
func Listen(address string, t *tls.Config) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil || t == nil {
		return l, err
	}
	return tls.NewListener(l, t), nil
}
