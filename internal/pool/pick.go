package pool

import (
	"time"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
)

// This file collects the input of a choice, and counts the request at the chosen upstream. The choice
// itself is in choose.go.

// chosen is an upstream chosen for a request.
type chosen struct {
	member    *member
	engine    capacity.Engine
	choice    Choice
	alone     bool    // nothing else is known to run there
	reads     float64 // prompt tokens that it has to read
	fetchFrom string  // address of the upstream that it fetches cached parts from
	mayFollow bool    // it is believed to have room and to be reachable
}

// choose chooses an upstream, if there is one.
func (p *Pools) choose(now time.Time, n Request) (chosen, bool) {
	f := p.candidates(now, n)
	s, e := p.service(n.Service), p.engine(now, n.Service)
	i := Pick(n, Service{Engine: e, ResponseMs: s.responseMs, UnreportedMs: f.unreportedMs}, f.list)
	if i < 0 {
		return chosen{}, false
	}
	return p.chosenAt(now, n, f, i), true
}

// chosenAt returns the candidate with the given index as the chosen upstream, and what the request takes
// there.
func (p *Pools) chosenAt(now time.Time, n Request, f candidateSet, i int) chosen {
	c := &f.list[i]
	v := chosen{member: f.members[i], engine: p.engine(now, n.Service), reads: max(0, n.Prompt-c.Cached), alone: c.Running == 0, mayFollow: !c.Full && !c.Unreachable && c.Running < float64(c.Slots)}
	v.choice = Choice{
		Candidates: len(f.list), Limited: f.limited, Running: int(c.Running), Queued: c.Queued, Cached: c.Cached,
		Slowness: c.Slowness, Speed: c.speed(), Revision: p.list.Revision(), OldestReport: p.oldestReport(now),
	}
	if c.fetchIsFaster(v.engine) {
		v.choice.Fetched, v.fetchFrom = c.Fetch, c.Source
		v.reads = max(0, v.reads-c.Fetch)
	}
	return v
}

// Pick chooses an upstream and counts the request there. It returns nil if there is none. The caller must
// call End on the result.
func (p *Pools) Pick(n Request) *Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	v, ok := p.choose(now, n)
	if !ok || n.Successor && !v.mayFollow {
		return nil
	}
	return p.use(now, n, v)
}

// PickAt counts a request at the upstream that a relay has chosen for it, or chooses another one if that
// one can't take it.
func (p *Pools) PickAt(n Request, id string) *Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	placed := n
	placed.placed = id
	f := p.candidates(now, placed)
	for i, m := range f.members {
		if m.entry.ID == id && !f.list[i].Unreachable && !f.list[i].Full {
			v := p.chosenAt(now, placed, f, i)
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

// use counts a request at the chosen upstream.
func (p *Pools) use(now time.Time, n Request, v chosen) *Use {
	m, s := v.member, p.service(n.Service)
	p.outlier(n.Service).Sending(m.entry.ID)
	u := &Use{p: p, m: m, entry: m.entry, choice: v.choice, sentAt: now, engine: n.Engine, prompt: v.reads, fetchFrom: v.fetchFrom, rank: m.rank, alone: v.alone}
	u.onTrial = m.rank != notRanked && !p.splits[n.Service].ToTarget
	u.reserved = n.Prompt + n.Output
	u.output, u.reads = n.Output, v.choice.Queued+u.prompt
	u.usualMs, u.speed = v.engine.FirstEventDelay(u.reads), m.speed.value()
	u.expectedMs = u.usualMs / u.speed
	if n.placed != m.entry.ID {
		u.countedLimit = true
		p.limits.Take(now, m.entry.Incarnation(), n.Engine)
	}
	m.load.Running++
	p.busy[m] = struct{}{}
	m.load.Reserved += u.reserved
	if n.Engine {
		m.load.Queued += u.prompt
		s.uncachedTokens += responseGain * (u.prompt - s.uncachedTokens)
		u.work = v.engine.Work(u.prompt, n.Output, s.size)
		s.addWork(u.work)
	}
	if !n.Successor {
		p.recordPlacement(now, m, n.Parts)
	}
	return u
}

// candidateSet is the set of upstreams that a choice considers.
type candidateSet struct {
	members      []*member
	list         []Candidate // in the order of members
	unreportedMs float64     // milliseconds of unreported work of other nodes at one upstream
	limited      int         // number of upstreams that are left out because their limit is used up, or as brittle ones
}

// candidates returns the upstreams that may take a request. Upstreams that are leaving or in a cooldown,
// or whose limit is used up, are never included. Ejected upstreams are included only if no others are
// left, and upstreams of a version that may not take the request yet, or no longer, only if there are no
// ejected ones either. Brittle ones that this node holds off from are included if there are no others, once
// in a while and for a first attempt.
func (p *Pools) candidates(now time.Time, n Request) candidateSet {
	chain := newPromptKeys(n.Parts)
	unreported := p.sumPeerLoad(now, n.Service, p.engine(now, n.Service))
	set, homes := p.considered(n, chain)
	members, limited := p.usable(now, n, set)
	if len(members) == 0 && len(set) < len(p.services[n.Service]) {
		members, limited = p.usable(now, n, p.services[n.Service])
	}
	partitioned := p.partitionedHalls(now)
	list := make([]Candidate, len(members))
	for i, m := range members {
		list[i] = p.candidate(now, m, n, chain)
		list[i].Unreachable = partitioned[m.entry.Hall] || now.Sub(m.unreachableAt) < unreachableTTL
		list[i].NotHome = homes != nil && !homes[m]
	}
	if rate := p.service(n.Service).size.Fetch; rate > 0 {
		setFetchSources(rate, members, list)
	}
	return candidateSet{members: members, list: list, unreportedMs: unreported, limited: limited}
}

// usable returns the members of a set that may take a request, and the number of those that may not because
// their limit is used up.
func (p *Pools) usable(now time.Time, n Request, set []*member) (members []*member, limited int) {
	o := p.outlier(n.Service)
	var spare, fallbacks, held []*member
	for _, m := range set {
		takes, fallback := p.serves(now, m, n)
		switch {
		case n.Version != "" && m.entry.Version != n.Version:
		case m.entry.Leaving || m.misplaced || n.Excluded[m.entry.ID] || p.cooldowns.Wait(now, m.entry.Incarnation()) > 0:
		case m.isRuledOut(now, n):
		case n.placed != m.entry.ID && p.limits.Wait(now, m.entry.Incarnation(), n.Engine) > 0:
			limited++
		case p.brittleWait(now, m) > 0:
			limited++
			if takes && p.brittle.Holds(now, n.Service, m.entry.ID) {
				held = append(held, m)
			}
		case fallback:
			fallbacks = append(fallbacks, m)
		case !takes:
		case o.Usable(now.Sub(p.start), m.entry.ID):
			members = append(members, m)
		default:
			spare = append(spare, m)
		}
	}
	if n.Successor {
		return members, limited
	}
	if len(members) == 0 {
		members = spare
	}
	if len(members) == 0 {
		members = fallbacks
	}
	if len(members) == 0 && len(n.Excluded) == 0 && p.brittle.MayProbe(now, n.Service, p.nodes(now), len(held)) {
		members = held
	}
	return members, limited
}

// isRuledOut reports whether the upstream may not take a request since this node has failed to reach it, or since it is
// silent.
func (m *member) isRuledOut(now time.Time, n Request) bool {
	return n.ReachableOnly && now.Sub(m.failedAt) < unreachableTTL || n.Successor && now.Sub(m.silentAt) < silentTTL
}

func (p *Pools) candidate(now time.Time, m *member, n Request, chain promptKeys) Candidate {
	peers := p.peerLoad(m)
	c := Candidate{
		ID: m.entry.ID, Slots: m.entry.Slots, SameHall: m.entry.Hall == p.hall,
		Running: float64(m.load.Running) + peers.running, Queued: m.load.Queued + peers.queued, Reserved: m.load.Reserved + peers.reserved, Memory: p.service(n.Service).size.Memory,
		Slowness: m.pace.slowness(now), Failures: m.failures,
		Full: now.Sub(m.fullAt) < fullTTL, Cold: now.Before(m.coldUntil),
	}
	if m.speed.excess != 0 {
		c.Speed = m.speed.value()
	}
	if m.prefixes == nil {
		return c
	}
	for i, h := range chain.prefixes {
		if !m.caches(now, h) && !m.caches(now, chain.parts[i]) {
			break
		}
		c.Cached += float64(n.Parts[i].Tokens)
	}
	return c
}

// promptKeys are the keys under which a prompt's prefixes, and its parts by themselves, are recorded as cached.
type promptKeys struct {
	prefixes []uint64
	parts    []uint64
}

func newPromptKeys(parts []call.Part) promptKeys {
	k := promptKeys{prefixes: PrefixHashes(parts), parts: make([]uint64, len(parts))}
	for i, x := range parts {
		k.parts[i] = partKey(x.ID)
	}
	return k
}

// caches reports whether a prefix is believed to be cached still.
func (m *member) caches(now time.Time, prefix uint64) bool {
	t, ok := m.prefixes[prefix]
	return ok && now.Sub(t) <= prefixTTL
}

// RecordPlacement records that the upstream of a successor is sent a prompt with the given parts: only then it may cache them.
func (u *Use) RecordPlacement(parts []call.Part) {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	u.p.recordPlacement(u.p.clock.Now(), u.m, parts)
}

func (p *Pools) recordPlacement(now time.Time, m *member, parts []call.Part) {
	chain := PrefixHashes(parts)
	for i, h := range chain {
		p.addPrefix(now, m, h)
		if i < len(chain)-1 && len(p.placements) < maxPlacements {
			p.placements = append(p.placements, timedPlacement{now, Placement{Prefix: h, Upstream: m.entry.ID}})
		}
	}
}
