package edge

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/duty"
	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/lease"
)

// dutyInterval is how often the holder of the duties checks for due work.
const dutyInterval = 250 * time.Millisecond

// runDuties acquires the lease when it is free, and performs the duties that the platform assigns to its
// holder.
func (n *Node) runDuties(ctx context.Context) {
	if !n.settings.Cloud.Usage && !n.settings.Cloud.Scale && !n.settings.Cloud.Rollouts {
		return
	}
	var e eraTerm
	r := duty.NewReporter(duty.Options{
		Clock: n.clock, Log: n.log, KV: n.kv, Cloud: n.options.Cloud, Token: n.lease.Token, Resign: n.lease.Resign,
		Window: n.usage.Window, WindowEnd: n.usage.WindowEnd, Counts: n.usageTally, Deadline: n.settings.UsageDeadline,
		MaybeReported: func(w int64) bool { return e.isDoubtful(n.usage.WindowEnd(w)) },
	})
	n.lease.OnError(func(err error) {
		if !errors.Is(err, lease.ErrTaken) {
			_, held := n.lease.Token()
			n.log.Info("lease_step_failed", zap.String("lease", dutyKey), zap.Bool("held", held), zap.String("cause", err.Error()))
		}
	})
	done := make(chan struct{})
	go func() {
		n.lease.Run(ctx, func() bool { return n.listed.Load() && !n.partial.Load() && !n.isLeaving() && n.isWatcher() })
		close(done)
	}()
	o := newOrderer(n)
	rolls := newRunner(n)
	var c handover.Usage
	v := n.newLevels(&c)
	var q handover.Crashes
	var parts handover.Parts
	var versions handover.Versions
	term := int64(0)
	n.clock.Every(ctx, dutyInterval, func(time.Time) {
		token, held := n.lease.Token()
		if n.settings.Cloud.Usage && held {
			if token != term {
				term = token
				n.restoreUsage(ctx)
				c, v, e = handover.Usage{}, n.newLevels(&c), eraTerm{}
			}
			if !e.loaded {
				e.restore(ctx, n, token)
			}
			n.writeUsage(ctx, &c, token)
			n.writeLevels(ctx, v, token)
			r.Step(ctx)
		}
		if held {
			q.Write(ctx, n.records(), n.clock, token, n.quarantine)
			parts.Write(ctx, n.records(), n.clock, token, n.quarantine)
			versions.Write(ctx, n.records(), token, n.pools.LateVersions())
		}
		if n.settings.Cloud.Rollouts && held {
			rolls.step(ctx, token)
		}
		if n.settings.Cloud.Scale {
			o.step(ctx)
		}
	})
	<-done
}

// usageTally returns the counts of a window. They are complete if every node that shares the traffic has built a report
// since the window ended: it tells of requests after that, or came later than a report that was built before can.
func (n *Node) usageTally(window int64) duty.Tally {
	n.mu.Lock()
	defer n.mu.Unlock()
	end := n.usage.WindowEnd(window)
	now, since := n.clock.Now(), n.clock.Wall().Sub(end)
	complete := true
	for p := range n.peers.All() {
		if !n.usage.HasLeft(p.Name, p.Incarnation, window) && now.Sub(p.LastSeen)+reportTimeout > since {
			complete = false
		}
	}
	return duty.Tally{Counts: n.usage.Sum(window), Processes: n.usage.Processes(window), Complete: complete}
}
