package relay

import (
	"maps"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/usage"
)

// This file holds a relay's state: one record for each node, whichever relay it reports to, and the latest
// group received from each other relay. Each change gets the aggregator's next version; a node that knows the
// state up to a version is sent the changes since then (Group and Digest).

// record is a relay's state of one node.
type record struct {
	incarnation   string
	sequence      uint64
	startedAt     time.Time
	lastSeen      time.Time // when its relay received its report
	relay         string
	unresponsive  bool
	version       uint64 // version of the newest change, except changes of started
	countsVersion uint64 // version of the newest change of started
	leftVersion   uint64 // version at which the node moved to another relay
	resetVersion  uint64 // version of the last reset: a new process, or a move to another relay
	spent         map[string]counter
	started       usage.Windows
	loads         []pool.Load // of nodes that report to this relay only
	reachability  pool.Reachability
	status        Status
	work          map[string]capacity.Work // of nodes that report to this relay only
	trials        []rollout.Update
	pastTrials    []rollout.Update // of the node's former processes
	// informedAt is when the process came here from another relay, which had sent it digests; zero: it hasn't.
	informedAt time.Time
}

type counter struct {
	value   float64
	version uint64
}

// group is the latest state received from another relay.
type group struct {
	incarnation  string
	receivedAt   time.Time
	unresponsive bool // no group received recently
	version      uint64
	share        pool.PeerLoad
	trials       []rollout.Update
	again        bool // its complete state has been requested again
}

type loggedPlacement struct {
	pool.Placement
	version uint64
	at      time.Time
	relay   string // relay that sent it
	// backlog says that it was made before this relay had contact with the one that sent it.
	backlog bool
}

// Aggregator is the state of one relay. It is not safe for concurrent use.
type Aggregator struct {
	self         string
	incarnation  string
	version      uint64
	records      map[string]*record
	groups       map[string]*group
	placementLog []loggedPlacement
	lastLogged   map[pool.Placement]time.Time
}

// NewAggregator returns the aggregator of one process.
func NewAggregator(self, incarnation string) *Aggregator {
	return &Aggregator{
		self: self, incarnation: incarnation, records: make(map[string]*record), groups: make(map[string]*group),
		lastLogged: make(map[pool.Placement]time.Time),
	}
}

// ApplyReport applies a report of a node that reports to this relay.
func (a *Aggregator) ApplyReport(now time.Time, r Report) {
	v := a.recordForUpdate(r.Node, r.Incarnation, r.Sequence, now.Add(-r.Uptime))
	if v == nil {
		return
	}
	v.loads, v.trials, v.reachability = r.Loads, r.Trials, r.Reachability
	a.setRelay(now, v, a.self)
	a.setStatus(v, r.Status)
	if !maps.Equal(v.work, r.Work) {
		a.version++
		v.work, v.countsVersion = r.Work, a.version
	}
	a.mergeSpent(v, r.Spent)
	a.mergeStarted(v, r.Started)
	a.logPlacements(now, a.self, r.Placed, false)
}

// SetInformed records whether a node that reports here, and knows no digest of this relay, has had digests of another one. It
// isn't sent all placements again then, which are most of a whole digest: where a relay ends, all its nodes ask the next
// one in the same second.
func (a *Aggregator) SetInformed(now time.Time, node string, informed bool) {
	v := a.records[node]
	switch {
	case v == nil:
	case informed:
		v.informedAt = now
	default:
		v.informedAt = time.Time{}
	}
}

// OwnNodeMoved records that the aggregator's own node reports to another relay.
func (a *Aggregator) OwnNodeMoved(relay string) {
	if v := a.records[a.self]; v != nil && v.relay == a.self {
		v.leftVersion = a.nextVersion(v)
		v.relay, v.loads = relay, nil
	}
}

// recordForUpdate returns the record to be updated, or nil if the report is outdated: it has been applied
// already, or a newer process has replaced the one that it describes.
func (a *Aggregator) recordForUpdate(node, incarnation string, sequence uint64, startedAt time.Time) *record {
	v := a.records[node]
	if v == nil {
		v = &record{spent: make(map[string]counter)}
		a.records[node] = v
	}
	if v.incarnation == incarnation && sequence <= v.sequence || v.incarnation != incarnation && startedAt.Before(v.startedAt) {
		return nil
	}
	if v.incarnation != incarnation {
		v.incarnation, v.startedAt, v.spent, v.started = incarnation, startedAt, make(map[string]counter), nil
		v.pastTrials, v.trials = rollout.Merge(v.pastTrials, v.trials), nil
		v.informedAt = time.Time{}
		v.resetVersion = a.nextVersion(v)
	}
	v.sequence = sequence
	return v
}

// nextVersion returns the version for a change of a record.
func (a *Aggregator) nextVersion(v *record) uint64 {
	a.version++
	v.version = a.version
	return a.version
}

// setRelay records that a node's report was received at a relay.
func (a *Aggregator) setRelay(at time.Time, v *record, relay string) {
	v.lastSeen = at
	if v.relay == a.self && relay != a.self {
		v.leftVersion = a.nextVersion(v)
	}
	if v.relay != relay || v.unresponsive {
		// Another relay has only received changes of the nodes that report here, and may have expired the
		// record of an unresponsive one: it is sent the complete state.
		v.relay, v.unresponsive, v.resetVersion = relay, false, a.nextVersion(v)
	}
}

func (a *Aggregator) setStatus(v *record, s Status) {
	if v.status != s {
		v.status = s
		a.nextVersion(v)
	}
}

func (a *Aggregator) mergeSpent(v *record, spent map[string]float64) {
	for w, x := range spent {
		if c, ok := v.spent[w]; !ok || c.value != x {
			v.spent[w] = counter{x, a.nextVersion(v)}
		}
	}
}

func (a *Aggregator) mergeStarted(v *record, started usage.Windows) {
	equal := func(x, y usage.Counts) bool { return maps.Equal(x, y) }
	if !maps.EqualFunc(v.started, started, equal) {
		a.version++
		v.started, v.countsVersion = started, a.version
	}
}

// logPlacements appends the placements that have not been logged recently.
func (a *Aggregator) logPlacements(now time.Time, relay string, list []pool.Placement, backlog bool) {
	for _, p := range list {
		if t, ok := a.lastLogged[p]; ok && now.Sub(t) < placementRepeatAfter {
			continue
		}
		a.lastLogged[p] = now
		a.version++
		a.placementLog = append(a.placementLog, loggedPlacement{p, a.version, now, relay, backlog})
	}
	if over := len(a.placementLog) - maxPlacements; over > 0 {
		a.placementLog = slices.Delete(a.placementLog, 0, over)
	}
}

// Expire marks unresponsive nodes and relays, and deletes expired state.
func (a *Aggregator) Expire(now time.Time) {
	for name, v := range a.records {
		if v.relay == a.self && !v.unresponsive && now.Sub(v.lastSeen) > unresponsiveAfter {
			v.unresponsive, v.loads = true, nil
			a.nextVersion(v)
		}
		if now.Sub(v.lastSeen) > recordRetention {
			delete(a.records, name)
		}
	}
	maps.DeleteFunc(a.lastLogged, func(_ pool.Placement, t time.Time) bool { return now.Sub(t) > placementRepeatAfter })
	maps.DeleteFunc(a.groups, func(_ string, g *group) bool { return now.Sub(g.receivedAt) > recordRetention })
	a.detectLostRelays(now)
}

// detectLostRelays marks unresponsive relays. Their nodes may have moved to other relays that reported this
// earlier, when it changed nothing here; so the complete state is requested from all relays.
func (a *Aggregator) detectLostRelays(now time.Time) {
	lost := false
	for _, g := range a.groups {
		if !g.unresponsive && now.Sub(g.receivedAt) > unresponsiveAfter {
			g.unresponsive, lost = true, true
		}
	}
	if !lost {
		return
	}
	for _, g := range a.groups {
		g.version, g.again = 0, true
	}
}

// KnownVersion returns the version up to which a relay's changes are known here, and the incarnation of the
// relay that the version belongs to.
func (a *Aggregator) KnownVersion(relay string) (incarnation string, version uint64) {
	if g := a.groups[relay]; g != nil {
		return g.incarnation, g.version
	}
	return "", 0
}

// BaseVersion returns the version after which changes have to be sent to a node that knows an incarnation up
// to a version.
func (a *Aggregator) BaseVersion(incarnation string, version uint64) uint64 {
	if incarnation != a.incarnation {
		return 0
	}
	return version
}

// MergeGroup merges another relay's group.
func (a *Aggregator) MergeGroup(now time.Time, g Group) {
	if g.Relay == a.self {
		return
	}
	old := a.groups[g.Relay]
	if old != nil && old.incarnation != g.Incarnation {
		a.detachNodes(g.Relay)
	}
	a.groups[g.Relay] = &group{incarnation: g.Incarnation, version: g.Version, receivedAt: now, share: g.Share, trials: g.Trials}
	for _, c := range g.Changes {
		a.mergeChange(now, g.Relay, c)
	}
	for _, v := range a.records {
		if v.relay == g.Relay && !v.unresponsive {
			v.lastSeen = now
		}
	}
	placed := g.Placed
	if old != nil && old.incarnation == g.Incarnation && old.again {
		placed = a.notLogged(placed)
	}
	a.logPlacements(now, g.Relay, placed, old == nil)
}

// notLogged returns the placements that a complete state has more often than this relay has logged them. The others have
// been sent on: with the loss of any relay, each node of the fleet would be sent all of them again.
func (a *Aggregator) notLogged(list []pool.Placement) []pool.Placement {
	logged := make(map[pool.Placement]int, len(a.placementLog))
	for _, p := range a.placementLog {
		logged[p.Placement]++
	}
	return slices.DeleteFunc(slices.Clone(list), func(p pool.Placement) bool {
		logged[p]--
		return logged[p] >= 0
	})
}

// detachNodes records that a relay restarted: its former nodes belong to it again once it reports them.
func (a *Aggregator) detachNodes(relay string) {
	for _, v := range a.records {
		if v.relay == relay {
			v.relay = ""
			a.nextVersion(v)
		}
	}
}

// mergeChange merges a change that another relay sent of one of its nodes.
func (a *Aggregator) mergeChange(now time.Time, relay string, c Change) {
	if c.Sequence == 0 {
		if v := a.records[c.Node]; v != nil && v.relay == relay && !v.unresponsive {
			v.unresponsive = true
			a.nextVersion(v)
		}
		return
	}
	at := now.Add(-c.Age)
	v := a.recordForUpdate(c.Node, c.Incarnation, c.Sequence, at.Add(-c.Uptime))
	if v != nil {
		a.setStatus(v, c.Status)
		a.mergeSpent(v, c.Spent)
		a.mergeStarted(v, c.Started)
	} else if v = a.records[c.Node]; v.incarnation != c.Incarnation || v.relay != relay {
		return // the node has moved to another relay, which has a later report
	}
	if !c.Unresponsive {
		a.setRelay(at, v, relay)
	} else if !v.unresponsive {
		a.setRelay(at, v, relay)
		v.unresponsive = true
		a.nextVersion(v)
	}
}
