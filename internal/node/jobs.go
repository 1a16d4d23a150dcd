package node

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"spurhall.example/spurhall/internal/job"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/wire"
)

// This file takes over the jobs of owners that are gone: those in the journal, and those of which this node holds a copy.

const (
	jobPollInterval = 2 * time.Second
	// orphanAfter is how long the owner of a job must have been unresponsive, beyond hallTimeout, before
	// another node takes the job over. Too early a takeover costs tokens but never leads to a second
	// response.
	orphanAfter = 3 * time.Second
)

// watchJobs takes over the jobs of owners that are gone. One node of each hall follows the journal: a hall
// detects the loss of its own nodes first, and compare-and-swap decides which of several nodes takes over a
// job. Copies held for a peer are watched by their holder.
func (n *Node) watchJobs(ctx context.Context) {
	n.startDuty(n.followJournal)
	n.clock.Every(ctx, jobPollInterval, func(time.Time) {
		n.runOrphanCopies()
		if n.lifecycle.Is("ready") {
			n.takeOverJobs(ctx)
		}
	})
}

// followJournal tracks the owners of the open jobs while this node has that duty in its hall.
func (n *Node) followJournal(ctx context.Context) {
	for n.clock.Sleep(ctx, jobPollInterval) == nil {
		if !n.hasDuty("jobs", 1) {
			continue
		}
		x, cancel := context.WithCancel(ctx)
		n.startDuty(func(context.Context) { n.cancelOnDutyLoss(x, "jobs", cancel) })
		_ = n.journal.Follow(x, n.recordJob)
		cancel()
		n.mu.Lock()
		n.openJobs = make(map[string]string)
		n.mu.Unlock()
	}
}

func (n *Node) recordJob(e job.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !e.Open {
		delete(n.openJobs, e.ID)
		return
	}
	n.openJobs[e.ID] = e.Owner
}

func (n *Node) orphanedJobs() []string {
	n.mu.Lock()
	owners := make(map[string][]string)
	for id, owner := range n.openJobs {
		if owner != n.id {
			owners[owner] = append(owners[owner], id)
		}
	}
	n.mu.Unlock()
	var r []string
	for id := range n.unansweredJobs {
		r = append(r, id)
	}
	for owner, ids := range owners {
		if n.ownerGone(owner) {
			r = append(r, ids...)
		}
	}
	return r
}

func (n *Node) ownerGone(id string) bool {
	if id == n.id {
		return false
	}
	f, ok := n.table.Get(id)
	if !ok || f.Status == member.StatusGone {
		return true
	}
	return n.clock.Since(f.ReceivedAt) > orphanAfter+n.hallTimeout() && !n.responds(&f.Fact)
}

// responds queries a node directly: facts about a node of another hall arrive so rarely that their absence
// alone proves little.
func (n *Node) responds(f *member.Fact) bool {
	if n.peers.blocked(f.Address) {
		return false
	}
	x, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	_, err := n.peers.get(f.ID, f.Address).client.Find(x, connect.NewRequest(&wire.FindRequest{}))
	return err == nil
}

// peerTimeout is how long no fact about a node may arrive before the node counts as gone for serving.
func (n *Node) peerTimeout(f *member.Fact) time.Duration {
	if f.Hall != n.o.Hall {
		return n.hallTimeout() + 2*n.currentIntervals().crossHallInterval
	}
	return n.hallTimeout()
}

func (n *Node) takeOverJobs(ctx context.Context) {
	for _, id := range n.orphanedJobs() {
		n.takeOverJob(ctx, id)
	}
}

// takeOverJob makes this node the owner of a job whose owner is gone, and runs it. A takeover that the store has
// not answered may have made this node the owner: nobody else takes the job then, so it is read again.
func (n *Node) takeOverJob(ctx context.Context, id string) {
	s, revision, err := n.journal.Get(ctx, id)
	if err != nil {
		return
	}
	unanswered := n.unansweredJobs[id]
	delete(n.unansweredJobs, id)
	if revision == 0 || s.Outcome != stream.OutcomeOpen || s.Owner == n.id && !unanswered || s.Owner != n.id && !n.ownerGone(s.Owner) {
		return
	}
	if s.Owner != n.id {
		err = n.journal.TakeOver(ctx, s, revision, n.id)
	}
	if err != nil {
		n.log.Add("job_not_taken_over", id, err.Error())
		if unanswered || !errors.Is(err, job.ErrNotOwner) { // an earlier takeover may have been stored since the read
			n.unansweredJobs[id] = true
		}
		return
	}
	n.log.Add("job_taken_over", id, "from "+s.Owner)
	n.adopt(s)
}

// adopt continues a request of another node from its last known piece.
func (n *Node) adopt(s request.Spec) {
	if s.Owner != n.id {
		s.PreviousOwner, s.Owner = s.Owner, n.id
	}
	if old := n.registry.Get(s.ID); old != nil {
		// The local copy may have more pieces than the handed-over or journalled one.
		if p := old.Record().Tokens(); len(p) > len(s.Tokens) {
			s.Tokens = p
		}
	}
	r := request.New(s)
	n.registry.Replace(r)
	n.start(r)
}

// runOrphanCopies runs the jobs held for peers that have become unresponsive.
func (n *Node) runOrphanCopies() {
	list := n.registry.List(func(r *request.Request) bool {
		return r.Owner() != n.id && r.Record().Read(0).Outcome == stream.OutcomeOpen
	})
	for _, r := range list {
		if r.Job() && n.ownerGone(r.Owner()) {
			n.log.Add("job_taken_over", r.ID(), "copy held for "+r.Owner())
			n.adopt(r.Spec())
		}
	}
}
