package reply

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// get reads what a server sends in place of a response.
func get(t *testing.T, answer string) (status int, body string, err error) {
	t.Helper()
	address := earlyServer(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	})
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	require.NoError(t, err)
	a, err := NewTransport(&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// TestResponsesThatAreNone guards against what net/http takes for a response, for all who read one through this package.
func TestResponsesThatAreNone(t *testing.T) {
	const length = "Content-Length: 2\r\n\r\nok"
	for name, answer := range map[string]string{
		"status 000":                   "HTTP/1.1 000 OK\r\n" + length,
		"status +20":                   "HTTP/1.1 +20 OK\r\n" + length,
		"status 600":                   "HTTP/1.1 600 OK\r\n" + length,
		"status 101":                   "HTTP/1.1 101 OK\r\n\r\n",
		"another protocol":             "HTTP/2.0 200 OK\r\n" + length,
		"a blank in a name":            "HTTP/1.1 200 OK\r\nX A: b\r\n" + length,
		"a blank in the length's":      "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok",
		"a blank behind the coding's":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"a blank in an interim one":    "HTTP/1.1 103 Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
		"a blank in a trailer":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
		"a control byte in a trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: \x01b\r\n\r\n",
		"a control byte in a value":    "HTTP/1.1 200 OK\r\nX: a\x00b\r\n" + length,
		"a delete character in a name": "HTTP/1.1 200 OK\r\nX\x7f: b\r\n" + length,
	} {
		t.Run(name, func(t *testing.T) {
			status, body, err := get(t, answer)
			assert.Error(t, err, "%d %q", status, body)
		})
	}
	t.Run("interim ones without end", func(t *testing.T) {
		_, _, err := get(t, strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", maxInterim+1)+"HTTP/1.1 200 OK\r\n"+length)
		assert.ErrorIs(t, err, ErrMalformed)
	})
	t.Run("as many interim ones as may come", func(t *testing.T) {
		status, _, err := get(t, strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", maxInterim)+"HTTP/1.1 200 OK\r\n"+length)
		assert.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
	})
	t.Run("a sound one", func(t *testing.T) {
		status, body, err := get(t, "HTTP/1.1 200 OK\r\nX-A: b \xe9\tc\r\n"+length)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, "ok", body)
	})
}

// FuzzCheck reads arbitrary bytes as a response. What passes has a status that ends an exchange, and fields with names.
func FuzzCheck(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 +20 OK\r\nX : b\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
		if err != nil || Check(a) != nil {
			return
		}
		assert.True(t, a.StatusCode >= 200 && a.StatusCode < 600, "%d", a.StatusCode)
		for name, values := range a.Header {
			assert.NotContains(t, name, " ")
			for _, v := range values {
				assert.NotContains(t, v, "\x00")
			}
		}
	})
}
