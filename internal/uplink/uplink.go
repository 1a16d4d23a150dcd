// Package uplink opens a node's connections to upstreams, over its own network or through another node (package egress
// decides), and opens connections for other nodes.
//
//	uplink.go   opens a connection
//	probe.go    finds out whether the node's own network is lost, and when it is back
//	conn.go     the connections, which tell when bytes arrive and through which node they go
//	serve.go    the tunnels of other nodes
package uplink

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/egress"
	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/tunnel"
	"spurhall.example/spurhall/internal/upstream"
)

var errs = errorx.NewNamespace("uplink")

// ErrNoTunnel means that there is no other node to ask for a connection.
var ErrNoTunnel = errs.NewType("no_tunnel").New("no other node opens a connection")

// errUnseen means that a connection wasn't answered in the time in which this process could have seen it.
var errUnseen = errs.NewType("unseen").New("this node runs late and may not have seen the answer")

const (
	// unseenShare is the part of the time-out of a connection by which a process that runs late may not have seen its answer.
	unseenShare = 0.5
	// tunnelTimeout bounds the wait for a tunnel through one node: some ten round trips, which leaves time for a retry.
	tunnelTimeout = 120 * time.Millisecond
	// maxTunnelPeers is how many nodes are asked for one connection: one of them may be cut off from the upstream, too. While
	// the own network isn't lost, one that doesn't answer is the last: the upstream may be silent.
	maxTunnelPeers = 3
)

// Options configures an uplink. All functions are needed, but for Direct.
type Options struct {
	Clock *timer.Service
	Log   *zap.Logger
	Pools *pool.Pools
	Dial  upstream.DialOptions
	// Direct opens connections over the node's own network; nil: as Dial says.
	Direct upstream.DialFunc
	// Peers returns the other nodes that may be asked for an upstream.
	Peers func(e pool.Entry) []egress.Peer
	// Late returns how late this process has been running of late: what has arrived may be unseen for as long.
	Late func() time.Duration
	// OnLost is called when the node's own network has been lost: open connections may hang.
	OnLost func()
	// Leaving reports whether this node stops, so that it opens no tunnels any more.
	Leaving func() bool
	// MaxWait is how long what other nodes send through this one may wait here unread (package tunnel); 0: for ever.
	MaxWait time.Duration
	// MaxDescriptors is how many descriptors the process may open; 0: unknown.
	MaxDescriptors int
	// Count counts an event.
	Count func(event string)
}

// Uplink opens connections. It is safe for concurrent use.
type Uplink struct {
	o      Options
	direct upstream.DialFunc
	toPeer upstream.DialFunc
	paths  *egress.Paths
	served atomic.Int64 // tunnels that this node serves for others
	// tunnels ends when stopTunnels is called, which resets those that are served.
	tunnels     context.Context
	stopTunnels context.CancelFunc

	mu        sync.Mutex
	refusedAt map[string]time.Time // by node: when it last said that it can't help
	used      map[string]int       // tunnels in use, by the node that serves them
}

// New returns the uplink of a node that has just started.
func New(o Options) *Uplink {
	u := &Uplink{o: o, direct: o.Direct, toPeer: upstream.NewDialFunc(o.Dial), paths: egress.NewPaths(o.Clock.Now()), refusedAt: make(map[string]time.Time), used: make(map[string]int)}
	u.tunnels, u.stopTunnels = context.WithCancel(context.Background())
	if u.direct == nil {
		u.direct = upstream.NewDialFunc(o.Dial)
	}
	return u
}

// Lost reports whether the node's own network reaches no upstream.
func (u *Uplink) Lost() bool { return u.paths.Lost() }

// Dial opens a connection to an upstream, over the path that is likely to work first.
func (u *Uplink) Dial(ctx context.Context, e pool.Entry) (net.Conn, error) {
	asked := u.paths.First(u.o.Clock.Now(), e.ID) == egress.PathPeer
	if asked {
		c, err := u.dialPeers(ctx, e)
		if err == nil || u.paths.Lost() && isOfUpstream(err) {
			return c, err
		}
	}
	c, err := u.dialDirect(ctx, e)
	if err == nil || ctx.Err() != nil || asked || errors.Is(err, errUnseen) || !u.paths.MayUsePeer(u.o.Clock.Now(), e.ID) {
		return c, err
	}
	v, tunnelErr := u.dialPeers(ctx, e)
	if tunnelErr == nil {
		return v, nil
	}
	if isOfUpstream(tunnelErr) || isTimeout(err) && errors.Is(tunnelErr, tunnel.ErrNoAnswer) {
		u.paths.PeerFailed(u.o.Clock.Now(), e.ID)
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

// dialDirect opens a connection over the node's own network.
func (u *Uplink) dialDirect(ctx context.Context, e pool.Entry) (net.Conn, error) {
	c, err := u.openDirect(ctx, e)
	now := u.o.Clock.Now()
	if err == nil {
		if u.paths.DirectOpened(now, e.ID) {
			u.o.Count("egress_regained")
			u.o.Log.Info("egress_regained", zap.String("upstream", e.ID), zap.String("hall", e.Hall))
		}
		return &directConn{Conn: c, u: u}, nil
	}
	if ctx.Err() == nil && !errors.Is(err, errUnseen) && u.paths.DirectFailed(now, e.ID, u.o.Pools.Len()) {
		go u.check(e, err) // bounded by the time-out of a connection
	}
	return nil, err
}

// openDirect opens a connection over the node's own network. One that isn't answered in time while this process runs late says
// nothing of the network: it is tried once more.
func (u *Uplink) openDirect(ctx context.Context, e pool.Entry) (net.Conn, error) {
	c, err := u.direct(ctx, e.Address)
	if !u.isUnseen(ctx, err) {
		return c, err
	}
	u.o.Count("connections_unseen")
	c, err = u.direct(ctx, e.Address)
	if !u.isUnseen(ctx, err) {
		return c, err
	}
	return nil, fault.Because(errUnseen, "%v", err)
}

// isUnseen reports whether a connection's answer may have come unseen.
func (u *Uplink) isUnseen(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && isTimeout(err) && u.o.Late() >= time.Duration(unseenShare*float64(u.o.Dial.ConnectTimeout))
}

// dialPeers opens a connection through another node.
func (u *Uplink) dialPeers(ctx context.Context, e pool.Entry) (net.Conn, error) {
	peers := u.rank(e)
	var last error = ErrNoTunnel
	for _, p := range peers[:min(maxTunnelPeers, len(peers))] {
		c, err := u.dialPeer(ctx, p, e)
		if err == nil {
			u.paths.PeerOpened(u.o.Clock.Now(), e.ID)
			u.o.Count("tunnels_opened")
			return u.newPeerConn(p.Name, c), nil
		}
		u.o.Log.Info("tunnel_failed", zap.String("peer", p.Name), zap.String("upstream", e.ID), zap.Bool("egress_lost", u.paths.Lost()), zap.String("cause", fault.Reason(err)))
		last = err
		if errors.Is(err, tunnel.ErrNoAnswer) && !u.paths.Lost() {
			break
		}
	}
	return nil, last
}

// rank returns the nodes to ask for an upstream, the best ones first.
func (u *Uplink) rank(e pool.Entry) []egress.Peer {
	list := u.o.Peers(e)
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range list {
		list[i].RefusedAt = u.refusedAt[list[i].Name]
	}
	return egress.Rank(u.o.Clock.Now(), e.Hall, list)
}

func (u *Uplink) dialPeer(ctx context.Context, p egress.Peer, e pool.Entry) (net.Conn, error) {
	t, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	c, err := u.toPeer(t, p.Address)
	if err == nil {
		c, err = tunnel.Open(t, c, e.Address)
	}
	if err != nil && !isOfUpstream(err) && t.Err() == nil {
		u.recordRefusal(p.Name) // it has answered, or refuses connections
	}
	return c, err
}

func (u *Uplink) recordRefusal(peer string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.o.Clock.Now()
	for name, at := range u.refusedAt {
		if now.Sub(at) > egress.RefusalMemory {
			delete(u.refusedAt, name)
		}
	}
	u.refusedAt[peer] = now
}
