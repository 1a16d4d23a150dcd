package pool

import (
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file is what the pools know of their services' engines: what this node has learned,
// joined with what others have.

// engine returns what is known of a service's engines.
func (p *Pools) engine(now time.Time, name string) capacity.Engine {
	s := p.service(name)
	if now.Sub(s.merged) < mergeEvery {
		return s.engine
	}
	s.merged = now
	all := []capacity.Engine{s.learner.Engine(now)}
	for _, v := range p.peers {
		if e, ok := v.engines[name]; ok && now.Sub(v.at) <= peerKeeps {
			all = append(all, e)
		}
	}
	if e := capacity.Merge(all); e.Reading > 0 || e.Token > 0 {
		s.engine = e
	}
	return s.engine
}

// Engine returns what all nodes have learned of a service's engines.
func (p *Pools) Engine(service string) capacity.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engine(p.clock.Now(), service)
}

// Recall takes in what processes that are gone have learned of a service's engines. It
// counts until this node, or one that it hears, has learned anew.
func (p *Pools) RestoreEngine(service string, e capacity.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	s.learner.Restore(e)
	s.merged = time.Time{}
}

// Learned returns what this node itself has learned, by service.
func (p *Pools) Learned() map[string]capacity.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	r := make(map[string]capacity.Engine)
	for name, s := range p.known {
		if e := s.learner.Engine(now); e.Reading > 0 || e.Token > 0 {
			r[name] = e
		}
	}
	return r
}

// Work returns what was sent to the engines of each service since the start.
func (p *Pools) Work() map[string]capacity.Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := make(map[string]capacity.Work)
	for name, s := range p.known {
		if s.work != (capacity.Work{}) {
			r[name] = s.work
		}
	}
	return r
}
