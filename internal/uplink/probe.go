package uplink

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/pool"
)

const (
	// probeInterval is how often direct connections are tried while the own network is lost.
	probeInterval = 250 * time.Millisecond
	// probes is how many upstreams are tried at once: some may have crashed.
	probes = 3
)

// Probe tries direct connections while the node's own network is lost, until the context ends.
func (u *Uplink) Probe(ctx context.Context) {
	u.o.Clock.Every(ctx, probeInterval, func(time.Time) {
		if u.paths.Lost() {
			u.tryDirect(ctx, func(pool.Entry) bool { return true })
		}
	})
}

// check finds out whether the node's own network is lost, after a failed connection to an upstream has made it suspected:
// it tries upstreams that didn't fail lately.
func (u *Uplink) check(e pool.Entry, cause error) {
	u.tryDirect(context.Background(), func(o pool.Entry) bool { return !u.paths.Failed(o.ID) })
	f := []zap.Field{zap.String("upstream", e.ID), zap.String("hall", e.Hall), zap.Int("upstreams", u.o.Pools.Len()), zap.String("cause", cause.Error())}
	if !u.paths.Conclude() {
		u.o.Log.Info("egress_sound", f...)
		return
	}
	u.o.Count("egress_lost")
	u.o.Log.Warn("egress_lost", f...)
	u.o.OnLost()
}

// tryDirect opens direct connections to some of the upstreams that fit, and closes them.
func (u *Uplink) tryDirect(ctx context.Context, fits func(e pool.Entry) bool) {
	var w sync.WaitGroup
	for _, e := range u.o.Pools.Sample(probes, fits) {
		w.Go(func() {
			if c, err := u.dialDirect(ctx, e); err == nil {
				_ = c.Close()
			}
		})
	}
	w.Wait()
}
