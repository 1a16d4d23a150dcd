package relay

import (
	"fmt"
	"maps"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/usage"
)

const (
	reportInterval = 250 * time.Millisecond
	windowLength   = 5 * time.Second
)

var startTime = time.Unix(1_700_000_000, 0)

// fleet simulates nodes that report to relays as the daemon's do, on a virtual clock.
type fleet struct {
	now          time.Time
	nodes        []*node
	nodesByName  map[string]*node
	partitioned  map[[2]string]bool // pairs of nodes that cannot reach each other
	incarnations int
	calls        map[string]int // by node, as caller or callee
}

// node is one VM. The counts of its process are the reference for the state of all others.
type node struct {
	name, hall  string
	up          bool
	incarnation string
	startedAt   time.Time
	sequence    uint64
	spent       map[string]float64
	started     usage.Windows
	load        int // requests at the only upstream
	placed      []pool.Placement
	status      Status
	sent        map[string]capacity.Work // to engines

	aggregator *Aggregator
	view       View
	usage      *usage.Tracker
	updates    map[string]Update // from the last digest
	shares     []pool.PeerLoad
}

func newFleet(halls, nodes int) *fleet {
	f := &fleet{now: startTime, partitioned: make(map[[2]string]bool), nodesByName: make(map[string]*node), calls: make(map[string]int)}
	for i := 0; i < nodes; i++ {
		n := &node{name: fmt.Sprint("edge-", i), hall: fmt.Sprint("hall-", i%halls)}
		f.nodes = append(f.nodes, n)
		f.nodesByName[n.name] = n
		f.start(n)
	}
	return f
}

// start starts a process on a VM.
func (f *fleet) start(n *node) {
	f.incarnations++
	n.up, n.incarnation, n.startedAt, n.sequence = true, fmt.Sprint("incarnation-", f.incarnations), f.now, 0
	n.spent, n.started, n.load, n.placed = map[string]float64{}, usage.Windows{}, 0, nil
	n.aggregator, n.view, n.updates, n.shares = NewAggregator(n.name, n.incarnation), View{}, nil, nil
	n.usage = usage.New(n.name, n.incarnation, windowLength)
}

// work lets a process charge tokens, count a request and run it.
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

func (f *fleet) reachable(a, b *node) bool {
	return a.up && b.up && !f.partitioned[[2]string{min(a.name, b.name), max(a.name, b.name)}]
}

func (f *fleet) byName(name string) *node { return f.nodesByName[name] }

// rankedHall returns the nodes of a hall that a node reaches, ranked.
func (f *fleet) rankedHall(n *node, hall string) Ranking {
	nodes := make(map[string]float64)
	for _, o := range f.nodes {
		if o.hall == hall && (o == n || f.reachable(n, o)) {
			nodes[o.name] = 1
		}
	}
	return Rank(nodes)
}

func (n *node) report() Report {
	n.sequence++
	started := usage.Windows{}
	for k, c := range n.started {
		started[k] = maps.Clone(c)
	}
	r := Report{
		Node: n.name, Incarnation: n.incarnation, Sequence: n.sequence, Spent: maps.Clone(n.spent), Started: started, Placed: n.placed,
		Loads: []pool.Load{{Upstream: "u", Running: n.load}}, Status: n.status, Work: maps.Clone(n.sent),
	}
	return r
}

// round lets every node report once, in order.
func (f *fleet) round() {
	f.now = f.now.Add(reportInterval)
	for _, n := range f.nodes {
		if n.up {
			f.step(n)
		}
	}
}

func (f *fleet) step(n *node) {
	r := n.report()
	r.Uptime = f.now.Sub(n.startedAt)
	n.aggregator.Expire(f.now)
	ranked := f.rankedHall(n, n.hall)
	if ranked.Relays().Has(n.name) {
		n.aggregator.ApplyReport(f.now, r)
		f.exchangeGroups(n)
		_, version := n.view.KnownVersion(f.now, n.name)
		n.applyDigest(f.now, n.name, n.aggregator.Digest(f.now, n.name, version))
		return
	}
	h := f.byName(ranked.ReportTargets(n.name)[0])
	n.aggregator.OwnNodeMoved(h.name)
	f.calls[n.name]++
	f.calls[h.name]++
	h.usage.Merge(n.name, n.incarnation, r.Started)
	h.aggregator.ApplyReport(f.now, r)
	incarnation, version := n.view.KnownVersion(f.now, h.name)
	after := h.aggregator.BaseVersion(incarnation, version)
	if after == 0 {
		h.aggregator.SetInformed(f.now, n.name, incarnation != "")
	}
	n.applyDigest(f.now, h.name, h.aggregator.Digest(f.now, n.name, after))
}

func (n *node) applyDigest(now time.Time, relay string, d Digest) {
	n.updates, n.shares = map[string]Update{}, d.Shares
	for _, w := range n.view.ApplyDigest(now, relay, d) {
		n.updates[w.Node] = w
	}
}

// exchangeGroups exchanges groups with the relays whose names sort after this one, so that each pair has one caller.
func (f *fleet) exchangeGroups(n *node) {
	halls := map[string]bool{}
	for _, o := range f.nodes {
		halls[o.hall] = true
	}
	for hall := range halls {
		for _, name := range f.rankedHall(n, hall).Relays().Names() {
			if o := f.byName(name); o.name > n.name {
				f.calls[n.name]++
				f.calls[o.name]++
				f.sendGroup(n, o)
				f.sendGroup(o, n)
			}
		}
	}
}

func (f *fleet) sendGroup(from, to *node) {
	incarnation, version := to.aggregator.KnownVersion(from.name)
	g := from.aggregator.Group(f.now, from.aggregator.BaseVersion(incarnation, version))
	to.aggregator.MergeGroup(f.now, g)
	for _, c := range g.Changes {
		to.usage.Merge(c.Node, c.Incarnation, c.Started)
	}
}

// assertNeverMore checks that no node knows more than the process itself has reported.
func (f *fleet) assertNeverMore(t assert.TestingT) {
	for _, n := range f.nodes {
		for name, w := range n.updates {
			o := f.byName(name)
			if !n.up || w.Incarnation != o.incarnation {
				continue
			}
			for ws, x := range w.Spent {
				assert.LessOrEqual(t, x, o.spent[ws], "%s at %s", name, n.name)
			}
		}
	}
}

// assertComplete checks that each node has the exact state of every other node that is up.
func (f *fleet) assertComplete(t assert.TestingT) {
	all := 0
	for _, n := range f.nodes {
		if n.up {
			all += n.load
		}
	}
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		for _, o := range f.nodes {
			w, ok := n.updates[o.name]
			if o == n {
				assert.False(t, ok, "%s receives its own state", n.name)
				continue
			}
			if !assert.Equal(t, o.up, ok, "%s at %s", o.name, n.name) || !ok {
				continue
			}
			assert.Equal(t, o.incarnation, w.Incarnation)
			assert.Equal(t, o.spent, w.Spent, "%s at %s", o.name, n.name)
		}
		assert.Equal(t, all-n.load, running(n.shares), "load of the other nodes, at %s", n.name)
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

// partitionHall separates a hall from all others.
func (f *fleet) partitionHall(hall string) {
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a.hall == hall && b.hall != hall {
				f.partitioned[[2]string{min(a.name, b.name), max(a.name, b.name)}] = true
			}
		}
	}
}

// assertCounts checks the counts of all processes at each relay: never more than a process has counted, and,
// once the state has settled, exactly the counts of the running ones.
func (f *fleet) assertCounts(t assert.TestingT, settled bool) {
	for _, n := range f.nodes {
		if !n.up || !f.rankedHall(n, n.hall).Relays().Has(n.name) {
			continue
		}
		n.usage.EachOther(func(name, incarnation string, w usage.Windows) {
			o := f.byName(name)
			if o.incarnation != incarnation {
				return
			}
			for k, c := range w {
				for ws, x := range c {
					assert.LessOrEqual(t, x, o.started[k][ws], "%s at %s", name, n.name)
				}
			}
			if settled && o.up {
				assert.Equal(t, o.started, w, "%s at %s", name, n.name)
			}
		})
	}
}

// member returns a node that is not a relay.
func (f *fleet) member() *node {
	for _, n := range f.nodes {
		if !f.rankedHall(n, n.hall).Relays().Has(n.name) {
			return n
		}
	}
	return f.nodes[0]
}

// oldestReport returns the age of the oldest report in use at any node, if nodes report something new in each
// round; the next digest arrives one round later.
func (f *fleet) oldestReport() time.Duration {
	d := time.Duration(0)
	for _, n := range f.nodes {
		for name, w := range n.updates {
			d = max(d, time.Duration(f.byName(name).sequence-w.Sequence+1)*reportInterval)
		}
	}
	return d
}
