package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/stream"
)

// liveStream is a stream that a test reads while it is produced.
type liveStream struct {
	a    *http.Response
	s    *bufio.Scanner
	last string // id of the last event
	text strings.Builder
}

func (n *rigNode) open(t *testing.T, path, body, last string) *liveStream {
	t.Helper()
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	q, err := http.NewRequest(method, "http://"+n.callers+path, strings.NewReader(body))
	require.NoError(t, err)
	q.Header.Set("Authorization", "Bearer "+rigKey)
	if last != "" {
		q.Header.Set("Last-Event-ID", last)
	}
	a, err := rigClient.Do(q)
	require.NoError(t, err)
	t.Cleanup(func() { _ = a.Body.Close() })
	return &liveStream{a: a, s: bufio.NewScanner(a.Body)}
}

// read reads up to n tokens, or all if n is 0, and reports whether the stream has ended.
func (l *liveStream) read(n int) bool {
	for k := 0; (n == 0 || k < n) && l.s.Scan(); {
		line := l.s.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			l.last = v
		}
		if line == "data: [DONE]" {
			return true
		}
		if strings.HasPrefix(line, "data: ") {
			standin.EachEvent(strings.NewReader(line+"\n\n"), func(c string) {
				l.text.WriteString(c)
				k++
			})
		}
	}
	return false
}

// engineRunning returns the engine that runs a request.
func (r *rig) engineRunning(id string) *rigEngine {
	r.t.Helper()
	for _, e := range r.engines {
		if e.Stats().Runs[id] > 0 {
			return e
		}
	}
	r.t.Fatalf("no engine runs %s", id)
	return nil
}

// reclaim sends an engine's reclaim notice and kills the engine when the notice has elapsed.
func (r *rig) reclaim(e *rigEngine, id string, notice time.Duration) {
	e.Leave()
	r.platform.Notice(id, notice)
	time.AfterFunc(notice, e.Die)
}

func (e *rigEngine) id(r *rig) string {
	for id, o := range r.engines {
		if o == e {
			return id
		}
	}
	return ""
}

func TestEngineReclaimedMidStream(t *testing.T) {
	cases := []struct {
		name  string
		fault standin.Fault // at the engine that continues the stream
		moved bool
	}{
		{"KV cache exported", standin.Fault{}, true},
		{"import fails, tokens recomputed", standin.Fault{Mode: standin.FaultRefuse, Path: "/v1/kv/import"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, "hall-a", "hall-b")
			r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{})
			r.addEngine("e2", "hall-b", "z2", standin.EngineOptions{})
			r.waitEngines(2)
			k := newChat("chat", "one two three four five six seven eight nine ten eleven twelve thirteen fourteen fifteen sixteen", 200, true)
			l := r.nodes[0].open(t, "/v1/chat/completions", k.body, "")
			l.read(20)
			old := r.engineRunning(l.a.Header.Get("X-Request-Id"))
			for _, e := range r.engines {
				if e != old {
					e.Fault(c.fault)
				}
			}
			r.reclaim(old, old.id(r), time.Second)
			assert.True(t, l.read(0))
			assert.Equal(t, k.want, l.text.String())
			recomputed := 0
			for _, e := range r.engines {
				recomputed += e.Stats().Recomputed
			}
			if c.moved {
				assert.Less(t, recomputed, 20, "only tokens produced during the transfer are computed again")
			} else {
				assert.Greater(t, recomputed, 20)
			}
		})
	}
}

func TestEngineLostWithoutNotice(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{})
	r.addEngine("e2", "hall-b", "z2", standin.EngineOptions{})
	r.waitEngines(2)
	k := newChat("chat", "hello", 100, true)
	l := r.nodes[0].open(t, "/v1/chat/completions", k.body, "")
	l.read(10)
	r.engineRunning(l.a.Header.Get("X-Request-Id")).Die()
	assert.True(t, l.read(0))
	assert.Equal(t, k.want, l.text.String())
}

func TestWholeHallReclaimed(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	for i := 0; i < 4; i++ {
		h := []string{"hall-a", "hall-b"}[i%2]
		r.addEngine(fmt.Sprintf("e%d", i), h, h, standin.EngineOptions{})
	}
	r.waitEngines(4)
	var wait sync.WaitGroup
	for i := 0; i < 24; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			k := newChat("chat", fmt.Sprintf("prompt number %d", i), 150, true)
			assertComplete(t, k, r.chat(r.nodes[i%2], k))
		}()
	}
	time.Sleep(300 * time.Millisecond)
	for id, e := range r.engines {
		if e.hall == "hall-a" {
			r.reclaim(e, id, time.Second)
		}
	}
	wait.Wait()
}

func TestEntryVMWithNotice(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-b")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{})
	r.waitEngines(1)
	k := newChat("chat", "hello", 250, true)
	l := r.nodes[0].open(t, "/v1/chat/completions", k.body, "")
	l.read(10)
	id := l.a.Header.Get("X-Request-Id")
	gone := make(chan struct{})
	go func() { r.nodes[0].LeaveWithin(600 * time.Millisecond); close(gone) }()
	l.read(60) // still through the leaving node, which follows the new owner
	<-gone
	r.nodes[0].kill()
	l.read(0)
	assert.True(t, strings.HasPrefix(k.want, l.text.String()), "the part received is a prefix of the response")
	for _, n := range r.nodes[1:] {
		rest := n.open(t, "/v1/requests/"+id, "", l.last)
		assert.True(t, rest.read(0))
		assert.Equal(t, k.want, l.text.String()+rest.text.String(), "any node serves the remainder")
	}
}

// Two nodes of a hall read the notices; each of the other nodes learns of its own notice from them.
func TestNoticeReachesTheNodeThatDoesNotReadNotices(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-a", "hall-a")
	for _, n := range r.nodes {
		if n.hasDuty("notices", observersPerHall) {
			continue
		}
		r.platform.Notice(n.o.VM, time.Second)
		r.eventually(n.ID()+" leaves", func() bool { return n.State() == "stopped" })
	}
}

// A node that leaves while it is partitioned from all others keeps the requests that no peer accepts, and
// continues them for as long as it runs.
func TestEntryVMWithNoticeAndNoReachablePeer(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{})
	r.waitEngines(1)
	r.nodes[0].blockedPeers.Store(r.nodes[1].o.PeerAddress, true)
	k := newChat("chat", "hello", 150, true)
	l := r.nodes[0].open(t, "/v1/chat/completions", k.body, "")
	l.read(10)
	go r.nodes[0].LeaveWithin(600 * time.Millisecond)
	assert.True(t, l.read(0))
	assert.Equal(t, k.want, l.text.String())
	assert.True(t, r.nodes[0].hasEvent("hand_over_failed"))
}

func TestEntryVMLostHoldingJobs(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b", "hall-b")
	r.addEngine("e1", "hall-b", "z1", standin.EngineOptions{})
	r.waitEngines(1)
	jobs := make(map[string]chat)
	for i := 0; i < 8; i++ {
		k := newChat("batch", fmt.Sprintf("catalogue %d", i), 100, false)
		a := r.nodes[0].call(http.MethodPost, "/v1/chat/completions", k.body, "Prefer", "respond-async")
		require.Equal(t, http.StatusAccepted, a.status, a.body)
		assert.Equal(t, "platform", a.header.Get("Spurhall-Held"))
		jobs[a.id] = k
	}
	r.nodes[0].kill()
	for id, k := range jobs {
		assert.Equal(t, k.want, r.jobResult(r.nodes[1], id))
		assert.Equal(t, k.want, r.jobResult(r.nodes[2], id), "every node returns the same response")
	}
}

// TestJobWhoseTakeoverGetsNoAnswer: the journal names the node that takes a job over, and the store's answer is
// lost. No other node takes the job from an owner that responds, so this one has to find out that it is the owner.
func TestJobWhoseTakeoverGetsNoAnswer(t *testing.T) {
	for _, f := range []struct {
		name    string
		applied bool // the write whose answer is lost took effect
	}{{"applied", true}, {"not applied", false}} {
		t.Run(f.name, func(t *testing.T) {
			lost, lose := loseAnswer(isTakeover, f.applied)
			r := newRigWith(t, lose, "hall-a", "hall-b", "hall-b")
			r.addEngine("e1", "hall-b", "z1", standin.EngineOptions{})
			r.waitEngines(1)
			k := newChat("batch", "catalogue", 100, false)
			a := r.nodes[0].call(http.MethodPost, "/v1/chat/completions", k.body, "Prefer", "respond-async")
			require.Equal(t, http.StatusAccepted, a.status, a.body)
			r.nodes[0].kill()
			assert.Equal(t, k.want, r.jobResult(r.nodes[1], a.id))
			assert.True(t, lost.Load())
		})
	}
}

// isTakeover returns whether a transaction replaces an open job by itself.
func isTakeover(x store.Txn) bool {
	var s request.Spec
	return len(x.Then) == 1 && len(x.If) == 1 && x.If[0].Target == store.CompareModified &&
		json.Unmarshal(x.Then[0].Value, &s) == nil && s.Job && s.Outcome == stream.OutcomeOpen
}

func TestJobsAcceptedInAnOutage(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.addEngine("e1", "hall-b", "z1", standin.EngineOptions{})
	r.waitEngines(1)
	r.outage()
	k := newChat("batch", "settlement review", 100, false)
	a := r.nodes[0].call(http.MethodPost, "/v1/chat/completions", k.body, "Prefer", "respond-async")
	require.Equal(t, http.StatusAccepted, a.status, a.body)
	assert.Equal(t, "peer-other-hall", a.header.Get("Spurhall-Held"))
	r.nodes[0].kill()
	assert.Equal(t, k.want, r.jobResult(r.nodes[1], a.id), "the peer that held the copy runs it")
	t.Run("rejected if no peer can hold it", func(t *testing.T) {
		a := r.nodes[1].call(http.MethodPost, "/v1/chat/completions", k.body, "Prefer", "respond-async")
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		assert.Equal(t, "not-run", a.outcome)
	})
}

func TestSecondNodeLostMidway(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-b", "hall-b")
	r.addEngine("e1", "hall-b", "z1", standin.EngineOptions{})
	r.waitEngines(1)
	k := newChat("batch", "a long review", 300, false)
	a := r.nodes[0].call(http.MethodPost, "/v1/chat/completions", k.body, "Prefer", "respond-async")
	require.Equal(t, http.StatusAccepted, a.status, a.body)
	r.nodes[0].LeaveWithin(400 * time.Millisecond)
	r.nodes[0].kill()
	var left []*rigNode
	killed := false
	for _, n := range r.nodes[1:] {
		if n.hasEvent("request_taken") && !killed {
			n.kill()
			killed = true
			continue
		}
		left = append(left, n)
	}
	require.True(t, killed, "a node took the job over")
	assert.Equal(t, k.want, r.jobResult(left[0], a.id))
}

func TestPlannedStopCompletesStreams(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{Slots: 64})
	r.waitEngines(1)
	var wait sync.WaitGroup
	for i := 0; i < 30; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			k := newChat("chat", fmt.Sprintf("prompt %d", i), 120, true)
			assertComplete(t, k, r.chat(r.nodes[0], k))
		}()
	}
	r.eventually("the streams are running", func() bool { return r.nodes[0].openRequests() == 30 })
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.nodes[0].Drain(t.Context())
	}()
	r.eventually("the node is no longer ready", func() bool {
		return r.nodes[0].call(http.MethodGet, "/readyz", "").status == http.StatusServiceUnavailable
	})
	k := newChat("chat", "late", 1, true)
	a := r.chat(r.nodes[0], k)
	assert.Equal(t, "not-run", a.outcome, "a late caller gets a response, not a refused connection")
	wait.Wait()
	<-done
}
