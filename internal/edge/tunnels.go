package edge

import (
	"net/http"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/egress"
	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/tunnel"
)

// This file serves the tunnels of other nodes, whose own networks don't reach an upstream. Tunnels go to listed upstreams
// only, and never through a third node.

const (
	// descriptorsPerTunnel and maxTunnelShare bound the tunnels by the descriptors that this process may open.
	descriptorsPerTunnel = 2
	maxTunnelShare       = 0.25
	// maxTunnels applies if the number of descriptors is unknown.
	maxTunnels = 512
)

func (n *Node) tunnelLimit() int64 {
	if d := n.settings.MaxDescriptors; d > 0 {
		return int64(maxTunnelShare * float64(d) / descriptorsPerTunnel)
	}
	return maxTunnels
}

// serveTunnel opens a connection to an upstream for another node.
func (n *Node) serveTunnel(w http.ResponseWriter, r *http.Request) {
	e, listed := n.pools.ByAddress(r.Host)
	open := n.egress.tunnels.Add(1)
	defer n.egress.tunnels.Add(-1)
	switch {
	case n.isLeaving():
		tunnel.Reject(w, "the node is leaving")
	case n.egress.paths.Lost():
		tunnel.Reject(w, "the node doesn't reach upstreams either")
	case open > n.tunnelLimit():
		n.log.Warn("tunnel_rejected", zap.String("upstream", e.ID), zap.Int64("open", open), zap.Int64("limit", n.tunnelLimit()))
		tunnel.Reject(w, "too many tunnels")
	case !listed:
		tunnel.Reject(w, "no listed upstream has the address")
	default:
		n.openTunnel(w, r, e)
	}
}

func (n *Node) openTunnel(w http.ResponseWriter, r *http.Request, e pool.Entry) {
	far, err := n.egress.dialDirect(r.Context(), e)
	if err != nil {
		own := n.egress.paths.First(n.clock.Now(), e.ID) == egress.PathPeer
		n.log.Info("tunnel_refused", zap.String("upstream", e.ID), zap.String("for", r.RemoteAddr), zap.Bool("own_network", own), zap.String("cause", err.Error()))
		if own { // others reach the upstream
			tunnel.Reject(w, "the node doesn't reach the upstream either")
			return
		}
		tunnel.RejectDial(w, err)
		return
	}
	upstreamEvents.Add("tunnels_served", 1)
	if err := tunnel.Serve(w, far, forward.DialOptions().AckTimeout); err != nil {
		n.log.Debug("tunnel_ended", zap.String("upstream", e.ID), zap.String("for", r.RemoteAddr), zap.String("cause", err.Error()))
	}
}
