package edge

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/duty"
	"spurhall.example/spurhall/internal/lease"
)

// dutyEvery is how often the holder of the duties looks for something due.
const dutyEvery = 250 * time.Millisecond

// duties takes the lease when it is free, and does what the platform asks of its
// holder.
func (n *Node) duties(ctx context.Context) {
	if !n.s.Cloud.Usage && !n.s.Cloud.Scale && !n.s.Cloud.Rollouts {
		return
	}
	var e eraTerm
	r := duty.NewReporter(duty.Options{
		Clock: n.clock, Log: n.log, KV: n.kv, Cloud: n.o.Cloud, Token: n.lease.Token, Resign: n.lease.Resign,
		Window: n.usage.Window, WindowEnd: n.usage.WindowEnd, Counts: n.counts, Deadline: n.s.UsageDeadline,
		MaybeReported: func(w int64) bool { return e.doubts(n.usage.WindowEnd(w)) },
	})
	n.lease.OnError(func(err error) {
		if !errors.Is(err, lease.ErrTaken) {
			_, held := n.lease.Token()
			n.log.Info("lease_step_failed", zap.String("lease", dutyKey), zap.Bool("held", held), zap.String("cause", err.Error()))
		}
	})
	done := make(chan struct{})
	go func() {
		n.lease.Run(ctx, func() bool { return n.listed.Load() && !n.isLeaving() && n.isWatcher() })
		close(done)
	}()
	o := newOrderer(n)
	rolls := newRoller(n)
	var c counted
	var v levels
	var q heldRequests
	term := int64(0)
	n.clock.Every(ctx, dutyEvery, func(time.Time) {
		token, held := n.lease.Token()
		if n.s.Cloud.Usage && held {
			if token != term {
				term = token
				c.begin(ctx, n)
				v, e = levels{}, eraTerm{}
			}
			if !e.known {
				e.begin(ctx, n, token)
			}
			c.write(ctx, n, token)
			v.write(ctx, n, token)
			r.Step(ctx)
		}
		if held {
			q.write(ctx, n, token)
		}
		if n.s.Cloud.Rollouts && held {
			rolls.step(ctx, token)
		}
		if n.s.Cloud.Scale {
			o.step(ctx)
		}
	})
	<-done
}

// counts returns a window's counts. They are whole if every node that shares the traffic
// has reported since the window ended.
func (n *Node) counts(window int64) duty.Tally {
	n.mu.Lock()
	defer n.mu.Unlock()
	end := n.usage.WindowEnd(window)
	now, since := n.clock.Now(), n.clock.Wall().Sub(end)
	whole := true
	for _, p := range n.peers.peers {
		if now.Sub(p.heard) > since {
			whole = false
		}
	}
	return duty.Tally{Counts: n.usage.Sum(window), Processes: n.usage.Processes(window), Complete: whole}
}
