package edge

import (
	"time"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/usage"
	"spurhall.example/spurhall/internal/wire"
)

// This file turns what nodes tell each other into messages, and back.

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func loadsToWire(l []pool.Load) []*wire.Load {
	r := make([]*wire.Load, len(l))
	for i, v := range l {
		r[i] = &wire.Load{Upstream: v.Upstream, Running: int32(v.Running), QueuedTokens: int64(v.Queued), HeldTokens: int64(v.Held)}
	}
	return r
}

func loadsFromWire(l []*wire.Load) []pool.Load {
	r := make([]pool.Load, len(l))
	for i, v := range l {
		r[i] = pool.Load{Upstream: v.Upstream, Running: int(v.Running), Queued: float64(v.QueuedTokens), Held: float64(v.HeldTokens)}
	}
	return r
}

func placedToWire(l []pool.Placement) []*wire.Placed {
	r := make([]*wire.Placed, len(l))
	for i, v := range l {
		r[i] = &wire.Placed{Prefix: v.Prefix, Upstream: v.Upstream}
	}
	return r
}

func placedFromWire(l []*wire.Placed) []pool.Placement {
	r := make([]pool.Placement, len(l))
	for i, v := range l {
		r[i] = pool.Placement{Prefix: v.Prefix, Upstream: v.Upstream}
	}
	return r
}

func spentToWire(m map[string]float64) []*wire.Spent {
	r := make([]*wire.Spent, 0, len(m))
	for w, v := range m {
		r = append(r, &wire.Spent{Workspace: w, Tokens: v})
	}
	return r
}

func spentFromWire(l []*wire.Spent) map[string]float64 {
	r := make(map[string]float64, len(l))
	for _, v := range l {
		r[v.Workspace] = v.Tokens
	}
	return r
}

func startedToWire(w usage.Windows) []*wire.Started {
	var r []*wire.Started
	for k, c := range w {
		for name, v := range c {
			r = append(r, &wire.Started{Window: k, Workspace: name, Count: v})
		}
	}
	return r
}

func startedFromWire(l []*wire.Started) usage.Windows {
	w := make(usage.Windows)
	for _, v := range l {
		if w[v.Window] == nil {
			w[v.Window] = make(usage.Counts)
		}
		w[v.Window][v.Workspace] = v.Count
	}
	return w
}

func relayReport(r *wire.NodeReport) relay.Report {
	return relay.Report{
		Node: r.Node, Lifetime: r.Lifetime, Sequence: r.Sequence, Uptime: millis(r.UptimeMs), Loads: loadsFromWire(r.Loads),
		Placed: placedFromWire(r.Placed), Spent: spentFromWire(r.Spent), Started: startedFromWire(r.Started),
		Trials: trialsFromWire(r.Trials), Reach: reachFromWire(r.Reach),
	}
}

func reachToWire(r pool.Reach) *wire.Reach {
	m := &wire.Reach{}
	for _, v := range r.Unreached {
		m.Unreached = append(m.Unreached, &wire.Unreached{Upstream: v.Upstream, Born: v.Born, Nodes: int32(v.Nodes), AgeMs: v.Age.Milliseconds(), Gone: v.Gone})
	}
	for h, age := range r.Answered {
		m.Answered = append(m.Answered, &wire.HallAnswered{Hall: h, AgeMs: age.Milliseconds()})
	}
	return m
}

func reachFromWire(m *wire.Reach) pool.Reach {
	r := pool.Reach{Answered: make(map[string]time.Duration)}
	for _, v := range m.GetUnreached() {
		r.Unreached = append(r.Unreached, pool.Unreached{Upstream: v.Upstream, Born: v.Born, Nodes: int(v.Nodes), Age: millis(v.AgeMs), Gone: v.Gone})
	}
	for _, v := range m.GetAnswered() {
		r.Answered[v.Hall] = millis(v.AgeMs)
	}
	return r
}

func trialsToWire(l []rollout.Word) []*wire.Trial {
	var r []*wire.Trial
	for _, w := range l {
		t := &wire.Trial{
			Service: w.Service, Target: w.Target, Order: w.Order, Stage: int32(w.Stage), Term: w.Sign.Term, Beat: w.Sign.Beat, Stopped: w.Stopped,
		}
		w.Tally.Cells(func(route string, group int, c *rollout.Cell) {
			t.Cells = append(t.Cells, &wire.TrialCell{
				Route: route, Group: int32(group), Answers: c.Answers, Failed: c.Failed, First: c.First.Counts(), Pace: c.Pace.Counts(),
			})
		})
		r = append(r, t)
	}
	return r
}

func trialsFromWire(l []*wire.Trial) []rollout.Word {
	var r []rollout.Word
	for _, t := range l {
		w := rollout.Word{
			Service: t.Service, Target: t.Target, Order: t.Order, Stage: rollout.Stage(t.Stage), Sign: rollout.Sign{Term: t.Term, Beat: t.Beat},
			Stopped: t.Stopped, Tally: make(rollout.Tally),
		}
		for _, c := range t.Cells {
			w.Tally.Set(c.Route, int(c.Group), rollout.Cell{
				Answers: c.Answers, Failed: c.Failed, First: rollout.HistogramOf(c.First), Pace: rollout.HistogramOf(c.Pace),
			})
		}
		r = append(r, w)
	}
	return r
}

func shareToWire(s pool.Share) *wire.Share {
	return &wire.Share{AgeMs: s.Age.Milliseconds(), Loads: loadsToWire(s.Loads)}
}

func shareFromWire(s *wire.Share) pool.Share {
	return pool.Share{Age: millis(s.GetAgeMs()), Loads: loadsFromWire(s.GetLoads())}
}

func changesToWire(l []relay.Change) []*wire.Change {
	r := make([]*wire.Change, len(l))
	for i, c := range l {
		r[i] = &wire.Change{
			Node: c.Node, Lifetime: c.Lifetime, Sequence: c.Sequence, UptimeMs: c.Uptime.Milliseconds(), AgeMs: c.Age.Milliseconds(),
			Relay: c.Relay, Silent: c.Silent, Spent: spentToWire(c.Spent), Started: startedToWire(c.Started),
		}
	}
	return r
}

func changesFromWire(l []*wire.Change) []relay.Change {
	r := make([]relay.Change, len(l))
	for i, c := range l {
		r[i] = relay.Change{
			Node: c.Node, Lifetime: c.Lifetime, Sequence: c.Sequence, Uptime: millis(c.UptimeMs), Age: millis(c.AgeMs),
			Relay: c.Relay, Silent: c.Silent, Spent: spentFromWire(c.Spent), Started: startedFromWire(c.Started),
		}
	}
	return r
}

func groupToWire(g relay.Group) *wire.Group {
	return &wire.Group{
		Relay: g.Relay, Lifetime: g.Lifetime, Version: g.Version, Share: shareToWire(g.Share), Changes: changesToWire(g.Changes), Placed: placedToWire(g.Placed),
		Trials: trialsToWire(g.Trials),
	}
}

func groupFromWire(g *wire.Group) relay.Group {
	return relay.Group{
		Relay: g.Relay, Lifetime: g.Lifetime, Version: g.Version, Share: shareFromWire(g.Share), Changes: changesFromWire(g.Changes), Placed: placedFromWire(g.Placed),
		Trials: trialsFromWire(g.Trials),
	}
}

func digestToWire(d relay.Digest) *wire.GatherResponse {
	r := &wire.GatherResponse{Lifetime: d.Lifetime, Version: d.Version, Changes: changesToWire(d.Changes), Placed: placedToWire(d.Placed), Trials: trialsToWire(d.Trials), Reach: reachToWire(d.Reach)}
	for _, s := range d.Shares {
		r.Shares = append(r.Shares, shareToWire(s))
	}
	for name, age := range d.Relays {
		r.Relays = append(r.Relays, &wire.RelayAge{Relay: name, AgeMs: age.Milliseconds()})
	}
	return r
}

func digestFromWire(r *wire.GatherResponse) relay.Digest {
	d := relay.Digest{
		Lifetime: r.Lifetime, Version: r.Version, Changes: changesFromWire(r.Changes), Placed: placedFromWire(r.Placed), Trials: trialsFromWire(r.Trials), Reach: reachFromWire(r.Reach),
		Relays: make(map[string]time.Duration, len(r.Relays)),
	}
	for _, s := range r.Shares {
		d.Shares = append(d.Shares, shareFromWire(s))
	}
	for _, v := range r.Relays {
		d.Relays[v.Relay] = millis(v.AgeMs)
	}
	return d
}

func itemToWire(v pool.Item) *wire.ListItem {
	e := v.Entry
	return &wire.ListItem{
		Id: e.ID, Service: e.Service, Address: e.Address, Hall: e.Hall, Slots: int32(e.Slots), Leaving: e.Leaving,
		WarmUpMs: e.WarmUp.Milliseconds(), Reclaimable: e.Reclaimable, LeavesInMs: e.LeavesIn.Milliseconds(), Revision: v.Revision, Version: e.Version, Born: e.Born,
	}
}

func itemsFromWire(list []*wire.ListItem) []pool.Item {
	items := make([]pool.Item, 0, len(list))
	for _, v := range list {
		items = append(items, itemFromWire(v))
	}
	return items
}

func (n *Node) itemsToWire() []*wire.ListItem {
	var list []*wire.ListItem
	for _, i := range n.pools.Items() {
		list = append(list, itemToWire(i))
	}
	return list
}

func itemFromWire(v *wire.ListItem) pool.Item {
	return pool.Item{Revision: v.Revision, Entry: pool.Entry{
		ID: v.Id, Born: v.Born, Service: v.Service, Address: v.Address, Hall: v.Hall, Version: v.Version, Slots: int(v.Slots), Leaving: v.Leaving,
		WarmUp: time.Duration(v.WarmUpMs) * time.Millisecond, Reclaimable: v.Reclaimable, LeavesIn: time.Duration(v.LeavesInMs) * time.Millisecond,
	}}
}
