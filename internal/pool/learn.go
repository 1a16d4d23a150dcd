package pool

import (
	"time"

	"spurhall.example/spurhall/internal/capacity"
)

// This file holds what is known of the services' engines: what this node has learned, merged with what
// other nodes report.

// engine returns what is known of a service's engines.
func (p *Pools) engine(now time.Time, name string) capacity.Engine {
	s := p.service(name)
	if now.Sub(s.mergedAt) < mergeEvery {
		return s.engine
	}
	s.mergedAt = now
	all := []capacity.Engine{s.learner.Engine(now)}
	for _, v := range p.reports {
		if e, ok := v.engines[name]; ok && now.Sub(v.at) <= peerReportTTL {
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

// Engines returns what all nodes have learned, by service.
func (p *Pools) Engines() map[string]capacity.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	r := make(map[string]capacity.Engine)
	for name := range p.serviceStats {
		if e := p.engine(now, name); e.Reading > 0 || e.Token > 0 {
			r[name] = e
		}
	}
	return r
}

// RestoreEngine sets what earlier processes learned of a service's engines. It is used until this node, or
// a node that reports to it, has learned new values.
func (p *Pools) RestoreEngine(service string, e capacity.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	s.learner.Restore(e)
	s.mergedAt = time.Time{}
}

// Learned returns what this node itself has learned, by service.
func (p *Pools) Learned() map[string]capacity.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	r := make(map[string]capacity.Engine)
	for name, s := range p.serviceStats {
		if e := s.learner.Engine(now); e.Reading > 0 || e.Token > 0 {
			r[name] = e
		}
	}
	return r
}

// Work returns the work that was sent to the engines of each service since the start of the process.
func (p *Pools) Work() map[string]capacity.Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := make(map[string]capacity.Work)
	for name, s := range p.serviceStats {
		if s.work != (capacity.Work{}) {
			r[name] = s.work
		}
	}
	return r
}
