package pool

import (
	"math"
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file estimates the current load of other nodes at each upstream from their reports.
//
// The age of a report grows with the number of nodes, and what it states of an upstream is valid for about
// the duration of a request: after that, other requests are running, at any upstream. As it ages, a report
// therefore counts less for the upstreams it names, and by the same amount more for all upstreams of the
// service, in proportion to their speeds. If reports were taken literally, all nodes would send to the upstream that was free a
// second ago.

// A relay sends the combined load of the nodes behind it, some tenths of a second old. It replaces the
// reports of the nodes that it covers.

// PeerLoad is the combined load of several other nodes.
type PeerLoad struct {
	Age   time.Duration // average age of the figures
	Loads []Load
	// Complete is set if all requests that these nodes have sent since are known, because this node places
	// their requests.
	Complete bool
}

type receivedLoad struct {
	at       time.Time
	loads    []Load
	complete bool
}

// peerLoadTTL is how long a relay's peer loads replace the reports of the nodes they cover: a few rounds
// of the relay, so that another relay can take over from one that is lost.
const peerLoadTTL = 1500 * time.Millisecond

// ApplyPeerLoads applies the load of other nodes as a relay sent it, the set of nodes that it covers, and
// where prompt prefixes were read.
func (p *Pools) ApplyPeerLoads(loads []PeerLoad, covered map[string]bool, placed []Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.peerLoads, p.covered, p.peerLoadsAt = p.peerLoads[:0], covered, now
	for _, s := range loads {
		p.peerLoads = append(p.peerLoads, receivedLoad{at: now.Add(-s.Age), loads: s.Loads, complete: s.Complete})
	}
	p.applyPlacements(now, placed)
}

// currentPeerLoads returns the peer loads if they are recent enough to count.
func (p *Pools) currentPeerLoads(now time.Time) []receivedLoad {
	if now.Sub(p.peerLoadsAt) > peerLoadTTL {
		return nil
	}
	return p.peerLoads
}

// covers reports whether the current peer loads include a node.
func (p *Pools) covers(now time.Time, node string) bool {
	return p.covered[node] && now.Sub(p.peerLoadsAt) <= peerLoadTTL
}

// loadSum is the load of other nodes at one upstream.
type loadSum struct {
	running  float64 // requests
	queued   float64 // prompt tokens waiting for their first token
	reserved float64 // tokens of memory
}

func (v *loadSum) add(w, running, queued, reserved float64) {
	v.running += w * running
	v.queued += w * queued
	v.reserved += w * reserved
}

// sumPeerLoad sets the load of other nodes at each upstream of a service (peerLoad). It returns the work that
// they have sent to one upstream on average since their reports, in milliseconds.
func (p *Pools) sumPeerLoad(now time.Time, name string, e capacity.Engine) float64 {
	for _, m := range p.peerLoaded {
		m.peers = loadSum{}
	}
	p.peerLoaded = p.peerLoaded[:0]
	members := p.services[name]
	durationMs := p.service(name).durationMs
	var anywhere loadSum
	total, totalAge := 0.0, 0.0
	add := func(age time.Duration, whole bool, l Load) {
		m := p.members[l.Upstream]
		if m == nil || m.entry.Service != name {
			return
		}
		total += float64(l.Running)
		if !whole {
			totalAge += float64(l.Running) * float64(age) / float64(time.Millisecond)
		}
		weight := math.Exp(-float64(age) / float64(time.Millisecond) / durationMs)
		m.peers.add(weight, float64(l.Running), remainingQueue(e, m.speed.value(), l.Queued, age), l.Reserved)
		p.peerLoaded = append(p.peerLoaded, m)
		anywhere.add(1-weight, float64(l.Running), l.Queued, l.Reserved)
	}
	for node, v := range p.reports {
		if age := now.Sub(v.at); age <= peerReportTTL && !p.covers(now, node) {
			for _, l := range v.loads {
				add(age, false, l)
			}
		}
	}
	for _, v := range p.currentPeerLoads(now) {
		for _, l := range v.loads {
			add(now.Sub(v.at), v.complete, l)
		}
	}
	for _, v := range p.pending {
		add(now.Sub(v.at), true, v.load)
	}
	p.anywhere = loadSum{}
	if len(members) > 0 {
		p.anywhere.add(1/p.sumSpeeds(name), anywhere.running, anywhere.queued, anywhere.reserved)
	}
	if total == 0 {
		return 0
	}
	return p.unreported(name, total, totalAge/total)
}

// peerLoad returns the load of other nodes at an upstream, of the service that was last passed to sumPeerLoad.
func (p *Pools) peerLoad(m *member) loadSum {
	v := m.peers
	v.add(m.speed.value(), p.anywhere.running, p.anywhere.queued, p.anywhere.reserved)
	return v
}
