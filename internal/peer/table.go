package peer

import (
	"iter"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/reply"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// This file keeps the table up to date, and logs what happens to other nodes; package roster decides which events get a line of
// their own.

// Options configures a table.
type Options struct {
	Self, Hall string
	Clock      *timer.Service
	Log        *zap.Logger
	Timeout    time.Duration                               // of opening a connection
	Meter      func(t http.RoundTripper) http.RoundTripper // wraps the transport of calls; nil: they aren't measured
}

// Table holds the other nodes.
type Table struct {
	o         Options
	peers     map[string]*Peer
	keepAlive *http.Client
	// oneShot closes its connections, for pairs that swap seldom. A connection takes 40 kB, half of it at each end
	// (BenchmarkPeerConnections), so a node of 300 held 6 MB for peers that it calls every six seconds. Reopening
	// them takes some 25 connections a second.
	oneShot  *http.Client
	fallback pair.Fallback // calls of peers that no relay names
	events   roster.Events
}

// NewTable returns a table without peers.
func NewTable(o Options) *Table {
	d := &net.Dialer{Timeout: o.Timeout}
	if o.Meter == nil {
		o.Meter = func(t http.RoundTripper) http.RoundTripper { return t }
	}
	return &Table{
		o: o, peers: make(map[string]*Peer),
		keepAlive: &http.Client{Transport: o.Meter(reply.NewTransport(&http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: message.MaxHeader,
		}))},
		oneShot: &http.Client{Transport: o.Meter(reply.NewTransport(&http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: message.MaxHeader}))},
	}
}

// Size returns the number of nodes that share quotas and budgets, this one included.
func (t *Table) Size() int { return len(t.peers) + 1 }

// Get returns a peer; nil: there is none of that name.
func (t *Table) Get(name string) *Peer { return t.peers[name] }

// All returns the peers, in no order.
func (t *Table) All() iter.Seq[*Peer] {
	return func(yield func(*Peer) bool) {
		for _, p := range t.peers {
			if !yield(p) {
				return
			}
		}
	}
}

// Names returns the names of the peers.
func (t *Table) Names() []string {
	r := make([]string, 0, len(t.peers))
	for n := range t.peers {
		r = append(r, n)
	}
	return r
}

// Responsive returns the names of the peers that aren't silent.
func (t *Table) Responsive(now time.Time) []string {
	var r []string
	for n, p := range t.peers {
		if p.Address != "" && p.IsResponsive(now, t.Size()) {
			r = append(r, n)
		}
	}
	return r
}

// Members returns the peers that can be called, and a first one.
func (t *Table) Members(first roster.Member) []roster.Member {
	list := []roster.Member{first}
	for _, p := range t.peers {
		if p.Address != "" {
			list = append(list, roster.Member{Name: p.Name, Address: p.Address, Hall: p.Hall, Cores: p.Cores})
		}
	}
	return list
}

// Reach combines the reports of this hall's other nodes on what they couldn't reach.
func (t *Table) Reach(now time.Time) pool.Reachability {
	var sum pool.Reachability
	for _, p := range t.peers {
		if p.Hall == t.o.Hall {
			sum = sum.Merge(p.Reach, now.Sub(p.LastSeen))
		}
	}
	return sum
}

// Trials merges what the peers' own reports say of roll-outs.
func (t *Table) Trials() []rollout.Update {
	var r []rollout.Update
	for _, p := range t.peers {
		r = rollout.Merge(r, p.Trials)
	}
	return r
}

// View returns the fleet as this node, given as a peer, sees it. It holds as long as the table isn't changed.
func (t *Table) View(now time.Time, self roster.Peer, regions map[string]string) roster.View {
	return roster.View{Now: now, Size: t.Size(), Regions: regions, Self: self, Peers: func(yield func(*roster.Peer) bool) {
		for _, p := range t.peers {
			if !yield(&p.Peer) {
				return
			}
		}
	}}
}

// GetOrAdd returns the peer of a name, at an address.
func (t *Table) GetOrAdd(name, address string) *Peer {
	p := t.peers[name]
	if p == nil {
		p = &Peer{Peer: roster.Peer{Name: name}}
		p.FoundAt = t.o.Clock.Now()
		t.peers[name] = p
		t.logEvent("peer_found", zap.String("peer", name), zap.String("address", address))
	}
	if p.Address != address {
		p.clientMu.Lock()
		defer p.clientMu.Unlock()
		p.Address, p.client = address, nil
	}
	return p
}

// Apply applies a peer's own report; nil: it isn't newer than the last one.
func (t *Table) Apply(now time.Time, r *Report) *Peer {
	p := t.GetOrAdd(r.Name, r.Address)
	if !p.isNew(r) {
		return nil
	}
	if p.Incarnation != r.Incarnation || !p.IsResponsive(now, t.Size()) {
		t.logEvent("peer_heard", zap.String("peer", r.Name), zap.String("lifetime", r.Incarnation), zap.Int64("catalog", r.CatalogVersion))
	}
	p.Incarnation, p.Sequence, p.LastSeen = r.Incarnation, r.Sequence, now
	p.Hall, p.Leaving, p.StoreUp, p.Cores = r.Hall, r.Leaving, r.StoreUp, r.Cores
	p.Trials, p.Reach = r.Trials, r.Reach
	p.Work, p.WorkAt = r.Work, now
	return p
}

// ApplyRelayed applies what a digest says of a peer, and reports whether it holds: nothing newer is known of it.
func (t *Table) ApplyRelayed(now time.Time, r Relayed) bool {
	p := t.peers[r.Name]
	if p == nil {
		return false
	}
	p.LastRelayed = now.Add(-r.Age)
	if p.Incarnation == r.Incarnation && p.Sequence > r.Sequence {
		return false
	}
	p.Leaving, p.StoreUp = r.Leaving, r.StoreUp
	return true
}

// ApplyRelayedWork applies what a relay has told of a peer's work, in a fleet so large that pairs don't.
func (t *Table) ApplyRelayedWork(name string, work map[string]capacity.Work, at time.Time) {
	if p := t.peers[name]; p != nil && !pair.Suffice(t.Size()) && at.After(p.WorkAt) {
		p.Work, p.WorkAt = work, at
	}
}

// ApplyMember applies a node as the registry or another node names it.
func (t *Table) ApplyMember(now time.Time, m roster.Member) {
	if m.Name == t.o.Self {
		return
	}
	known := t.peers[m.Name]
	if known != nil && now.Sub(known.LastSeen) <= roster.Silence(t.Size()) {
		known.LastListed = now // its own reports are newer than a stale read
		return
	}
	found := t.GetOrAdd(m.Name, m.Address)
	found.LastListed, found.Hall, found.Cores = now, m.Hall, m.Cores
}

// ApplyRegistry applies a read of the whole registry, and forgets the peers that are gone.
func (t *Table) ApplyRegistry(now time.Time, list []roster.Member) {
	for _, m := range list {
		t.ApplyMember(now, m)
	}
	for name, p := range t.peers {
		if p.IsGone(now, t.Size()) {
			delete(t.peers, name)
			t.logEvent("peer_gone", zap.String("peer", name), zap.Duration("silent", now.Sub(p.LastSeen)))
		}
	}
}

// Round is what a round of reports finds: the peers to call, which count as being called from now on.
type Round struct {
	Responsive int
	Leaving    []string
	Due        []*Peer
}

// Round looks at all peers, by a view of this table.
func (t *Table) Round(v roster.View) Round {
	found := v.Round(&t.fallback)
	for _, p := range found.Silent {
		t.logEvent("peer_silent", zap.String("peer", p.Name), zap.Duration("for", v.Now.Sub(p.LastSign(t.Size()))), zap.String("last_call", t.peers[p.Name].LastFailure))
	}
	r := Round{Responsive: found.Responsive, Leaving: found.Leaving, Due: make([]*Peer, 0, len(found.Due))}
	for _, name := range found.Due {
		r.Due = append(r.Due, t.peers[name])
	}
	return r
}

// DueRelays returns the relays to swap with now, which count as busy from now on.
func (t *Table) DueRelays(v roster.View) []*Peer {
	var list []pair.Peer
	for _, name := range v.RelaysOfAllHalls(relay.Ranking.Relays) {
		if p := t.peers[name]; p != nil {
			list = append(list, pair.Peer{Name: name, LastSeen: p.Relay.LastSwapped, LastCalled: p.Relay.LastCalled, Busy: p.Relay.Busy})
		}
	}
	var due []*Peer
	for _, name := range pair.Due(v.Now, t.o.Self, len(list)+1, list) {
		p := t.peers[name]
		p.Relay.Busy, p.Relay.LastCalled = true, v.Now
		due = append(due, p)
	}
	return due
}

// Unknown returns those of some addresses that no peer has.
func (t *Table) Unknown(addresses []string) []string {
	known := make(map[string]bool)
	for _, p := range t.peers {
		known[p.Address] = true
	}
	var r []string
	for _, a := range addresses {
		if !known[a] {
			r = append(r, a)
		}
	}
	return r
}

// logEvent logs an event of a peer, or counts it.
func (t *Table) logEvent(event string, fields ...zap.Field) {
	if t.events.Take(event, t.Size()) {
		t.o.Log.Info(event, fields...)
	}
}

// EndRound logs the totals of a round. verbose says that each event of the next round gets a line.
func (t *Table) EndRound(verbose bool) {
	if c := t.events.EndRound(verbose); len(c) > 0 {
		t.o.Log.Info("peers_changed", zap.Int("found", c["peer_found"]), zap.Int("heard", c["peer_heard"]), zap.Int("silent", c["peer_silent"]),
			zap.Int("gone", c["peer_gone"]), zap.Int("known", len(t.peers)))
	}
}

// Client returns the client for calls of a peer. It is created with the first call: a client takes 13 kB, and
// a node of a large fleet calls few of its peers. It may be called without the table's lock.
func (t *Table) Client(p *Peer) wireconnect.EdgeClient {
	p.clientMu.Lock()
	defer p.clientMu.Unlock()
	if p.client == nil {
		p.client = t.NewClient(p.Address)
	}
	return p.client
}

// NewClient returns a client for calls of an address.
func (t *Table) NewClient(address string) wireconnect.EdgeClient {
	return wireconnect.NewEdgeClient(t.keepAlive, "http://"+address, message.Bounded())
}

// PairClient returns the client for the reports of a pair.
func (t *Table) PairClient(p *Peer) wireconnect.EdgeClient {
	if !pair.Suffice(t.Size()) {
		return wireconnect.NewEdgeClient(t.oneShot, "http://"+p.Address, message.Bounded())
	}
	return t.Client(p)
}
