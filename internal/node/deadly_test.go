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

// fragile is engines, or plain services, of which each ends as a process does when it begins to
// run a request that bears the word deadly.
type crashingUpstreams struct {
	mu      sync.Mutex
	crashes   int
	received int
	rejecting    bool // all turn requests away
}

// fill lets all turn requests away, and forgets how many have arrived.
func (f *crashingUpstreams) rejectAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejecting, f.received = true, 0
}

// arrives counts a request, and tells whether it is turned away.
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
	end := sync.OnceFunc(func() {
		f.mu.Lock()
		f.crashes++
		f.mu.Unlock()
		_ = s.Listener.Close()
		go s.CloseClientConnections() // waits for the handlers, of which one calls this
	})
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)     // the rig has sent it whole
		if len(b) > 0 && f.recordArrival() { // not a question about its health
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		q.Body = io.NopCloser(strings.NewReader(string(b)))
		if strings.Contains(string(b), "deadly") {
			end()
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

// again is after how long a caller repeats a request: some of the rig's rounds.
const repeatInterval = 300 * time.Millisecond

// endedMost is how many upstreams one request may end: those that prove it, and those that it
// had reached before all nodes knew.
const maxCrashes = quarantine.CrashThreshold + 2

// TestChatThatEndsEnginesIsHeldBack: a caller repeats a chat under which each engine ends, at
// one node after the other. The nodes tell each other, and after three ends none sends it.
func TestChatThatCrashesEnginesIsQuarantined(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-a")
	f := r.addCrashingEngines(12)
	deadly := newChat("chat", "deadly", 4, true)
	refused := func(n *rigNode) bool {
		a := r.chat(n, deadly)
		return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "end the upstreams")
	}
	for i := 0; i < 12 && !refused(r.nodes[i%len(r.nodes)]); i++ {
		time.Sleep(repeatInterval)
	}
	for _, n := range r.nodes {
		r.eventually("it is held back", func() bool { return n.hasEvent("request_held") })
		for range 10 { // an engine that has ended is tried first, until it is ejected
			assert.True(t, refused(n))
		}
	}
	assert.LessOrEqual(t, f.crashCount(), maxCrashes)
	for i, n := range r.nodes {
		c := newChat("chat", fmt.Sprint("harmless ", i), 4, true)
		assertComplete(t, c, r.chat(n, c))
	}
}

// TestAlikeChatsThatEndEngines: each chat in a series differs from the one before in a counter, and ends the
// engine that runs it.
func TestSimilarChatsThatCrashEngines(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-a")
	const chats = 14
	f := r.addCrashingEngines(2 * chats)
	sent := 0
	r.eventually("such chats are held back", func() bool {
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

// TestSecondTryAfterAnothersEnd: a copy of a request has ended an upstream. Another copy is turned away by its
// first one: it isn't sent once more. A harmless one is.
func TestSecondAttemptAfterCrash(t *testing.T) {
	const rest = 6 // upstreams that come once the first one has ended
	ends := func(r *rig, add func(f *crashingUpstreams, from, count int), send func(body string) response) {
		f := &crashingUpstreams{}
		add(f, 0, 1)
		n := r.nodes[0]
		send("deadly")
		r.eventually("its end is known", func() bool { return n.hasEvent("upstream_ended") })
		add(f, 1, rest)
		arrivals := func(body string) (least, most int) { // of one request
			least = 100
			for range 10 {
				f.rejectAll()
				send(body)
				least, most = min(least, f.receivedCount()), max(most, f.receivedCount())
			}
			return least, most
		}
		least, most := arrivals("deadly")
		assert.Equal(r.t, 1, most)
		assert.Equal(r.t, 1, least, "where the one that ended is tried first, it reaches another")
		_, most = arrivals("harmless")
		assert.Greater(r.t, most, 1)
		assert.Equal(r.t, 1, f.crashCount())
	}
	t.Run("a chat", func(t *testing.T) {
		r := newRig(t, "hall-a")
		ends(r, func(f *crashingUpstreams, from, count int) {
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
		r.plain.Fault(standin.Fault{Mode: standin.FaultRefuse, Path: "/"}) // the rig's own one
		ends(r, func(f *crashingUpstreams, from, count int) {
			for i := range count {
				f.add(r, fmt.Sprint("p", from+i), "orders", standin.NewPlain("orders", timer.Real(), 0).Handler())
			}
			r.eventually("they are known", func() bool { return n.upstreams("orders") == from+count+1 })
		}, func(body string) response { return n.call(http.MethodPost, "/s/orders/again", body) })
	})
}

// TestJobThatEndsEnginesIsHeldBack: an accepted job is tried until its deadline. One under which
// each engine ends went through all of them.
func TestJobThatCrashesEnginesIsQuarantined(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a")
	f := r.addCrashingEngines(10)
	n := r.nodes[0]
	a := n.call(http.MethodPost, "/v1/chat/completions", newChat("batch", "deadly", 4, false).body, "Prefer", "respond-async")
	assert.Equal(t, http.StatusAccepted, a.status, a.body)
	r.eventually("it is held back", func() bool { return n.hasEvent("request_held") })
	c := newChat("chat", "harmless", 4, true)
	assertComplete(t, c, r.chat(n, c))
	assert.LessOrEqual(t, f.crashCount(), maxCrashes)
}

// TestCallThatEndsServicesIsHeldBack is the same for a plain call that may be repeated.
func TestCallThatCrashesServicesIsQuarantined(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a")
	f := &crashingUpstreams{}
	for i := range 10 {
		f.add(r, fmt.Sprint("p", i), "orders", standin.NewPlain("orders", timer.Real(), 0).Handler())
	}
	for _, n := range r.nodes {
		r.eventually("they are known", func() bool { return n.upstreams("orders") == 11 })
	}
	r.eventually("it is held back", func() bool {
		for _, n := range r.nodes {
			n.call(http.MethodPost, "/s/orders/again", "deadly")
			time.Sleep(repeatInterval)
		}
		return r.nodes[0].hasEvent("request_held") && r.nodes[1].hasEvent("request_held")
	})
	assert.LessOrEqual(t, f.crashCount(), maxCrashes)
}
