package edge

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// newChangedWatcher returns a node that watches, and the request of a follower that lacks a number of changes.
func newChangedWatcher(tb testing.TB, changes int) (*Node, *wire.FollowRequest) {
	n, _ := newScaleNode(tb, 2, 10_000)
	n.catalogFollower.MarkConnected()
	n.listFollower.MarkConnected()
	before, _ := n.changes.Subscribe()
	for i := range changes {
		putItem(n, leavingItem(i, int64(20_000+i)))
	}
	return n, &wire.FollowRequest{CatalogVersion: 1, Lifetime: n.options.Incarnation, ListSequence: before, TakesChanges: true}
}

// TestSmallResponsesAreNotCompressed: each call between two nodes took twice the processor time that it needs.
func TestSmallResponsesAreNotCompressed(t *testing.T) {
	for changes, encoding := range map[int]string{1: "", 50: "", 900: "gzip"} {
		n, r := newChangedWatcher(t, changes)
		b, err := proto.Marshal(r)
		require.NoError(t, err)
		q := httptest.NewRequest(http.MethodPost, wireconnect.EdgeFollowProcedure, bytes.NewReader(b))
		q.Header.Set("Content-Type", "application/proto")
		q.Header.Set("Accept-Encoding", "gzip")
		w := httptest.NewRecorder()
		n.peerHandler().ServeHTTP(w, q)
		assert.Equal(t, http.StatusOK, w.Code)
		assert.Equal(t, encoding, w.Header().Get("Content-Encoding"), "%d changes, %d bytes", changes, w.Body.Len())
	}
}

// processorTime returns what this process has used.
func processorTime(tb testing.TB) time.Duration {
	var r syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &r))
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkPeerCall answers a follower that lacks some changes, over loopback; cpu_us is of both ends.
func BenchmarkPeerCall(b *testing.B) {
	for _, changes := range []int{1, 20, 100, 500} {
		b.Run(fmt.Sprintf("%d changes", changes), func(b *testing.B) {
			n, r := newChangedWatcher(b, changes)
			s := httptest.NewServer(n.peerHandler())
			defer s.Close()
			c := wireconnect.NewEdgeClient(s.Client(), s.URL)
			before, calls := processorTime(b), 0
			for b.Loop() {
				_, err := c.Follow(b.Context(), connect.NewRequest(r))
				require.NoError(b, err)
				calls++
			}
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(calls), "cpu_us")
		})
	}
}
