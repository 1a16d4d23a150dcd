package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/pair"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/wire"
)

// This file decides who watches the store. Each change of the list of upstreams answers a
// watch, each answer is a call that is paid for, and with a watch a node the calls grow
// with the nodes times the changes. So two nodes of a hall watch, and the others ask one of
// them, in a call that is held until there is news.
//
// A node that gets no news from those that watch, or that hears of a change which they
// lack, watches by itself for a while. A node that starts does so until it has heard from
// others of its hall: it needs what the store has at once.
//
// Weighed: news along with the reports between nodes. Pairs swap reports every second or
// two in a fleet of some 80 nodes, which is what an upstream that leaves allows in all.
// One watcher for the whole fleet: a hall that is cut off has to know of its own upstreams.

const (
	// watchersAHall is how many nodes of a hall watch: the loss of one costs the others a
	// time-out.
	watchersAHall = 2
	// followWait is how long a question without news is held, and followTimeout how long an
	// answer may take: a watcher that froze is given up well within the time in which an
	// upstream that leaves has to be known.
	followWait    = 400 * time.Millisecond
	followTimeout = followWait + 250*time.Millisecond
	// aloneFor is how long a node watches by itself after those that watch failed it.
	aloneFor = 5 * time.Second
	// rolesEvery is how often a node looks whether it has to watch.
	rolesEvery = 250 * time.Millisecond
)

// errNoNews says that a node doesn't watch the store, or is behind.
var errNoNews = errs.NewType("no_news").New("the node has no news of the store")

// news tells those that wait when there is some.
type news struct {
	mu       sync.Mutex
	changed  chan struct{} // closed by the next news
	sequence int64         // of the list
}

func newNews() *news { return &news{changed: make(chan struct{})} }

func (v *news) announce() {
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *news) announceList() {
	v.mu.Lock()
	v.sequence++
	v.mu.Unlock()
	v.announce()
}

// next returns the list's sequence and what is closed by the next news.
func (v *news) next() (int64, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sequence, v.changed
}

// watchers names the nodes of this hall that watch the store: those that come first in the
// hall's order, of the ones that are heard and that the store answers, or of all that are
// heard if it answers none. Nodes whose views differ for a moment ask one that doesn't
// watch, and are told so.
func (n *Node) watchers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watchersAt(n.clock.Now())
}

// watchersAt is watchers. The node's lock is held.
func (n *Node) watchersAt(now time.Time) []string {
	silent := pair.UnresponsiveAfter(n.peers.size())
	heard, served := map[string]float64{n.s.Node: n.s.Cores}, map[string]float64{}
	if n.guard.Up() {
		served[n.s.Node] = n.s.Cores
	}
	for _, p := range n.peers.peers {
		if p.hall != n.s.Hall || p.leaving || now.Sub(p.heard) > silent {
			continue
		}
		heard[p.name] = p.cores
		if p.storeUp {
			served[p.name] = p.cores
		}
	}
	if len(served) == 0 {
		served = heard
	}
	names := relay.RankNodes(served)
	return names[:min(len(names), watchersAHall)]
}

// watchesFor tells whether this node is one of those that watch for their hall. The node's
// lock is held.
func (n *Node) watchesFor(now time.Time) bool {
	return slices.Contains(n.watchersAt(now), n.s.Node)
}

// isWatcher tells whether this node is one of those that watch for their hall.
func (n *Node) isWatcher() bool { return slices.Contains(n.watchers(), n.s.Node) }

// watchAlone makes this node watch by itself for a while. The node's lock is held.
func (n *Node) watchAlone(now time.Time) { n.alone = now.Add(aloneFor) }

// watches tells whether this node has to watch the store now.
func (n *Node) watches() bool {
	now := n.clock.Now()
	n.mu.Lock()
	alone := now.Before(n.alone)
	n.mu.Unlock()
	return alone || !n.listed.Load() || n.current() == nil || n.isWatcher()
}

// watch watches the store, or asks those that do, until the context ends.
func (n *Node) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if n.watches() {
			n.log.Info("watching", zap.Strings("watchers", n.watchers()))
			n.while(ctx, n.watches, n.catalogReader.run, n.listReader.run)
		} else {
			n.while(ctx, func() bool { return !n.watches() }, n.followOthers)
		}
	}
}

// while runs the duties for as long as the condition holds, and returns when they ended.
func (n *Node) while(ctx context.Context, holds func() bool, duties ...func(context.Context)) {
	c, cancel := context.WithCancel(ctx)
	var w sync.WaitGroup
	for _, f := range duties {
		w.Add(1)
		go func() {
			defer w.Done()
			f(c)
		}()
	}
	for holds() && n.clock.Sleep(c, rolesEvery) == nil {
	}
	cancel()
	w.Wait()
}

// followOthers asks the nodes that watch, one after the other, and makes this node watch by
// itself when all of them have failed it in a row.
func (n *Node) followOthers(ctx context.Context) {
	failed := 0
	var from source
	n.log.Info("following", zap.Strings("watchers", n.watchers()))
	for ctx.Err() == nil {
		names := n.watchers()
		name := names[failed%len(names)]
		err := n.follow(ctx, name, &from)
		if err == nil {
			failed = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failed++
		n.log.Info("follow_failed", zap.String("peer", name), zap.String("cause", err.Error()))
		if failed >= watchersAHall {
			n.mu.Lock()
			n.watchAlone(n.clock.Now())
			n.mu.Unlock()
			return
		}
	}
}

// source is where this node's list is from.
type source struct {
	lifetime string
	sequence int64
}

// follow asks one node that watches for news, and takes them in.
func (n *Node) follow(ctx context.Context, name string, from *source) error {
	n.mu.Lock()
	p := n.peers.peers[name]
	n.mu.Unlock()
	if p == nil || p.client == nil {
		return errNoNews
	}
	version := int64(-1)
	if c := n.current(); c != nil {
		version = c.Version()
	}
	c, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	a, err := p.client.Follow(c, connect.NewRequest(&wire.FollowRequest{CatalogVersion: version, Lifetime: from.lifetime, ListSequence: from.sequence}))
	if err != nil {
		return err
	}
	m := a.Msg
	if !m.Watching || m.HasList && m.ListRevision < n.pools.LastChange() {
		return errNoNews
	}
	n.followed()
	if len(m.Catalog) > 0 {
		n.accept(m.Catalog, name)
	}
	if m.HasList {
		items := message.ItemsFromWire(m.List)
		n.update(name, func(now time.Time, l *pool.List) { l.Replace(now, m.ListRevision, items) })
		*from = source{m.Lifetime, m.ListSequence}
	}
	return nil
}

// Follow answers as soon as there is something that the asker lacks.
func (s *edgeService) Follow(ctx context.Context, r *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	n := s.n
	late, stop := n.clock.After(followWait)
	defer stop()
	for {
		sequence, changed := n.news.next()
		a := n.newsFor(r.Msg, sequence)
		if !a.Watching || a.HasList || len(a.Catalog) > 0 {
			return connect.NewResponse(a), nil
		}
		select {
		case <-changed:
		case <-late:
			return connect.NewResponse(a), nil
		case <-ctx.Done():
			return nil, errors.Join(errNoNews, ctx.Err())
		}
	}
}

// newsFor is what an asker lacks of this node's list, which has that sequence at least, and
// of its configuration.
func (n *Node) newsFor(r *wire.FollowRequest, sequence int64) *wire.FollowResponse {
	a := &wire.FollowResponse{Watching: n.catalogReader.inTouch.Load() && n.listReader.inTouch.Load(), Lifetime: n.o.Incarnation, ListSequence: sequence}
	if !a.Watching {
		return a
	}
	if h := n.catalog.Load(); h != nil && h.catalog.Version() > r.CatalogVersion {
		a.Catalog = h.raw
	}
	if r.Lifetime == n.o.Incarnation && r.ListSequence == sequence {
		return a
	}
	a.HasList, a.ListRevision = true, n.pools.Revision()
	a.List = n.itemsToWire()
	return a
}

func (n *Node) itemsToWire() []*wire.ListItem {
	var list []*wire.ListItem
	for _, i := range n.pools.Items() {
		list = append(list, message.ItemToWire(i))
	}
	return list
}
