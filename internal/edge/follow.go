package edge

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/registration"
	"spurhall.example/spurhall/internal/wire"
)

// This file connects package follow with the node: the call by which it follows a watcher, and the one by which it is
// followed.

// errNoUpdates reports that a node doesn't watch the store, or that its list is behind.
var errNoUpdates = errs.NewType("no_news").New("the node has no news of the store")

func (n *Node) newSource() *follow.Source {
	return &follow.Source{
		Incarnation: n.options.Incarnation, Clock: n.clock, Pools: n.pools, Changes: n.changes, Registry: n.registry,
		Watching: func() bool { return n.catalogFollower.Connected() && n.listFollower.Connected() },
		Starting: func() bool { return n.isStarting() && n.mustWatch() },
		Late:     n.lag.Late,
		Step: func() (bool, time.Duration) {
			v := n.sight()
			return v.InStep, n.step.MissedAgo(n.clock.Now())
		},
		Catalog: func() ([]byte, int64) {
			h := n.catalog.Load()
			if h == nil {
				return nil, 0
			}
			return h.raw, h.catalog.Version()
		},
	}
}

func (n *Node) newFollower() *follow.Follower {
	return &follow.Follower{
		Clock: n.clock, Log: n.log, Pools: n.pools, Registry: n.registry, UpdateList: n.updateList, MembersHeard: n.membersHeard,
		Listed: func(partial bool) {
			n.partial.Store(partial)
			n.listed.Store(true)
			n.signalInitialized()
		},
		CountDifference: func() { upstreamEvents.Add("lists_differ", 1) },
	}
}

// membersHeard applies the registry as a watcher sent or confirmed it.
func (n *Node) membersHeard(now time.Time, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registrySentAt = now
	n.registryPoller.Sent()
	if changed || now.Sub(n.registryAppliedAt) >= registration.ReadInterval/2 {
		n.registryAppliedAt = now
		n.applyRegistry(now)
	}
}

// pollWatcher requests changes from one watcher and applies them.
func (n *Node) pollWatcher(ctx context.Context, name string, at *follow.Position) error {
	n.mu.Lock()
	p, large := n.peers.Get(name), !pair.Suffice(n.peers.Size())
	n.mu.Unlock()
	if p == nil || p.Address == "" {
		return errNoUpdates
	}
	version, revision := int64(-1), int64(0)
	if c := n.currentCatalog(); c != nil {
		version = c.Version()
	}
	if n.listed.Load() {
		revision = n.pools.Revision()
	}
	r := at.Request(version, revision)
	r.TakesLongWait = large
	asked := n.clock.Now()
	c, cancel := context.WithTimeout(ctx, follow.Timeout(r))
	defer cancel()
	a, err := n.peers.Client(p).Follow(c, connect.NewRequest(r))
	if err == nil {
		err = n.applyFollowed(name, asked, a.Msg, at)
	}
	if err != nil {
		at.Abandon()
		return err
	}
	if p := follow.Pause(r, a.Msg, n.clock.Since(asked)); p > 0 {
		_ = n.clock.Sleep(ctx, p) // the caller checks the context
	}
	return nil
}

// applyFollowed applies the response of a watcher. The configuration holds also where the list is behind this node's: a
// node that has read more of the store than its watchers must not wait for them to catch up.
func (n *Node) applyFollowed(name string, asked time.Time, m *wire.FollowResponse, at *follow.Position) error {
	if m.Watching && len(m.Catalog) > 0 {
		n.applyCatalog(m.Catalog, name)
	}
	if !m.Watching {
		now := n.clock.Now()
		n.noNewsAt.Store(&now)
		return errNoUpdates
	}
	if n.follower.IsBehind(m, at) {
		return errNoUpdates
	}
	n.markStoreAvailable()
	n.follower.Apply(name, m, at)
	if !m.More {
		n.confirmed.Confirm(follow.ConfirmedAt(asked, m))
		n.confirmStep(name, follow.ConfirmedAt(asked, m), m)
	}
	return nil
}

// confirmStep records up to when a watcher's response has this node in step. What the watcher has missed, this node has, too.
func (n *Node) confirmStep(name string, at time.Time, m *wire.FollowResponse) {
	if m.OutOfStep {
		return
	}
	n.noteMissed(name, n.step.Confirm(at))
	if m.MissedAgoMs > 0 {
		n.missVersions(name, time.Duration(m.MissedAgoMs)*time.Millisecond)
	}
}

// Follow responds as soon as there is a change that the caller lacks.
func (s *edgeService) Follow(ctx context.Context, r *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	a, err := s.n.source.Await(ctx, r.Msg)
	if err != nil {
		return nil, errors.Join(errNoUpdates, err)
	}
	return connect.NewResponse(a), nil
}

func (n *Node) replaceList(name string, revision int64, items []pool.Item) {
	n.updateList(name, func(now time.Time, l *pool.List) { l.Replace(now, revision, items) })
	n.listed.Store(true)
	n.signalInitialized()
}
