package pool

import (
	"time"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
)

// This file gathers what a choice needs, and counts the request where it goes. The choice
// itself is choose.go.

// chosen is an upstream chosen for a request.
type chosen struct {
	member *member
	engine capacity.Engine
	choice Choice
	reads  float64 // prompt tokens that it has to read
	fetch  string  // address of the upstream that it takes cached parts from
}

// choose chooses an upstream, if there is one.
func (p *Pools) choose(now time.Time, n Request) (chosen, bool) {
	f := p.candidates(now, n)
	s, e := p.service(n.Service), p.engine(now, n.Service)
	i := Pick(n, Service{Engine: e, ResponseMs: s.answer, UnreportedMs: f.unseen}, f.list)
	if i < 0 {
		return chosen{}, false
	}
	return p.weigh(now, n, f, i), true
}

// weigh is what a request takes of the candidate with that index.
func (p *Pools) weigh(now time.Time, n Request, f field, i int) chosen {
	c := &f.list[i]
	v := chosen{member: f.members[i], engine: p.engine(now, n.Service), reads: max(0, n.Prompt-c.Cached)}
	v.choice = Choice{Candidates: len(f.list), Limited: f.limited, Running: int(c.Running), Queued: c.Queued, Cached: c.Cached, Slowness: c.Slowness, Revision: p.list.Revision(), OldestReport: p.oldest(now)}
	if c.fetches(v.engine) {
		v.choice.Fetched, v.fetch = c.Fetch, c.Source
		v.reads = max(0, v.reads-c.Fetch)
	}
	return v
}

// Pick chooses an upstream and counts the request there. It returns nil if there is
// none. The caller ends the use by End.
func (p *Pools) Pick(n Request) *Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	v, ok := p.choose(now, n)
	if !ok {
		return nil
	}
	return p.use(now, n, v)
}

// PickAt counts a request at an upstream that a relay has placed it at, or chooses another
// one if that can't take it.
func (p *Pools) PickAt(n Request, id string) *Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	placed := n
	placed.placed = id
	f := p.candidates(now, placed)
	for i, m := range f.members {
		if m.entry.ID == id && !f.list[i].Unreachable && !f.list[i].Full {
			v := p.weigh(now, placed, f, i)
			v.choice.ByRelay = true
			return p.use(now, placed, v)
		}
	}
	v, ok := p.choose(now, n)
	if !ok {
		return nil
	}
	return p.use(now, n, v)
}

// use counts a request at the upstream chosen.
func (p *Pools) use(now time.Time, n Request, v chosen) *Use {
	m, s := v.member, p.service(n.Service)
	p.outlier(n.Service).Sending(m.entry.ID)
	u := &Use{p: p, m: m, entry: m.entry, choice: v.choice, begun: now, engine: n.Engine, prompt: v.reads, fetch: v.fetch, rank: m.rank}
	u.untried = m.rank != notRanked && !p.splits[n.Service].ToTarget
	u.held = n.Prompt + n.Output
	u.output, u.reads = n.Output, v.choice.Queued+u.prompt
	u.expect = v.engine.FirstEventDelay(u.reads)
	if n.placed != m.entry.ID {
		u.turn = true
		p.limits.Take(now, m.entry.Incarnation(), n.Engine)
	}
	m.load.Running++
	m.load.Reserved += u.held
	if n.Engine {
		m.load.Queued += u.prompt
		s.reads += answerGain * (u.prompt - s.reads)
		u.work = v.engine.Work(u.prompt, n.Output, s.size)
		s.take(u.work)
	}
	p.place(now, m, n.Parts)
	return u
}

// field is the upstreams that a choice is among.
type field struct {
	members []*member
	list    []Candidate // of the same order
	unseen  float64     // milliseconds of work that others have sent to one since their last word
	limited int         // upstreams that aren't among them since their limit is used up
}

// candidates returns the upstreams that may take a request. Those that leave or rest, or whose limit is used
// up, aren't among them, whoever else is left. Those that are ejected are left out unless nobody else is left,
// and those of a version that isn't to take it yet, or any more, unless these are gone, too.
func (p *Pools) candidates(now time.Time, n Request) field {
	o := p.outlier(n.Service)
	var members, spare, lasts []*member
	limited := 0
	for _, m := range p.services[n.Service] {
		takes, last := p.serves(now, m, n)
		switch {
		case m.entry.Leaving || m.gone || n.Excluded[m.entry.ID] || p.rests.Wait(now, m.entry.Incarnation()) > 0:
		case n.ReachableOnly && now.Sub(m.failed) < unreachableKeeps:
		case n.placed != m.entry.ID && p.limits.Wait(now, m.entry.Incarnation(), n.Engine) > 0:
			limited++
		case last:
			lasts = append(lasts, m)
		case !takes:
		case o.Usable(now.Sub(p.start), m.entry.ID):
			members = append(members, m)
		default:
			spare = append(spare, m)
		}
	}
	if len(members) == 0 {
		members = spare
	}
	if len(members) == 0 {
		members = lasts
	}
	chain := PrefixHashes(n.Parts)
	unseen := p.gatherOthers(now, n.Service, p.engine(now, n.Service))
	cut := p.cutHalls(now)
	list := make([]Candidate, len(members))
	for i, m := range members {
		list[i] = p.candidate(now, m, n, chain)
		list[i].Unreachable = cut[m.entry.Hall] || now.Sub(m.silent) < unreachableKeeps
	}
	if rate := p.service(n.Service).size.Fetch; rate > 0 {
		sources(rate, members, list)
	}
	return field{members: members, list: list, unseen: unseen, limited: limited}
}

func (p *Pools) candidate(now time.Time, m *member, n Request, chain []uint64) Candidate {
	c := Candidate{
		ID: m.entry.ID, Slots: m.entry.Slots, SameHall: m.entry.Hall == p.hall,
		Running: float64(m.load.Running) + m.others.running, Queued: m.load.Queued + m.others.queued, Reserved: m.load.Reserved + m.others.held, Memory: p.service(n.Service).size.Memory,
		Slowness: m.pace.slowness(now), Failures: m.failures,
		Full: now.Sub(m.refused) < refusedKeeps, Cold: now.Before(m.coldTill),
	}
	for i, h := range chain {
		if !m.keeps(now, h) && !m.keeps(now, heldKey(n.Parts[i].ID)) {
			break
		}
		c.Cached += float64(n.Parts[i].Tokens)
	}
	return c
}

// keeps tells whether a prefix is taken to be cached still.
func (m *member) keeps(now time.Time, prefix uint64) bool {
	t, ok := m.prefixes[prefix]
	return ok && now.Sub(t) <= prefixKeeps
}

func (p *Pools) place(now time.Time, m *member, parts []call.Part) {
	chain := PrefixHashes(parts)
	for i, h := range chain {
		m.prefixes[h] = now
		if i < len(chain)-1 && len(p.placed) < placedLimit {
			p.placed = append(p.placed, placing{now, Placement{Prefix: h, Upstream: m.entry.ID}})
		}
	}
}
