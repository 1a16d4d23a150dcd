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

// LateVersions returns the versions of each service's software of which upstreams are listed, or were within some time,
// in order.
func (p *Pools) LateVersions(lasts time.Duration) map[string][]string {
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
			if now.Sub(at) <= lasts && !slices.Contains(m[service], v) {
				m[service] = append(m[service], v)
			}
		}
	}
	for _, list := range m {
		slices.Sort(list)
	}
	return m
}

// streamsLast is for how long versions count that are gone when it is asked whether there are several: longer than routes
// let streams be taken up.
const streamsLast = 10 * time.Minute

// MixesVersions reports whether upstreams of several versions of a service are listed, or were lately.
func (p *Pools) MixesVersions() bool {
	for _, list := range p.LateVersions(streamsLast) {
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

// StreamVersions returns the versions of a service's software of which upstreams are listed, or were within the time for
// which a stream may be taken up, and those of them that may have begun streams: a version that is new to the service
// gets no requests for a moment (versionGrace), which is longer than nodes differ in when they hear of it.
func (p *Pools) StreamVersions(service string, lasts time.Duration) (known, used []string) {
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
		if !listed[v] && now.Sub(p.versionsLost[service][v]) > lasts {
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
