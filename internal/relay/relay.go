// Package relay gathers what nodes report and hands it on, so that a node of a large fleet
// knows what the others do without talking to each of them.
//
// A few nodes of each hall are its relays. Every node of a hall tells one of them what it
// has, and gets a digest of all the others in the same call. Relays swap what their own
// nodes told them. So a figure takes three steps from any node to any other, whatever the
// size of the fleet, and the calls of a node that is no relay don't grow with it.
//
// A digest holds two kinds of things:
//
//   - What nodes have at upstreams adds up, and only the sum is handed on: one for the nodes
//     of the relay that answers, one for all the others.
//   - What a process has charged and counted since it began stays by process. It is exact,
//     any number of relays may tell it in any order, and a process that is gone is counted
//     once. Only what changed since the asker's last digest is told.
//
// Nothing is agreed on. A node that takes itself for a relay is one as soon as another node
// reports to it; two that think they are one only tell the same twice. A relay that is gone
// costs its nodes the time-out of a call. Nodes also swap reports in pairs, slowly (package
// edge), and go by these for every node that no digest covers.
//
// Weighed: gossip with random partners. A figure reaches all 95 nodes after some seven
// rounds instead of three steps, and each message bears what all nodes have at all
// upstreams, by node, since sums can't be told twice. A tree over all nodes: the loss of an
// inner node cuts off a part of the fleet until the tree is mended, and its root is a
// control VM by another name.
//
// The package is pure: time comes in, messages go out.
package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/usage"
)

const (
	// silentAfter is the silence after which a node no longer belongs to a relay: three
	// reports that were missed, and some delay. It has gone to another relay, or is cut off.
	silentAfter = time.Second
	// changesLimit bounds the processes whose changes one digest tells; the rest waits for
	// the next one. A fleet of 95 nodes, all of them busy, has as many as it has nodes.
	changesLimit = 128
	// placedLimit bounds the placements that are kept for nodes that ask for the first time.
	placedLimit = 4096
	// placedAgain is the age from which a placement is told again: those that hear of it
	// believe it for three times as long.
	placedAgain = 10 * time.Second
	// recordKeeps is how long a process is remembered that isn't heard any more: until its
	// counts have been reported.
	recordKeeps = 30 * time.Second
)

// Report is what a node tells its relay.
type Report struct {
	Node     string
	Lifetime string
	Sequence uint64 // rises with each report of a lifetime
	Uptime   time.Duration
	Loads    []pool.Load
	Placed   []pool.Placement
	Spent    map[string]float64 // tokens charged since the process began, by workspace
	Started  usage.Windows      // requests begun, of the newest windows
}

// Change is what is new of one process.
type Change struct {
	Node     string
	Lifetime string
	Sequence uint64 // of its newest report; 0: it has come to another relay, and no more is told
	Uptime   time.Duration
	Age      time.Duration      // of the report
	Relay    string             // that the node reports to
	Silent   bool               // the relay doesn't hear it any more
	Spent    map[string]float64 // of the workspaces that changed
	Started  usage.Windows      // between relays only
}

// Digest is what a relay tells a node: all that it knows of the other nodes.
type Digest struct {
	Lifetime string                   // of the relay's process
	Version  uint64                   // up to which changes are told
	Shares   []pool.Share             // of all nodes but the asker, as Shares returns them
	Relays   map[string]time.Duration // age of what each relay has told of its nodes
	Changes  []Change
	Placed   []pool.Placement
}

// Group is what a relay tells another one: its own nodes.
type Group struct {
	Relay    string
	Lifetime string
	Version  uint64 // up to which changes are told
	Share    pool.Share
	Changes  []Change
	Placed   []pool.Placement
}

// record is one node as the relay knows it.
type record struct {
	lifetime string
	sequence uint64
	began    time.Time
	heard    time.Time // when its relay heard it
	relay    string
	silent   bool
	version  uint64 // of the newest change but of what was counted
	counted  uint64 // version of the newest change of what was counted
	left     uint64 // version of when it left for another relay
	whole    uint64 // version of when all became new: a process began, or came to another relay
	spent    map[string]counter
	started  usage.Windows
	loads    []pool.Load // of the relay's own nodes
}

type counter struct {
	value   float64
	version uint64
}

// group is another relay's word.
type group struct {
	lifetime string
	heard    time.Time
	lost     bool // it isn't heard any more
	version  uint64
	share    pool.Share
}

type placing struct {
	pool.Placement
	version uint64
	at      time.Time
	relay   string // that told it
}

// Book is what one relay knows. It isn't safe for concurrent use.
type Book struct {
	self     string
	lifetime string
	version  uint64
	records  map[string]*record
	groups   map[string]*group
	placed   []placing
	told     map[pool.Placement]time.Time
}

// NewBook returns the book of one process.
func NewBook(self, lifetime string) *Book {
	return &Book{
		self: self, lifetime: lifetime, records: make(map[string]*record), groups: make(map[string]*group),
		told: make(map[pool.Placement]time.Time),
	}
}

// Gather takes in a report of a node that reports here.
func (b *Book) Gather(now time.Time, r Report) {
	v := b.record(r.Node, r.Lifetime, r.Sequence, now.Add(-r.Uptime))
	if v == nil {
		return
	}
	v.loads = r.Loads
	b.move(now, v, b.self)
	b.spend(v, r.Spent)
	b.count(v, r.Started)
	b.place(now, b.self, r.Placed)
}

// Away notes that this book's own node reports to another relay.
func (b *Book) Away(relay string) {
	if v := b.records[b.self]; v != nil && v.relay == b.self {
		v.left = b.next(v)
		v.relay, v.loads = relay, nil
	}
}

// record returns the record of a process that has something new to tell, or nil if it
// hasn't: the report is known, or another process has taken its place.
func (b *Book) record(node, lifetime string, sequence uint64, began time.Time) *record {
	v := b.records[node]
	if v == nil {
		v = &record{}
		b.records[node] = v
	}
	if v.lifetime == lifetime && sequence <= v.sequence || v.lifetime != lifetime && began.Before(v.began) {
		return nil
	}
	if v.lifetime != lifetime {
		v.lifetime, v.began, v.spent, v.started = lifetime, began, make(map[string]counter), nil
		v.whole = b.next(v)
	}
	v.sequence = sequence
	return v
}

// next returns the version of a change to a record.
func (b *Book) next(v *record) uint64 {
	b.version++
	v.version = b.version
	return b.version
}

// move notes that a node was heard at a relay.
func (b *Book) move(at time.Time, v *record, relay string) {
	v.heard = at
	if v.relay == b.self && relay != b.self {
		v.left = b.next(v)
	}
	if v.relay != relay || v.silent {
		// Another relay knows of this book's changes only those of the nodes that were its
		// own, and may have forgotten one that was silent: it is told everything.
		v.relay, v.silent, v.whole = relay, false, b.next(v)
	}
}

func (b *Book) spend(v *record, spent map[string]float64) {
	for w, x := range spent {
		if c, ok := v.spent[w]; !ok || c.value != x {
			v.spent[w] = counter{x, b.next(v)}
		}
	}
}

func (b *Book) count(v *record, started usage.Windows) {
	equal := func(x, y usage.Counts) bool { return maps.Equal(x, y) }
	if !maps.EqualFunc(v.started, started, equal) {
		b.version++
		v.started, v.counted = started, b.version
	}
}

// place logs placements that weren't told a while ago.
func (b *Book) place(now time.Time, relay string, list []pool.Placement) {
	for _, p := range list {
		if t, ok := b.told[p]; ok && now.Sub(t) < placedAgain {
			continue
		}
		b.told[p] = now
		b.version++
		b.placed = append(b.placed, placing{p, b.version, now, relay})
	}
	if over := len(b.placed) - placedLimit; over > 0 {
		b.placed = slices.Delete(b.placed, 0, over)
	}
}

// Expire notes which nodes aren't heard any more.
func (b *Book) Expire(now time.Time) {
	for name, v := range b.records {
		if v.relay == b.self && !v.silent && now.Sub(v.heard) > silentAfter {
			v.silent, v.loads = true, nil
			b.next(v)
		}
		if now.Sub(v.heard) > recordKeeps {
			delete(b.records, name)
		}
	}
	maps.DeleteFunc(b.told, func(_ pool.Placement, t time.Time) bool { return now.Sub(t) > placedAgain })
	maps.DeleteFunc(b.groups, func(_ string, g *group) bool { return now.Sub(g.heard) > recordKeeps })
	b.lose(now)
}

// lose notes which relays aren't heard any more. Their nodes may have come to others that
// told so before, when it wasn't news; so these are asked for everything.
func (b *Book) lose(now time.Time) {
	lost := false
	for _, g := range b.groups {
		if !g.lost && now.Sub(g.heard) > silentAfter {
			g.lost, lost = true, true
		}
	}
	if !lost {
		return
	}
	for _, g := range b.groups {
		g.version = 0
	}
}

// Group returns what is new of this relay's own nodes after a version of this book. An
// asker that doesn't know this process gives version 0.
func (b *Book) Group(now time.Time, after uint64) Group {
	g := Group{Relay: b.self, Lifetime: b.lifetime, Share: b.own(now, "")}
	g.Changes, g.Version = b.changes(now, after, func(_ string, v *record) uint64 {
		if v.relay != b.self {
			return v.left
		}
		return max(v.version, v.counted)
	})
	for i := range g.Changes {
		c := &g.Changes[i]
		if v := b.records[c.Node]; v.relay == b.self {
			c.Started = v.started
		} else {
			*c = Change{Node: c.Node, Lifetime: c.Lifetime, Silent: true}
		}
	}
	g.Placed = b.placements(after, g.Version, func(p placing) bool { return p.relay == b.self })
	return g
}

// Heard returns when a node was last heard.
func (b *Book) Heard(node string) time.Time {
	if v := b.records[node]; v != nil {
		return v.heard
	}
	return time.Time{}
}

// Digest returns what is new to a node after a version of this book.
func (b *Book) Digest(now time.Time, asker string, after uint64) Digest {
	d := Digest{Lifetime: b.lifetime, Relays: map[string]time.Duration{b.self: 0}, Shares: b.Shares(now, asker)}
	for name, g := range b.groups {
		if age := now.Sub(g.heard); age <= recordKeeps {
			d.Relays[name] = age
		}
	}
	d.Changes, d.Version = b.changes(now, after, func(name string, v *record) uint64 {
		if name == asker {
			return 0
		}
		return v.version
	})
	d.Placed = b.placements(after, d.Version, func(placing) bool { return true })
	return d
}

// Shares returns what all nodes but one have: first the nodes of this relay, then those of
// the others.
func (b *Book) Shares(now time.Time, but string) []pool.Share {
	return []pool.Share{b.own(now, but), b.others(now)}
}

// own is what this relay's nodes have, but for one of them.
func (b *Book) own(now time.Time, but string) pool.Share {
	var s sum
	for name, v := range b.records {
		if name != but && v.relay == b.self && !v.silent {
			s.add(now.Sub(v.heard), v.loads)
		}
	}
	return s.share()
}

// others is what the other relays' nodes have.
func (b *Book) others(now time.Time) pool.Share {
	var s sum
	for _, g := range b.groups {
		if age := now.Sub(g.heard); age <= silentAfter {
			s.add(age+g.share.Age, g.share.Loads)
		}
	}
	return s.share()
}

// changes returns the records that changed after a version, the oldest changes first, and
// the version up to which they are told. newest is the version of a record's newest change,
// 0 if it isn't told.
func (b *Book) changes(now time.Time, after uint64, newest func(name string, v *record) uint64) ([]Change, uint64) {
	type dated struct {
		node  string
		since uint64 // version of the oldest change that isn't told
	}
	var list []dated
	for name, v := range b.records {
		if n := newest(name, v); n > after {
			list = append(list, dated{name, v.since(after, n)})
		}
	}
	slices.SortFunc(list, func(x, y dated) int { return cmp.Compare(x.since, y.since) })
	upto := b.version
	if len(list) > changesLimit {
		upto = list[changesLimit].since - 1
		list = list[:changesLimit]
	}
	changes := make([]Change, len(list))
	for i, d := range list {
		changes[i] = b.records[d.node].change(now, d.node, after)
	}
	return changes, upto
}

// since is the version of the oldest change after one; the newest is known.
func (v *record) since(after, newest uint64) uint64 {
	oldest := newest
	if v.whole > after {
		oldest = min(oldest, v.whole)
	}
	for _, c := range v.spent {
		if c.version > after {
			oldest = min(oldest, c.version)
		}
	}
	return oldest
}

func (v *record) change(now time.Time, node string, after uint64) Change {
	c := Change{
		Node: node, Lifetime: v.lifetime, Sequence: v.sequence, Uptime: v.heard.Sub(v.began), Age: now.Sub(v.heard), Relay: v.relay, Silent: v.silent,
		Spent: make(map[string]float64),
	}
	for w, x := range v.spent {
		if x.version > after || v.whole > after {
			c.Spent[w] = x.value
		}
	}
	return c
}

func (b *Book) placements(after, upto uint64, counts func(placing) bool) []pool.Placement {
	var list []pool.Placement
	for _, p := range b.placed {
		if p.version > after && p.version <= upto && counts(p) {
			list = append(list, p.Placement)
		}
	}
	return list
}

// Known returns the version of a relay's book up to which its changes are known here, and
// the process that the version belongs to.
func (b *Book) Known(relay string) (lifetime string, version uint64) {
	if g := b.groups[relay]; g != nil {
		return g.lifetime, g.version
	}
	return "", 0
}

// Version returns the version after which an asker that knows a process up to a version
// has to be told of changes here.
func (b *Book) Version(lifetime string, version uint64) uint64 {
	if lifetime != b.lifetime {
		return 0
	}
	return version
}

// TakeIn takes in another relay's word.
func (b *Book) TakeIn(now time.Time, g Group) {
	if g.Relay == b.self {
		return
	}
	if old := b.groups[g.Relay]; old != nil && old.lifetime != g.Lifetime {
		b.orphan(g.Relay)
	}
	b.groups[g.Relay] = &group{lifetime: g.Lifetime, version: g.Version, heard: now, share: g.Share}
	for _, c := range g.Changes {
		b.takeChange(now, g.Relay, c)
	}
	for _, v := range b.records {
		if v.relay == g.Relay && !v.silent {
			v.heard = now
		}
	}
	b.place(now, g.Relay, g.Placed)
}

// orphan notes that a relay began anew: its nodes belong to it once it tells of them.
func (b *Book) orphan(relay string) {
	for _, v := range b.records {
		if v.relay == relay {
			v.relay = ""
			b.next(v)
		}
	}
}

// takeChange takes in what another relay tells of one of its nodes.
func (b *Book) takeChange(now time.Time, relay string, c Change) {
	if c.Sequence == 0 {
		if v := b.records[c.Node]; v != nil && v.relay == relay && !v.silent {
			v.silent = true
			b.next(v)
		}
		return
	}
	at := now.Add(-c.Age)
	v := b.record(c.Node, c.Lifetime, c.Sequence, at.Add(-c.Uptime))
	if v != nil {
		b.spend(v, c.Spent)
		b.count(v, c.Started)
	} else if v = b.records[c.Node]; v.lifetime != c.Lifetime || v.relay != relay {
		return // it has come to another relay since: that one has a later report
	}
	if !c.Silent {
		b.move(at, v, relay)
	} else if !v.silent {
		b.move(at, v, relay)
		v.silent = true
		b.next(v)
	}
}

// sum adds up loads by upstream.
type sum struct {
	loads map[string]pool.Load
	aged  time.Duration // ages, weighted by the requests running
	runs  int
}

func (s *sum) add(age time.Duration, loads []pool.Load) {
	if s.loads == nil {
		s.loads = make(map[string]pool.Load)
	}
	for _, l := range loads {
		v := s.loads[l.Upstream]
		v.Upstream = l.Upstream
		v.Running += l.Running
		v.Queued += l.Queued
		v.Held += l.Held
		s.loads[l.Upstream] = v
		s.aged += age * time.Duration(l.Running)
		s.runs += l.Running
	}
}

func (s *sum) share() pool.Share {
	v := pool.Share{Loads: make([]pool.Load, 0, len(s.loads))}
	for _, l := range s.loads {
		v.Loads = append(v.Loads, l)
	}
	slices.SortFunc(v.Loads, func(a, b pool.Load) int { return cmp.Compare(a.Upstream, b.Upstream) })
	if s.runs > 0 {
		v.Age = s.aged / time.Duration(s.runs)
	}
	return v
}
