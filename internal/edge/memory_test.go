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

// emptyReportHandler responds to reports with an error and no content.
func emptyReportHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(wireconnect.NewEdgeHandler(wireconnect.UnimplementedEdgeHandler{}))
	return m
}

// memoryInUse returns the memory of the process in heap and stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkPeerConnections calls up to 300 peers in turn, as pairs do, and reports the memory that each of
// them takes afterwards, both ends of a connection together.
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
