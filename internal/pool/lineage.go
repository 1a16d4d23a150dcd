package pool

import (
	"slices"
	"time"
)

// This file tells which software versions may have begun a stream (package lineage).

// recordVersionLost records that an upstream of a version was dropped.
func (p *Pools) recordVersionLost(now time.Time, e Entry) {
	v := p.versionsLost[e.Service]
	if v == nil {
		v = make(map[string]time.Time)
		p.versionsLost[e.Service] = v
	}
	v[e.Version] = now
}

// StreamsLast is for how long after its last upstream was dropped a version counts as one that may have begun streams. No
// configuration bounds that time: a stream may have begun under a longer time-out than today's, or at an upstream that serves
// on unlisted, and its caller may take it up more than once.
const StreamsLast = 10 * time.Minute

// LateVersions returns the versions of each service's software that may have begun streams, in order.
func (p *Pools) LateVersions() map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	m := make(map[string][]string)
	for g := range p.counts {
		if !slices.Contains(m[g.Service], g.Version) {
			m[g.Service] = append(m[g.Service], g.Version)
		}
	}
	for service, list := range p.versionsLost {
		for v, at := range list {
			if now.Sub(at) <= StreamsLast && !slices.Contains(m[service], v) {
				m[service] = append(m[service], v)
			}
		}
	}
	for _, list := range m {
		slices.Sort(list)
	}
	return m
}

// MixesVersions reports whether there is a service of which several versions may have begun streams.
func (p *Pools) MixesVersions() bool {
	for _, list := range p.LateVersions() {
		if len(list) > 1 {
			return true
		}
	}
	return false
}

// RestoreVersions records that versions served before this process started: of those that aren't listed the last upstream
// may have gone just now. They may all have begun streams.
func (p *Pools) RestoreVersions(m map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for service, list := range m {
		if p.versions[service] == nil {
			p.versions[service] = make(map[string]time.Time)
		}
		for _, v := range list {
			if _, known := p.versions[service][v]; !known {
				p.versions[service][v] = time.Time{}
				p.recordVersionLost(now, Entry{Service: service, Version: v})
			}
		}
	}
}

// StreamVersions returns the versions of a service's software of which upstreams are listed, or were within StreamsLast, and
// those of them that may have begun streams: a version that is new to the service gets no requests for a moment
// (versionGrace), which is longer than nodes differ in when they hear of it.
func (p *Pools) StreamVersions(service string) (known, used []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	listed := make(map[string]bool)
	for g := range p.counts {
		if g.Service == service {
			listed[g.Version] = true
		}
	}
	for v, first := range p.versions[service] {
		if !listed[v] && now.Sub(p.versionsLost[service][v]) > StreamsLast {
			continue
		}
		known = append(known, v)
		if first.IsZero() || now.Sub(first) >= versionGrace {
			used = append(used, v)
		}
	}
	slices.Sort(known)
	slices.Sort(used)
	return known, used
}
