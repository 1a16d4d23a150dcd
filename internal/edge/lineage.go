package edge

import (
	"context"
	"expvar"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/wire"
)

// This file tells other nodes which software version began a stream, and asks them (package lineage).

const (
	// maxUntold bounds the records that wait to be told: some seconds of a node's streams.
	maxUntold = 4096
	// tellDelay is how long a record waits for others to the same nodes. A node that ends meanwhile takes it along.
	tellDelay   = 30 * time.Millisecond
	tellTimeout = 400 * time.Millisecond
	tellTries   = 2
	// findTimeout bounds the wait for the nodes that are asked: some ten round trips.
	findTimeout = 250 * time.Millisecond
	// findTries is how often they are asked: a stream that has just begun may not have been told yet.
	findTries = 2
)

// streamKeeper is what this node remembers of streams, and what it has to tell.
type streamKeeper struct {
	book   *lineage.Book
	untold chan lineage.Record
	mixed  map[string]bool // services that had several versions when the list last changed
}

func newStreamKeeper() *streamKeeper {
	return &streamKeeper{book: lineage.NewBook(), untold: make(chan lineage.Record, maxUntold), mixed: make(map[string]bool)}
}

// tellStream remembers a stream and has it told to its keepers.
func (n *Node) tellStream(r lineage.Record) {
	n.streams.book.Add(n.clock.Now(), r)
	select {
	case n.streams.untold <- r:
	default:
		streamEvents.Add("untold", 1)
	}
}

// tellStreams tells other nodes of streams until the context ends.
func (n *Node) tellStreams(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-n.streams.untold:
			if n.clock.Sleep(ctx, tellDelay) != nil {
				return
			}
			n.tellAll(ctx, n.takeUntold(r))
		}
	}
}

// takeUntold returns a record and those that wait behind it.
func (n *Node) takeUntold(r lineage.Record) []lineage.Record {
	list := []lineage.Record{r}
	for {
		select {
		case r := <-n.streams.untold:
			list = append(list, r)
		default:
			return list
		}
	}
}

func (n *Node) tellAll(ctx context.Context, list []lineage.Record) {
	nodes, byName := n.lineageNodes()
	byKeeper := make(map[string]*wire.TellStreamsRequest)
	for _, r := range list {
		for _, name := range lineage.Told(r.Key, nodes) {
			if name == n.settings.Node {
				continue
			}
			m := byKeeper[name]
			if m == nil {
				m = &wire.TellStreamsRequest{}
				byKeeper[name] = m
			}
			m.Streams = append(m.Streams, &wire.StreamRecord{Key: uint64(r.Key), Version: r.Version, LeftMs: r.Left.Milliseconds()})
		}
	}
	for name, m := range byKeeper {
		go n.tellKeeper(ctx, byName[name], m) // bounded by its time-outs
	}
}

func (n *Node) tellKeeper(ctx context.Context, p *peer, m *wire.TellStreamsRequest) {
	var err error
	for range tellTries {
		c, cancel := context.WithTimeout(ctx, tellTimeout)
		_, err = n.peers.clientOf(p).TellStreams(c, connect.NewRequest(m))
		cancel()
		if err == nil {
			streamEvents.Add("told", int64(len(m.Streams)))
			return
		}
	}
	streamEvents.Add("untold", int64(len(m.Streams)))
	n.log.Info("streams_untold", zap.String("peer", p.Name), zap.Int("streams", len(m.Streams)), zap.String("cause", err.Error()))
}

// lineageNodes returns the nodes that may keep records, this one included, and the others by name.
func (n *Node) lineageNodes() ([]lineage.Node, map[string]*peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := []lineage.Node{{Name: n.settings.Node, Hall: n.settings.Hall}}
	byName := make(map[string]*peer)
	for p := range n.view(n.clock.Now()).Present() {
		if v := n.peers.peers[p.Name]; v != nil && v.Address != "" {
			nodes = append(nodes, lineage.Node{Name: p.Name, Hall: p.Hall})
			byName[p.Name] = v
		}
	}
	return nodes, byName
}

// findStream returns the version that began a stream, if this node or one of the stream's keepers knows it.
func (n *Node) findStream(ctx context.Context, k lineage.Key) (version string, known bool) {
	if v, ok := n.streams.book.Version(n.clock.Now(), k); ok {
		return v, true
	}
	c, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for range findTries {
		if v, ok := n.askKeepers(c, k); ok {
			streamEvents.Add("found", 1)
			return v, true
		}
		if n.clock.Sleep(c, 2*tellDelay) != nil {
			break
		}
	}
	streamEvents.Add("not_found", 1)
	return "", false
}

// askKeepers asks the nodes that should know a stream.
func (n *Node) askKeepers(c context.Context, k lineage.Key) (version string, known bool) {
	nodes, byName := n.lineageNodes()
	asked := 0
	answers := make(chan *wire.FindStreamResponse, len(nodes))
	for _, name := range lineage.Asked(k, nodes) {
		p := byName[name]
		if p == nil {
			continue // this node
		}
		asked++
		go func() { answers <- n.askKeeper(c, p, k) }()
	}
	for range asked {
		if a := <-answers; a.GetKnown() {
			return a.Version, true
		}
	}
	return n.streams.book.Version(n.clock.Now(), k) // this node may have been told meanwhile
}

// askKeeper asks one node for a stream; nil: it gave no answer.
func (n *Node) askKeeper(ctx context.Context, p *peer, k lineage.Key) *wire.FindStreamResponse {
	a, err := n.peers.clientOf(p).FindStream(ctx, connect.NewRequest(&wire.FindStreamRequest{Key: uint64(k)}))
	if err != nil {
		if ctx.Err() == nil || context.Cause(ctx) == context.DeadlineExceeded {
			n.log.Info("find_failed", zap.String("peer", p.Name), zap.String("cause", err.Error()))
		}
		return nil
	}
	return a.Msg
}

// TellStreams remembers streams that another node began.
func (s *edgeService) TellStreams(_ context.Context, r *connect.Request[wire.TellStreamsRequest]) (*connect.Response[wire.TellStreamsResponse], error) {
	now := s.n.clock.Now()
	for _, v := range r.Msg.Streams {
		if left := time.Duration(v.LeftMs) * time.Millisecond; v.LeftMs > 0 && left <= maxStreamTime {
			s.n.streams.book.Add(now, lineage.Record{Key: lineage.Key(v.Key), Version: v.Version, Left: left})
		}
	}
	return connect.NewResponse(&wire.TellStreamsResponse{}), nil
}

// maxStreamTime bounds for how long a stream is remembered that another node tells of.
const maxStreamTime = 10 * time.Minute

// FindStream returns the version that began a stream, if this node knows it.
func (s *edgeService) FindStream(_ context.Context, r *connect.Request[wire.FindStreamRequest]) (*connect.Response[wire.FindStreamResponse], error) {
	v, known := s.n.streams.book.Version(s.n.clock.Now(), lineage.Key(r.Msg.Key))
	return connect.NewResponse(&wire.FindStreamResponse{Known: known, Version: v}), nil
}

// noteVersions has the streams in progress told of a service that has got a second version.
func (n *Node) noteVersions(changes []pool.Change) {
	services := make(map[string]bool)
	for _, c := range changes {
		services[c.Entry.Service] = true
	}
	for service := range services {
		known, _ := n.pools.StreamVersions(service, maxStreamTime)
		n.mu.Lock()
		before := n.streams.mixed[service]
		n.streams.mixed[service] = len(known) > 1
		n.mu.Unlock()
		if len(known) > 1 && !before {
			n.log.Info("versions_mixed", zap.String("service", service), zap.Strings("versions", known))
			n.front.TellStreams(service)
		}
	}
}

var streamEvents = expvar.NewMap("streams")
