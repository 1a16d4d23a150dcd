package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file keeps versions of a service's upstreams apart while one takes the place of
// another. Package rollout decides which of them takes what; here its word is kept to.
//
// An upstream of a version that the service didn't have gets nothing for a moment: it may be
// the target of a roll-out that this node hasn't heard of yet. A list of upstreams and an
// order come by two watches, in either order. After that moment a version without an order
// is one like any other, so upstreams that are replaced without one aren't left idle.

// versionGrace is that moment: an order is known after two seconds at most, the longest that
// the watch of the operators' keys may be silently dead, and some tenths to the other nodes.
const versionGrace = 2500 * time.Millisecond

// Split says which versions of a service take which requests. Its zero value lets all take
// all.
type Split struct {
	Target   string          // version that is rolled out; empty: none
	ToTarget bool            // what isn't on trial goes to the target, if any of it is there
	TargetAsFallback   bool            // the target takes what isn't on trial if nothing else is there
	TrialUpstreams   int             // upstreams of the target that take requests on trial
	Barred   map[string]bool // versions that take nothing
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

// rank orders the target's upstreams, alike on every node: the first ones take requests on
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

// notRanked is the rank of what is no upstream of a target.
const notRanked = -1

// noteVersion notes when a version of a service was first seen. Those of the first list are
// no news.
func (p *Pools) noteVersion(now time.Time, e Entry) {
	v := p.versions[e.Service]
	if v == nil {
		v = make(map[string]time.Time)
		p.versions[e.Service] = v
	}
	if _, ok := v[e.Version]; ok {
		return
	}
	if len(v) == 0 || !p.filled {
		now = time.Time{}
	}
	v[e.Version] = now
}

// serves tells whether a member's version takes a request. Where it is too new to be known,
// only serves as a spare.
func (p *Pools) serves(now time.Time, m *member, n Request) (takes, spare bool) {
	s, v := p.splits[n.Service], m.entry.Version
	target := s.Target != "" && v == s.Target
	switch {
	case s.Barred[v]:
		return false, false
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

// Versions counts the upstreams of a service that take requests and are of a version, those
// of all others, and the requests at the others.
func (p *Pools) Versions(service, version string) (of, others, running int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatherOthers(p.clock.Now(), service, p.engine(p.clock.Now(), service))
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
			running += m.load.Running + int(m.others.running+0.5)
		}
	}
	return of, others, running
}
