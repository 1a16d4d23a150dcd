package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/claim"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
)

// callAllNodes sends a call with the same key through every node concurrently and returns the responses.
func (r *rig) callAllNodes(path, key string) []response {
	list := make([]response, len(r.nodes))
	var wait sync.WaitGroup
	for i, n := range r.nodes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			list[i] = n.keyed(path, key)
		}()
	}
	wait.Wait()
	return list
}

// assertAtMostOnce checks the responses of one key against the service's run log.
func (r *rig) assertAtMostOnce(key string, list []response) {
	r.t.Helper()
	runs := r.plain.Runs()[key]
	assert.LessOrEqual(r.t, runs, 1, "key %s ran %d times", key, runs)
	done := 0
	for _, a := range list {
		assert.NoError(r.t, a.err)
		if a.outcome == "done" {
			done++
		}
	}
	if done > 0 {
		assert.Equal(r.t, 1, runs, "a response reports done")
	}
}

func TestKeyedCallThroughAllNodesAtOnce(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-b", "hall-b")
	for i := 0; i < 20; i++ {
		k := fmt.Sprintf("k%d", i)
		list := r.callAllNodes("/refuse", k)
		r.assertAtMostOnce(k, list)
		assert.Equal(t, 1, r.plain.Runs()[k], "with the platform up, exactly one call runs")
	}
}

func TestKeyedCallTwiceIsReplayed(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	a := r.nodes[0].keyed("/refuse", "k")
	assert.Equal(t, "done", a.outcome)
	r.eventually("the response is recorded", func() bool {
		b := r.nodes[1].keyed("/refuse", "k")
		return b.status == http.StatusOK && b.header.Get("Idempotent-Replayed") == "true" && b.body == a.body
	})
	assert.Equal(t, 1, r.plain.Runs()["k"])
}

// TestKeyedCallWhoseRecordIsLost: the first write of a response to its claim gets no answer. Later callers of
// the key must still be given the response.
func TestKeyedCallWhoseRecordIsLost(t *testing.T) {
	for _, f := range []struct {
		name    string
		applied bool // the write whose answer is lost took effect
	}{{"not applied", false}, {"applied", true}} {
		t.Run(f.name, func(t *testing.T) {
			lost, lose := loseAnswer(isRecord, f.applied)
			r := newRigWith(t, lose, "hall-a", "hall-b")
			a := r.nodes[0].keyed("/refuse", "k")
			assert.Equal(t, "done", a.outcome)
			r.eventually("the response is recorded", func() bool {
				b := r.nodes[1].keyed("/refuse", "k")
				return b.header.Get("Idempotent-Replayed") == "true" && b.body == a.body
			})
			assert.True(t, lost.Load())
			assert.Equal(t, 1, r.plain.Runs()["k"])
		})
	}
}

// isRecord returns whether a transaction writes a response to a claim.
func isRecord(x store.Txn) bool {
	var v claim.Record
	return len(x.Then) == 1 && json.Unmarshal(x.Then[0].Value, &v) == nil && v.Attempt != "" && v.Outcome != ""
}

func TestKeyedCallInAnOutage(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-b")
	r.outage()
	t.Run("rejected by default", func(t *testing.T) {
		a := r.nodes[0].keyed("/refuse", "r1")
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		assert.Equal(t, "not-run", a.outcome)
		assert.NotEmpty(t, a.header.Get("Retry-After"))
		assert.Zero(t, r.plain.Runs()["r1"])
	})
	t.Run("runs by promises", func(t *testing.T) {
		for i := 0; i < 10; i++ {
			k := fmt.Sprintf("p%d", i)
			a := r.nodes[i%3].keyed("/promise", k)
			assert.Equal(t, "done", a.outcome, a.body)
			b := r.nodes[(i+1)%3].keyed("/promise", k)
			assert.Equal(t, http.StatusConflict, b.status)
			assert.Equal(t, 1, r.plain.Runs()[k])
		}
	})
	t.Run("through all nodes at once", func(t *testing.T) {
		for i := 0; i < 20; i++ {
			k := fmt.Sprintf("a%d", i)
			r.assertAtMostOnce(k, r.callAllNodes("/promise", k))
		}
	})
	t.Run("an unreachable member blocks the call", func(t *testing.T) {
		r.nodes[0].blockedPeers.Store(r.nodes[2].o.PeerAddress, true)
		a := r.nodes[0].keyed("/promise", "c1")
		assert.Equal(t, "not-run", a.outcome)
		assert.Zero(t, r.plain.Runs()["c1"])
		r.nodes[0].blockedPeers.Delete(r.nodes[2].o.PeerAddress)
		r.eventually("the promises were released", func() bool { return r.nodes[1].keyed("/promise", "c1").outcome == "done" })
		assert.Equal(t, 1, r.plain.Runs()["c1"])
	})
	t.Run("promises become claims after the outage", func(t *testing.T) {
		r.restore()
		r.eventually("the platform is available again", func() bool { return r.nodes[1].guard.Up() && r.nodes[2].guard.Up() })
		for i := 0; i < 10; i++ {
			k := fmt.Sprintf("p%d", i)
			r.assertAtMostOnce(k, r.callAllNodes("/promise", k))
		}
		n := r.addNode("n9", "hall-b")
		r.eventually("the new node has synced", n.Claims().Synced)
		r.eventually("the new node has the configuration", func() bool { return n.View().Revision() > 0 && n.State() == "ready" })
		r.assertAtMostOnce("p0", []response{n.keyed("/promise", "p0")})
	})
}

func TestKeyedCallWhenOneNodeLosesThePlatform(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.nodes[0].platformCut.Store(true)
	r.eventually("the outage is detected", func() bool { return !r.nodes[0].guard.Up() && r.nodes[0].peers.anyPeerHasPlatform() })
	r.eventually("a peer claims for it", func() bool { return r.nodes[0].keyed("/refuse", "b1").outcome == "done" })
	r.assertAtMostOnce("b1", r.callAllNodes("/refuse", "b1"))
	for i := 0; i < 10; i++ {
		k := fmt.Sprintf("x%d", i)
		r.assertAtMostOnce(k, r.callAllNodes("/promise", k))
	}
}

// TestKeyedCallWhosePeerLosesTheResponse: a node that cannot reach the platform asks a peer to claim a key
// for it. The peer writes the claim, and the response is lost. The caller is told that its call has not run,
// and repeats it with the same key. The abandoned claim must be erased through a peer: if only the node that
// cannot reach the platform may erase it, no call with the key can run.
func TestKeyedCallWhosePeerLosesTheResponse(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.nodes[0].platformCut.Store(true)
	r.eventually("the outage is detected", func() bool { return !r.nodes[0].guard.Up() && r.nodes[0].peers.anyPeerHasPlatform() })
	r.eventually("a peer claims for it", func() bool { return r.nodes[0].keyed("/refuse", "b0").outcome == "done" })
	r.platform.Fault(standin.Fault{Mode: standin.FaultLose, Path: "/v3/kv/txn"})
	a := r.nodes[0].keyed("/refuse", "b1")
	r.platform.Fault(standin.Fault{})
	assert.Equal(t, "not-run", a.outcome, a.body)
	r.eventually("the key is free again", func() bool { return r.nodes[0].keyed("/refuse", "b1").outcome == "done" })
	r.assertAtMostOnce("b1", r.callAllNodes("/refuse", "b1"))
}

func TestKeyedCallWhenThePlatformMisbehaves(t *testing.T) {
	for _, f := range []standin.Fault{
		{Mode: standin.FaultLose, Path: "/v3/kv/txn", Count: 3},
		{Mode: standin.FaultLose, Path: "/v3/kv/txn"},
		{Mode: standin.FaultLose, Path: "/v3/kv"},
		{Mode: standin.FaultSlow, Path: "/v3/kv", Delay: 300},
		{Mode: standin.FaultFreeze, Path: "/v3/kv"},
		{Mode: standin.FaultRefuse, Path: "/v3"},
	} {
		t.Run(fmt.Sprintf("%s %s %d", f.Mode, f.Path, f.Count), func(t *testing.T) {
			r := newRig(t, "hall-a", "hall-b", "hall-b")
			r.platform.Fault(f)
			for i := 0; i < 4; i++ {
				k := fmt.Sprintf("k%d", i)
				r.assertAtMostOnce(k, r.callAllNodes("/promise", k))
			}
			r.platform.Fault(standin.Fault{})
			for i := 0; i < 4; i++ {
				k := fmt.Sprintf("k%d", i)
				r.assertAtMostOnce(k, r.callAllNodes("/promise", k))
			}
		})
	}
}

// TestRigSetUpOnSlowPlatform guards against a set-up of the rig that fails on a loaded machine, with no fault
// in force yet, because one call takes over half a second.
func TestRigSetUpOnSlowPlatform(t *testing.T) {
	r := newRig(t, "hall-a")
	for _, path := range []string{"/v3/kv/range", "/v3/kv/txn"} {
		r.platform.Fault(standin.Fault{Mode: standin.FaultSlow, Path: path, Delay: 700, Count: 2})
		r.configure()
	}
}

func TestKeyedCallNotRunMayBeRepeated(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.plain.Fault(standin.Fault{Mode: standin.FaultRefuse, Path: "/"})
	a := r.nodes[0].keyed("/refuse", "k")
	assert.Equal(t, "not-run", a.outcome, a.body)
	r.plain.Fault(standin.Fault{})
	r.eventually("the key is free again", func() bool { return r.nodes[1].keyed("/refuse", "k").outcome == "done" })
	assert.Equal(t, 1, r.plain.Runs()["k"])
}
