package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/ingress"
	"spurhall.example/spurhall/internal/job"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/wire"
)

// This file handles an accepted model request on this node: it is run into its record; a job is first held in
// two fault domains and is journalled at the end; and a request that another node holds is found and
// followed.

// start runs a request in a goroutine of its own.
func (n *Node) start(r *request.Request) {
	ctx, cancel := context.WithCancel(n.ctx)
	ended := r.MarkRunning(cancel)
	go func() {
		defer cancel()
		n.run(ctx, r, ended)
	}()
}

// run runs a request to completion. It calls ended when nothing more is sent for the request, which may be
// long before its response is journalled.
func (n *Node) run(ctx context.Context, r *request.Request, ended func()) {
	defer ended()
	w := n.view.WorkspaceByName(r.Workspace())
	p, err := ingress.ParseChat(r.Body())
	if w == nil || w.Service(r.Service()) == nil || err != nil {
		// Its workspace or service was deleted after the request was accepted, so the settings to run it with
		// are gone.
		r.Record().Finish(stream.OutcomeNotRun, "the workspace or service no longer exists", 0, n.clock.Now())
		ingress.Outcomes.Add(string(stream.OutcomeNotRun), 1)
		return
	}
	s := w.Service(r.Service())
	c := p.DispatchChat(r, s)
	c.Deadline = n.clock.Now().Add(time.Duration(s.Timeout))
	if r.Job() {
		c.Deadline = n.clock.Now().Add(jobDeadline)
	}
	c.TakenOver = r.Moved
	n.dispatcher.Chat(ctx, c)
	ended()
	if r.Moved() && r.Record().Read(0).Outcome == stream.OutcomeOpen {
		return
	}
	if r.Job() {
		n.journalResponse(r)
	}
	v := r.Record().Read(0)
	ingress.Outcomes.Add(string(v.Outcome), 1)
	n.log.Add("request_done", r.ID(), fmt.Sprintf("%s, %d tokens, attempt %d", v.Outcome, len(v.Tokens), r.Record().Attempt()))
}

// jobDeadline is how long an accepted job is attempted.
const jobDeadline = 24 * time.Hour

const journalRetryInterval = 500 * time.Millisecond

// journalResponse writes a job's response to the journal. It retries for as long as the platform is
// unavailable.
func (n *Node) journalResponse(r *request.Request) {
	for n.ctx.Err() == nil {
		err := n.journal.Finish(n.ctx, r.Spec(), func(owner string) bool {
			return owner == n.id || owner == r.PreviousOwner() || n.ownerGone(owner)
		})
		if err == nil {
			n.log.Add("job_finished", r.ID(), "journalled")
			n.dropCopies(r.ID())
			return
		}
		if errors.Is(err, job.ErrNotOwner) {
			n.log.Add("job_superseded", r.ID(), "another node's answer stands")
			return
		}
		_ = n.clock.Sleep(n.ctx, journalRetryInterval)
	}
}

// errNoHolder reports that no second holder was found for a job.
var errNoHolder = errs.NewType("no_holder").New("it could not be held in a second place, neither by the platform nor by a peer")

// acceptJob holds a job in two fault domains: on this VM, and on the platform or, failing that, on a peer in
// another hall, or else on a peer in this one.
func (n *Node) acceptJob(ctx context.Context, r *request.Request) (string, error) {
	x, cancel := context.WithTimeout(ctx, acceptTimeout)
	err := n.journal.Accept(x, r.Spec())
	cancel()
	if err == nil {
		return "platform", nil
	}
	n.log.Add("job_not_journalled", r.ID(), err.Error())
	uncertain := errors.Is(err, job.ErrUncertain)
	for _, f := range n.holderCandidates(r.ID()) {
		if n.holdAt(ctx, f.Fact, r.Spec(), true) == nil {
			if f.Hall != n.o.Hall {
				return "peer-other-hall", nil
			}
			return "peer-same-hall", nil
		}
	}
	if !uncertain {
		return "", errNoHolder
	}
	x, cancel = context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if n.journal.Withdraw(x, r.Spec()) != nil {
		return "", fault.Because(job.ErrUncertain, "and no peer could hold it")
	}
	return "", errNoHolder
}

const acceptTimeout = 2 * time.Second

// holderCandidates lists the other live nodes in the order in which they are asked to hold a request, those
// of other halls first.
func (n *Node) holderCandidates(id string) []member.Record {
	byID := make(map[string]member.Record)
	var far, near []string
	for _, f := range n.liveNodes() {
		if f.ID == n.id {
			continue
		}
		byID[f.ID] = f
		if f.Hall != n.o.Hall {
			far = append(far, f.ID)
		} else {
			near = append(near, f.ID)
		}
	}
	var r []member.Record
	for _, id := range append(route.Rank(id, far), route.Rank(id, near)...) {
		r = append(r, byID[id])
	}
	return r
}

// holdAt asks a node to hold a request: to keep a copy of it, or to continue it.
func (n *Node) holdAt(ctx context.Context, f member.Fact, s request.Spec, copyOnly bool) error {
	if n.peers.blocked(f.Address) {
		return errBlocked
	}
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := n.peers.get(f.ID, f.Address).client.Hold(x, connect.NewRequest(&wire.HoldRequest{Request: s.Wire(), CopyOnly: copyOnly}))
	return err
}

// dropCopies tells the holders of copies that a job has finished.
func (n *Node) dropCopies(id string) {
	for i, f := range n.holderCandidates(id) {
		if i == maxFindPeers {
			return
		}
		x, cancel := context.WithTimeout(n.ctx, callTimeout)
		_, _ = n.peers.get(f.ID, f.Address).client.Drop(x, connect.NewRequest(&wire.DropRequest{Id: id}))
		cancel()
	}
}

// maxFindPeers is the number of nodes that are asked for a request, after its first owner.
const maxFindPeers = 3

// find looks for a request that is not held on this node: at the node that issued its id, at the nodes that
// it would have been handed over to, and in the journal.
func (n *Node) find(ctx context.Context, id, workspace string) *request.Request {
	for _, f := range n.likelyHolders(id) {
		if r := n.findAt(ctx, f.Fact, id, workspace); r != nil {
			return r
		}
	}
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, revision, err := n.journal.Get(x, id)
	if err != nil || revision == 0 || s.Workspace != workspace {
		return nil
	}
	return request.New(s)
}

// likelyHolders lists the nodes that may have a request, the most likely first.
func (n *Node) likelyHolders(id string) []member.Record {
	var r []member.Record
	owner := ingress.OwnerOf(id)
	if f, ok := n.table.Get(owner); ok && f.Status != member.StatusGone && n.clock.Since(f.ReceivedAt) < n.peerTimeout(&f.Fact) {
		r = append(r, f)
	}
	// The hand-over ranks nodes regardless of their hall, so the order here must not depend on this node's
	// own hall.
	byID := make(map[string]member.Record)
	var ids []string
	for _, f := range n.liveNodes() {
		if f.ID != owner && f.ID != n.id {
			byID[f.ID] = f
			ids = append(ids, f.ID)
		}
	}
	for i, v := range route.Rank(id, ids) {
		if i == maxFindPeers {
			break
		}
		r = append(r, byID[v])
	}
	return r
}

// findAt asks one node for a request and, if the node has it, follows the response there.
func (n *Node) findAt(ctx context.Context, f member.Fact, id, workspace string) *request.Request {
	if n.peers.blocked(f.Address) {
		return nil
	}
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := n.peers.get(f.ID, f.Address).client
	a, err := c.Find(x, connect.NewRequest(&wire.FindRequest{Id: id, Workspace: workspace}))
	if err != nil || !a.Msg.Found {
		return nil
	}
	r := request.New(request.FromWire(a.Msg.Request))
	if r.Record().Read(0).Outcome == stream.OutcomeOpen {
		go n.follow(r, f)
	}
	return r
}

// follow copies the response that another node is producing into a local record. When that node becomes
// unavailable, the request is looked up again, until followTimeout.
func (n *Node) follow(r *request.Request, f member.Fact) {
	ctx, cancel := context.WithTimeout(n.ctx, followTimeout)
	defer cancel()
	for ctx.Err() == nil && r.Record().Read(0).Outcome == stream.OutcomeOpen {
		n.followOnce(ctx, r, f)
		if r.Record().Read(0).Outcome != stream.OutcomeOpen {
			return
		}
		_ = n.clock.Sleep(ctx, followRetryInterval)
		for _, o := range n.likelyHolders(r.ID()) {
			if n.hasRequest(ctx, o.Fact, r) {
				f = o.Fact
				break
			}
		}
	}
}

const (
	followTimeout       = 10 * time.Minute
	followRetryInterval = 200 * time.Millisecond
)

func (n *Node) hasRequest(ctx context.Context, f member.Fact, r *request.Request) bool {
	if n.peers.blocked(f.Address) {
		return false
	}
	x, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := n.peers.get(f.ID, f.Address).client.Find(x, connect.NewRequest(&wire.FindRequest{Id: r.ID(), Workspace: r.Workspace()}))
	return err == nil && a.Msg.Found
}

func (n *Node) followOnce(ctx context.Context, r *request.Request, f member.Fact) {
	attempt, offset := r.Record().StartAttempt()
	s, err := n.peers.get(f.ID, f.Address).client.Read(ctx, connect.NewRequest(&wire.ReadRequest{Id: r.ID(), Offset: int32(offset), Workspace: r.Workspace()}))
	if err != nil {
		return
	}
	defer s.Close()
	for s.Receive() {
		k := s.Msg()
		for i, piece := range k.Pieces {
			if r.Record().Append(attempt, int(k.Offset)+i, piece) != nil {
				return
			}
		}
		if k.Outcome != "" {
			r.Record().Finish(stream.Outcome(k.Outcome), k.Failure, 0, n.clock.Now())
			return
		}
	}
}
