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

// This file stops a node. A planned stop waits for all calls and requests in progress; a reclaim has a
// deadline, so requests that cannot finish before it are handed over to a peer.

// Drain stops accepting new work, waits until all work in progress has finished or the context has ended, and
// leaves the claim protocol.
func (n *Node) Drain(ctx context.Context) {
	if n.lifecycle.Fire("stop") != nil {
		return
	}
	n.log.Add("node_draining", "", fmt.Sprintf("%d in progress", n.openCalls()))
	n.announceLeaving()
	// Claims stay available until the last call has finished: a call in progress may still need one.
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
	// readinessLag is how long the load balancer may take to see that the node is no longer ready: until then
	// callers still connect, and get a response that sends them to another node.
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

// LeaveWithin is Drain for a VM that is being reclaimed: requests that have not finished after half of the
// notice are handed over to peers. Callers that are still connected receive their responses through this node
// until its VM is gone.
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

// handOver hands every open request over to the peer that its id ranks first, or to the next one in the
// ranking that accepts it.
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
		return // it finished before it was stopped
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

// transferJob records the new owner in the journal, so that its response is accepted.
func (n *Node) transferJob(id, owner string) {
	x, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	s, revision, err := n.journal.Get(x, id)
	if err != nil || revision == 0 || s.Outcome != stream.OutcomeOpen {
		return
	}
	_ = n.journal.TakeOver(x, s, revision, owner)
}

// Stop cancels all duties and waits for them to return.
func (n *Node) Stop() {
	n.cancel()
	n.duties.Wait()
	n.client.Close()
	n.peers.http.CloseIdleConnections()
}
