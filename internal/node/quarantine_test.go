package node

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// crashingUpstreams is a set of engines, or plain services, each of which crashes when it starts to run a
// request whose body contains "deadly".
type crashingUpstreams struct {
	mu        sync.Mutex
	crashes   int
	received  int
	rejecting bool // all upstreams reject requests
}

// rejectAll makes all upstreams reject requests, and resets the count of received requests.
func (f *crashingUpstreams) rejectAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejecting, f.received = true, 0
}

// recordArrival counts a request and reports whether it is rejected.
func (f *crashingUpstreams) recordArrival() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received++
	return f.rejecting
}

func (f *crashingUpstreams) receivedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

func (f *crashingUpstreams) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

func (f *crashingUpstreams) add(r *rig, id, service string, h http.Handler) {
	s := httptest.NewUnstartedServer(nil)
	crash := sync.OnceFunc(func() {
		f.mu.Lock()
		f.crashes++
		f.mu.Unlock()
		_ = s.Listener.Close()
		go s.CloseClientConnections() // in a goroutine, since it waits for the handlers and one of them calls this
	})
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)           // the rig has sent it completely
		if len(b) > 0 && f.recordArrival() { // not a health or load query
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		q.Body = io.NopCloser(strings.NewReader(string(b)))
		if strings.Contains(string(b), "deadly") {
			crash()
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, q)
	})
	s.Start()
	r.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	r.platform.Register(store.VM{
		ID: id, Address: s.Listener.Addr().String(), Incarnation: 1, Role: store.RoleUpstream, Service: service, Hall: "hall-a", Zone: "z0", Slots: 32,
	})
}

func (r *rig) addCrashingEngines(count int) *crashingUpstreams {
	f := &crashingUpstreams{}
	for i := range count {
		id := fmt.Sprint("e", i)
		f.add(r, id, "llm", standin.NewEngine(timer.Real(), standin.EngineOptions{ID: id, Slots: 32, CacheTokens: 100000}).Handler())
	}
	r.waitEngines(count)
	return f
}

// repeatInterval is the interval at which a caller repeats a request: some of the rig's exchange rounds.
const repeatInterval = 300 * time.Millisecond

// maxCrashes is how many upstreams one request may crash: those that quarantine it, and those that it reached
// before all nodes knew.
const maxCrashes = quarantine.CrashThreshold + 2

// TestChatThatCrashesEnginesIsQuarantined: a caller repeats a chat that crashes each engine that runs it, at
// one node after the other. The nodes report the crashes to each other, and after three crashes no node sends
// the chat.
func TestChatThatCrashesEnginesIsQuarantined(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-a")
	f := r.addCrashingEngines(12)
	deadly := newChat("chat", "deadly", 4, true)
	rejected := func(n *rigNode) bool {
		a := r.chat(n, deadly)
		return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "end the upstreams")
	}
	for i := 0; i < 12 && !rejected(r.nodes[i%len(r.nodes)]); i++ {
		time.Sleep(repeatInterval)
	}
	for _, n := range r.nodes {
		r.eventually("the request is quarantined", func() bool { return n.hasEvent("request_held") })
		for range 10 { // a crashed engine is tried first, until it is ejected
			assert.True(t, rejected(n))
		}
	}
	assert.LessOrEqual(t, f.crashCount(), maxCrashes)
	for i, n := range r.nodes {
		c := newChat("chat", fmt.Sprint("harmless ", i), 4, true)
		assertComplete(t, c, r.chat(n, c))
	}
}

// TestSimilarChatsThatCrashEngines: each chat in a series differs from the one before in a counter, and
// crashes the engine that runs it.
func TestSimilarChatsThatCrashEngines(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-a")
	const chats = 14
	f := r.addCrashingEngines(2 * chats)
	sent := 0
	r.eventually("the shape of the chats is quarantined", func() bool {
		r.chat(r.nodes[sent%len(r.nodes)], newChat("chat", fmt.Sprintf("deadly %03d", sent), 4, true))
		sent++
		time.Sleep(2 * repeatInterval)
		return r.nodes[0].hasEvent("shape_held") && r.nodes[1].hasEvent("shape_held") && r.nodes[2].hasEvent("shape_held")
	})
	assert.LessOrEqual(t, f.crashCount(), chats)
	a := r.chat(r.nodes[0], newChat("chat", "deadly 999", 4, true))
	assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	assert.Equal(t, "not-run", a.outcome)
	for i, n := range r.nodes {
		c := newChat("chat", fmt.Sprint("harmless, ", i), 4, true)
		assertComplete(t, c, r.chat(n, c))
	}
}

// TestSecondAttemptAfterCrash: a request has crashed an upstream. When the same request is sent again and its
// first upstream rejects it, it gets no second attempt. A harmless request does.
func TestSecondAttemptAfterCrash(t *testing.T) {
	const added = 6 // upstreams added after the first one has crashed
	check := func(r *rig, add func(f *crashingUpstreams, from, count int), send func(body string) response) {
		f := &crashingUpstreams{}
		add(f, 0, 1)
		n := r.nodes[0]
		send("deadly")
		r.eventually("the crash is known", func() bool { return n.hasEvent("upstream_ended") })
		add(f, 1, added)
		countReceived := func(body string) (least, most int) { // counts for one request
			least = 100
			for range 10 {
				f.rejectAll()
				send(body)
				least, most = min(least, f.receivedCount()), max(most, f.receivedCount())
			}
			return least, most
		}
		least, most := countReceived("deadly")
		assert.Equal(r.t, 1, most)
		assert.Equal(r.t, 1, least, "if the crashed upstream is tried first, the request still reaches another")
		_, most = countReceived("harmless")
		assert.Greater(r.t, most, 1)
		assert.Equal(r.t, 1, f.crashCount())
	}
	t.Run("a chat", func(t *testing.T) {
		r := newRig(t, "hall-a")
		check(r, func(f *crashingUpstreams, from, count int) {
			for i := range count {
				id := fmt.Sprint("e", from+i)
				f.add(r, id, "llm", standin.NewEngine(timer.Real(), standin.EngineOptions{ID: id, Slots: 32, CacheTokens: 100000}).Handler())
			}
			r.waitEngines(from + count)
		}, func(body string) response { return r.chat(r.nodes[0], newChat("chat", body, 4, true)) })
	})
	t.Run("a call", func(t *testing.T) {
		r := newRig(t, "hall-a")
		n := r.nodes[0]
		r.plain.Fault(standin.Fault{Mode: standin.FaultRefuse, Path: "/"}) // the rig's own service
		check(r, func(f *crashingUpstreams, from, count int) {
			for i := range count {
				f.add(r, fmt.Sprint("p", from+i), "orders", standin.NewPlain("orders", timer.Real(), 0).Handler())
			}
			r.eventually("the services are known", func() bool { return n.upstreams("orders") == from+count+1 })
		}, func(body string) response { return n.call(http.MethodPost, "/s/orders/again", body) })
	})
}

// TestJobThatCrashesEnginesIsQuarantined: an accepted job is attempted until its deadline. Without
// quarantine, a job that crashes each engine goes through all of them.
func TestJobThatCrashesEnginesIsQuarantined(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a")
	f := r.addCrashingEngines(10)
	n := r.nodes[0]
	a := n.call(http.MethodPost, "/v1/chat/completions", newChat("batch", "deadly", 4, false).body, "Prefer", "respond-async")
	assert.Equal(t, http.StatusAccepted, a.status, a.body)
	r.eventually("the request is quarantined", func() bool { return n.hasEvent("request_held") })
	c := newChat("chat", "harmless", 4, true)
	assertComplete(t, c, r.chat(n, c))
	assert.LessOrEqual(t, f.crashCount(), maxCrashes)
}

// TestCallThatCrashesServicesIsQuarantined is the same for a plain call that may be repeated.
func TestCallThatCrashesServicesIsQuarantined(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a")
	f := &crashingUpstreams{}
	for i := range 10 {
		f.add(r, fmt.Sprint("p", i), "orders", standin.NewPlain("orders", timer.Real(), 0).Handler())
	}
	for _, n := range r.nodes {
		r.eventually("the services are known", func() bool { return n.upstreams("orders") == 11 })
	}
	r.eventually("the request is quarantined", func() bool {
		for _, n := range r.nodes {
			n.call(http.MethodPost, "/s/orders/again", "deadly")
			time.Sleep(repeatInterval)
		}
		return r.nodes[0].hasEvent("request_held") && r.nodes[1].hasEvent("request_held")
	})
	assert.LessOrEqual(t, f.crashCount(), maxCrashes)
}
