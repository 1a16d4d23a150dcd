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
