package follow

import (
	"sync"
	"time"

	"spurhall.example/spurhall/internal/pool"
)

// This file tells whether a node is in step with the others: whether its list has each version of a service of which an
// upstream can have begun a stream. A version that is new gets its first requests a moment after nodes have heard of it, so a
// list that was complete less than that moment ago lacks none that has had any. While the store is away, a node is in step that
// hears most others, none of which has a later list. One that has been frozen, or cut off from the store and the other nodes,
// isn't until it has heard of what it missed.
//
// Being in step says that nothing is lacking now. What came and went while the node was out of step it has never seen: a version
// that was tried and withdrawn meanwhile may have begun streams. So the node also knows since when its list was without a gap.

// steadyAfter is how long after it got back into step a node no longer knows less than the others of the versions that
// came meanwhile: to it they look new when they aren't.
const steadyAfter = 2 * pool.MaxVersionLag

// SignLimit is how recent the signs of the other nodes have to be: pairs of a fleet swap reports every two seconds at least,
// or relays name it more often. It is less than pool.MaxVersionLag: who has a new version then tells so in time.
const SignLimit = 2 * time.Second

// Step is up to when a node was in step. Its zero value never was. It is safe for concurrent use.
type Step struct {
	mu    sync.Mutex
	at    time.Time // up to which the list was complete
	since time.Time // since when it has been without a gap; zero: since it was first complete
	heard time.Time // when others were last asked for the versions that they know, and all said it, or one that has missed none
}

// Confirm records that the list was complete at a time. It returns for how long it may have missed versions, 0 if it can't.
func (s *Step) Confirm(at time.Time) (missed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !at.After(s.at) {
		return 0
	}
	if d := at.Sub(s.at); !s.at.IsZero() && d > pool.MaxVersionLag {
		s.since, missed = at, d
	}
	s.at = at
	return missed
}

// Miss records that the node may have missed versions until a time.
func (s *Step) Miss(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.since) {
		s.since = until
	}
}

// MissedAgo returns how long ago the node may last have missed versions that can still be owed a stream; 0: it can't.
func (s *Step) MissedAgo(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := now.Sub(s.since)
	if s.since.IsZero() || d > pool.StreamsLast {
		return 0
	}
	return max(time.Millisecond, d)
}

// ConfirmByStore records that the node watches the store, which was last known to be within reach at a time. What has arrived
// since may not have been read by a process that runs late.
func (s *Step) ConfirmByStore(now, contact time.Time, late time.Duration) (missed time.Duration) {
	if t := now.Add(-late); t.Before(contact) {
		contact = t
	}
	return s.Confirm(contact)
}

// ConfirmByOthers records that most of the other nodes have given a sign within SignLimit, and none has a later list. A process
// that runs late takes old signs for new.
func (s *Step) ConfirmByOthers(now time.Time, late time.Duration) (missed time.Duration) {
	return s.Confirm(now.Add(-max(SignLimit, late)))
}

// Hear records that what was missed before a time is known from others.
func (s *Step) Hear(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.heard) {
		s.heard = at
	}
}

// Heard reports whether what the node has missed is known from others.
func (s *Step) Heard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.heard.Before(s.since)
}

// Age returns for how long the list hasn't been known to be complete.
func (s *Step) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.at)
}

// Holds reports whether the node is in step.
func (s *Step) Holds(now time.Time) bool { return s.Age(now) <= pool.MaxVersionLag }

// Steady reports whether the node is in step, and has been for so long that it knows of each version as long as the others.
func (s *Step) Steady(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.at) <= pool.MaxVersionLag && now.Sub(s.since) >= steadyAfter
}
