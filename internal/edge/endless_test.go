package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// allocated returns how many bytes a function allocates.
func allocated(f func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// mostPeerBytes is what one call of another process may make a node allocate.
const mostPeerBytes = 128 << 20

// TestPeerWhoseAddressWasTakenAnswersWithoutEnd guards against a response to a call of another node that is held however long
// it is: another process may have the address.
func TestPeerWhoseAddressWasTakenAnswersWithoutEnd(t *testing.T) {
	n, _ := newScaleNode(t, 2, 10)
	for name, answer := range map[string]func(w http.ResponseWriter){
		"a body": func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = io.Copy(w, zeros{}) // until the caller closes
		},
		"a failure": func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.Copy(w, zeros{})
		},
		"a head": func(w http.ResponseWriter) {
			c, _, err := http.NewResponseController(w).Hijack()
			assert.NoError(t, err)
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for lines := strings.Repeat("A: a\r\n", 1024); err == nil; {
				_, err = io.WriteString(c, lines)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
			defer s.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			client := n.peers.NewClient(strings.TrimPrefix(s.URL, "http://"))
			took := allocated(func() {
				_, err := client.Report(ctx, connect.NewRequest(&wire.ReportRequest{}))
				assert.Error(t, err)
			})
			assert.LessOrEqual(t, took, int64(mostPeerBytes))
		})
	}
}

// TestCallOfAPeerWithoutEndIsRead guards against a call of another process whose message is held however long it is.
func TestCallOfAPeerWithoutEndIsRead(t *testing.T) {
	n, _ := newScaleNode(t, 2, 10)
	long := io.LimitReader(zeros{}, 256<<20)
	q := httptest.NewRequest(http.MethodPost, wireconnect.EdgeReportProcedure, long)
	q.Header.Set("Content-Type", "application/proto")
	w := httptest.NewRecorder()
	took := allocated(func() { n.peerHandler().ServeHTTP(w, q) })
	assert.NotEqual(t, http.StatusOK, w.Code)
	assert.LessOrEqual(t, took, int64(mostPeerBytes))
	assert.Less(t, w.Body.Len(), 1<<10)
}
