package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file separates the versions of a service's upstreams while one replaces another. Package rollout
// decides which versions take which requests; this file applies its decisions.
//
// An upstream of a version that is new to the service gets no requests for a moment: it may be the target
// of a roll-out that this node has not received yet. The list of upstreams and the order of a roll-out
// come by two watches, in any order. After that moment, a version without an order is treated like any
// other, so that upstreams that are replaced without a roll-out are not left idle.

// versionGrace is the length of that moment: an order arrives after two seconds at most, the longest time
// for which the watch of the operators' keys may be silently broken, and reaches the other nodes some
// tenths of a second later.
const versionGrace = 2500 * time.Millisecond

// MaxVersionLag is how old a node's list may be if a version that it lacks must not have had requests yet: the moment for
// which such a version gets none, less what nodes differ in when they hear of it.
const MaxVersionLag = versionGrace - 200*time.Millisecond

// Split is which versions of a service take which requests. With its zero value all versions take all
// requests.
type Split struct {
	Target           string          // version that is rolled out; empty: none
	ToTarget         bool            // requests that are not on trial go to the target if it has upstreams
	TargetAsFallback bool            // the target takes requests that are not on trial if there are no other upstreams
	TrialUpstreams   int             // number of the target's upstreams that take requests on trial
	Barred           map[string]bool // versions that take no requests
}

// SetSplit sets which versions of a service take which requests.
func (p *Pools) SetSplit(service string, s Split) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.splits[service]
	p.splits[service] = s
	if old.Target != s.Target {
		p.rank(service)
	}
}

// rank orders the target's upstreams, in the same way on every node: the first ones take requests on
// trial.
func (p *Pools) rank(service string) {
	s := p.splits[service]
	var targets []*member
	for _, m := range p.services[service] {
		m.rank = notRanked
		if s.Target != "" && m.entry.Version == s.Target && !m.entry.Leaving {
			targets = append(targets, m)
		}
	}
	slices.SortFunc(targets, func(a, b *member) int {
		return cmp.Compare(xxhash.Sum64String(a.entry.ID), xxhash.Sum64String(b.entry.ID))
	})
	for i, m := range targets {
		m.rank = i
	}
}

// notRanked is the rank of an upstream that does not belong to a roll-out's target.
const notRanked = -1

// recordVersion records when a version of a service was first seen. Versions of the first list are not
// considered new.
func (p *Pools) recordVersion(now time.Time, e Entry) {
	v := p.versions[e.Service]
	if v == nil {
		v = make(map[string]time.Time)
		p.versions[e.Service] = v
	}
	if _, ok := v[e.Version]; ok && !p.isForgotten(now, e) {
		return
	}
	if len(v) == 0 || !p.listRead {
		now = time.Time{}
	}
	v[e.Version] = now
}

// serves reports whether a member's version takes a request, or takes it only as a spare: if it is too new
// to be known, or is the side of the roll-out that is used only as a fallback.
func (p *Pools) serves(now time.Time, m *member, n Request) (takes, spare bool) {
	s, v := p.splits[n.Service], m.entry.Version
	target := s.Target != "" && v == s.Target
	switch {
	case s.Barred[v]:
		return false, false
	case n.Version != "":
		return true, false // usable leaves the others out
	case n.Trial:
		return target && m.rank >= 0 && m.rank < s.TrialUpstreams, false
	case s.Target == "":
		early := now.Sub(p.versions[n.Service][v]) < versionGrace
		return !early, early
	case s.ToTarget:
		return target, !target
	}
	return !target, target && s.TargetAsFallback
}

// Versions returns the number of a service's upstreams that are of the given version and not leaving, the
// number of other upstreams that are neither leaving nor barred, and the requests in progress at upstreams
// of other versions that are not barred.
func (p *Pools) Versions(service, version string) (of, others, running int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sumPeerLoad(p.clock.Now(), service, p.engine(p.clock.Now(), service))
	s := p.splits[service]
	for _, m := range p.services[service] {
		switch {
		case m.entry.Version == version && !m.entry.Leaving:
			of++
		case m.entry.Version == version || s.Barred[m.entry.Version]:
		case !m.entry.Leaving:
			others++
			fallthrough
		default:
			running += m.load.Running + int(p.peerLoad(m).running+0.5)
		}
	}
	return of, others, running
}
