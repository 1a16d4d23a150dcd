package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/stream"
)

// This file stops a node. A planned stop waits for whatever is in progress; a
// reclaim has a deadline, so what can't end before it goes to a peer.

// Drain stops taking new work, waits until what is in progress has ended or the
// context does, and leaves the claim protocol.
func (n *Node) Drain(ctx context.Context) {
	if n.lifecycle.Fire("stop") != nil {
		return
	}
	n.log.Add("node_draining", "", fmt.Sprintf("%d in progress", n.openCalls()))
	n.announceLeaving()
	// Claims go on until the last call has ended: a call that is in progress may
	// still need one.
	_ = n.clock.Sleep(ctx, readinessLag)
	for ctx.Err() == nil && (n.openCalls() > 0 || n.openRequests() > 0) {
		_ = n.clock.Sleep(ctx, drainPoll)
	}
	n.leaveClaims()
	_ = n.lifecycle.Fire("drained")
	n.log.Add("node_drained", "", fmt.Sprintf("%d in progress", n.openCalls()))
}

const (
	drainPoll = 50 * time.Millisecond
	// readinessLag is how long the balancer may take to see that readiness dropped:
	// until then callers still come, and get an answer that sends them elsewhere.
	readinessLag = 500 * time.Millisecond
	leaveTimeout = 2 * time.Second
)

func (n *Node) announceLeaving() {
	n.publishOwnFact()
	n.peers.exchangeNow()
}

func (n *Node) openRequests() int {
	return len(n.registry.List(func(r *request.Request) bool {
		return r.Owner() == n.id && r.Record().Read(0).Outcome == stream.OutcomeOpen
	}))
}

func (n *Node) leaveClaims() {
	x, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.claims.Leave(x)
}

// LeaveWithin is Drain for a VM that is taken back: what hasn't ended when half the
// notice is over goes to the peers. Callers that are still connected keep getting
// their answers through this node for as long as it is there.
func (n *Node) LeaveWithin(notice time.Duration) {
	if n.lifecycle.Fire("stop") != nil {
		return
	}
	n.log.Add("node_leaving", "", fmt.Sprintf("within %v, %d in progress", notice, n.openRequests()))
	n.announceLeaving()
	x, cancel := context.WithTimeout(n.ctx, notice/2)
	for x.Err() == nil && n.openRequests() > 0 {
		_ = n.clock.Sleep(x, drainPoll)
	}
	cancel()
	n.handOver()
	n.leaveClaims()
	_ = n.lifecycle.Fire("drained")
}

// handOver gives every open request to the peer that its id ranks first, or the
// next one that takes it.
func (n *Node) handOver() {
	list := n.registry.List(func(r *request.Request) bool {
		return r.Owner() == n.id && r.Record().Read(0).Outcome == stream.OutcomeOpen
	})
	var wait sync.WaitGroup
	for _, r := range list {
		wait.Add(1)
		go func() {
			defer wait.Done()
			n.handOverRequest(r)
		}()
	}
	wait.Wait()
}

func (n *Node) handOverRequest(r *request.Request) {
	var ids []string
	byID := make(map[string]member.Record)
	for _, f := range n.liveNodes() {
		if f.ID != n.id {
			ids = append(ids, f.ID)
			byID[f.ID] = f
		}
	}
	r.Stop()
	s := r.Spec()
	if s.Outcome != stream.OutcomeOpen {
		return // it ended in the last moment
	}
	for _, id := range route.Rank(r.ID(), ids) {
		f := byID[id].Fact
		if err := n.holdAt(n.ctx, f, s, false); err != nil {
			n.log.Add("hand_over_failed", r.ID(), fmt.Sprintf("%s: %v", id, err))
			continue
		}
		r.SetOwner(id)
		n.log.Add("request_handed_over", r.ID(), fmt.Sprintf("to %s at offset %d", id, len(s.Tokens)))
		if r.Job() {
			n.transferJob(r.ID(), id)
		}
		go n.follow(r, f)
		return
	}
	n.log.Add("hand_over_failed", r.ID(), "no peer took it, it goes on here")
	n.start(r)
}

// transferJob names the new owner in the journal, so that its answer is accepted.
func (n *Node) transferJob(id, owner string) {
	x, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	s, revision, err := n.journal.Get(x, id)
	if err != nil || revision == 0 || s.Outcome != stream.OutcomeOpen {
		return
	}
	_ = n.journal.TakeOver(x, s, revision, owner)
}

// Stop ends every duty at once.
func (n *Node) Stop() {
	n.cancel()
	n.duties.Wait()
	n.client.Close()
	n.peers.http.CloseIdleConnections()
}
