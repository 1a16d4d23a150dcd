package pool

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file bounds the number of upstreams that a choice compares. In a small service a choice compares all of
// them. In a large one it compares:
//
//   - those that may have cached a prefix of the prompt, the longest prefixes first
//   - the prompt's home in the own hall, which is the same on every node of the hall, and the next ones on a ring of
//     the hall's upstreams in the order of their hashes
//   - some of the own hall and some of all halls, drawn by the request's id: most of a large service has little to
//     do, so the best of a few drawn ones is about as good as the best of all
//
// If none of them may take the request, all are compared.
//
// Alternatives considered: an index of all upstreams by load. The load that other nodes report changes with each
// digest, and ages between them, so each choice would first have to update the index.

const (
	// maxCompared is the size of a service up to which a choice compares all upstreams.
	maxCompared = 384
	// maxHolders bounds the upstreams that are remembered for a prefix, and those that a choice takes from them.
	maxHolders = 32
	// homesCompared is how many upstreams are compared from the home on, so that a busy one has a successor that is
	// the same on every node.
	homesCompared = 4
	// drawnOwnHall and drawnAnywhere are how many upstreams are drawn. With an eighth of them idle, an idle one is
	// among 64 with all but two in ten thousand draws.
	drawnOwnHall  = 64
	drawnAnywhere = 32
)

// hallService is a service's upstreams in one hall.
type hallService struct{ service, hall string }

func (m *member) hallService() hallService { return hallService{m.entry.Service, m.entry.Hall} }

func byID(a, b *member) int { return cmp.Compare(a.entry.ID, b.entry.ID) }

// byHash is the order of members on a ring.
func byHash(a, b *member) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.entry.ID, b.entry.ID))
}

// position returns the index of the first member on a ring from a hash on.
func position(ring []*member, hash uint64) int {
	i, _ := slices.BinarySearchFunc(ring, hash, func(m *member, h uint64) int { return cmp.Compare(m.hash, h) })
	return i
}

// comparison collects the members that a choice compares, each of them once.
type comparison struct {
	members []*member
	seen    map[*member]bool
}

func (c *comparison) add(m *member) {
	if !c.seen[m] {
		c.seen[m] = true
		c.members = append(c.members, m)
	}
}

// addHolders adds the members of a service that may have cached a prefix.
func (c *comparison) addHolders(list []*member, service string) {
	for _, m := range list {
		if m.entry.Service == service {
			c.add(m)
		}
	}
}

// draw adds members of a ring that are drawn by a request's id.
func (c *comparison) draw(ring []*member, count int, id string) {
	if len(ring) <= count {
		for _, m := range ring {
			c.add(m)
		}
		return
	}
	for i := range count {
		c.add(ring[xxhash.Sum64String(id+strconv.Itoa(i))%uint64(len(ring))])
	}
}

// considered returns the members that a choice for a request compares, and which of them may be its home; nil:
// each of them.
func (p *Pools) considered(n Request, keys promptKeys) (members []*member, homes map[*member]bool) {
	all := p.services[n.Service]
	if len(all) <= maxCompared || n.Trial || p.splits[n.Service].Target != "" {
		return all, nil
	}
	c := comparison{seen: make(map[*member]bool)}
	if m := p.members[n.placed]; m != nil && m.entry.Service == n.Service {
		c.add(m)
	}
	for i := len(keys.prefixes) - 1; i >= 0 && len(c.members) < maxHolders; i-- {
		c.addHolders(p.holders[keys.prefixes[i]], n.Service)
		c.addHolders(p.holders[keys.parts[i]], n.Service)
	}
	own := p.halls[hallService{n.Service, p.hall}]
	if key, shared := homeKey(n, keys.prefixes); shared && len(own) > 0 {
		homes = make(map[*member]bool, homesCompared)
		from := position(own, xxhash.Sum64String(key))
		for i := range min(homesCompared, len(own)) {
			m := own[(from+i)%len(own)]
			homes[m] = true
			c.add(m)
		}
	}
	c.draw(own, drawnOwnHall, n.ID)
	c.draw(all, drawnAnywhere, n.ID+"/")
	slices.SortFunc(c.members, byID) // a fixed order, so that simulations are reproducible from their seed
	return c.members, homes
}

// addPrefix records that an upstream has cached a prefix.
func (p *Pools) addPrefix(now time.Time, m *member, prefix uint64) {
	if m.prefixes == nil {
		m.prefixes = make(map[uint64]time.Time)
		p.caching[m] = struct{}{}
	}
	m.prefixes[prefix] = now
	list := p.holders[prefix]
	if i := slices.Index(list, m); i >= 0 {
		list = slices.Delete(list, i, i+1)
	} else if len(list) >= maxHolders {
		list = slices.Delete(list, 0, 1)
	}
	p.holders[prefix] = append(list, m)
}

// removePrefix records that an upstream is no longer believed to have cached a prefix.
func (p *Pools) removePrefix(m *member, prefix uint64) {
	delete(m.prefixes, prefix)
	list := p.holders[prefix]
	if i := slices.Index(list, m); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if p.holders[prefix] = list; len(list) == 0 {
		delete(p.holders, prefix)
	}
}
