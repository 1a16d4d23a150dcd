package pool

import (
	"maps"
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

// LateVersion is a version that may have begun streams.
type LateVersion struct {
	Version string
	GoneAgo time.Duration // since its last upstream was dropped; 0: one is listed
}

// LateVersionsOf returns the versions of one service's software that may have begun streams, in order.
func (p *Pools) LateVersionsOf(service string) []LateVersion {
	known, _ := p.StreamVersions(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	list, now := make([]LateVersion, 0, len(known)), p.clock.Now()
	for _, v := range known {
		l := LateVersion{Version: v}
		if !p.listsVersion(service, v) {
			l.GoneAgo = max(time.Millisecond, now.Sub(p.versionsLost[service][v]))
		}
		list = append(list, l)
	}
	return list
}

// ServiceVersions are the versions of a service's software that may have begun streams.
type ServiceVersions struct {
	Service  string
	Versions []LateVersion
}

// AllLateVersions returns those of all services, in order.
func (p *Pools) AllLateVersions() []ServiceVersions {
	return p.lateVersionsOf(slices.Sorted(maps.Keys(p.LateVersions())))
}

// PartialLateVersions returns those of the services of which nodes of this hall that don't watch the store are sent a part.
func (p *Pools) PartialLateVersions() []ServiceVersions {
	return p.lateVersionsOf(p.partialServices())
}

func (p *Pools) lateVersionsOf(services []string) []ServiceVersions {
	list := make([]ServiceVersions, 0, len(services))
	for _, s := range services {
		list = append(list, ServiceVersions{Service: s, Versions: p.LateVersionsOf(s)})
	}
	return list
}

// listsVersion reports whether upstreams of a version are listed.
func (p *Pools) listsVersion(service, version string) bool {
	for g := range p.counts {
		if g.Service == service && g.Version == version {
			return true
		}
	}
	return false
}

// HearVersions records versions of a service that another node knows, and reports whether this one didn't. A version that has
// gone may have had requests; one that is listed there will be listed here, and is new.
func (p *Pools) HearVersions(service string, list []LateVersion) (added bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.versions[service] == nil {
		p.versions[service] = make(map[string]time.Time)
	}
	for _, v := range list {
		lost := now.Add(-v.GoneAgo)
		if v.GoneAgo > StreamsLast || p.listsVersion(service, v.Version) {
			continue
		}
		first, known := p.versions[service][v.Version]
		if known && !p.versionsLost[service][v.Version].Before(lost) {
			continue
		}
		if !known && v.GoneAgo == 0 {
			first = now
		}
		p.versions[service][v.Version] = first
		p.recordVersionLost(lost, Entry{Service: service, Version: v.Version})
		added = true
	}
	return added
}

// isForgotten reports whether a version counts no longer as one that may have begun streams. One that comes back after that is
// new, as it is to nodes that never knew it.
func (p *Pools) isForgotten(now time.Time, e Entry) bool {
	at, lost := p.versionsLost[e.Service][e.Version]
	return lost && now.Sub(at) > StreamsLast && !p.listsVersion(e.Service, e.Version)
}

// recordSeen records the versions that entries had in an update, also those that came and went within it.
func (p *Pools) recordSeen(now time.Time, seen map[serviceVersion]bool) {
	for v := range seen {
		e := Entry{Service: v.service, Version: v.version}
		if p.listsVersion(v.service, v.version) {
			continue // recorded as its upstream was listed
		}
		p.recordVersion(now, e)
		p.recordVersionLost(now, e)
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
