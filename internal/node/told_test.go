package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/standin"
)

// assertToldTrue compares every answer with the services' run logs.
func (r *rig) assertOutcomesTrue(list []response) {
	r.t.Helper()
	runs := r.plain.Runs()
	for _, e := range r.engines {
		for id, n := range e.Stats().Runs {
			runs[id] += n
		}
	}
	for _, a := range list {
		if a.err != nil {
			continue // a cut connection tells nothing
		}
		assert.NotEmpty(r.t, a.outcome, "status %d: %s", a.status, a.body)
		if a.outcome == "not-run" {
			assert.Zero(r.t, runs[a.id], "told not-run, and ran: %s", a.body)
			assert.True(r.t, a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests, a.status)
			assert.NotEmpty(r.t, a.header.Get("Retry-After"))
		}
	}
}

func (r *rig) manyPosts(k int) []response {
	list := make([]response, k)
	var wait sync.WaitGroup
	for i := range list {
		wait.Add(1)
		go func() {
			defer wait.Done()
			list[i] = r.nodes[i%len(r.nodes)].call(http.MethodPost, "/s/orders/post", "{}")
		}()
	}
	wait.Wait()
	return list
}

func TestNotRunMeansNotRun(t *testing.T) {
	for _, f := range []standin.Fault{
		{Mode: standin.FaultCut, Path: "/post", Count: 10},
		{Mode: standin.FaultLose, Path: "/post", Count: 10},
		{Mode: standin.FaultRefuse, Path: "/post"},
		{Mode: standin.FaultFreeze, Path: "/post"},
		{Mode: standin.FaultSlow, Path: "/post", Delay: 3000},
	} {
		t.Run(string(f.Mode), func(t *testing.T) {
			r := newRig(t, "hall-a", "hall-b")
			r.plain.Fault(f)
			list := r.manyPosts(40)
			r.plain.Fault(standin.Fault{})
			r.assertOutcomesTrue(list)
		})
	}
	t.Run("a later attempt takes nothing back", func(t *testing.T) {
		// The only service runs the call and loses the answer. The retry finds nobody.
		r := newRig(t, "hall-a", "hall-b")
		r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{}).Fault(standin.Fault{Mode: standin.FaultLose, Path: "/v1/chat"})
		r.waitEngines(1)
		r.plain.Fault(standin.Fault{Mode: standin.FaultLose, Path: "/again"})
		list := []response{
			r.nodes[0].call(http.MethodPost, "/s/orders/again", "{}"),
			r.nodes[0].call(http.MethodGet, "/s/orders/again", ""),
			r.chat(r.nodes[0], newChat("chat", "hello", 5, true)),
			r.chat(r.nodes[1], newChat("chat", "hello", 5, false)),
		}
		for _, a := range list {
			assert.Equal(t, "unknown", a.outcome, a.body)
		}
		r.plain.Fault(standin.Fault{})
		r.assertOutcomesTrue(list)
	})
	t.Run("full queue", func(t *testing.T) {
		r := newRig(t, "hall-a", "hall-b")
		r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{Slots: 1, Decode: 50 * time.Millisecond})
		r.waitEngines(1)
		list := make([]response, 60)
		var wait sync.WaitGroup
		for i := range list {
			wait.Add(1)
			go func() {
				defer wait.Done()
				list[i] = r.chat(r.nodes[i%2], newChat("chat", fmt.Sprint(i), 40, true))
			}()
		}
		wait.Wait()
		refused := 0
		for _, a := range list {
			if a.outcome == "not-run" {
				refused++
			}
		}
		assert.NotZero(t, refused, "the pool can't have taken all of them in time")
		r.assertOutcomesTrue(list)
	})
	t.Run("draining", func(t *testing.T) {
		r := newRig(t, "hall-a", "hall-b")
		go r.nodes[0].Drain(t.Context())
		r.assertOutcomesTrue(r.manyPosts(40))
	})
	t.Run("malformed", func(t *testing.T) {
		r := newRig(t, "hall-a")
		for _, b := range []string{"", "{", "[]", `{"messages":[]}`, `{"messages":[{"role":"user"}]}`, `{"model":"no","messages":[{"role":"user","content":"x"}]}`} {
			a := r.nodes[0].call(http.MethodPost, "/v1/chat/completions", b)
			assert.Equal(t, http.StatusBadRequest, a.status, b)
			assert.Equal(t, "not-run", a.outcome)
			var e struct{ Error struct{ Message string } }
			assert.NoError(t, json.Unmarshal([]byte(a.body), &e))
			assert.NotEmpty(t, e.Error.Message)
		}
	})
}

// An answer is given up at once, not held to its deadline: the service is gone, and
// the call's timeout is 2 s.
func TestFailureIsReportedAtOnce(t *testing.T) {
	r := newRig(t, "hall-a")
	r.platform.Notice("o1", time.Minute)
	r.eventually("the service is gone", func() bool { return r.nodes[0].upstreams("orders") == 0 })
	x := make(chan response, 1)
	go func() { x <- r.nodes[0].call(http.MethodGet, "/s/orders/x", "") }()
	a := <-x
	assert.Equal(t, "not-run", a.outcome)
	assert.NotEmpty(t, a.header.Get("Retry-After"))
}

func TestTwoWorkspacesWithEqualPrompts(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{Decode: 2 * time.Millisecond})
	r.waitEngines(1)
	k := newChat("chat", "the same prompt", 40, true)
	var wait sync.WaitGroup
	for i := 0; i < 30; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := r.chat(r.nodes[i%2], k)
			assertComplete(t, k, a)
			for _, l := range strings.Split(a.body, "\n") {
				if id, ok := strings.CutPrefix(l, "id: "); ok {
					assert.True(t, strings.HasPrefix(id, a.id+":"), "an event of another request: %s", id)
				}
			}
		}()
	}
	wait.Wait()
}

func TestEngineThatEchoesAnotherID(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{EchoID: "other"})
	r.waitEngines(1)
	a := r.chat(r.nodes[0], newChat("chat", "hello", 20, true))
	assert.NotEqual(t, "done", a.outcome)
	assert.Empty(t, content(a.body), "not a token of an answer that isn't its own")
	r.addEngine("e2", "hall-b", "z2", standin.EngineOptions{})
	r.waitEngines(2)
	k := newChat("chat", "hello", 20, true)
	r.eventually("a sound engine answers", func() bool { return content(r.chat(r.nodes[0], k).body) == k.want })
}

func TestResumeAtAWrongOffset(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{})
	r.waitEngines(1)
	k := newChat("chat", "hello", 30, true)
	a := r.chat(r.nodes[0], k)
	assertComplete(t, k, a)
	b := r.nodes[1].call(http.MethodGet, "/v1/requests/"+a.id, "", "Last-Event-ID", "other:3")
	assert.Equal(t, http.StatusBadRequest, b.status)
	assert.Empty(t, b.outcome, "the request asked about has run")
	b = r.nodes[1].call(http.MethodGet, "/v1/requests/"+a.id, "", "Last-Event-ID", a.id+":1000")
	assert.Equal(t, http.StatusBadRequest, b.status)
	assert.Empty(t, b.outcome)
	b = r.nodes[1].call(http.MethodGet, "/v1/requests/"+a.id, "", "Last-Event-ID", a.id+":9")
	assert.True(t, strings.HasSuffix(k.want, content(b.body)))
	assert.Equal(t, 20, len(strings.Fields(content(b.body))))
}

// A leaving engine gets nothing new: with the VM list 30 s behind, one peer cut off
// from the platform and from another peer, and the engine's own 503 or the cloud's
// notice as the only word.
// A VM list that jumps back in time shows none of the VMs that came since. They are
// not taken for gone: that would be for good, and they answer.
func TestStaleVMList(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{})
	r.waitEngines(1)
	r.platform.SetLag(time.Hour)
	time.Sleep(3*vmListInterval + vmListInterval/2)
	for _, n := range r.nodes {
		k := newChat("chat", "hello", 5, true)
		assertComplete(t, k, r.chat(n, k))
		assert.Equal(t, "done", n.call(http.MethodGet, "/s/orders/x", "").outcome)
	}
}

func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	for _, source := range []string{"notice", "its own 503"} {
		t.Run(source, func(t *testing.T) {
			r := newRig(t, "hall-a", "hall-a", "hall-b", "hall-b")
			e1 := r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{Decode: time.Millisecond})
			r.addEngine("e2", "hall-b", "z2", standin.EngineOptions{Decode: time.Millisecond})
			r.waitEngines(2)
			r.platform.SetLag(30 * time.Second)
			r.nodes[3].platformCut.Store(true)
			r.nodes[3].blockedPeers.Store(r.nodes[0].o.PeerAddress, true)
			e1.Leave()
			if source == "notice" {
				r.platform.Notice("e1", 20*time.Second)
			}
			r.eventually("every node knows", func() bool {
				for i, n := range r.nodes {
					_ = r.chat(n, newChat("chat", fmt.Sprintf("p%d %d", i, time.Now().UnixNano()), 2, true))
					if f, _ := n.table.Get("e1"); f.Status != member.StatusLeaving {
						return false
					}
				}
				return true
			})
			before := e1.Stats().Requests
			for i, n := range r.nodes {
				for j := 0; j < 10; j++ {
					k := newChat("chat", fmt.Sprintf("q%d %d", i, j), 2, true)
					assertComplete(t, k, r.chat(n, k))
				}
			}
			assert.Equal(t, before, e1.Stats().Requests)
		})
	}
}
