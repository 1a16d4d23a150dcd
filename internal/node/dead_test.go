package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// ending is upstreams that end together.
type crashGroup struct{ list []*httptest.Server }

func (v *crashGroup) add(r *rig, id, service string, h http.Handler) {
	s := httptest.NewServer(h)
	r.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	r.platform.Register(store.VM{ID: id, Address: s.Listener.Addr().String(), Incarnation: 1, Role: store.RoleUpstream, Service: service, Hall: "hall-a", Zone: "z0", Slots: 32})
	v.list = append(v.list, s)
}

func (v *crashGroup) crash() {
	for _, s := range v.list {
		_ = s.Listener.Close()
		s.CloseClientConnections()
	}
}

// together calls f so many times at once, and returns how often it was true.
func countConcurrent(count int, f func(i int) bool) int {
	var mu sync.Mutex
	var w sync.WaitGroup
	n := 0
	for i := range count {
		w.Add(1)
		go func() {
			defer w.Done()
			if f(i) {
				mu.Lock()
				n++
				mu.Unlock()
			}
		}()
	}
	w.Wait()
	return n
}

// TestRequestsAmongDeadUpstreams: most upstreams of a service have ended together, and are known as alive still.
// Callers were refused after four refused connections, while others would have taken them.
func TestRequestsAmongCrashedUpstreams(t *testing.T) {
	t.Run("plain", func(t *testing.T) {
		r := newRig(t, "hall-a")
		n := r.nodes[0]
		v := &crashGroup{}
		for i := range 22 {
			v.add(r, fmt.Sprint("p", i), "orders", r.plain.Handler())
		}
		r.eventually("they are known", func() bool { return n.upstreams("orders") == 23 })
		v.crash()
		assert.Equal(t, 8, countConcurrent(8, func(int) bool { return n.call(http.MethodPost, "/s/orders/again", "{}").status == http.StatusOK }))
	})
	t.Run("chats", func(t *testing.T) {
		r := newRig(t, "hall-a")
		n := r.nodes[0]
		v := &crashGroup{}
		for i := range 22 {
			id := fmt.Sprint("d", i)
			v.add(r, id, "llm", standin.NewEngine(timer.Real(), standin.EngineOptions{ID: id, Slots: 32, CacheTokens: 100000}).Handler())
		}
		r.addEngine("e0", "hall-a", "z1", standin.EngineOptions{})
		r.waitEngines(23)
		v.crash()
		assert.Equal(t, 8, countConcurrent(8, func(i int) bool {
			return r.chat(n, newChat("chat", fmt.Sprint("c", i), 2, true)).status == http.StatusOK
		}))
	})
	t.Run("where none lives, each is asked once, and a few again", func(t *testing.T) {
		r := newRig(t, "hall-a")
		n := r.nodes[0]
		v := &crashGroup{}
		const dead, calls = 40, 20
		for i := range dead {
			id := fmt.Sprint("d", i)
			v.add(r, id, "llm", standin.NewEngine(timer.Real(), standin.EngineOptions{ID: id, Slots: 32, CacheTokens: 100000}).Handler())
		}
		r.waitEngines(dead)
		v.crash()
		for i := range calls {
			assert.NotEqual(t, http.StatusOK, r.chat(n, newChat("chat", fmt.Sprint("c", i), 2, true)).status)
		}
		again := 0
		for _, e := range n.Timeline().Since(time.Time{}) {
			if e.Name == "retry" {
				again++
			}
		}
		t.Logf("%d tries after the first", again)
		assert.LessOrEqual(t, again, dead+5*calls)
	})
}
