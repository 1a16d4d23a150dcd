package edge

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/wire"
)

// This file is the call by which a node gets the configuration and the upstream list from a node that watches
// the store. A follower is sent the entries that changed (package changelog). It is sent the whole list only if
// it has none, or one that is too old, and then in parts: a list of thousands of entries takes longer than a
// call may take on a VM with a slow link. Followers of an earlier build take neither, and are sent the whole
// list at once.

const (
	// followWaitLimit is how long a poll without changes is held, and followTimeout how long a response may
	// take: a frozen watcher has to be abandoned well within the time in which a leaving upstream has to be
	// known.
	followWaitLimit = 400 * time.Millisecond
	followTimeout   = followWaitLimit + 250*time.Millisecond
	// longFollowWait is how long a poll is held in a large fleet. Polls without changes are most of what its watchers
	// do, and a frozen one costs a node 0.4 s more, of the seconds for which a leaving upstream serves.
	longFollowWait = 800 * time.Millisecond
	// maxListPart is how many entries one response holds, some 100 kB: 40 ms on a link of 20 Mbit/s.
	maxListPart = 1000
	// minDifferences is how many responses in a row have to show that the follower's list differs from the
	// watcher's before the whole list is requested, and readAnewPause the shortest time between two such
	// requests: lists differ for some seconds after an outage of the store.
	minDifferences = 2
	readAnewPause  = 5 * time.Second
)

// errNoUpdates reports that a node doesn't watch the store, or that its list is behind.
var errNoUpdates = errs.NewType("no_news").New("the node has no news of the store")

// listSource is where a follower's list comes from, and what it has of a list that comes in parts.
type listSource struct {
	incarnation string // of the watcher's process
	sequence    int64
	members     int64       // sequence of the registry
	parts       []pool.Item // received so far
	revision    int64       // of the first part
	differs     int         // number of responses in a row after which this node's list differed from the watcher's
	readAnewAt  time.Time   // when the whole list was last requested because of that
	forgotten   bool        // the whole list is requested, whatever this node has
}

// request returns the request for what this node lacks.
func (v *listSource) request(version, revision int64) *wire.FollowRequest {
	r := &wire.FollowRequest{CatalogVersion: version, Lifetime: v.incarnation, ListSequence: v.sequence, TakesChanges: true, ListRevision: revision, TakesPart: true, TakesMembers: true, MembersSequence: v.members}
	if n := len(v.parts); n > 0 {
		r.AfterService, r.AfterId = v.parts[n-1].Entry.Service, v.parts[n-1].Entry.ID
	}
	if v.forgotten {
		r.Lifetime, r.ListRevision = "", 0
	}
	return r
}

// pollWatcher requests changes from one watcher and applies them.
func (n *Node) pollWatcher(ctx context.Context, name string, from *listSource) error {
	n.mu.Lock()
	p, large := n.peers.peers[name], !pair.Suffice(n.peers.size())
	n.mu.Unlock()
	if p == nil || p.address == "" {
		return errNoUpdates
	}
	version := int64(-1)
	if c := n.currentCatalog(); c != nil {
		version = c.Version()
	}
	revision := int64(0)
	if n.listed.Load() {
		revision = n.pools.Revision()
	}
	r, timeout := from.request(version, revision), followTimeout
	if large {
		r.TakesLongWait = true
		timeout += longFollowWait - followWaitLimit
	}
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := n.peers.clientOf(p).Follow(c, connect.NewRequest(r))
	if err != nil {
		from.parts = nil
		return err
	}
	m := a.Msg
	first := m.HasList || m.HasChanges || m.HasPart && len(from.parts) == 0
	if !m.Watching || first && m.ListRevision < n.pools.LastChange() {
		from.parts = nil
		return errNoUpdates
	}
	n.markStoreAvailable()
	if len(m.Catalog) > 0 {
		n.applyCatalog(m.Catalog, name)
	}
	n.applyFollowed(name, m, from)
	return nil
}

// applyMembers applies what a watcher sent of the registry.
func (n *Node) applyMembers(m *wire.FollowResponse, from *listSource) {
	if !m.MembersRead {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.registrySentAt = now
	n.registryTried.Store(true)
	switch list := message.MembersFromWire(m.Members); {
	case m.HasMembers:
		n.registry.Replace(now, list)
	case m.HasMemberChanges:
		n.registry.Apply(now, list, m.GoneMembers)
	case now.Sub(n.registryAppliedAt) < registryReadInterval/2:
		return
	}
	from.members, n.registryAppliedAt = m.MembersSequence, now
	n.applyRegistry(now)
}

// applyFollowed applies what a watcher sent of its list.
func (n *Node) applyFollowed(name string, m *wire.FollowResponse, from *listSource) {
	n.applyMembers(m, from)
	switch {
	case m.HasPart:
		n.applyPart(name, m, from)
		return
	case m.HasList:
		n.replaceList(name, m.ListRevision, message.ItemsFromWire(m.List))
	case m.HasChanges:
		items := message.ItemsFromWire(m.List)
		n.updateList(name, func(now time.Time, l *pool.List) {
			for _, v := range items {
				l.Put(v)
			}
			for _, id := range m.Gone {
				l.Delete(now, id)
			}
			l.Advance(m.ListRevision)
		})
	default:
		return
	}
	n.partial.Store(m.Partial)
	from.incarnation, from.sequence, from.parts, from.forgotten = m.Lifetime, m.ListSequence, nil, false
	if m.HasChanges && m.ListHash != 0 {
		n.compareList(name, m.ListHash, from)
	}
}

// applyPart adds a part of a list, and applies the list once it is complete. Entries that change meanwhile are
// among the changes since the first part.
func (n *Node) applyPart(name string, m *wire.FollowResponse, from *listSource) {
	if len(from.parts) == 0 {
		from.incarnation, from.sequence, from.revision = m.Lifetime, m.ListSequence, m.ListRevision
	}
	from.parts = append(from.parts, message.ItemsFromWire(m.List)...)
	if m.More {
		return
	}
	n.partial.Store(m.Partial)
	n.replaceList(name, from.revision, from.parts)
	from.parts, from.forgotten = nil, false
}

func (n *Node) replaceList(name string, revision int64, items []pool.Item) {
	n.updateList(name, func(now time.Time, l *pool.List) { l.Replace(now, revision, items) })
	n.listed.Store(true)
	n.signalInitialized()
}

// compareList requests the whole list anew if this node's list differs from the watcher's although it has all
// changes. The watcher's hash may be a change ahead of what it sent, so one difference proves nothing.
func (n *Node) compareList(name string, hash uint64, from *listSource) {
	now := n.clock.Now()
	if from.differs++; hash == n.pools.ListHash(pool.ScopeAll) {
		from.differs = 0
	}
	if from.differs < minDifferences || now.Sub(from.readAnewAt) < readAnewPause {
		return
	}
	from.readAnewAt, from.forgotten = now, true
	upstreamEvents.Add("lists_differ", 1)
	n.log.Warn("list_differs", zap.String("watcher", name), zap.Int64("revision", n.pools.Revision()), zap.Int("upstreams", n.pools.Len()))
}

// Follow responds as soon as there is a change that the caller lacks.
func (s *edgeService) Follow(ctx context.Context, r *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	n := s.n
	limit := followWaitLimit
	if r.Msg.TakesLongWait {
		limit = longFollowWait
	}
	timeout, stop := n.clock.After(limit)
	defer stop()
	for {
		sequence, changed := n.changes.Subscribe()
		_, membersChanged := n.registry.Subscribe()
		a := n.updatesFor(r.Msg, sequence)
		if !a.Watching || a.HasList || a.HasChanges || a.HasPart || a.HasMembers || a.HasMemberChanges || len(a.Catalog) > 0 {
			return connect.NewResponse(a), nil
		}
		select {
		case <-changed:
		case <-membersChanged:
		case <-timeout:
			return connect.NewResponse(a), nil
		case <-ctx.Done():
			return nil, errors.Join(errNoUpdates, ctx.Err())
		}
	}
}

// updatesFor returns what a caller lacks of the configuration and of this node's list, whose sequence is at
// least the one given.
func (n *Node) updatesFor(r *wire.FollowRequest, sequence int64) *wire.FollowResponse {
	a := &wire.FollowResponse{Watching: n.catalogFollower.connected.Load() && n.listFollower.connected.Load(), Lifetime: n.options.Incarnation, ListSequence: sequence}
	if !a.Watching {
		return a
	}
	if h := n.catalog.Load(); h != nil && h.catalog.Version() > r.CatalogVersion {
		a.Catalog = h.raw
	}
	known := r.Lifetime == n.options.Incarnation
	if r.TakesMembers {
		n.addMembers(a, r, known)
	}
	if known && r.ListSequence == sequence && r.AfterId == "" {
		return a
	}
	a.ListRevision = n.pools.Revision()
	a.Partial = r.TakesPart && n.pools.IsPartial()
	switch {
	case !r.TakesChanges:
		a.HasList, a.List = true, n.listToWire()
	case r.AfterId != "" || !n.addChanges(a, r, known):
		n.addPart(a, r)
	}
	return a
}

// addMembers adds what the caller lacks of the registry.
func (n *Node) addMembers(a *wire.FollowResponse, r *wire.FollowRequest, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a.MembersSequence, _ = n.registry.Subscribe()
	a.MembersRead = n.registry.Age(n.clock.Now()) < 2*registryReadInterval && a.MembersSequence > 0
	if !a.MembersRead || known && r.MembersSequence == a.MembersSequence {
		return
	}
	changed, gone, ok := n.registry.Since(r.MembersSequence)
	if ok && known {
		a.HasMemberChanges, a.Members, a.GoneMembers = true, message.MembersToWire(changed), gone
		return
	}
	a.HasMembers, a.Members = true, message.MembersToWire(n.registry.Members())
}

// addChanges adds the entries that changed since the caller's list, and reports whether they are known.
func (n *Node) addChanges(a *wire.FollowResponse, r *wire.FollowRequest, known bool) bool {
	ids, ok := n.changes.Since(r.ListSequence)
	if !known {
		ids, ok = n.changes.SinceRevision(r.ListRevision)
	}
	if !ok || !known && r.ListRevision == 0 || len(ids) > maxListPart {
		return false
	}
	scope := scopeFor(r)
	items, gone := n.pools.ItemsOf(scope, ids)
	a.HasChanges, a.List, a.Gone, a.ListHash = true, message.ItemsToWire(items), gone, n.pools.ListHash(scope)
	return true
}

// scopeFor returns the scope of the list that a caller takes.
func scopeFor(r *wire.FollowRequest) pool.Scope {
	if r.TakesPart {
		return pool.ScopeKept
	}
	return pool.ScopeAll
}

// addPart adds the part of the list that follows the one that the caller has.
func (n *Node) addPart(a *wire.FollowResponse, r *wire.FollowRequest) {
	items, more := n.pools.ItemsAfter(scopeFor(r), r.AfterService, r.AfterId, maxListPart)
	a.HasPart, a.More, a.List = true, more, message.ItemsToWire(items)
}

func (n *Node) listToWire() []*wire.ListItem { return message.ItemsToWire(n.pools.Items()) }
