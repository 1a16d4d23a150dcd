package tunnel

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// endless listens and answers with a head and then a piece without end, and counts the bytes.
func endless(t *testing.T, head, piece string) (address string, sent *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent = &atomic.Int64{}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, err = io.WriteString(c, head)
		for b := strings.Repeat(piece, 1024); err == nil; {
			var n int
			n, err = io.WriteString(c, b)
			sent.Add(int64(n))
		}
	}()
	return l.Addr().String(), sent
}

// TestHeadWithoutEndIsReadForATunnel guards against an answer to CONNECT whose head is held however long it is.
func TestHeadWithoutEndIsReadForATunnel(t *testing.T) {
	const most = 16 << 20 // bytes, most of them in the buffers of sockets
	for _, v := range []struct{ name, head, piece string }{
		{"no head", "", "\x00garbage"},
		{"a line", "HTTP/1.1 200 OK\r\nA: ", "aaaaaaaa"},
		{"lines", "HTTP/1.1 200 OK\r\n", "A: a\r\n"},
		{"another status", "HTTP/1.1 500 No\r\n\r\n", "garbage "},
	} {
		t.Run(v.name, func(t *testing.T) {
			address, sent := endless(t, v.head, v.piece)
			c, err := net.Dial("tcp", address)
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			began := time.Now()
			_, err = Open(ctx, c, "127.0.0.1:1")
			assert.ErrorIs(t, err, ErrUnavailable)
			assert.Less(t, time.Since(began), 4*time.Second)
			assert.Less(t, sent.Load(), int64(most))
		})
	}
}
