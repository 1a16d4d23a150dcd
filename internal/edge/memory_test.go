package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// silentNode answers reports with nothing.
func emptyReportHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(wireconnect.NewEdgeHandler(wireconnect.UnimplementedEdgeHandler{}))
	return m
}

// heldBytes is what the process holds now, on the heap and in stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkPeerConnections calls 300 other nodes in turn, as pairs do, and reports what each
// of them costs in memory afterwards, both ends of a connection together.
func BenchmarkPeerConnections(b *testing.B) {
	for _, nodes := range []int{70, 300} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			n := &Node{settings: &Settings{Node: "n"}, clock: timer.Real(), log: zap.NewNop()}
			t := newPeerTable(n)
			n.peers = t
			for i := 0; i < nodes; i++ {
				s := httptest.NewServer(emptyReportHandler())
				defer s.Close()
				t.getOrAdd(fmt.Sprint("peer-", i), s.Listener.Addr().String())
			}
			for b.Loop() {
				before := memoryInUse()
				for _, p := range t.peers {
					_, _ = t.pairClient(p).Report(b.Context(), connect.NewRequest(&wire.ReportRequest{}))
				}
				b.ReportMetric((memoryInUse()-before)/float64(nodes), "B/peer")
			}
		})
	}
}
