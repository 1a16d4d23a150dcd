package relay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/usage"
)

const (
	every  = 250 * time.Millisecond
	window = 5 * time.Second
)

var start = time.Unix(1_700_000_000, 0)

// fleet is some nodes on a virtual clock that report to relays as the daemon's do.
type fleet struct {
	now   time.Time
	nodes []*node
	named map[string]*node
	cut   map[[2]string]bool // pairs that don't reach each other
	lives int
	calls map[string]int // by node that makes or answers them
}

// node is one VM. What its process counts is the truth that others are compared with.
type node struct {
	name, hall string
	alive      bool
	life       string
	began      time.Time
	sequence   uint64
	spent      map[string]float64
	started    usage.Windows
	load       int // requests at the one upstream
	placed     []pool.Placement

	book  *Aggregator
	view  View
	usage *usage.Tracker
	words map[string]Update // of the last digest
	share []pool.PeerLoad
}

func newFleet(halls, nodes int) *fleet {
	f := &fleet{now: start, cut: make(map[[2]string]bool), named: make(map[string]*node), calls: make(map[string]int)}
	for i := 0; i < nodes; i++ {
		n := &node{name: fmt.Sprint("edge-", i), hall: fmt.Sprint("hall-", i%halls)}
		f.nodes = append(f.nodes, n)
		f.named[n.name] = n
		f.start(n)
	}
	return f
}

// start starts a process on a VM.
func (f *fleet) start(n *node) {
	f.lives++
	n.alive, n.life, n.began, n.sequence = true, fmt.Sprint("life-", f.lives), f.now, 0
	n.spent, n.started, n.load, n.placed = map[string]float64{}, usage.Windows{}, 0, nil
	n.book, n.view, n.words, n.share = NewAggregator(n.name, n.life), View{}, nil, nil
	n.usage = usage.New(n.name, n.life, window)
}

// work lets a process charge, count and run something.
func (f *fleet) work(n *node, workspace string, tokens float64) {
	n.spent[workspace] += tokens
	k := n.usage.Window(f.now)
	if n.started[k] == nil {
		n.started[k] = usage.Counts{}
	}
	n.started[k][workspace]++
	n.usage.Add(f.now, workspace)
	n.load++
	n.placed = append(n.placed, pool.Placement{Prefix: uint64(n.load), Upstream: "u"})
}

func (f *fleet) reaches(a, b *node) bool {
	return a.alive && b.alive && !f.cut[[2]string{min(a.name, b.name), max(a.name, b.name)}]
}

func (f *fleet) byName(name string) *node { return f.named[name] }

// hallOf returns the nodes of a hall that one reaches, in order.
func (f *fleet) hallOf(n *node, hall string) []string {
	nodes := make(map[string]float64)
	for _, o := range f.nodes {
		if o.hall == hall && (o == n || f.reaches(n, o)) {
			nodes[o.name] = 1
		}
	}
	return RankNodes(nodes)
}

func (n *node) report() Report {
	n.sequence++
	started := usage.Windows{}
	for k, c := range n.started {
		started[k] = maps.Clone(c)
	}
	r := Report{
		Node: n.name, Incarnation: n.life, Sequence: n.sequence, Spent: maps.Clone(n.spent), Started: started, Placed: n.placed,
		Loads: []pool.Load{{Upstream: "u", Running: n.load}},
	}
	return r
}

// round lets every node report once, in an order that changes.
func (f *fleet) round() {
	f.now = f.now.Add(every)
	for _, n := range f.nodes {
		if n.alive {
			f.step(n)
		}
	}
}

func (f *fleet) step(n *node) {
	r := n.report()
	r.Uptime = f.now.Sub(n.began)
	n.book.Expire(f.now)
	ordered := f.hallOf(n, n.hall)
	if slices.Contains(Relays(ordered), n.name) {
		n.book.ApplyReport(f.now, r)
		f.swapAll(n)
		_, version := n.view.KnownVersion(n.name)
		n.take(f.now, n.name, n.book.Digest(f.now, n.name, version))
		return
	}
	h := f.byName(ReportTargets(n.name, ordered)[0])
	n.book.OwnNodeMoved(h.name)
	f.calls[n.name]++
	f.calls[h.name]++
	h.usage.Merge(n.name, n.life, r.Started)
	h.book.ApplyReport(f.now, r)
	lifetime, version := n.view.KnownVersion(h.name)
	n.take(f.now, h.name, h.book.Digest(f.now, n.name, h.book.BaseVersion(lifetime, version)))
}

func (n *node) take(now time.Time, relay string, d Digest) {
	n.words, n.share = map[string]Update{}, d.Shares
	for _, w := range n.view.ApplyDigest(now, relay, d) {
		n.words[w.Node] = w
	}
}

// swapAll swaps with the relays behind this one in name: a pair has one caller.
func (f *fleet) swapAll(n *node) {
	halls := map[string]bool{}
	for _, o := range f.nodes {
		halls[o.hall] = true
	}
	for hall := range halls {
		for _, name := range Relays(f.hallOf(n, hall)) {
			if o := f.byName(name); o.name > n.name {
				f.calls[n.name]++
				f.calls[o.name]++
				f.tell(n, o)
				f.tell(o, n)
			}
		}
	}
}

func (f *fleet) tell(from, to *node) {
	lifetime, version := to.book.KnownVersion(from.name)
	g := from.book.Group(f.now, from.book.BaseVersion(lifetime, version))
	to.book.MergeGroup(f.now, g)
	for _, c := range g.Changes {
		to.usage.Merge(c.Node, c.Incarnation, c.Started)
	}
}

// assertNeverMore checks that nothing is known that its process hasn't said.
func (f *fleet) assertNeverMore(t assert.TestingT) {
	for _, n := range f.nodes {
		for name, w := range n.words {
			o := f.byName(name)
			if !n.alive || w.Incarnation != o.life {
				continue
			}
			for ws, x := range w.Spent {
				assert.LessOrEqual(t, x, o.spent[ws], "%s at %s", name, n.name)
			}
		}
	}
}

// assertWhole checks that each node knows every other one that it should, exactly.
func (f *fleet) assertWhole(t assert.TestingT) {
	all := 0
	for _, n := range f.nodes {
		if n.alive {
			all += n.load
		}
	}
	for _, n := range f.nodes {
		if !n.alive {
			continue
		}
		for _, o := range f.nodes {
			w, ok := n.words[o.name]
			if o == n {
				assert.False(t, ok, "%s is told of itself", n.name)
				continue
			}
			if !assert.Equal(t, o.alive, ok, "%s at %s", o.name, n.name) || !ok {
				continue
			}
			assert.Equal(t, o.life, w.Incarnation)
			assert.Equal(t, o.spent, w.Spent, "%s at %s", o.name, n.name)
		}
		assert.Equal(t, all-n.load, running(n.share), "what the others have, at %s", n.name)
	}
}

func running(shares []pool.PeerLoad) int {
	sum := 0
	for _, s := range shares {
		for _, l := range s.Loads {
			sum += l.Running
		}
	}
	return sum
}

func rounds(f *fleet, n int) {
	for i := 0; i < n; i++ {
		f.round()
	}
}

func benchmarkName(nodes int) string { return fmt.Sprint(nodes, "_nodes") }

// cutHall cuts a hall off from all others.
func (f *fleet) cutHall(hall string) {
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a.hall == hall && b.hall != hall {
				f.cut[[2]string{min(a.name, b.name), max(a.name, b.name)}] = true
			}
		}
	}
}

// assertCounts checks the counts of all processes at each relay: never more than a process
// has counted, and, once all is quiet, all that those which live have counted.
func (f *fleet) assertCounts(t assert.TestingT, quiet bool) {
	for _, n := range f.nodes {
		if !n.alive || !slices.Contains(Relays(f.hallOf(n, n.hall)), n.name) {
			continue
		}
		n.usage.EachOther(func(name, life string, w usage.Windows) {
			o := f.byName(name)
			if o.life != life {
				return
			}
			for k, c := range w {
				for ws, x := range c {
					assert.LessOrEqual(t, x, o.started[k][ws], "%s at %s", name, n.name)
				}
			}
			if quiet && o.alive {
				assert.Equal(t, o.started, w, "%s at %s", name, n.name)
			}
		})
	}
}

// member is a node that is no relay.
func (f *fleet) member() *node {
	for _, n := range f.nodes {
		if !slices.Contains(Relays(f.hallOf(n, n.hall)), n.name) {
			return n
		}
	}
	return f.nodes[0]
}

// oldest is the age of the oldest report that a node goes by, of nodes that report
// something new in each round; the next digest comes a round later.
func (f *fleet) oldest() time.Duration {
	d := time.Duration(0)
	for _, n := range f.nodes {
		for name, w := range n.words {
			d = max(d, time.Duration(f.byName(name).sequence-w.Sequence+1)*every)
		}
	}
	return d
}
