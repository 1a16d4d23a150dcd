package model

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
)

// This file plays the second in which the large VMs of a hall are gone and small ones become its relays, and counts what each
// node does for the others. Bytes are those of messages before they are compressed.

const (
	largeCores, smallCores = 0.8, 0.192
	takeoverWorkspaces     = 16
	takeoverUpstreams      = 63
	smallLink              = 10e6 / 8 // bytes a second
)

// takeoverLoad is a fleet in which the large VMs of one hall leave.
type takeoverLoad struct {
	halls, nodes, large int // large ones by hall
	// alike makes all VMs relays alike, whatever they bear, and sendAll sends placements again to nodes that change relays.
	alike, sendAll bool
}

type takeoverNode struct {
	name, hall string
	cores      float64
	gone       bool
	sequence   uint64
	book       *relay.Aggregator
	view       relay.View
	swapped    map[string]time.Time
	bytes      int // in this second
	calls      int
}

type takeoverPlay struct {
	l     takeoverLoad
	now   time.Time
	nodes []*takeoverNode
	named map[string]*takeoverNode
	halls map[string]relay.Ranking
}

func newTakeoverPlay(l takeoverLoad) *takeoverPlay {
	p := &takeoverPlay{l: l, now: time.Unix(1_700_000_000, 0), named: make(map[string]*takeoverNode)}
	for i := range l.nodes {
		n := &takeoverNode{name: fmt.Sprint("edge-", i), hall: fmt.Sprint("hall-", i%l.halls), cores: smallCores, swapped: make(map[string]time.Time)}
		if i/l.halls < l.large {
			n.cores = largeCores
		}
		n.book = relay.NewAggregator(n.name, "1")
		p.nodes, p.named[n.name] = append(p.nodes, n), n
	}
	p.rank()
	return p
}

// rank determines the order of the nodes of each hall.
func (p *takeoverPlay) rank() {
	p.halls = make(map[string]relay.Ranking)
	for h := range p.l.halls {
		hall, cores := fmt.Sprint("hall-", h), make(map[string]float64)
		for _, n := range p.nodes {
			if n.hall == hall && !n.gone {
				cores[n.name] = n.cores
				if p.l.alike {
					cores[n.name] = 0 // unknown: it counts as large
				}
			}
		}
		p.halls[hall] = relay.Rank(cores)
	}
}

// relays returns the relays of all halls.
func (p *takeoverPlay) relays() []*takeoverNode {
	var list []*takeoverNode
	for h := range p.l.halls {
		for _, name := range p.halls[fmt.Sprint("hall-", h)].Relays().Names() {
			list = append(list, p.named[name])
		}
	}
	return list
}

func (n *takeoverNode) call(o *takeoverNode, bytes int) {
	for _, v := range []*takeoverNode{n, o} {
		v.calls++
		v.bytes += bytes
	}
}

func (p *takeoverPlay) report(n *takeoverNode) relay.Report {
	n.sequence++
	r := relay.Report{Node: n.name, Incarnation: "1", Sequence: n.sequence, Spent: make(map[string]float64)}
	for k := range uint64(2) {
		r.Spent[fmt.Sprint("workspace-", (n.sequence+k)%takeoverWorkspaces)] = float64(n.sequence)
		upstream := fmt.Sprint("i-", (n.sequence*7+k*31)%takeoverUpstreams)
		r.Loads = append(r.Loads, pool.Load{Upstream: upstream, Running: 1, Queued: 900})
		r.Placed = append(r.Placed, pool.Placement{Prefix: uint64(len(n.name))<<40 + uint64(n.name[len(n.name)-1])<<32 + n.sequence<<1 + k, Upstream: upstream})
	}
	return r
}

// round lets every node report once, and the relays swap whose turn it is.
func (p *takeoverPlay) round() {
	p.now = p.now.Add(pair.Round)
	for _, n := range p.nodes {
		if n.gone {
			continue
		}
		n.book.Expire(p.now)
		hall, r := p.halls[n.hall], p.report(n)
		if hall.Relays().Has(n.name) {
			n.book.ApplyReport(p.now, r)
			continue
		}
		p.gather(n, p.named[hall.ReportTargets(n.name)[0]], r)
	}
	relays := p.relays()
	every := pair.Interval(len(relays))
	for i, a := range relays {
		for _, b := range relays[i+1:] {
			if p.now.Sub(a.swapped[b.name]) >= every {
				a.swapped[b.name] = p.now
				a.call(b, p.group(a, b)+p.group(b, a))
			}
		}
	}
}

// gather lets a node report to a relay.
func (p *takeoverPlay) gather(n, h *takeoverNode, r relay.Report) {
	n.book.OwnNodeMoved(h.name)
	h.book.ApplyReport(p.now, r)
	incarnation, version := n.view.KnownVersion(p.now, h.name)
	if version == 0 {
		h.book.SetInformed(p.now, n.name, incarnation != "" && !p.l.sendAll)
	}
	d := h.book.Digest(p.now, n.name, version)
	n.view.ApplyDigest(p.now, h.name, d)
	n.call(h, proto.Size(message.DigestToWire(d)))
}

// group sends a relay's state to another one, and returns its size.
func (p *takeoverPlay) group(from, to *takeoverNode) int {
	incarnation, version := to.book.KnownVersion(from.name)
	g := from.book.Group(p.now, from.book.BaseVersion(incarnation, version))
	to.book.MergeGroup(p.now, g)
	return proto.Size(message.GroupToWire(g))
}

// worst is what the busiest small node does in a second.
type worst struct{ bytes, calls int }

// second plays a second.
func (p *takeoverPlay) second() worst {
	for _, n := range p.nodes {
		n.bytes, n.calls = 0, 0
	}
	for range time.Second / pair.Round {
		p.round()
	}
	var w worst
	for _, n := range p.nodes {
		if n.cores == smallCores && !n.gone {
			w.bytes, w.calls = max(w.bytes, n.bytes), max(w.calls, n.calls)
		}
	}
	return w
}

// play returns the busiest small node's worst second from the moment at which the large VMs of a hall are gone.
func (p *takeoverPlay) play(calm, after int) worst {
	for range calm {
		p.second()
	}
	for _, n := range p.nodes {
		n.gone = n.gone || n.hall == "hall-0" && n.cores == largeCores
	}
	p.rank()
	var w worst
	for range after {
		s := p.second()
		w.bytes, w.calls = max(w.bytes, s.bytes), max(w.calls, s.calls)
	}
	return w
}

// TestTakeoverFillsTheLinkOfASmallVM: in the second in which the large VMs of a hall are gone, two small ones sent its nodes all that they knew.
func TestTakeoverFillsTheLinkOfASmallVM(t *testing.T) {
	l := takeoverLoad{halls: 3, nodes: 77, large: 2}
	assert.LessOrEqual(t, newTakeoverPlay(l).play(10, 3).bytes, int(smallLink/2), "half of its link")
	l.alike = true
	assert.Greater(t, newTakeoverPlay(l).play(10, 3).bytes, int(smallLink/2), "the test notices relays that are taken for large ones")
}

// BenchmarkTakeover reports what the busiest small VM does in its worst second, with and without what bounds it.
func BenchmarkTakeover(b *testing.B) {
	loads := []takeoverLoad{{halls: 3, nodes: 77, large: 2}, {halls: 5, nodes: 360, large: 4}, {halls: 5, nodes: 985, large: 10}}
	for _, l := range loads {
		for _, v := range []struct {
			name           string
			alike, sendAll bool
		}{{"bounded", false, false}, {"alike", true, false}, {"all_sent", false, true}, {"neither", true, true}} {
			b.Run(fmt.Sprint(l.nodes, "_nodes/", v.name), func(b *testing.B) {
				l.alike, l.sendAll = v.alike, v.sendAll
				var w worst
				for range b.N {
					w = newTakeoverPlay(l).play(10, 3)
				}
				b.ReportMetric(float64(w.bytes)/1000, "kB_worst")
				b.ReportMetric(float64(w.calls), "calls_worst")
				b.ReportMetric(float64(w.bytes)/smallLink, "links")
			})
		}
	}
}
