package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// listenSurplus listens for an upstream that sends more after each complete response.
func listenSurplus(t *testing.T, surplus string) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				b := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(q.Body)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(body), body, surplus)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// echoTo makes requests whose responses are their bodies, and counts those that got another one.
func echoTo(t *testing.T, c *Client, address, caller string, wrong *atomic.Int64) {
	for i := range 200 {
		body := fmt.Sprint(caller, "-", i)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", strings.NewReader(body))
		if !assert.NoError(t, err) {
			return
		}
		a, err := c.Do(r, false)
		if err != nil {
			assert.ErrorIs(t, err, ErrNotSent, "no upstream may have run it")
			continue
		}
		b, _ := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if string(b) != body {
			wrong.Add(1)
		}
	}
}

// TestSurplusResponseIsTakenForTheNextRequests guards against bytes behind a complete response that are taken for the response to
// the next request on the connection.
func TestSurplusResponseIsTakenForTheNextRequests(t *testing.T) {
	for name, surplus := range map[string]string{
		"a whole response": "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus",
		"one of no length": "HTTP/1.1 204 No Content\r\n\r\n",
		"an interim one":   "HTTP/1.1 100 Continue\r\n\r\n",
		"the start of one": "HTTP/1.1 200 OK\r\nX-Surplus: 1\r\nContent-Le",
		"no response":      "surplus\r\n",
		"an empty line":    "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := listenSurplus(t, surplus)
			c := newTestClient()
			var g sync.WaitGroup
			var wrong atomic.Int64
			for i := range 16 {
				g.Go(func() { echoTo(t, c, address, fmt.Sprint(i), &wrong) })
			}
			g.Wait()
			assert.Zero(t, wrong.Load())
		})
	}
}
