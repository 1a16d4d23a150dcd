package node

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/standin"
)

func measureEach(n int, f func(i int)) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		start := time.Now()
		f(i)
		list[i] = time.Since(start)
	}
	return list
}

func reportTimes(b *testing.B, list []time.Duration) {
	b.Helper()
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	at := func(q float64) float64 {
		return float64(list[min(len(list)-1, int(q*float64(len(list))))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "median_ms")
	b.ReportMetric(at(0.99), "p99_ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPlainCall compares a direct call to the stand-in, whose work takes 1 ms,
// with the same call through a node, and with keyed calls: claimed, and promised in an
// outage. One caller at a time.
func BenchmarkPlainCall(b *testing.B) {
	r := newRigWith(b, func(*Options) {}, "hall-a", "hall-a", "hall-b")
	f, _ := r.nodes[0].table.Get("o1")
	const calls = 500
	b.Run("direct", func(b *testing.B) {
		reportTimes(b, measureEach(calls, func(int) {
			a, err := rigClient.Get("http://" + f.Address + "/x")
			if err == nil {
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
			}
		}))
	})
	b.Run("through-a-node", func(b *testing.B) {
		reportTimes(b, measureEach(calls, func(int) { r.nodes[0].call(http.MethodGet, "/s/orders/x", "") }))
	})
	b.Run("claimed", func(b *testing.B) {
		reportTimes(b, measureEach(calls, func(i int) { r.nodes[0].keyed("/refuse", fmt.Sprintf("c%d", i)) }))
	})
	r.outage()
	b.Run("promised-in-an-outage", func(b *testing.B) {
		done := 0
		reportTimes(b, measureEach(calls, func(i int) {
			if r.nodes[i%3].keyed("/promise", fmt.Sprintf("p%d", i)).outcome == "done" {
				done++
			}
		}))
		b.ReportMetric(100*float64(done)/calls, "run_%")
	})
}

// BenchmarkStream compares the tokens of a stream direct from the engine with those
// through a node. Allocations and processor time are of the whole process, engine and
// caller included.
func BenchmarkStream(b *testing.B) {
	r := newRigWith(b, func(*Options) {}, "hall-a")
	e := r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{Decode: time.Microsecond, Slots: 64})
	r.waitEngines(1)
	const tokens, streams = 2000, 5
	k := newChat("chat", "hello", tokens, true)
	one := func(b *testing.B, address string) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		used := cpuTime()
		for i := 0; i < streams; i++ {
			q, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(k.body))
			q.Header.Set("Authorization", "Bearer "+rigKey)
			a, err := rigClient.Do(q)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
		}
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64((cpuTime()-used).Microseconds())/streams/tokens, "cpu_us/token")
		b.ReportMetric(float64(after.Mallocs-before.Mallocs)/streams/tokens, "allocs/token")
		b.ReportMetric(0, "ns/op")
	}
	b.Run("direct", func(b *testing.B) { one(b, e.address) })
	b.Run("through-a-node", func(b *testing.B) { one(b, r.nodes[0].callers) })
}

func sixNodes(b *testing.B) *rig {
	return newRigWith(b, func(o *Options) { o.ExchangeInterval = time.Second }, "hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c")
}

// BenchmarkLeaving: from the notice until every node knows, with the VM list 30 s
// behind and one node cut off from the platform and from a peer.
func BenchmarkLeaving(b *testing.B) {
	r := sixNodes(b)
	const engines = 20
	for i := 0; i < engines; i++ {
		r.addEngine(fmt.Sprintf("e%d", i), "hall-a", "z", standin.EngineOptions{})
	}
	r.waitEngines(engines)
	r.platform.SetLag(30 * time.Second)
	r.nodes[3].platformCut.Store(true)
	r.nodes[3].blockedPeers.Store(r.nodes[0].o.PeerAddress, true)
	reportTimes(b, measureEach(engines-1, func(i int) {
		id := fmt.Sprintf("e%d", i)
		r.platform.Notice(id, 20*time.Second)
		r.eventually("every node knows", func() bool {
			for _, n := range r.nodes {
				if f, _ := n.table.Get(id); f.Status != member.StatusLeaving {
					return false
				}
			}
			return true
		})
	}))
}

// BenchmarkConfigInForce: from the accept until the revision is in force at each of
// six nodes in three halls.
func BenchmarkConfigInForce(b *testing.B) {
	r := sixNodes(b)
	reportTimes(b, measureEach(20, func(i int) {
		n := r.nodes[i%6]
		s, err := r.edit(n, n.View().Revision(), fmt.Sprint(i))
		if err != nil {
			b.Fatal(err)
		}
		r.waitInForce(s.Revision)
	}))
}

// BenchmarkPlannedStop: a node stops with 200 streams in flight, of 100 tokens at
// 20 ms each.
func BenchmarkPlannedStop(b *testing.B) {
	r := newRigWith(b, func(*Options) {}, "hall-a", "hall-b")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{Slots: 400, Decode: 20 * time.Millisecond})
	r.waitEngines(1)
	before := heapInUse()
	const streams = 200
	whole := make([]bool, streams)
	var wait sync.WaitGroup
	for i := 0; i < streams; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			k := newChat("chat", fmt.Sprintf("prompt %d", i), 100, true)
			whole[i] = content(r.chat(r.nodes[0], k).body) == k.want
		}()
	}
	r.eventually("the streams run", func() bool { return r.nodes[0].openRequests() == streams })
	memory := heapInUse() - before
	start := time.Now()
	r.nodes[0].Drain(b.Context())
	took := time.Since(start)
	wait.Wait()
	n := 0
	for _, w := range whole {
		if w {
			n++
		}
	}
	b.ReportMetric(float64(n), "whole")
	b.ReportMetric(took.Seconds(), "drain_s")
	b.ReportMetric(float64(memory)/streams/1000, "KB/stream")
	b.ReportMetric(0, "ns/op")
}
