package uplink

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/tunnel"
)

const (
	// descriptorsPerTunnel and maxTunnelShare bound the tunnels by the descriptors that the process may open.
	descriptorsPerTunnel = 2
	maxTunnelShare       = 0.25
	// maxTunnels applies if the number of descriptors is unknown.
	maxTunnels = 512
	// resetTimeout bounds the wait for tunnels that are reset.
	resetTimeout = 300 * time.Millisecond
	resetPoll    = 5 * time.Millisecond
)

// MaxTunnels is how many tunnels a process serves at most that has so many descriptors; 0: unknown.
func MaxTunnels(descriptors int) int {
	if descriptors > 0 {
		return int(maxTunnelShare * float64(descriptors) / descriptorsPerTunnel)
	}
	return maxTunnels
}

func (u *Uplink) tunnelLimit() int64 { return int64(MaxTunnels(u.o.MaxDescriptors)) }

// Served returns the number of tunnels that this node serves for others.
func (u *Uplink) Served() int64 { return u.served.Load() }

// Stop resets the tunnels that this node still serves for others, before its process ends, and waits until they are closed.
func (u *Uplink) Stop() {
	u.stopTunnels()
	for until := u.o.Clock.Now().Add(resetTimeout); u.Served() > 0 && u.o.Clock.Now().Before(until); {
		_ = u.o.Clock.Sleep(context.Background(), resetPoll)
	}
}

// ServeHTTP opens a connection for another node. It goes to a listed upstream only, and never through a third node.
func (u *Uplink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e, listed := u.o.Pools.ByAddress(r.Host)
	open := u.served.Add(1)
	defer u.served.Add(-1)
	switch {
	case u.o.Leaving():
		tunnel.Reject(w, "the node is leaving")
	case u.paths.Lost():
		tunnel.Reject(w, "the node doesn't reach upstreams either")
	case open > u.tunnelLimit():
		u.o.Log.Warn("tunnel_rejected", zap.String("upstream", e.ID), zap.Int64("open", open), zap.Int64("limit", u.tunnelLimit()))
		tunnel.Reject(w, "too many tunnels")
	case !listed:
		tunnel.Reject(w, "no listed upstream has the address")
	default:
		u.serve(w, r, e)
	}
}

func (u *Uplink) serve(w http.ResponseWriter, r *http.Request, e pool.Entry) {
	far, err := u.dialDirect(r.Context(), e)
	if err != nil {
		own := u.paths.OwnFault(u.o.Clock.Now(), e.ID)
		u.o.Log.Info("tunnel_refused", zap.String("upstream", e.ID), zap.String("for", r.RemoteAddr), zap.Bool("own_network", own), zap.String("cause", err.Error()))
		if own || errors.Is(err, errUnseen) { // others reach the upstream, or may
			tunnel.Reject(w, "the node doesn't reach the upstream either")
			return
		}
		tunnel.RejectDial(w, err)
		return
	}
	u.o.Count("tunnels_served")
	err = tunnel.Serve(u.tunnels, w, r, far, tunnel.ServeOptions{Clock: u.o.Clock, AckTimeout: u.o.Dial.AckTimeout, MaxWait: u.o.MaxWait})
	switch {
	case errors.Is(err, tunnel.ErrLate):
		u.o.Count("tunnels_late")
		u.o.Log.Info("tunnel_late", zap.String("upstream", e.ID), zap.String("for", r.RemoteAddr), zap.String("cause", err.Error()))
	case err != nil:
		u.o.Log.Debug("tunnel_ended", zap.String("upstream", e.ID), zap.String("for", r.RemoteAddr), zap.String("cause", err.Error()))
	}
}
