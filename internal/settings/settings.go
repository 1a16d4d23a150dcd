// Package settings validates a daemon's flags and environment variables. It reports all
// mistakes at once, so that an operator can fix a unit file in one pass. It also opens the
// daemon's listeners and reloads its TLS certificate.
package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/timer"
)

// Settings holds the values of a daemon's flags and environment variables.
type Settings struct {
	VM               string
	Hall             string
	Zone             string
	CallerListen     string
	PeerListen       string
	AdminListen      string
	Seeds            []string
	PlatformURL      string
	PlatformRate     float64
	RoutePolicy      string
	CrossHallLatency time.Duration
	ExchangeInterval time.Duration
	DrainTimeout     time.Duration
	LogLevel         string
	AdminTokenHashes []string // SHA-256 in hex
	CertFile         string
	KeyFile          string
	CAFile           string
	Insecure         bool
	Autoscale        bool
	MemoryMB         int // of the VM; 0: what the machine has
}

// unknownMemory is assumed of a machine that doesn't tell its memory, in bytes.
const unknownMemory = 256 << 20

// Memory returns the memory of the VM in bytes.
func (s *Settings) Memory() int64 {
	if s.MemoryMB > 0 {
		return int64(s.MemoryMB) << 20
	}
	var v syscall.Sysinfo_t
	if syscall.Sysinfo(&v) != nil {
		return unknownMemory
	}
	return int64(v.Totalram) * int64(v.Unit)
}

// Check returns all mistakes in the settings joined in one error, one per line.
func (s *Settings) Check() error {
	var list []error
	addError := func(flag, format string, a ...any) {
		list = append(list, fmt.Errorf("--%s: %s", flag, fmt.Sprintf(format, a...)))
	}
	for _, v := range []struct{ flag, value string }{{"vm", s.VM}, {"hall", s.Hall}} {
		if v.value == "" || strings.ContainsAny(v.value, " ./:") {
			addError(v.flag, "%q: use a name without spaces, dots, slashes and colons", v.value)
		}
	}
	for _, v := range []struct{ flag, value string }{{"listen", s.CallerListen}, {"peer-listen", s.PeerListen}, {"admin-listen", s.AdminListen}} {
		if err := checkAddress(v.value); err != nil {
			addError(v.flag, "%v", err)
		}
	}
	if s.MemoryMB < 0 {
		addError("memory-mb", "%d: use 0 or more", s.MemoryMB)
	}
	for _, a := range s.Seeds {
		if err := checkAddress(a); err != nil {
			addError("seed", "%v", err)
		}
	}
	if !strings.HasPrefix(s.PlatformURL, "http://") && !strings.HasPrefix(s.PlatformURL, "https://") {
		addError("platform", "%q: use an address such as http://10.0.0.5:2379", s.PlatformURL)
	}
	if s.PlatformRate < 1 {
		addError("platform-rate", "%v: use the number of calls per second that the platform accepts from all nodes, at least 1", s.PlatformRate)
	}
	if !route.Policy(s.RoutePolicy).Valid() {
		addError("route-policy", "%q: use affinity, round-robin, least-in-flight or two-choices", s.RoutePolicy)
	}
	if s.ExchangeInterval < 50*time.Millisecond || s.ExchangeInterval > 10*time.Second {
		addError("exchange", "%v: use 50ms to 10s", s.ExchangeInterval)
	}
	for _, h := range s.AdminTokenHashes {
		if len(h) != 64 {
			addError("admin-token-hash", "%q: use a SHA-256 in hex, 64 digits", h)
		}
	}
	if (s.CertFile == "") != (s.KeyFile == "") || s.CAFile != "" && s.CertFile == "" {
		addError("tls-cert", "--tls-cert and --tls-key require each other, and --tls-ca requires both")
	}
	s.checkExposure(addError)
	return errors.Join(list...)
}

// checkExposure rejects listeners on addresses other than loopback without TLS and admin
// tokens, unless --insecure is set.
func (s *Settings) checkExposure(addError func(flag, format string, a ...any)) {
	if s.Insecure {
		return
	}
	for _, v := range []struct{ flag, value string }{{"listen", s.CallerListen}, {"peer-listen", s.PeerListen}, {"admin-listen", s.AdminListen}} {
		a, err := netip.ParseAddrPort(v.value)
		if err != nil || a.Addr().IsLoopback() {
			continue
		}
		if s.CertFile == "" || s.CAFile == "" || len(s.AdminTokenHashes) == 0 {
			addError(v.flag, "%s is not a loopback address: set --tls-cert, --tls-key, --tls-ca and --admin-token-hash, or --insecure", v.value)
		}
	}
}

func checkAddress(a string) error {
	if _, err := netip.ParseAddrPort(a); err != nil {
		return fmt.Errorf("%q: use an IP address with a port, such as 127.0.0.1:8080", a)
	}
	return nil
}

// Certificates provides a TLS certificate and reloads it when its file changes, so that
// certificates can be replaced without a restart.
type Certificates struct {
	certFile, keyFile string
	clock             *timer.Service
	mu                sync.Mutex
	current           *tls.Certificate
	checkedAt         time.Time
	modifiedAt        time.Time
}

// NewCertificates returns the certificate of two PEM files. It reads them at once, so that a
// mistake is reported at start.
func NewCertificates(cert, key string, clock *timer.Service) (*Certificates, error) {
	c := &Certificates{certFile: cert, keyFile: key, clock: clock}
	_, err := c.load()
	return c, err
}

const certificateCheckInterval = 10 * time.Second

func (c *Certificates) load() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.current != nil && now.Sub(c.checkedAt) < certificateCheckInterval {
		return c.current, nil
	}
	c.checkedAt = now
	i, err := os.Stat(c.certFile)
	if err == nil && c.current != nil && i.ModTime().Equal(c.modifiedAt) {
		return c.current, nil
	}
	v, err2 := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err = errors.Join(err, err2); err != nil {
		if c.current != nil {
			return c.current, nil // the files may be half-written: keep the current one and retry at the next check
		}
		return nil, err
	}
	c.current, c.modifiedAt = &v, i.ModTime()
	return c.current, nil
}

// ServerConfig returns the TLS configuration of a listener. With mutual set, clients must
// present a certificate that ca has signed.
func (c *Certificates) ServerConfig(ca *x509.CertPool, mutual bool) *tls.Config {
	t := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.load() },
	}
	if mutual {
		t.ClientAuth, t.ClientCAs = tls.RequireAndVerifyClientCert, ca
	}
	return t
}

// ClientConfig returns the TLS configuration for calls to peers.
func (c *Certificates) ClientConfig(ca *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: ca,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.load() },
	}
}

// ReadCA reads the certificates of a certificate authority from a PEM file.
func ReadCA(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("%s contains no PEM certificate", file)
	}
	return p, nil
}
