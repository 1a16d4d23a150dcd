package node

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/standin"
)

// edit applies a change that only the workspace's parameters differ by.
func (r *rig) edit(n *rigNode, base uint64, author string) (config.Snapshot, error) {
	docs, err := config.Parse("edit", []byte(fmt.Sprintf(rigTemplate, config.HashKey(rigKey))))
	require.NoError(r.t, err)
	s, err := n.Store().Apply(context.Background(), config.Change{ID: author, Base: base, Author: author, Note: "by " + author, Documents: docs})
	if err == nil {
		n.Accept(s, "operator")
	}
	return s, err
}

func (r *rig) waitInForce(revision uint64) {
	r.t.Helper()
	r.eventually(fmt.Sprintf("revision %d is in force everywhere", revision), func() bool {
		for _, n := range r.nodes {
			if n.View().Revision() != revision {
				return false
			}
		}
		return true
	})
}

func TestConcurrentOperators(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	type result struct {
		s   config.Snapshot
		err error
	}
	c := make(chan result, 2)
	for i, n := range r.nodes {
		go func() {
			s, err := r.edit(n, 1, fmt.Sprintf("operator%d", i))
			c <- result{s, err}
		}()
	}
	a, b := <-c, <-c
	if a.err != nil {
		a, b = b, a
	}
	require.NoError(t, a.err, "exactly one wins")
	require.ErrorIs(t, b.err, config.ErrConflict)
	assert.Contains(t, b.err.Error(), a.s.Author, "the other is told who was faster")
	r.waitInForce(2)
}

func TestApplyWhoseResponseIsLost(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b")
	r.platform.Fault(standin.Fault{Mode: standin.FaultLose, Path: "/v3/kv/txn", Count: 1})
	s, err := r.edit(r.nodes[0], 1, "ada")
	// A claim or a journal write of another duty may have taken the fault; either way
	// the change is in force once.
	require.NoError(t, err)
	assert.EqualValues(t, 2, s.Revision)
	r.waitInForce(2)
	h, err := r.nodes[0].Store().History(context.Background(), 10)
	require.NoError(t, err)
	assert.Len(t, h, 2)
}

func TestPlatformDownRightAfterApply(t *testing.T) {
	r := newRig(t, "hall-a", "hall-a", "hall-b")
	for _, n := range r.nodes[1:] {
		n.platformCut.Store(true)
	}
	_, err := r.edit(r.nodes[0], 1, "ada")
	require.NoError(t, err)
	r.nodes[0].platformCut.Store(true)
	r.waitInForce(2)
	t.Run("a node started in the outage gets it from a peer", func(t *testing.T) {
		n := r.addNode("n9", "hall-b")
		n.platformCut.Store(true)
		r.waitInForce(2)
	})
	t.Run("a stale read never takes it back", func(t *testing.T) {
		old, err := r.nodes[0].Store().Get(context.Background(), 1)
		if err != nil {
			r.restore()
			r.eventually("the platform is back", func() bool {
				old, err = r.nodes[0].Store().Get(context.Background(), 1)
				return err == nil
			})
		}
		for _, n := range r.nodes {
			n.Accept(old, "a stale replica")
			assert.EqualValues(t, 2, n.View().Revision())
		}
	})
}

func TestHallPartitionedAndRejoined(t *testing.T) {
	r := newRig(t, "hall-a", "hall-b", "hall-b")
	cut := func(on bool) {
		for _, b := range r.nodes[1:] {
			b.platformCut.Store(on)
			if on {
				b.blockedPeers.Store(r.nodes[0].o.PeerAddress, true)
				r.nodes[0].blockedPeers.Store(b.o.PeerAddress, true)
			} else {
				b.blockedPeers.Delete(r.nodes[0].o.PeerAddress)
				r.nodes[0].blockedPeers.Delete(b.o.PeerAddress)
			}
		}
	}
	cut(true)
	_, err := r.edit(r.nodes[0], 1, "ada")
	require.NoError(t, err)
	assert.EqualValues(t, 1, r.nodes[1].View().Revision())
	assert.Equal(t, "done", r.nodes[1].call("GET", "/s/orders/x", "").outcome, "a hall that is cut off goes on serving")
	cut(false)
	r.waitInForce(2)
}

func TestRollbackIsANewRevision(t *testing.T) {
	r := newRig(t, "hall-a")
	_, err := r.edit(r.nodes[0], 1, "ada")
	require.NoError(t, err)
	s, err := r.nodes[0].Store().Rollback(context.Background(), config.Change{ID: "back", Base: 2, Author: "eve"}, 1)
	require.NoError(t, err)
	assert.EqualValues(t, 3, s.Revision)
	_, err = r.nodes[0].Store().Rollback(context.Background(), config.Change{ID: "none", Base: 3}, 77)
	assert.True(t, errors.Is(err, config.ErrNoRevision))
}
