// Package message converts the state that nodes exchange to the messages of package wire and back. Durations
// and ages are sent as whole milliseconds, and no message contains a time of day, since clocks differ between
// VMs. A field that a message lacks, such as one from a node of an earlier version, becomes the zero value. An
// invalid value, such as one from a faulty node, is clamped to the nearest valid one or ignored.
//
// The conversions are separate from the types because most of these belong to packages of decision logic that
// don't depend on package wire.
package message

import (
	"time"
	"unique"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/limit"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/relay"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/usage"
	"spurhall.example/spurhall/internal/wire"
)

// maxDuration bounds received durations and ages, so that none overflows. No process runs for a hundred years.
const maxDuration = 100 * 365 * 24 * time.Hour

// FromMillis converts milliseconds to a duration, clamped to the range from 0 to maxDuration.
func FromMillis(n int64) time.Duration {
	return time.Duration(min(max(0, n), maxDuration.Milliseconds())) * time.Millisecond
}

// LoadsToWire converts a node's load at upstreams.
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

// PlacementsToWire converts the upstreams at which prompt prefixes were processed.
func PlacementsToWire(l []pool.Placement) []*wire.Placed {
	r := make([]*wire.Placed, len(l))
	for i, v := range l {
		r[i] = &wire.Placed{Prefix: v.Prefix, Upstream: v.Upstream}
	}
	return r
}

// PlacementsFromWire is the inverse of PlacementsToWire.
func PlacementsFromWire(l []*wire.Placed) []pool.Placement {
	r := make([]pool.Placement, len(l))
	for i, v := range l {
		r[i] = pool.Placement{Prefix: v.Prefix, Upstream: v.Upstream}
	}
	return r
}

// SpentToWire converts the charged tokens by workspace.
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

// StartedToWire converts the number of started requests by window and workspace.
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

// ReportFromWire converts a node's report to a relay.
func ReportFromWire(r *wire.NodeReport) relay.Report {
	return relay.Report{
		Node: r.Node, Incarnation: r.Lifetime, Sequence: r.Sequence, Uptime: FromMillis(r.UptimeMs), Loads: LoadsFromWire(r.Loads),
		Placed: PlacementsFromWire(r.Placed), Spent: SpentFromWire(r.Spent), Started: StartedFromWire(r.Started),
		Trials: TrialsFromWire(r.Trials), Reachability: ReachFromWire(r.Reach),
		Status: relay.Status{Leaving: r.Leaving, StoreDown: !r.StoreUp}, Work: WorkFromWire(r.Work),
	}
}

// WorkToWire converts the work that was sent to the engines of each service.
func WorkToWire(m map[string]capacity.Work) []*wire.Work {
	r := make([]*wire.Work, 0, len(m))
	for s, w := range m {
		r = append(r, &wire.Work{Service: s, Reading: w.Prefill, Slots: w.Slots, Memory: w.Memory})
	}
	return r
}

// WorkFromWire is the inverse of WorkToWire. No work is a nil map.
func WorkFromWire(l []*wire.Work) map[string]capacity.Work {
	if len(l) == 0 {
		return nil
	}
	r := make(map[string]capacity.Work, len(l))
	for _, v := range l {
		r[v.Service] = capacity.Work{Prefill: v.Reading, Slots: v.Slots, Memory: v.Memory}
	}
	return r
}

// EnginesToWire converts what was learned of the services' engines.
func EnginesToWire(m map[string]capacity.Engine) []*wire.Engine {
	r := make([]*wire.Engine, 0, len(m))
	for s, e := range m {
		r = append(r, &wire.Engine{Service: s, Reading: e.Reading, First: e.First, Token: e.Token, Samples: int32(e.Samples)})
	}
	return r
}

// EnginesFromWire is the inverse of EnginesToWire.
func EnginesFromWire(l []*wire.Engine) map[string]capacity.Engine {
	r := make(map[string]capacity.Engine, len(l))
	for _, v := range l {
		r[v.Service] = capacity.Engine{Reading: v.Reading, First: v.First, Token: v.Token, Samples: int(v.Samples)}
	}
	return r
}

// ReachToWire converts the unreachable upstreams and the ages of the halls' last responses.
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

// TrialsToWire converts the state of roll-outs.
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

// TrialsFromWire is the inverse of TrialsToWire. It ignores trials in unknown stages.
func TrialsFromWire(l []*wire.Trial) []rollout.Update {
	var r []rollout.Update
	for _, t := range l {
		if !rollout.Stage(t.Stage).Known() {
			continue // from a node of another version: a stage unknown to this one can't be applied
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

// ShareToWire converts the combined load of some nodes at upstreams. The message doesn't state whether it is
// complete; the receiver determines that.
func ShareToWire(s pool.PeerLoad) *wire.Share {
	return &wire.Share{AgeMs: s.Age.Milliseconds(), Loads: LoadsToWire(s.Loads)}
}

// ShareFromWire is the inverse of ShareToWire.
func ShareFromWire(s *wire.Share) pool.PeerLoad {
	return pool.PeerLoad{Age: FromMillis(s.GetAgeMs()), Loads: LoadsFromWire(s.GetLoads())}
}

// ChangesToWire converts a relay's changes of the state of its nodes.
func ChangesToWire(l []relay.Change) []*wire.Change {
	r := make([]*wire.Change, len(l))
	for i, c := range l {
		r[i] = &wire.Change{
			Node: c.Node, Lifetime: c.Incarnation, Sequence: c.Sequence, UptimeMs: c.Uptime.Milliseconds(), AgeMs: c.Age.Milliseconds(),
			Relay: c.Relay, Silent: c.Unresponsive, Spent: SpentToWire(c.Spent), Started: StartedToWire(c.Started),
			Leaving: c.Status.Leaving, StoreDown: c.Status.StoreDown, Work: WorkToWire(c.Work),
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
			Status: relay.Status{Leaving: c.Leaving, StoreDown: c.StoreDown}, Work: WorkFromWire(c.Work),
		}
	}
	return r
}

// GroupToWire converts a relay's message to another relay.
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

// DigestToWire converts a relay's response to a node that reports to it.
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

// ItemToWire converts an upstream's entry with its revision in the store.
func ItemToWire(v pool.Item) *wire.ListItem {
	e := v.Entry
	return &wire.ListItem{
		Id: e.ID, Service: e.Service, Address: e.Address, Hall: e.Hall, Slots: int32(e.Slots), Leaving: e.Leaving,
		WarmUpMs: e.WarmUp.Milliseconds(), Reclaimable: e.Reclaimable, LeavesInMs: e.LeavesIn.Milliseconds(), Revision: v.Revision, Version: e.Version, Born: e.Born, Declared: e.Declared, Begun: e.StartRevision,
	}
}

// ItemsToWire converts a list of items with ItemToWire.
func ItemsToWire(items []pool.Item) []*wire.ListItem {
	list := make([]*wire.ListItem, len(items))
	for i, v := range items {
		list[i] = ItemToWire(v)
	}
	return list
}

// ItemsFromWire converts a list of items with ItemFromWire.
func ItemsFromWire(list []*wire.ListItem) []pool.Item {
	items := make([]pool.Item, 0, len(list))
	for _, v := range list {
		items = append(items, ItemFromWire(v))
	}
	return items
}

// intern returns a string that equal ones share. A few names stand in thousands of entries.
func intern(s string) string { return unique.Make(s).Value() }

// ItemFromWire is the inverse of ItemToWire.
func ItemFromWire(v *wire.ListItem) pool.Item {
	return pool.Item{Revision: v.Revision, Entry: pool.Entry{
		ID: v.Id, Born: v.Born, Service: intern(v.Service), Address: v.Address, Hall: intern(v.Hall), Version: intern(v.Version), Slots: int(max(0, v.Slots)), Leaving: v.Leaving,
		WarmUp: FromMillis(v.WarmUpMs), Reclaimable: v.Reclaimable, LeavesIn: FromMillis(v.LeavesInMs), Declared: v.Declared, StartRevision: v.Begun,
	}}
}

// MembersToWire converts registered nodes.
func MembersToWire(list []roster.Member) []*wire.Member {
	r := make([]*wire.Member, len(list))
	for i, m := range list {
		r[i] = &wire.Member{Node: m.Name, Address: m.Address, Hall: m.Hall, Cores: m.Cores}
	}
	return r
}

// MembersFromWire is the inverse of MembersToWire.
func MembersFromWire(list []*wire.Member) []roster.Member {
	r := make([]roster.Member, len(list))
	for i, m := range list {
		r[i] = roster.Member{Name: m.Node, Address: m.Address, Hall: m.Hall, Cores: m.Cores}
	}
	return r
}

// LimitsToWire converts the rates that upstreams accept from all nodes together. Times become ages at now.
func LimitsToWire(now time.Time, observations []limit.Observation) []*wire.Limited {
	list := make([]*wire.Limited, len(observations))
	for i, w := range observations {
		list[i] = &wire.Limited{Upstream: w.Upstream.ID, Born: w.Upstream.Born, Rate: w.Rate, Lifted: w.Lifted, AgeMs: now.Sub(w.At).Milliseconds()}
	}
	return list
}

// LimitsFromWire is the inverse of LimitsToWire.
func LimitsFromWire(now time.Time, list []*wire.Limited) []limit.Observation {
	observations := make([]limit.Observation, len(list))
	for i, v := range list {
		observations[i] = limit.Observation{Upstream: retry.Incarnation{ID: v.Upstream, Born: v.Born}, Rate: v.Rate, Lifted: v.Lifted, At: now.Add(-FromMillis(v.AgeMs))}
	}
	return observations
}
