package follow

import (
	"context"
	"time"

	"spurhall.example/spurhall/internal/changelog"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire"
)

// This file is the side of the node that is followed.

const (
	// waitLimit is how long a request without changes is held, and longWaitLimit the same in a large fleet, where such
	// requests are most of what a watcher serves. A frozen watcher costs a node 0.4 s more there, of the seconds
	// for which a leaving upstream serves.
	waitLimit     = 400 * time.Millisecond
	longWaitLimit = 800 * time.Millisecond
	// maxPart is how many entries one response holds, some 100 kB: 40 ms on a link of 20 Mbit/s.
	maxPart = 1000
	// registryLifetime is the age up to which the registry is passed on: two reads.
	registryLifetime = 4 * time.Second
)

// Source is what a node has for its followers.
type Source struct {
	Incarnation string // of the process
	Clock       *timer.Service
	Pools       *pool.Pools
	Changes     *changelog.Log // of the upstream list
	Registry    *roster.Registry
	// Watching reports whether the node watches the store and is connected to it.
	Watching func() bool
	// Starting reports whether the node will watch the store, but hasn't read it yet.
	Starting func() bool
	// Late returns how late the node runs.
	Late func() time.Duration
	// Step reports whether the node is in step with the others, and how long ago it may last have missed versions (0: never).
	Step func() (inStep bool, missedAgo time.Duration)
	// Catalog returns the configuration in force as the operator wrote it, and its version; nil: none.
	Catalog func() (raw []byte, version int64)
}

// Await responds to a request as soon as there is a change that the follower lacks, or after a while.
func (s *Source) Await(ctx context.Context, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	limit := waitLimit
	if r.TakesLongWait {
		limit = longWaitLimit
	}
	timeout, stop := s.Clock.After(limit)
	defer stop()
	began := s.Clock.Now()
	for {
		_, changed := s.Changes.Subscribe()
		_, membersChanged := s.Registry.Subscribe()
		a := s.answerAfter(r, began)
		if !a.Watching && !s.Starting() || a.HasList || a.HasChanges || a.HasPart || a.HasMembers || a.HasMemberChanges || len(a.Catalog) > 0 {
			return a, nil
		}
		select {
		case <-changed:
		case <-membersChanged:
		case <-timeout:
			return s.answerAfter(r, began), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answerAfter is Answer to a request that has been held since a time.
func (s *Source) answerAfter(r *wire.FollowRequest, began time.Time) *wire.FollowResponse {
	held, late := s.Clock.Since(began), s.Late()
	inStep, missed := s.Step()
	a := s.Answer(r)
	a.HeldMs, a.LateMs, a.OutOfStep, a.MissedAgoMs = held.Milliseconds(), late.Milliseconds(), !inStep, missed.Milliseconds()
	return a
}

// Answer returns what a follower lacks of the configuration, the registry and the upstream list.
func (s *Source) Answer(r *wire.FollowRequest) *wire.FollowResponse {
	sequence, _ := s.Changes.Subscribe() // before anything is read: what changes meanwhile is sent again
	a := &wire.FollowResponse{Watching: s.Watching(), Lifetime: s.Incarnation, ListSequence: sequence}
	if !a.Watching {
		return a
	}
	if raw, version := s.Catalog(); raw != nil && version > r.CatalogVersion {
		a.Catalog = raw
	}
	known := r.Lifetime == s.Incarnation
	if r.TakesMembers {
		s.addMembers(a, r, known)
	}
	if known && r.ListSequence == sequence && r.AfterId == "" {
		return a
	}
	a.ListRevision = s.Pools.Revision()
	if a.Partial = r.TakesPart && s.Pools.IsPartial(); a.Partial {
		a.Versions = message.ServiceVersionsToWire(s.Pools.PartialLateVersions())
	}
	switch {
	case !r.TakesChanges:
		a.HasList, a.List = true, message.ItemsToWire(s.Pools.Items())
	case r.AfterId != "" || !s.addChanges(a, r, known):
		s.addPart(a, r)
	}
	return a
}

// addMembers adds what the follower lacks of the registry.
func (s *Source) addMembers(a *wire.FollowResponse, r *wire.FollowRequest, known bool) {
	a.MembersSequence, _ = s.Registry.Subscribe()
	a.MembersRead = s.Registry.Age(s.Clock.Now()) < registryLifetime && a.MembersSequence > 0
	if !a.MembersRead || known && r.MembersSequence == a.MembersSequence {
		return
	}
	changed, gone, ok := s.Registry.Since(r.MembersSequence)
	if ok && known {
		a.HasMemberChanges, a.Members, a.GoneMembers = true, message.MembersToWire(changed), gone
		return
	}
	a.HasMembers, a.Members = true, message.MembersToWire(s.Registry.Members())
}

// addChanges adds the entries that changed since the follower's list, and reports whether they are known.
func (s *Source) addChanges(a *wire.FollowResponse, r *wire.FollowRequest, known bool) bool {
	ids, ok := s.Changes.Since(r.ListSequence)
	if !known {
		ids, ok = s.Changes.SinceRevision(r.ListRevision)
	}
	if !ok || !known && r.ListRevision == 0 || len(ids) > maxPart {
		return false
	}
	scope := scopeFor(r)
	items, gone := s.Pools.ItemsOf(scope, ids)
	a.HasChanges, a.List, a.Gone, a.ListHash = true, message.ItemsToWire(items), gone, s.Pools.ListHash(scope)
	return true
}

// scopeFor returns the scope of the list that a follower takes.
func scopeFor(r *wire.FollowRequest) pool.Scope {
	if r.TakesPart {
		return pool.ScopeKept
	}
	return pool.ScopeAll
}

// addPart adds the part of the list that follows the one that the follower has.
func (s *Source) addPart(a *wire.FollowResponse, r *wire.FollowRequest) {
	items, more := s.Pools.ItemsAfter(scopeFor(r), r.AfterService, r.AfterId, maxPart)
	a.HasPart, a.More, a.List = true, more, message.ItemsToWire(items)
}
