package main

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/platform/platformtest"
)

// writeCertificate writes a certificate for loopback and its key to files.
func writeCertificate(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	s := httptest.NewTLSServer(nil)
	t.Cleanup(s.Close)
	c := s.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	require.NoError(t, err)
	d := t.TempDir()
	certFile, keyFile = filepath.Join(d, "cert.pem"), filepath.Join(d, "key.pem")
	require.NoError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Certificate[0]}), 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}), 0o600))
	return certFile, keyFile
}

// halfHandshake is a first message of TLS that says it has 64 kB, most of which follow.
func halfHandshake() string {
	const record, records = 16 << 10, 3 // bytes of the largest record
	one := make([]byte, 5+record)
	copy(one, []byte{0x16, 3, 1, record >> 8, record & 0xff}) // a record of a handshake
	first := append([]byte(nil), one...)
	copy(first[5:], []byte{1, 0, 0xff, 0xff}) // a ClientHello
	all := first
	for range records - 1 {
		all = append(all, one...)
	}
	return string(all)
}

// TestHandshakesThatStopKeepOthersOut guards against connections that begin with TLS and get no further.
func TestHandshakesThatStopKeepOthersOut(t *testing.T) {
	t.Setenv("SPURHALL_MEMORY_MB", strconv.Itoa(crowdMemory))
	certFile, keyFile := writeCertificate(t)
	c := newCluster(t, "1ms", "hall-a")
	c.files = crowdFiles
	n := &process{address: platformtest.OwnAddress(), admin: platformtest.OwnAddress(), peers: platformtest.OwnAddress()}
	n.cmd = c.start("spurhalld", "--vm", "tls", "--hall", "hall-a", "--platform", "http://"+c.platform, "--listen", n.address, "--peer-listen", n.peers,
		"--admin-listen", n.admin, "--tls-cert", certFile, "--tls-key", keyFile, "--log-level", "error")
	h := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}} //nolint:gosec // its own certificate
	ready := func() bool {
		a, err := h.Get("https://" + n.address + "/readyz")
		if err != nil {
			return false
		}
		_ = a.Body.Close()
		return a.StatusCode == http.StatusOK
	}
	c.eventually("the node answers", ready)
	c.gather(n.address, crowdFiles+76, halfHandshake())
	c.eventually("an ordinary call is answered", ready)
	peak, files := n.statusOf(t, "VmHWM"), n.descriptors(t)
	t.Logf("peak %d MB, %d descriptors", peak>>20, files)
	assert.Less(t, peak, int64(crowdMemory)<<20, "the peak of resident memory")
	assert.Less(t, files, crowdFiles, "open descriptors")
}
