package pool

import (
	"math"
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file is what other nodes have at an upstream by now, as far as their reports tell.
//
// A report is as old as the nodes are many, and what it tells of one upstream holds for about
// as long as a request lasts: then other requests run, which are anywhere. So with its age a
// report counts less for the upstreams that it names, and more, in sum, for all of a service
// alike. Taken at its word, all nodes send to the upstream that was free a second ago.

// A relay tells what the nodes behind it have together, some tenths of a second old. Its
// sums take the place of the reports of the nodes that it tells of.

// Share is what some other nodes together have at upstreams.
type PeerLoad struct {
	Age   time.Duration // of the figures, on average
	Loads []Load
	// Whole says that whatever these nodes have sent since is known: this node places their
	// requests.
	Complete bool
}

type shareLoad struct {
	at    time.Time
	loads []Load
	whole bool
}

// sharesKeep is how long shares count in the place of the reports of the nodes that they
// tell of: some rounds of a relay, so that one that is lost can be replaced by another.
const sharesKeep = 1500 * time.Millisecond

// TakeShares takes in what other nodes have, as a relay tells it, which nodes these are, and
// where prompt prefixes were read.
func (p *Pools) ApplyPeerLoads(shares []PeerLoad, covered map[string]bool, placed []Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.shares, p.covered, p.shared = p.shares[:0], covered, now
	for _, s := range shares {
		p.shares = append(p.shares, shareLoad{at: now.Add(-s.Age), loads: s.Loads, whole: s.Complete})
	}
	p.learnPlaced(now, placed)
}

// currentShares returns the shares as long as they count.
func (p *Pools) currentShares(now time.Time) []shareLoad {
	if now.Sub(p.shared) > sharesKeep {
		return nil
	}
	return p.shares
}

// covers tells whether the shares count for a node.
func (p *Pools) covers(now time.Time, node string) bool {
	return p.covered[node] && now.Sub(p.shared) <= sharesKeep
}

// othersLoad is what other nodes have at one upstream.
type othersLoad struct {
	running float64 // requests
	queued  float64 // prompt tokens without a first token
	held    float64 // tokens of memory
}

func (v *othersLoad) add(w, running, queued, held float64) {
	v.running += w * running
	v.queued += w * queued
	v.held += w * held
}

// gatherOthers sets what other nodes have at each upstream of a service, and returns what
// they have sent to one since their last word, in milliseconds of its time.
func (p *Pools) gatherOthers(now time.Time, name string, e capacity.Engine) float64 {
	members := p.services[name]
	for _, m := range members {
		m.others = othersLoad{}
	}
	lasts := p.service(name).lasts
	var anywhere othersLoad
	runs, aged := 0.0, 0.0
	add := func(age time.Duration, whole bool, l Load) {
		m := p.members[l.Upstream]
		if m == nil || m.entry.Service != name {
			return
		}
		runs += float64(l.Running)
		if !whole {
			aged += float64(l.Running) * float64(age) / float64(time.Millisecond)
		}
		holds := math.Exp(-float64(age) / float64(time.Millisecond) / lasts)
		m.others.add(holds, float64(l.Running), drained(e, l.Queued, age), l.Reserved)
		anywhere.add(1-holds, float64(l.Running), l.Queued, l.Reserved)
	}
	for node, v := range p.peers {
		if age := now.Sub(v.at); age <= peerKeeps && !p.covers(now, node) {
			for _, l := range v.loads {
				add(age, false, l)
			}
		}
	}
	for _, v := range p.currentShares(now) {
		for _, l := range v.loads {
			add(now.Sub(v.at), v.whole, l)
		}
	}
	for _, v := range p.pending {
		add(now.Sub(v.at), true, v.load)
	}
	for _, m := range members {
		m.others.add(1/float64(len(members)), anywhere.running, anywhere.queued, anywhere.held)
	}
	if runs == 0 {
		return 0
	}
	return p.unseen(name, runs, aged/runs)
}
