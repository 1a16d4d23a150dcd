package follow

import (
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire"
)

// This file is the side of the node that follows.

const (
	// responseMargin is how long a response may take beyond the time for which the request is held.
	responseMargin = 250 * time.Millisecond
	// minDifferences is how many responses in a row have to show that the follower's list differs from the
	// source's before the whole list is requested, and readAnewPause the shortest time between two such
	// requests: lists differ for some seconds after an outage of the store.
	minDifferences = 2
	readAnewPause  = 5 * time.Second
	// changesInterval is the shortest time between two requests of a node of a large fleet while there are changes.
	// Each change would otherwise be a response to each follower, while 1,000 upstreams a second are listed. It is a
	// tenth of the time in which a leaving upstream has to be known.
	changesInterval = 100 * time.Millisecond
)

// Timeout returns how long a response to a request may take: a frozen node has to be abandoned well within the time
// in which a leaving upstream has to be known.
func Timeout(r *wire.FollowRequest) time.Duration {
	if r.TakesLongWait {
		return longWaitLimit + responseMargin
	}
	return waitLimit + responseMargin
}

// Pause returns how long a node waits after a response, to a request sent some time ago, until its next request. The
// first change after a calm is never delayed.
func Pause(r *wire.FollowRequest, a *wire.FollowResponse, ago time.Duration) time.Duration {
	if !r.TakesLongWait || a.More || !a.HasChanges && !a.HasMemberChanges && !a.HasPart && !a.HasMembers {
		return 0
	}
	return max(0, changesInterval-ago)
}

// Position is how far a node has come in following others, and what it has of a list that comes in parts.
type Position struct {
	incarnation string // of the process that is followed
	sequence    int64
	members     int64       // sequence of the registry
	parts       []pool.Item // received so far
	revision    int64       // of the first part
	differs     int         // number of responses in a row after which the lists differed
	readAnewAt  time.Time   // when the whole list was last requested because of that
	whole       bool        // the whole list is requested, whatever this node has
}

// NewPosition returns the position of a node that begins to follow. whole says that its list isn't one that it could
// be sent changes of.
func NewPosition(whole bool) *Position { return &Position{whole: whole} }

// Request returns the request for what a node lacks whose list is at a revision; 0: it has none.
func (p *Position) Request(catalogVersion, revision int64) *wire.FollowRequest {
	r := &wire.FollowRequest{
		CatalogVersion: catalogVersion, Lifetime: p.incarnation, ListSequence: p.sequence, ListRevision: revision,
		TakesChanges: true, TakesPart: true, TakesMembers: true, MembersSequence: p.members,
	}
	if n := len(p.parts); n > 0 {
		r.AfterService, r.AfterId = p.parts[n-1].Entry.Service, p.parts[n-1].Entry.ID
	}
	if p.whole {
		r.Lifetime, r.ListRevision = "", 0
	}
	return r
}

// Abandon drops the parts of a list after a failed request. The next request may go to another node.
func (p *Position) Abandon() { p.parts = nil }

// Follower applies what a node is sent.
type Follower struct {
	Clock    *timer.Service
	Log      *zap.Logger
	Pools    *pool.Pools
	Registry *roster.Registry
	// UpdateList changes the upstream list, and names the node that sent the changes.
	UpdateList func(source string, f func(now time.Time, l *pool.List))
	// Listed is called when this node's list is complete. partial says that it leaves out upstreams of other halls.
	Listed func(partial bool)
	// MembersHeard is called when the registry was received or confirmed; changed says that it differs.
	MembersHeard func(now time.Time, changed bool)
	// CountDifference counts a list that differs from its source's in spite of all changes.
	CountDifference func()
}

// IsBehind reports whether a response is older than the node's own list.
func (f *Follower) IsBehind(m *wire.FollowResponse, p *Position) bool {
	first := m.HasList || m.HasChanges || m.HasPart && len(p.parts) == 0
	return first && m.ListRevision < f.Pools.LastChange()
}

// Apply applies the response of a node.
func (f *Follower) Apply(name string, m *wire.FollowResponse, p *Position) {
	f.applyMembers(m, p)
	for _, v := range message.ServiceVersionsFromWire(m.Versions) {
		f.Pools.HearVersions(v.Service, v.Versions)
	}
	switch {
	case m.HasPart:
		f.applyPart(name, m, p)
		return
	case m.HasList:
		f.replaceList(name, m, m.ListRevision, message.ItemsFromWire(m.List))
	case m.HasChanges:
		f.applyChanges(name, m)
	default:
		return
	}
	p.incarnation, p.sequence, p.parts, p.whole = m.Lifetime, m.ListSequence, nil, false
	if m.HasChanges && m.ListHash != 0 {
		f.compareList(name, m.ListHash, p)
	}
}

// applyMembers applies what was sent of the registry.
func (f *Follower) applyMembers(m *wire.FollowResponse, p *Position) {
	if !m.MembersRead {
		return
	}
	now := f.Clock.Now()
	switch list := message.MembersFromWire(m.Members); {
	case m.HasMembers:
		f.Registry.Replace(now, list)
	case m.HasMemberChanges:
		f.Registry.Apply(now, list, m.GoneMembers)
	default:
		f.MembersHeard(now, false)
		return
	}
	p.members = m.MembersSequence
	f.MembersHeard(now, true)
}

func (f *Follower) applyChanges(name string, m *wire.FollowResponse) {
	items := message.ItemsFromWire(m.List)
	f.UpdateList(name, func(now time.Time, l *pool.List) {
		for _, v := range items {
			l.Put(v)
		}
		for _, id := range m.Gone {
			l.Delete(now, id)
		}
		l.Advance(m.ListRevision)
	})
	f.Listed(m.Partial)
}

// applyPart adds a part of a list, and applies the list once it is complete. Entries that change meanwhile are
// among the changes since the first part.
func (f *Follower) applyPart(name string, m *wire.FollowResponse, p *Position) {
	if len(p.parts) == 0 {
		p.incarnation, p.sequence, p.revision = m.Lifetime, m.ListSequence, m.ListRevision
	}
	p.parts = append(p.parts, message.ItemsFromWire(m.List)...)
	if m.More {
		return
	}
	f.replaceList(name, m, p.revision, p.parts)
	p.parts, p.whole = nil, false
}

func (f *Follower) replaceList(name string, m *wire.FollowResponse, revision int64, items []pool.Item) {
	f.UpdateList(name, func(now time.Time, l *pool.List) { l.Replace(now, revision, items) })
	f.Listed(m.Partial)
}

// compareList requests the whole list anew if this node's list differs from the source's although it has all
// changes. The source's hash may be a change ahead of what it sent, so one difference proves nothing.
func (f *Follower) compareList(name string, hash uint64, p *Position) {
	now := f.Clock.Now()
	if p.differs++; hash == f.Pools.ListHash(pool.ScopeAll) {
		p.differs = 0
	}
	if p.differs < minDifferences || now.Sub(p.readAnewAt) < readAnewPause {
		return
	}
	p.readAnewAt, p.whole = now, true
	f.CountDifference()
	f.Log.Warn("list_differs", zap.String("watcher", name), zap.Int64("revision", f.Pools.Revision()), zap.Int("upstreams", f.Pools.Len()))
}
