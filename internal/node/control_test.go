package node

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/store"
)

// counted counts the bytes of the calls to peers, both ways.
type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

func countingTransport(n *atomic.Int64) http.RoundTripper {
	var d net.Dialer
	return &http.Transport{MaxIdleConnsPerHost: 8, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{c, n}, nil
	}}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkControl measures what a node spends without any request: many nodes in one
// process, with upstreams whose load changes at every report. Processor time and
// memory include the stand-ins', so they are upper bounds.
func BenchmarkControl(b *testing.B) {
	for _, c := range []controlLoad{
		{nodes: 9, upstreams: 15, halls: 9},
		{nodes: 27, upstreams: 15, halls: 9},
		{nodes: 108, upstreams: 15, halls: 9},
		{nodes: 27, upstreams: 600, halls: 9},
		{nodes: 108, upstreams: 600, halls: 9},
		{nodes: 30, upstreams: 50, halls: 3},
		{nodes: 120, upstreams: 200, halls: 3},
		{nodes: 27, upstreams: 60, halls: 9, changes: 2},
		{nodes: 27, upstreams: 60, halls: 9, leaving: 2},
	} {
		b.Run(fmt.Sprintf("nodes=%d/upstreams=%d/halls=%d/changes=%d/leaving=%d", c.nodes, c.upstreams, c.halls, c.changes, c.leaving), func(b *testing.B) {
			for i := 0; i < b.N; i++ {
				runControl(b, c)
			}
		})
	}
}

// load is what a control run has; changes and leaving are events a second.
type controlLoad struct{ nodes, upstreams, halls, changes, leaving int }

const controlDuration = 10 * time.Second

func runControl(b *testing.B, c controlLoad) {
	nodes, upstreams, changes, leaving := c.nodes, c.upstreams, c.changes, c.leaving
	var bytes atomic.Int64
	before := heapInUse()
	r := emptyRig(b)
	r.exchange, r.peers = time.Second, countingTransport(&bytes)
	reports := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"running":%d,"queued":0,"slots":8}`, rand.Intn(8))
	}))
	defer reports.Close()
	for i := 0; i < upstreams; i++ {
		r.platform.Register(store.VM{
			ID: fmt.Sprintf("e%d", i), Role: store.RoleUpstream, Service: "llm", Address: reports.Listener.Addr().String(),
			Hall: fmt.Sprintf("hall-%d", i%c.halls), Zone: "z", Slots: 8, Incarnation: 1,
		})
	}
	for i := 0; i < nodes; i++ {
		r.addNode(fmt.Sprintf("n%d", i), fmt.Sprintf("hall-%d", i%c.halls))
	}
	r.eventually("the nodes know each other", func() bool {
		for _, n := range r.nodes {
			if len(n.liveNodes()) < nodes || n.upstreams("llm") < upstreams {
				return false
			}
		}
		return true
	})
	r.configure()
	time.Sleep(3 * time.Second)
	reads := r.platformCalls("reads")
	start, used, sent := time.Now(), cpuTime(), bytes.Load()
	for k := 0; time.Since(start) < controlDuration; k++ {
		if changes > 0 {
			s := r.nodes[0].View().Snapshot()
			docs, _ := config.Parse("rig", []byte(fmt.Sprintf(rigTemplate, config.HashKey(rigKey))))
			if v, err := r.nodes[0].Store().Apply(context.Background(), config.Change{ID: fmt.Sprint(k), Base: s.Revision, Documents: docs}); err == nil {
				r.nodes[0].Accept(v, "bench")
			}
			time.Sleep(time.Second / time.Duration(changes))
		}
		if leaving > 0 && k < upstreams {
			r.platform.Notice(fmt.Sprintf("e%d", k), time.Second)
			time.Sleep(time.Second / time.Duration(leaving))
		}
		if changes+leaving == 0 {
			time.Sleep(controlDuration)
		}
	}
	d := time.Since(start).Seconds()
	n := float64(nodes)
	b.ReportMetric(100*(cpuTime()-used).Seconds()/d/n, "%core/node")
	b.ReportMetric(float64(bytes.Load()-sent)/d/n/1000, "peerKB/s/node")
	b.ReportMetric(float64(heapInUse()-before)/n/1e6, "MB/node")
	b.ReportMetric(float64(r.platformCalls("reads")-reads)/d, "platformreads/s")
	b.ReportMetric(0, "ns/op")
	for _, v := range r.nodes {
		v.kill()
	}
}

func (r *rig) platformCalls(kind string) int64 { return r.platform.Counts()[kind] }
