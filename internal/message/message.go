// Package message turns what nodes on the users' platform tell each other into the messages of package wire,
// and back. Durations and ages go as whole milliseconds: clocks differ between VMs, so no message bears a time
// of day. What a message doesn't have, as one of a node of an earlier version, is the zero value; what can't
// be, as of a broken one, is the nearest that can, or isn't heard.
//
// Kept apart from the types themselves: most of these are of packages that decide and know no wire.
package message

import (
	"time"

	"spurhall.example/spurhall/internal/limit"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/usage"
	"spurhall.example/spurhall/internal/wire"
)

// longest bounds durations and ages, so that none overflows: no process lives for a hundred years.
const longest = 100 * 365 * 24 * time.Hour

// Millis returns a number of milliseconds as a duration. One that can't be is the nearest that can.
func FromMillis(n int64) time.Duration {
	return time.Duration(min(max(0, n), longest.Milliseconds())) * time.Millisecond
}

// LoadsToWire returns the message of what a node has at upstreams.
func LoadsToWire(l []pool.Load) []*wire.Load {
	r := make([]*wire.Load, len(l))
	for i, v := range l {
		r[i] = &wire.Load{Upstream: v.Upstream, Running: int32(v.Running), QueuedTokens: int64(v.Queued), HeldTokens: int64(v.Reserved)}
	}
	return r
}

// LoadsFromWire is the inverse of LoadsToWire.
func LoadsFromWire(l []*wire.Load) []pool.Load {
	r := make([]pool.Load, len(l))
	for i, v := range l {
		r[i] = pool.Load{
			Upstream: v.Upstream, Running: int(max(0, v.Running)), Queued: float64(max(0, v.QueuedTokens)), Reserved: float64(max(0, v.HeldTokens)),
		}
	}
	return r
}

// PlacedToWire returns the message of where prompt prefixes were read.
func PlacementsToWire(l []pool.Placement) []*wire.Placed {
	r := make([]*wire.Placed, len(l))
	for i, v := range l {
		r[i] = &wire.Placed{Prefix: v.Prefix, Upstream: v.Upstream}
	}
	return r
}

// PlacedFromWire is the inverse of PlacedToWire.
func PlacementsFromWire(l []*wire.Placed) []pool.Placement {
	r := make([]pool.Placement, len(l))
	for i, v := range l {
		r[i] = pool.Placement{Prefix: v.Prefix, Upstream: v.Upstream}
	}
	return r
}

// SpentToWire returns the message of what was charged, in tokens by workspace.
func SpentToWire(m map[string]float64) []*wire.Spent {
	r := make([]*wire.Spent, 0, len(m))
	for w, v := range m {
		r = append(r, &wire.Spent{Workspace: w, Tokens: v})
	}
	return r
}

// SpentFromWire is the inverse of SpentToWire.
func SpentFromWire(l []*wire.Spent) map[string]float64 {
	r := make(map[string]float64, len(l))
	for _, v := range l {
		r[v.Workspace] = v.Tokens
	}
	return r
}

// StartedToWire returns the message of the requests that were begun, by window and workspace.
func StartedToWire(w usage.Windows) []*wire.Started {
	var r []*wire.Started
	for k, c := range w {
		for name, v := range c {
			r = append(r, &wire.Started{Window: k, Workspace: name, Count: v})
		}
	}
	return r
}

// StartedFromWire is the inverse of StartedToWire.
func StartedFromWire(l []*wire.Started) usage.Windows {
	w := make(usage.Windows)
	for _, v := range l {
		if w[v.Window] == nil {
			w[v.Window] = make(usage.Counts)
		}
		w[v.Window][v.Workspace] = v.Count
	}
	return w
}

// RelayReport returns what a relay takes from a node's report.
func ReportFromWire(r *wire.NodeReport) relay.Report {
	return relay.Report{
		Node: r.Node, Incarnation: r.Lifetime, Sequence: r.Sequence, Uptime: FromMillis(r.UptimeMs), Loads: LoadsFromWire(r.Loads),
		Placed: PlacementsFromWire(r.Placed), Spent: SpentFromWire(r.Spent), Started: StartedFromWire(r.Started),
		Trials: TrialsFromWire(r.Trials), Reachability: ReachFromWire(r.Reach),
	}
}

// ReachToWire returns the message of what can't be reached, and of the halls that answered.
func ReachToWire(r pool.Reachability) *wire.Reach {
	m := &wire.Reach{}
	for _, v := range r.Unreachable {
		m.Unreached = append(m.Unreached, &wire.Unreached{Upstream: v.Upstream, Born: v.Born, Nodes: int32(v.Nodes), AgeMs: v.Age.Milliseconds(), Gone: v.Misplaced})
	}
	for h, age := range r.LastResponse {
		m.Answered = append(m.Answered, &wire.HallAnswered{Hall: h, AgeMs: age.Milliseconds()})
	}
	return m
}

// ReachFromWire is the inverse of ReachToWire.
func ReachFromWire(m *wire.Reach) pool.Reachability {
	r := pool.Reachability{LastResponse: make(map[string]time.Duration)}
	for _, v := range m.GetUnreached() {
		r.Unreachable = append(r.Unreachable, pool.UnreachableUpstream{Upstream: v.Upstream, Born: v.Born, Nodes: int(v.Nodes), Age: FromMillis(v.AgeMs), Misplaced: v.Gone})
	}
	for _, v := range m.GetAnswered() {
		r.LastResponse[v.Hall] = FromMillis(v.AgeMs)
	}
	return r
}

// TrialsToWire returns the message of what is known of roll-outs.
func TrialsToWire(l []rollout.Update) []*wire.Trial {
	var r []*wire.Trial
	for _, w := range l {
		t := &wire.Trial{
			Service: w.Service, Target: w.Target, Order: w.Order, Stage: int32(w.Stage), Term: w.KeepAlive.Term, Beat: w.KeepAlive.Sequence, Stopped: w.Stopped,
		}
		w.Tally.Cells(func(route string, group int, c *rollout.Cell) {
			t.Cells = append(t.Cells, &wire.TrialCell{
				Route: route, Group: int32(group), Answers: c.Responses, Failed: c.Failed, First: c.First.Counts(), Pace: c.Pace.Counts(),
			})
		})
		r = append(r, t)
	}
	return r
}

// TrialsFromWire is the inverse of TrialsToWire.
func TrialsFromWire(l []*wire.Trial) []rollout.Update {
	var r []rollout.Update
	for _, t := range l {
		if !rollout.Stage(t.Stage).Known() {
			continue // of a node of another version; what isn't known here can't be followed
		}
		w := rollout.Update{
			Service: t.Service, Target: t.Target, Order: t.Order, Stage: rollout.Stage(t.Stage), KeepAlive: rollout.KeepAlive{Term: t.Term, Sequence: t.Beat},
			Stopped: t.Stopped, Tally: make(rollout.Tally),
		}
		for _, c := range t.Cells {
			w.Tally.Set(c.Route, int(c.Group), rollout.Cell{
				Responses: c.Answers, Failed: c.Failed, First: rollout.HistogramOf(c.First), Pace: rollout.HistogramOf(c.Pace),
			})
		}
		r = append(r, w)
	}
	return r
}

// ShareToWire returns the message of what some nodes together have at upstreams. Whether all that
// they have sent is known is the reader's to say.
func ShareToWire(s pool.PeerLoad) *wire.Share {
	return &wire.Share{AgeMs: s.Age.Milliseconds(), Loads: LoadsToWire(s.Loads)}
}

// ShareFromWire is the inverse of ShareToWire.
func ShareFromWire(s *wire.Share) pool.PeerLoad {
	return pool.PeerLoad{Age: FromMillis(s.GetAgeMs()), Loads: LoadsFromWire(s.GetLoads())}
}

// ChangesToWire returns the message of what a relay tells of its nodes.
func ChangesToWire(l []relay.Change) []*wire.Change {
	r := make([]*wire.Change, len(l))
	for i, c := range l {
		r[i] = &wire.Change{
			Node: c.Node, Lifetime: c.Incarnation, Sequence: c.Sequence, UptimeMs: c.Uptime.Milliseconds(), AgeMs: c.Age.Milliseconds(),
			Relay: c.Relay, Silent: c.Unresponsive, Spent: SpentToWire(c.Spent), Started: StartedToWire(c.Started),
		}
	}
	return r
}

// ChangesFromWire is the inverse of ChangesToWire.
func ChangesFromWire(l []*wire.Change) []relay.Change {
	r := make([]relay.Change, len(l))
	for i, c := range l {
		r[i] = relay.Change{
			Node: c.Node, Incarnation: c.Lifetime, Sequence: c.Sequence, Uptime: FromMillis(c.UptimeMs), Age: FromMillis(c.AgeMs),
			Relay: c.Relay, Unresponsive: c.Silent, Spent: SpentFromWire(c.Spent), Started: StartedFromWire(c.Started),
		}
	}
	return r
}

// GroupToWire returns a relay's message to another one.
func GroupToWire(g relay.Group) *wire.Group {
	return &wire.Group{
		Relay: g.Relay, Lifetime: g.Incarnation, Version: g.Version, Share: ShareToWire(g.Share), Changes: ChangesToWire(g.Changes), Placed: PlacementsToWire(g.Placed),
		Trials: TrialsToWire(g.Trials),
	}
}

// GroupFromWire is the inverse of GroupToWire.
func GroupFromWire(g *wire.Group) relay.Group {
	return relay.Group{
		Relay: g.Relay, Incarnation: g.Lifetime, Version: g.Version, Share: ShareFromWire(g.Share), Changes: ChangesFromWire(g.Changes), Placed: PlacementsFromWire(g.Placed),
		Trials: TrialsFromWire(g.Trials),
	}
}

// DigestToWire returns a relay's message to a node that reports to it.
func DigestToWire(d relay.Digest) *wire.GatherResponse {
	r := &wire.GatherResponse{Lifetime: d.Incarnation, Version: d.Version, Changes: ChangesToWire(d.Changes), Placed: PlacementsToWire(d.Placed), Trials: TrialsToWire(d.Trials), Reach: ReachToWire(d.Reachability)}
	for _, s := range d.Shares {
		r.Shares = append(r.Shares, ShareToWire(s))
	}
	for name, age := range d.Relays {
		r.Relays = append(r.Relays, &wire.RelayAge{Relay: name, AgeMs: age.Milliseconds()})
	}
	return r
}

// DigestFromWire is the inverse of DigestToWire.
func DigestFromWire(r *wire.GatherResponse) relay.Digest {
	d := relay.Digest{
		Incarnation: r.Lifetime, Version: r.Version, Changes: ChangesFromWire(r.Changes), Placed: PlacementsFromWire(r.Placed), Trials: TrialsFromWire(r.Trials), Reachability: ReachFromWire(r.Reach),
		Relays: make(map[string]time.Duration, len(r.Relays)),
	}
	for _, s := range r.Shares {
		d.Shares = append(d.Shares, ShareFromWire(s))
	}
	for _, v := range r.Relays {
		d.Relays[v.Relay] = FromMillis(v.AgeMs)
	}
	return d
}

// ItemToWire returns the message of an upstream's entry, with the store's revision.
func ItemToWire(v pool.Item) *wire.ListItem {
	e := v.Entry
	return &wire.ListItem{
		Id: e.ID, Service: e.Service, Address: e.Address, Hall: e.Hall, Slots: int32(e.Slots), Leaving: e.Leaving,
		WarmUpMs: e.WarmUp.Milliseconds(), Reclaimable: e.Reclaimable, LeavesInMs: e.LeavesIn.Milliseconds(), Revision: v.Revision, Version: e.Version, Born: e.Born, Declared: e.Declared, Begun: e.StartRevision,
	}
}

// ItemsFromWire is the inverse of ItemToWire for a list.
func ItemsFromWire(list []*wire.ListItem) []pool.Item {
	items := make([]pool.Item, 0, len(list))
	for _, v := range list {
		items = append(items, ItemFromWire(v))
	}
	return items
}

// ItemFromWire is the inverse of ItemToWire.
func ItemFromWire(v *wire.ListItem) pool.Item {
	return pool.Item{Revision: v.Revision, Entry: pool.Entry{
		ID: v.Id, Born: v.Born, Service: v.Service, Address: v.Address, Hall: v.Hall, Version: v.Version, Slots: int(max(0, v.Slots)), Leaving: v.Leaving,
		WarmUp: FromMillis(v.WarmUpMs), Reclaimable: v.Reclaimable, LeavesIn: FromMillis(v.LeavesInMs), Declared: v.Declared, StartRevision: v.Begun,
	}}
}

// LimitsToWire returns the messages of what upstreams take from all nodes together.
func LimitsToWire(now time.Time, words []limit.Observation) []*wire.Limited {
	list := make([]*wire.Limited, len(words))
	for i, w := range words {
		list[i] = &wire.Limited{Upstream: w.Upstream.ID, Born: w.Upstream.Born, Rate: w.Rate, Lifted: w.Lifted, AgeMs: now.Sub(w.At).Milliseconds()}
	}
	return list
}

// LimitsFromWire is the inverse of LimitsToWire.
func LimitsFromWire(now time.Time, list []*wire.Limited) []limit.Observation {
	words := make([]limit.Observation, len(list))
	for i, v := range list {
		words[i] = limit.Observation{Upstream: retry.Incarnation{ID: v.Upstream, Born: v.Born}, Rate: v.Rate, Lifted: v.Lifted, At: now.Add(-FromMillis(v.AgeMs))}
	}
	return words
}
