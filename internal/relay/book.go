package relay

import (
	"maps"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/usage"
)

// This file is what a relay keeps: a record a node, whoever its relay is, and what the other
// relays said last. Each change gets the next version of the book; an asker that knows the
// book up to a version is told what changed since (tell.go).

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
	reach    pool.Reachability
	trials   []rollout.Update
	ended    []rollout.Update // of the node's processes before
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
	share    pool.PeerLoad
	trials   []rollout.Update
}

type placing struct {
	pool.Placement
	version uint64
	at      time.Time
	relay   string // that told it
}

// Book is what one relay knows. It isn't safe for concurrent use.
type Aggregator struct {
	self     string
	lifetime string
	version  uint64
	records  map[string]*record
	groups   map[string]*group
	placed   []placing
	told     map[pool.Placement]time.Time
}

// NewBook returns the book of one process.
func NewAggregator(self, lifetime string) *Aggregator {
	return &Aggregator{
		self: self, lifetime: lifetime, records: make(map[string]*record), groups: make(map[string]*group),
		told: make(map[pool.Placement]time.Time),
	}
}

// Gather takes in a report of a node that reports here.
func (b *Aggregator) ApplyReport(now time.Time, r Report) {
	v := b.record(r.Node, r.Incarnation, r.Sequence, now.Add(-r.Uptime))
	if v == nil {
		return
	}
	v.loads, v.trials, v.reach = r.Loads, r.Trials, r.Reachability
	b.move(now, v, b.self)
	b.spend(v, r.Spent)
	b.count(v, r.Started)
	b.place(now, b.self, r.Placed)
}

// Away notes that this book's own node reports to another relay.
func (b *Aggregator) OwnNodeMoved(relay string) {
	if v := b.records[b.self]; v != nil && v.relay == b.self {
		v.left = b.next(v)
		v.relay, v.loads = relay, nil
	}
}

// record returns the record of a process that has something new to tell, or nil if it
// hasn't: the report is known, or another process has taken its place.
func (b *Aggregator) record(node, lifetime string, sequence uint64, began time.Time) *record {
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
		v.ended, v.trials = rollout.Merge(v.ended, v.trials), nil
		v.whole = b.next(v)
	}
	v.sequence = sequence
	return v
}

// next returns the version of a change to a record.
func (b *Aggregator) next(v *record) uint64 {
	b.version++
	v.version = b.version
	return b.version
}

// move notes that a node was heard at a relay.
func (b *Aggregator) move(at time.Time, v *record, relay string) {
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

func (b *Aggregator) spend(v *record, spent map[string]float64) {
	for w, x := range spent {
		if c, ok := v.spent[w]; !ok || c.value != x {
			v.spent[w] = counter{x, b.next(v)}
		}
	}
}

func (b *Aggregator) count(v *record, started usage.Windows) {
	equal := func(x, y usage.Counts) bool { return maps.Equal(x, y) }
	if !maps.EqualFunc(v.started, started, equal) {
		b.version++
		v.started, v.counted = started, b.version
	}
}

// place logs placements that weren't told a while ago.
func (b *Aggregator) place(now time.Time, relay string, list []pool.Placement) {
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
func (b *Aggregator) Expire(now time.Time) {
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
func (b *Aggregator) lose(now time.Time) {
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

// Known returns the version of a relay's book up to which its changes are known here, and
// the process that the version belongs to.
func (b *Aggregator) KnownVersion(relay string) (lifetime string, version uint64) {
	if g := b.groups[relay]; g != nil {
		return g.lifetime, g.version
	}
	return "", 0
}

// Version returns the version after which an asker that knows a process up to a version
// has to be told of changes here.
func (b *Aggregator) BaseVersion(lifetime string, version uint64) uint64 {
	if lifetime != b.lifetime {
		return 0
	}
	return version
}

// TakeIn takes in another relay's word.
func (b *Aggregator) MergeGroup(now time.Time, g Group) {
	if g.Relay == b.self {
		return
	}
	if old := b.groups[g.Relay]; old != nil && old.lifetime != g.Incarnation {
		b.orphan(g.Relay)
	}
	b.groups[g.Relay] = &group{lifetime: g.Incarnation, version: g.Version, heard: now, share: g.Share, trials: g.Trials}
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
func (b *Aggregator) orphan(relay string) {
	for _, v := range b.records {
		if v.relay == relay {
			v.relay = ""
			b.next(v)
		}
	}
}

// takeChange takes in what another relay tells of one of its nodes.
func (b *Aggregator) takeChange(now time.Time, relay string, c Change) {
	if c.Sequence == 0 {
		if v := b.records[c.Node]; v != nil && v.relay == relay && !v.silent {
			v.silent = true
			b.next(v)
		}
		return
	}
	at := now.Add(-c.Age)
	v := b.record(c.Node, c.Incarnation, c.Sequence, at.Add(-c.Uptime))
	if v != nil {
		b.spend(v, c.Spent)
		b.count(v, c.Started)
	} else if v = b.records[c.Node]; v.lifetime != c.Incarnation || v.relay != relay {
		return // it has come to another relay since: that one has a later report
	}
	if !c.Unresponsive {
		b.move(at, v, relay)
	} else if !v.silent {
		b.move(at, v, relay)
		v.silent = true
		b.next(v)
	}
}
