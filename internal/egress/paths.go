// Package egress decides how a node reaches its upstreams: over its own network, or through another node.
//
//	paths.go  which way a connection to an upstream takes first, and whether the node's own network is lost
//	peers.go  which other nodes are asked
//
// A node may lose its network to upstreams while callers, the store and the other nodes still reach it, and these still
// reach the upstreams. Leaving the balancer doesn't help its callers: where most nodes of a hall are affected, the
// balancer uses all of them. So a connection that can't be opened directly is opened through another node, which
// forwards its bytes. All decisions on a request, and what is known of its outcome, stay at the node that has the caller.
//
// An upstream that only this node can't reach is told apart from one that has crashed by asking: the other node dials it,
// too. The own network is suspected when several upstreams in a row couldn't be reached and none has been heard of in
// between. It counts as lost if others, which are then probed, can't be reached either: half of the upstreams may have
// crashed or fallen silent. Until a direct connection succeeds again, no request waits for one.
//
// Alternatives considered: forwarding whole requests. The other node would have to decide again on quotas, retries and
// versions of the configuration, and a lost answer would leave two nodes in doubt whether a request has run.
package egress

import (
	"sync"
	"sync/atomic"
	"time"
)

// Path is a way to an upstream.
type Path int

// The paths.
const (
	PathDirect Path = iota // over the node's own network
	PathPeer               // through another node
)

const (
	// suspectAfter is how many upstreams in a row must be unreachable directly for the node's own network to be suspected.
	suspectAfter = 3
	// quietTime is how long nothing must have been heard of any upstream before that: where only some of them are out of
	// reach, the others respond meanwhile.
	quietTime = 150 * time.Millisecond
	// memory is how long the result of a try to reach one upstream counts.
	memory = 2 * time.Second
)

// record is what the latest tries to reach one upstream showed.
type record struct {
	directFailedAt time.Time // zero: the latest direct try succeeded
	peerOpenedAt   time.Time
	peerFailedAt   time.Time
}

// Paths records which ways to upstreams work. It is safe for concurrent use.
type Paths struct {
	heardAt atomic.Int64 // when bytes last arrived over the own network, in nanoseconds since epoch

	mu        sync.Mutex
	epoch     time.Time
	upstreams map[string]*record
	openedAt  time.Time // when a direct connection was last opened
	suspected time.Time // since when the network is suspected and upstreams are probed; zero: it isn't
	lost      bool
}

// NewPaths returns the paths of a node that has just started.
func NewPaths(now time.Time) *Paths {
	return &Paths{epoch: now, upstreams: make(map[string]*record)}
}

// First returns the path that a connection to an upstream takes first.
func (p *Paths) First(now time.Time, upstream string) Path {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.upstreams[upstream]
	switch {
	case p.lost:
		return PathPeer
	case r == nil || r.directFailedAt.IsZero() || now.Sub(r.directFailedAt) > memory:
		return PathDirect
	case r.openedByPeer(now):
		return PathPeer
	}
	return PathDirect
}

// OwnFault reports whether another node has lately reached an upstream, so that it is this node's fault if this one doesn't.
func (p *Paths) OwnFault(now time.Time, upstream string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.upstreams[upstream]
	return p.lost || r != nil && r.openedByPeer(now)
}

func (r *record) openedByPeer(now time.Time) bool {
	return !r.peerOpenedAt.IsZero() && now.Sub(r.peerOpenedAt) <= memory
}

// MayUsePeer reports whether another node may be asked for an upstream that couldn't be reached directly. It is false
// shortly after another node couldn't reach it, either.
func (p *Paths) MayUsePeer(now time.Time, upstream string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.upstreams[upstream]
	return r == nil || r.peerFailedAt.IsZero() || now.Sub(r.peerFailedAt) > memory
}

// Lost reports whether the node's own network to upstreams is lost.
func (p *Paths) Lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// Heard records that bytes of an upstream arrived over the own network. Connections that were open before may live on
// while the network is lost, so this doesn't end the loss.
func (p *Paths) Heard(now time.Time) { p.heardAt.Store(int64(now.Sub(p.epoch))) }

// DirectOpened records that a direct connection was opened, and reports whether it ends the loss of the network.
func (p *Paths) DirectOpened(now time.Time, upstream string) (regained bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openedAt = now
	p.record(now, upstream).directFailedAt = time.Time{}
	regained = p.lost
	p.lost = false
	return regained
}

// DirectFailed records that a direct connection to one of the listed upstreams couldn't be opened, and reports whether
// the network is suspected from now on. The caller then probes upstreams and calls Conclude.
func (p *Paths) DirectFailed(now time.Time, upstream string, listed int) (suspected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(now, upstream).directFailedAt = now
	if p.lost || !p.suspected.IsZero() || now.Sub(p.lastSign()) < quietTime || p.failing(now) < min(suspectAfter, max(1, listed)) {
		return false
	}
	p.suspected = now
	return true
}

// Conclude ends a suspicion after the probes, and reports whether the network is lost: no upstream was heard of since.
func (p *Paths) Conclude() (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = p.lost || !p.lastSign().After(p.suspected)
	p.suspected = time.Time{}
	return p.lost
}

// Failed reports whether the latest direct connection to an upstream couldn't be opened.
func (p *Paths) Failed(upstream string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.upstreams[upstream]
	return r != nil && !r.directFailedAt.IsZero()
}

// lastSign returns when the node's own network last worked.
func (p *Paths) lastSign() time.Time {
	if heard := p.epoch.Add(time.Duration(p.heardAt.Load())); heard.After(p.openedAt) {
		return heard
	}
	return p.openedAt
}

// failing returns the number of upstreams that couldn't be reached since one was last heard of.
func (p *Paths) failing(now time.Time) int {
	since, k := p.lastSign(), 0
	for _, r := range p.upstreams {
		if r.directFailedAt.After(since) && now.Sub(r.directFailedAt) <= memory {
			k++
		}
	}
	return k
}

// PeerOpened records that another node opened a connection to an upstream.
func (p *Paths) PeerOpened(now time.Time, upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(now, upstream)
	r.peerOpenedAt, r.peerFailedAt = now, time.Time{}
}

// PeerFailed records that no other node that was asked could open a connection to an upstream.
func (p *Paths) PeerFailed(now time.Time, upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(now, upstream).peerFailedAt = now
}

// record returns an upstream's record, and drops those that no longer count.
func (p *Paths) record(now time.Time, upstream string) *record {
	r := p.upstreams[upstream]
	if r != nil {
		return r
	}
	for id, o := range p.upstreams {
		if now.Sub(o.latest()) > memory {
			delete(p.upstreams, id)
		}
	}
	r = &record{}
	p.upstreams[upstream] = r
	return r
}

func (r *record) latest() time.Time {
	t := r.directFailedAt
	for _, o := range []time.Time{r.peerOpenedAt, r.peerFailedAt} {
		if o.After(t) {
			t = o
		}
	}
	return t
}
