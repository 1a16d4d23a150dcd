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

// gatherOthers sets what other nodes have at each upstream of a service.
func (p *Pools) gatherOthers(now time.Time, name string, e capacity.Engine) {
	members := p.services[name]
	for _, m := range members {
		m.others = othersLoad{}
	}
	lasts := p.service(name).lasts
	var anywhere othersLoad
	for _, v := range p.peers {
		age := now.Sub(v.at)
		if age > peerKeeps {
			continue
		}
		holds := math.Exp(-float64(age) / float64(time.Millisecond) / lasts)
		for id, l := range v.loads {
			m := p.members[id]
			if m == nil || m.entry.Service != name {
				continue
			}
			m.others.add(holds, float64(l.Running), drained(e, l.Queued, age), l.Held)
			anywhere.add(1-holds, float64(l.Running), l.Queued, l.Held)
		}
	}
	for _, m := range members {
		m.others.add(1/float64(len(members)), anywhere.running, anywhere.queued, anywhere.held)
	}
}
