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
type fragile struct {
	mu      sync.Mutex
	ended   int
	arrived int
	full    bool // all turn requests away
}

// fill lets all turn requests away, and forgets how many have arrived.
func (f *fragile) fill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full, f.arrived = true, 0
}

// arrives counts a request, and tells whether it is turned away.
func (f *fragile) arrives() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrived++
	return f.full
}

func (f *fragile) arrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrived
}

func (f *fragile) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

func (f *fragile) add(r *rig, id, service string, h http.Handler) {
	s := httptest.NewUnstartedServer(nil)
	end := sync.OnceFunc(func() {
		f.mu.Lock()
		f.ended++
		f.mu.Unlock()
		_ = s.Listener.Close()
		go s.CloseClientConnections() // waits for the handlers, of which one calls this
	})
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)     // the rig has sent it whole
		if len(b) > 0 && f.arrives() { // not a question about its health
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

func (r *rig) fragileEngines(count int) *fragile {
	f := &fragile{}
	for i := range count {
		id := fmt.Sprint("e", i)
		f.add(r, id, "llm", standin.NewEngine(timer.Real(), standin.EngineOptions{ID: id, Slots: 32, CacheTokens: 100000}).Handler())
	}
	r.waitEngines(count)
	return f
}

// again is after how long a caller repeats a request: some of the rig's rounds.
const again = 300 * time.Millisecond

// endedMost is how many upstreams one request may end: those that prove it, and those that it
// had reached before all nodes knew.
const endedMost = quarantine.CrashThreshold + 2

// TestChatThatEndsEnginesIsHeldBack: a caller repeats a chat under which each engine ends, at
// one node after the other. The nodes tell each other, and after three ends none sends it.
func TestChatThatEndsEnginesIsHeldBack(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-a")
	f := r.fragileEngines(12)
	deadly := newChat("chat", "deadly", 4, true)
	refused := func(n *rigNode) bool {
		a := r.chat(n, deadly)
		return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "end the upstreams")
	}
	for i := 0; i < 12 && !refused(r.nodes[i%len(r.nodes)]); i++ {
		time.Sleep(again)
	}
	for _, n := range r.nodes {
		r.eventually("it is held back", func() bool { return n.saw("request_held") })
		for range 10 { // an engine that has ended is tried first, until it is ejected
			assert.True(t, refused(n))
		}
	}
	assert.LessOrEqual(t, f.count(), endedMost)
	for i, n := range r.nodes {
		c := newChat("chat", fmt.Sprint("harmless ", i), 4, true)
		assertWhole(t, c, r.chat(n, c))
	}
}

// TestAlikeChatsThatEndEngines: each chat in a series differs from the one before in a counter, and ends the
// engine that runs it.
func TestAlikeChatsThatEndEngines(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-a")
	const chats = 14
	f := r.fragileEngines(2 * chats)
	sent := 0
	r.eventually("such chats are held back", func() bool {
		r.chat(r.nodes[sent%len(r.nodes)], newChat("chat", fmt.Sprintf("deadly %03d", sent), 4, true))
		sent++
		time.Sleep(2 * again)
		return r.nodes[0].saw("shape_held") && r.nodes[1].saw("shape_held") && r.nodes[2].saw("shape_held")
	})
	assert.LessOrEqual(t, f.count(), chats)
	a := r.chat(r.nodes[0], newChat("chat", "deadly 999", 4, true))
	assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	assert.Equal(t, "not-run", a.outcome)
	for i, n := range r.nodes {
		c := newChat("chat", fmt.Sprint("harmless, ", i), 4, true)
		assertWhole(t, c, r.chat(n, c))
	}
}

// TestSecondTryAfterAnothersEnd: a copy of a request has ended an upstream. Another copy is turned away by its
// first one: it isn't sent once more. A harmless one is.
func TestSecondTryAfterAnothersEnd(t *testing.T) {
	const rest = 6 // upstreams that come once the first one has ended
	ends := func(r *rig, add func(f *fragile, from, count int), send func(body string) answer) {
		f := &fragile{}
		add(f, 0, 1)
		n := r.nodes[0]
		send("deadly")
		r.eventually("its end is known", func() bool { return n.saw("upstream_ended") })
		add(f, 1, rest)
		arrivals := func(body string) (least, most int) { // of one request
			least = 100
			for range 10 {
				f.fill()
				send(body)
				least, most = min(least, f.arrivals()), max(most, f.arrivals())
			}
			return least, most
		}
		least, most := arrivals("deadly")
		assert.Equal(r.t, 1, most)
		assert.Equal(r.t, 1, least, "where the one that ended is tried first, it reaches another")
		_, most = arrivals("harmless")
		assert.Greater(r.t, most, 1)
		assert.Equal(r.t, 1, f.count())
	}
	t.Run("a chat", func(t *testing.T) {
		r := newRig(t, "hall-a")
		ends(r, func(f *fragile, from, count int) {
			for i := range count {
				id := fmt.Sprint("e", from+i)
				f.add(r, id, "llm", standin.NewEngine(timer.Real(), standin.EngineOptions{ID: id, Slots: 32, CacheTokens: 100000}).Handler())
			}
			r.waitEngines(from + count)
		}, func(body string) answer { return r.chat(r.nodes[0], newChat("chat", body, 4, true)) })
	})
	t.Run("a call", func(t *testing.T) {
		r := newRig(t, "hall-a")
		n := r.nodes[0]
		r.plain.Fault(standin.Fault{Mode: standin.FaultRefuse, Path: "/"}) // the rig's own one
		ends(r, func(f *fragile, from, count int) {
			for i := range count {
				f.add(r, fmt.Sprint("p", from+i), "orders", standin.NewPlain("orders", timer.Real(), 0).Handler())
			}
			r.eventually("they are known", func() bool { return n.upstreams("orders") == from+count+1 })
		}, func(body string) answer { return n.call(http.MethodPost, "/s/orders/again", body) })
	})
}

// TestJobThatEndsEnginesIsHeldBack: an accepted job is tried until its deadline. One under which
// each engine ends went through all of them.
func TestJobThatEndsEnginesIsHeldBack(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a")
	f := r.fragileEngines(10)
	n := r.nodes[0]
	a := n.call(http.MethodPost, "/v1/chat/completions", newChat("batch", "deadly", 4, false).body, "Prefer", "respond-async")
	assert.Equal(t, http.StatusAccepted, a.status, a.body)
	r.eventually("it is held back", func() bool { return n.saw("request_held") })
	c := newChat("chat", "harmless", 4, true)
	assertWhole(t, c, r.chat(n, c))
	assert.LessOrEqual(t, f.count(), endedMost)
}

// TestCallThatEndsServicesIsHeldBack is the same for a plain call that may be repeated.
func TestCallThatEndsServicesIsHeldBack(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a")
	f := &fragile{}
	for i := range 10 {
		f.add(r, fmt.Sprint("p", i), "orders", standin.NewPlain("orders", timer.Real(), 0).Handler())
	}
	for _, n := range r.nodes {
		r.eventually("they are known", func() bool { return n.upstreams("orders") == 11 })
	}
	r.eventually("it is held back", func() bool {
		for _, n := range r.nodes {
			n.call(http.MethodPost, "/s/orders/again", "deadly")
			time.Sleep(again)
		}
		return r.nodes[0].saw("request_held") && r.nodes[1].saw("request_held")
	})
	assert.LessOrEqual(t, f.count(), endedMost)
}
