package edge

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/egress"
	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/tunnel"
	"spurhall.example/spurhall/internal/upstream"
)

// This file opens connections to upstreams, over this node's own network or through another node (package egress).

const (
	// tunnelTimeout bounds the wait for a tunnel through one node: some ten round trips, which leaves time for a retry.
	tunnelTimeout = 120 * time.Millisecond
	// maxTunnelPeers is how many nodes are asked for one connection: one of them may be cut off from the upstream, too. While
	// the own network isn't lost, one that doesn't answer is the last: the upstream may be silent.
	maxTunnelPeers = 3
	// egressProbeInterval is how often a direct connection is tried while the own network is lost.
	egressProbeInterval = 250 * time.Millisecond
	// egressProbes is how many upstreams are tried at once: some may have crashed.
	egressProbes = 3
)

var errNoTunnel = errs.NewType("no_tunnel").New("no other node opens a connection")

// egressDialer opens the connections to upstreams.
type egressDialer struct {
	n       *Node
	direct  upstream.DialFunc
	toPeer  upstream.DialFunc
	paths   *egress.Paths
	tunnels atomic.Int64 // that this node serves for others
	used    usedTunnels
}

func newEgressDialer(n *Node, direct upstream.DialFunc) *egressDialer {
	o := forward.DialOptions()
	if direct == nil {
		direct = upstream.NewDialFunc(o)
	}
	return &egressDialer{n: n, direct: direct, toPeer: upstream.NewDialFunc(o), paths: egress.NewPaths(n.clock.Now())}
}

// dial opens a connection to an upstream, over the path that is likely to work first.
func (d *egressDialer) dial(ctx context.Context, e pool.Entry) (net.Conn, error) {
	asked := d.paths.First(d.n.clock.Now(), e.ID) == egress.PathPeer
	if asked {
		c, err := d.dialPeers(ctx, e)
		if err == nil || d.paths.Lost() && isOfUpstream(err) {
			return c, err
		}
	}
	c, err := d.dialDirect(ctx, e)
	if err == nil || ctx.Err() != nil || asked || !d.paths.MayUsePeer(d.n.clock.Now(), e.ID) {
		return c, err
	}
	v, tunnelErr := d.dialPeers(ctx, e)
	if tunnelErr == nil {
		return v, nil
	}
	if isOfUpstream(tunnelErr) || isTimeout(err) && errors.Is(tunnelErr, tunnel.ErrNoAnswer) {
		d.paths.PeerFailed(d.n.clock.Now(), e.ID)
	}
	return nil, err
}

// isTimeout reports whether a connection wasn't answered in time.
func isTimeout(err error) bool {
	t, ok := errors.AsType[net.Error](err)
	return ok && t.Timeout()
}

// isOfUpstream reports whether another node found that the upstream itself can't be reached.
func isOfUpstream(err error) bool {
	return errors.Is(err, tunnel.ErrRefused) || errors.Is(err, tunnel.ErrUnreachable)
}

// dialDirect opens a connection over this node's own network.
func (d *egressDialer) dialDirect(ctx context.Context, e pool.Entry) (net.Conn, error) {
	c, err := d.direct(ctx, e.Address)
	now := d.n.clock.Now()
	if err == nil {
		if d.paths.DirectOpened(now, e.ID) {
			d.n.onEgressRegained(e)
		}
		return &watchedConn{Conn: c, d: d}, nil
	}
	if ctx.Err() == nil && d.paths.DirectFailed(now, e.ID, d.n.pools.Len()) {
		go d.n.checkEgress(e, err) // bounded by the time-out of a connection
	}
	return nil, err
}

// dialPeers opens a connection through another node.
func (d *egressDialer) dialPeers(ctx context.Context, e pool.Entry) (net.Conn, error) {
	peers := d.n.rankPeers(e)
	var last error = errNoTunnel
	for _, p := range peers[:min(maxTunnelPeers, len(peers))] {
		c, err := d.dialPeer(ctx, p, e)
		if err == nil {
			d.paths.PeerOpened(d.n.clock.Now(), e.ID)
			upstreamEvents.Add("tunnels_opened", 1)
			return d.used.add(p.Name, c), nil
		}
		d.n.log.Info("tunnel_failed", zap.String("peer", p.Name), zap.String("upstream", e.ID), zap.Bool("egress_lost", d.paths.Lost()), zap.String("cause", fault.Reason(err)))
		last = err
		if errors.Is(err, tunnel.ErrNoAnswer) && !d.paths.Lost() {
			break
		}
	}
	return nil, last
}

func (d *egressDialer) dialPeer(ctx context.Context, p egress.Peer, e pool.Entry) (net.Conn, error) {
	t, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	c, err := d.toPeer(t, p.Address)
	if err == nil {
		c, err = tunnel.Open(t, c, e.Address)
	}
	if err != nil && !isOfUpstream(err) && t.Err() == nil {
		d.n.markPeerRefusal(p.Name) // it has answered, or refuses connections
	}
	return c, err
}

// usedTunnels counts the tunnels that this node uses, by the node that serves them.
type usedTunnels struct {
	mu   sync.Mutex
	open map[string]int
}

func (t *usedTunnels) add(peer string, c net.Conn) net.Conn {
	t.change(peer, 1)
	return &usedTunnel{Conn: c, closed: sync.OnceFunc(func() { t.change(peer, -1) })}
}

func (t *usedTunnels) change(peer string, by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[string]int)
	}
	t.open[peer] += by
	if t.open[peer] == 0 {
		delete(t.open, peer)
	}
}

// through reports whether a tunnel goes through one of the nodes.
func (t *usedTunnels) through(nodes []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(nodes, func(n string) bool { return t.open[n] > 0 })
}

// usedTunnel is a tunnel that this node uses.
type usedTunnel struct {
	net.Conn
	closed func()
}

// SetLinger sets how a close treats bytes that aren't sent yet.
func (c *usedTunnel) SetLinger(sec int) error { return upstream.SetLinger(c.Conn, sec) }

// Close implements net.Conn.
func (c *usedTunnel) Close() error {
	c.closed()
	return c.Conn.Close()
}

// watchedConn tells when bytes arrive over this node's own network.
type watchedConn struct {
	net.Conn
	d *egressDialer
}

// Read implements net.Conn.
func (c *watchedConn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	if k > 0 {
		c.d.paths.Heard(c.d.n.clock.Now())
	}
	return k, err
}

// SetLinger sets how a close treats bytes that aren't sent yet.
func (c *watchedConn) SetLinger(sec int) error { return upstream.SetLinger(c.Conn, sec) }

// CloseWrite ends the direction to the upstream.
func (c *watchedConn) CloseWrite() error { return tunnel.CloseWrite(c.Conn) }

// rankPeers returns the nodes that may open a connection to an upstream, the best ones first.
func (n *Node) rankPeers(e pool.Entry) []egress.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, size := n.clock.Now(), n.peers.size()
	list := make([]egress.Peer, 0, size)
	for _, p := range n.peers.peers {
		if p.address == "" || p.leaving || !p.IsPresent(now, size) {
			continue
		}
		v := egress.Peer{Name: p.name, Address: p.address, Hall: p.hall, Heard: -1, RefusedAt: p.refusedTunnelAt}
		if since, ok := p.reach.LastResponse[e.Hall]; ok {
			v.Heard = since + now.Sub(p.LastSeen)
		}
		list = append(list, v)
	}
	return egress.Rank(now, e.Hall, list)
}

func (n *Node) markPeerRefusal(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers.peers[name]; p != nil {
		p.refusedTunnelAt = n.clock.Now()
	}
}

// checkEgress tries upstreams that didn't fail lately, and tells whether this node's own network is lost. Idle
// connections are then closed: they may hang, and a request that is sent on one may have run.
func (n *Node) checkEgress(e pool.Entry, cause error) {
	n.tryDirect(context.Background(), func(o pool.Entry) bool { return !n.egress.paths.Failed(o.ID) })
	if !n.egress.paths.Conclude() {
		n.log.Info("egress_sound", zap.String("upstream", e.ID), zap.String("hall", e.Hall), zap.String("cause", cause.Error()))
		return
	}
	upstreamEvents.Add("egress_lost", 1)
	n.log.Warn("egress_lost", zap.String("upstream", e.ID), zap.String("hall", e.Hall), zap.Int("upstreams", n.pools.Len()), zap.String("cause", cause.Error()))
	n.lines.CloseIdle()
}

func (n *Node) onEgressRegained(e pool.Entry) {
	upstreamEvents.Add("egress_regained", 1)
	n.log.Info("egress_regained", zap.String("upstream", e.ID), zap.String("hall", e.Hall))
}

// leaveTunnels closes idle connections while some of them go through nodes that are leaving, which wait for them to end.
func (n *Node) leaveTunnels(leaving []string) {
	if n.egress.used.through(leaving) {
		n.lines.CloseIdle()
	}
}

// probeEgress tries direct connections while this node's own network is lost, until the context ends.
func (n *Node) probeEgress(ctx context.Context) {
	n.clock.Every(ctx, egressProbeInterval, func(time.Time) {
		if n.egress.paths.Lost() {
			n.tryDirect(ctx, func(pool.Entry) bool { return true })
		}
	})
}

// tryDirect opens direct connections to some of the upstreams that fit, and closes them.
func (n *Node) tryDirect(ctx context.Context, fits func(e pool.Entry) bool) {
	var w sync.WaitGroup
	for _, e := range n.pools.Sample(egressProbes, fits) {
		w.Go(func() {
			if c, err := n.egress.dialDirect(ctx, e); err == nil {
				_ = c.Close()
			}
		})
	}
	w.Wait()
}
