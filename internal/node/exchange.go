package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/claim"
	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/reply"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// This file exchanges state with the peers. Each interval a node exchanges facts with two peers, and each
// side sends only the facts that the other does not have yet. The fact that a VM is leaving does not wait for
// the interval: it is sent to several peers at once, each of which does the same, so that it reaches all
// nodes within a few round trips.

var errs = errorx.NewNamespace("node")

// errBlocked reports that a test has blocked calls from this node to the peer.
var errBlocked = errs.NewType("cut").New("cut off from the peer")

const (
	peersPerRound       = 2
	peersPerUrgentRound = 8
	factsPerMessage     = 1000
	exchangeTimeout     = time.Second
	// crossHallEvery is the number of rounds between exchanges with another hall: facts must be fresh within
	// a hall, but need not be across halls.
	crossHallEvery = 4
)

// peer is the state that this node keeps for another node.
type peer struct {
	client           wireconnect.PeerClient
	sentPosition     uint64 // position in this node's log up to which the peer has all facts
	receivedPosition uint64 // position in the peer's log up to which this node has all facts
	platformUp       bool   // the peer has reported that it reaches the platform
	lastSeen         time.Time
}

type peers struct {
	n      *Node
	http   *http.Client
	mu     sync.Mutex
	byID   map[string]*peer
	urgent chan struct{}
	turn   int // number of peer selections, which rotates them
	rounds int // number of rounds, for the heartbeat
}

func newPeers(n *Node) *peers {
	t := n.o.PeerTransport
	if t == nil {
		t = &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 60 * time.Second}
	}
	if h, ok := t.(*http.Transport); ok {
		t = reply.NewTransport(h)
	}
	return &peers{n: n, http: &http.Client{Transport: t}, byID: make(map[string]*peer), urgent: make(chan struct{}, 1)}
}

// exchangeNow starts the next round at once, with more peers than usual.
func (p *peers) exchangeNow() {
	select {
	case p.urgent <- struct{}{}:
	default: // a round is due already
	}
}

func (p *peers) client(address string) wireconnect.PeerClient {
	return wireconnect.NewPeerClient(p.http, p.n.o.PeerScheme+"://"+address, message.Bounded())
}

func (p *peers) get(id, address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.byID[id]
	if v == nil {
		v = &peer{client: p.client(address)}
		p.byID[id] = v
	}
	return v
}

func (p *peers) run(ctx context.Context) {
	for ctx.Err() == nil {
		c, stop := p.n.clock.After(p.n.o.ExchangeInterval)
		k := peersPerRound
		select {
		case <-c:
		case <-p.urgent:
			k = peersPerUrgentRound
		case <-ctx.Done():
		}
		stop()
		if ctx.Err() != nil {
			return
		}
		if p.rounds++; p.rounds%p.n.currentIntervals().heartbeatExchanges == 0 {
			p.n.publishOwnFact()
		}
		p.round(ctx, k)
	}
}

// round exchanges with k peers in parallel, mostly of this hall.
func (p *peers) round(ctx context.Context, k int) {
	targets := p.choosePeers(k)
	if len(targets) == 0 {
		p.exchangeWithSeeds(ctx)
		return
	}
	for _, f := range targets {
		go p.exchange(ctx, f.ID, f.Address)
	}
	if p.n.view.Revision() == 0 || p.turn%randomPeerEvery == 0 {
		p.exchangeWithSeeds(ctx)
	}
}

// choosePeers selects the peers of one round. The nodes of a hall form a ring by id, and a node exchanges
// with those at distances 1, 2, 4, 8 ...: few enough that each pair exchanges often and has little to send,
// and far enough apart that a fact reaches all nodes in a few rounds. Only the hall's delegates exchange with
// other halls, each time with one delegate of another hall. Now and then a random peer is selected instead,
// to reconnect the nodes after a partition.
//
// Alternatives considered: peers at random. A pair that exchanges rarely has almost the whole table to send,
// and the bytes grew with the square of the fleet.
func (p *peers) choosePeers(k int) []member.Record {
	p.turn++
	near, far := p.splitByHall()
	if p.turn%randomPeerEvery == 0 && len(near)+len(far) > 0 {
		all := append(append([]member.Record(nil), near...), far...)
		return []member.Record{all[rand.IntN(len(all))]}
	}
	list := ringPeers(near, p.n.id, p.turn, k)
	if p.n.hasDuty("delegate", delegatesPerHall) || len(near) == 0 {
		if k > peersPerRound {
			list = append(list, p.delegatesOf(far)...)
		} else if p.turn%crossHallEvery == 0 {
			if d := p.delegatesOf(far); len(d) > 0 {
				list = append(list, d[rand.IntN(len(d))])
			}
		}
	}
	return list
}

const (
	delegatesPerHall = 2
	randomPeerEvery  = 29
)

// splitByHall lists the other nodes: those of this hall and those of other halls.
func (p *peers) splitByHall() (near, far []member.Record) {
	for _, f := range p.knownPeers() {
		if f.Hall == p.n.o.Hall {
			near = append(near, f)
		} else {
			far = append(far, f)
		}
	}
	return near, far
}

// ringPeers returns k of the peers at distances 1, 2, 4 ... after id in the ring; turn rotates the selection.
func ringPeers(near []member.Record, id string, turn, k int) []member.Record {
	n := len(near)
	start := sort.Search(n, func(i int) bool { return near[i].ID > id })
	var list []member.Record
	for d := 1; d <= n; d *= 2 {
		list = append(list, near[(start+d-1)%n])
	}
	if len(list) <= k {
		return list
	}
	r := make([]member.Record, 0, k)
	for i := 0; i < k; i++ {
		r = append(r, list[(turn*k+i)%len(list)])
	}
	return r
}

// delegatesOf returns the delegates of each other hall.
func (p *peers) delegatesOf(far []member.Record) []member.Record {
	halls := make(map[string][]string)
	byID := make(map[string]member.Record, len(far))
	for _, f := range far {
		halls[f.Hall] = append(halls[f.Hall], f.ID)
		byID[f.ID] = f
	}
	var r []member.Record
	for _, ids := range halls {
		for i, id := range route.Rank("delegate", ids) {
			if i < delegatesPerHall {
				r = append(r, byID[id])
			}
		}
	}
	return r
}

// knownPeers returns the other nodes that may be reachable. It includes unresponsive ones for
// unresponsiveRetention, since a partition may end.
func (p *peers) knownPeers() []member.Record {
	now := p.n.clock.Now()
	return p.n.table.SelectRecords(func(f *member.Fact, at time.Time) bool {
		return f.Kind == member.KindNode && f.Status != member.StatusGone && f.ID != p.n.id && now.Sub(at) < unresponsiveRetention
	})
}

const unresponsiveRetention = 2 * time.Minute

// forget drops the state of peers that were last seen before the given time.
func (p *peers) forget(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, v := range p.byID {
		if !v.lastSeen.IsZero() && v.lastSeen.Before(before) {
			delete(p.byID, id)
		}
	}
}

// exchangeWithSeeds exchanges with the seed addresses, whichever nodes listen there.
func (p *peers) exchangeWithSeeds(ctx context.Context) {
	for _, a := range p.n.o.Seeds {
		if a != p.n.o.PeerAddress {
			go p.exchange(ctx, "seed:"+a, a)
		}
	}
}

func (p *peers) blocked(address string) bool {
	return p.n.o.Blocked != nil && p.n.o.Blocked(address)
}

// exchange exchanges facts with one peer and pulls its configuration if that is newer.
func (p *peers) exchange(ctx context.Context, id, address string) {
	if p.blocked(address) {
		return
	}
	v := p.get(id, address)
	p.mu.Lock()
	sent, have := v.sentPosition, v.receivedPosition
	p.mu.Unlock()
	f, known := p.n.table.Get(id)
	facts, position := p.n.table.Since(member.Peer{ID: id, Sent: sent, OtherHall: known && f.Hall != p.n.o.Hall}, factsPerMessage)
	x, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := v.client.Exchange(x, connect.NewRequest(&wire.ExchangeRequest{
		From: p.n.id, Hall: p.n.o.Hall, ConfigRevision: p.n.view.Revision(), Facts: factsToWire(facts), Have: have, PlatformUp: p.n.guard.Up(), Suspicions: p.n.dispatcher.Suspicions(),
	}))
	if err != nil {
		return
	}
	missing := p.mergeFacts(id, r.Msg.Facts)
	p.n.dispatcher.ApplySuspicions(r.Msg.Suspicions)
	p.mu.Lock()
	v.sentPosition, v.receivedPosition, v.platformUp, v.lastSeen = position, r.Msg.Position, r.Msg.PlatformUp, p.n.clock.Now()
	if missing {
		v.receivedPosition = 0
	}
	p.mu.Unlock()
	if r.Msg.ConfigRevision > p.n.view.Revision() {
		p.pullConfig(x, v.client, address)
	}
}

func (p *peers) pullConfig(ctx context.Context, c wireconnect.PeerClient, address string) {
	r, err := c.PullConfig(ctx, connect.NewRequest(&wire.PullConfigRequest{Have: p.n.view.Revision()}))
	if err != nil || r.Msg.Snapshot == nil {
		return
	}
	p.n.Accept(SnapshotFromWire(r.Msg.Snapshot), "peer "+address)
}

func factsToWire(facts []member.Fact) []*wire.Fact {
	r := make([]*wire.Fact, len(facts))
	for i := range facts {
		r[i] = facts[i].Wire()
	}
	return r
}

// mergeFacts merges a peer's facts into the table, and reports whether facts are missing, so that the peer
// has to send all of them. Facts about this node itself are ignored, since its own state is the most recent,
// except for a leaving notice that it may not have read itself.
func (p *peers) mergeFacts(source string, list []*wire.Fact) bool {
	now := p.n.clock.Now()
	facts := make([]member.Fact, 0, len(list))
	for _, w := range list {
		f, ok := member.FromWire(w)
		switch {
		case !ok:
		case f.ID == p.n.id:
			p.n.applyLeavingReport(&f)
		default:
			facts = append(facts, f)
		}
	}
	_, missing := p.n.table.Receive(now, source, facts...)
	return missing
}

// handleExchange serves an exchange that a peer started.
func (p *peers) handleExchange(q *wire.ExchangeRequest) *wire.ExchangeResponse {
	missing := p.mergeFacts(q.From, q.Facts)
	p.n.dispatcher.ApplySuspicions(q.Suspicions)
	facts, position := p.n.table.Since(member.Peer{ID: q.From, Sent: q.Have, OtherHall: q.Hall != p.n.o.Hall}, factsPerMessage)
	f, ok := p.n.table.Get(q.From)
	if ok {
		v := p.get(q.From, f.Address)
		p.mu.Lock()
		v.platformUp, v.lastSeen = q.PlatformUp, p.n.clock.Now()
		if missing {
			v.receivedPosition = 0
		}
		p.mu.Unlock()
	}
	if ok && q.ConfigRevision > p.n.view.Revision() {
		go func() {
			x, cancel := context.WithTimeout(p.n.ctx, exchangeTimeout)
			defer cancel()
			p.pullConfig(x, p.get(q.From, f.Address).client, f.Address)
		}()
	}
	return &wire.ExchangeResponse{ConfigRevision: p.n.view.Revision(), Facts: factsToWire(facts), Position: position, PlatformUp: p.n.guard.Up(), Suspicions: p.n.dispatcher.Suspicions()}
}

// hallReachable reports whether a hall can be reached: one of up to maxReachabilityProbes of its nodes
// accepts a connection. Where no node of the hall is known, there is no evidence of a partition, and the hall
// counts as reachable.
func (p *peers) hallReachable(ctx context.Context, hall string) bool {
	tried := 0
	for _, f := range p.knownPeers() {
		if f.Hall != hall || tried == maxReachabilityProbes {
			continue
		}
		tried++
		if !p.blocked(f.Address) && p.n.client.Reachable(ctx, f.Address) {
			return true
		}
	}
	return tried == 0
}

// maxReachabilityProbes is the number of nodes of a hall that are probed: a single one may have stopped.
const maxReachabilityProbes = 2

// anyPeerHasPlatform reports whether a peer has recently reported that it reaches the platform.
func (p *peers) anyPeerHasPlatform() bool { return len(p.peersWithPlatform()) > 0 }

func (p *peers) peersWithPlatform() []*peer {
	now := p.n.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var r []*peer
	for _, v := range p.byID {
		if v.platformUp && now.Sub(v.lastSeen) < p.n.hallTimeout() {
			r = append(r, v)
		}
	}
	return r
}

// sendClaim delivers a message of the claim protocol.
func (p *peers) sendClaim(ctx context.Context, m claim.Member, g claim.Message) (*claim.Message, error) {
	if p.blocked(m.Address) {
		return nil, errBlocked
	}
	r, err := p.get(m.ID, m.Address).client.Claim(ctx, connect.NewRequest(claimToWire(&g)))
	if err != nil {
		return nil, fmt.Errorf("claim message to %s: %w", m.ID, err)
	}
	if r.Msg.Reply == nil {
		return nil, nil
	}
	v := claimFromWire(r.Msg.Reply)
	return &v, nil
}

func claimToWire(g *claim.Message) *wire.ClaimMessage {
	w := &wire.ClaimMessage{
		Kind: int32(g.Kind), From: g.From, To: g.To, Key: g.Key, Attempt: g.Attempt, View: g.View, Reason: int32(g.Reason),
	}
	for _, e := range g.Table {
		w.Table = append(w.Table, &wire.ClaimEntry{Key: e.Key, Attempt: e.Attempt, Revision: e.Revision})
	}
	return w
}

func claimFromWire(w *wire.ClaimMessage) claim.Message {
	g := claim.Message{
		Kind: claim.MessageKind(w.Kind), From: w.From, To: w.To, Key: w.Key, Attempt: w.Attempt, View: w.View, Reason: claim.Reason(w.Reason),
	}
	for _, e := range w.Table {
		g.Table = append(g.Table, claim.Entry{Key: e.Key, Attempt: e.Attempt, Revision: e.Revision})
	}
	return g
}

// SnapshotFromWire converts a configuration from its wire form.
func SnapshotFromWire(w *wire.Snapshot) config.Snapshot {
	s := config.Snapshot{Revision: w.Revision, Author: w.Author, Note: w.Note, AppliedAt: time.UnixMilli(w.AppliedUnixMs)}
	for _, d := range w.Documents {
		s.Documents = append(s.Documents, config.Document{Name: d.Name, Kind: config.Kind(d.Kind), Body: string(d.Body)})
	}
	return s
}

// SnapshotToWire converts a configuration to its wire form.
func SnapshotToWire(s *config.Snapshot) *wire.Snapshot {
	w := &wire.Snapshot{Revision: s.Revision, Author: s.Author, Note: s.Note, AppliedUnixMs: s.AppliedAt.UnixMilli()}
	for _, d := range s.Documents {
		w.Documents = append(w.Documents, &wire.Document{Name: d.Name, Kind: string(d.Kind), Body: []byte(d.Body)})
	}
	return w
}
