// Package quota enforces the workspaces' token quotas over all nodes together.
//
// Each node runs the complete token bucket by itself and applies what the other nodes report to have
// charged. Between two reports nodes do not see each other's charges, so a node does not spend the whole
// level but a share of it, in proportion to its share of the workspace's use up to the last report. While
// the bucket is more than half full a node may spend more: such a workspace is far below its quota, and
// rejecting a large request because this node is entitled to a sixth of the level would be wrong.
//
// A node that stops reporting may be down, or up behind a partition and still charging. It is assumed to
// charge its even share all the time. Since the nodes on the other side of a partition assume the same of
// this node, the sum holds on both sides without communication. When the node reports again, what it
// really charged replaces the assumption. That no list names it any more changes nothing: its registration lapses when it
// is cut off from the store. Only a node that has said that it ends, or that was unknown for minutes, no longer counts.
//
// A process that starts knows neither what was charged a moment ago nor how many nodes share the bucket.
// It starts with the last stored level or with a part of the burst, assumes many nodes until SetPeers
// names them, and entitles itself only to the share of the nodes that have reported to it. What a peer
// charged before its first report counts, unless the peer is older than this process: then the initial
// level accounts for it.
//
// A request is admitted while the level is positive, and may overdraw it. Requiring the whole charge up
// front would let small requests keep the level low forever, and the large ones of a busy workspace would
// never be admitted.
//
// Alternatives considered: fixed shares (of six nodes, a workspace whose callers meet only one would get
// a sixth of its quota); a counter in the store (a write per request); leases of tokens handed out by one
// node (a second path that can fail, and that node has to be found again after a partition).
package quota

import (
	"time"
)

// Limit is the quota of one workspace.
type Limit struct {
	Rate  float64 // tokens per second over all nodes; 0: no limit
	Burst float64
}

const (
	// smallRequest is the part of the burst up to which a request counts as small, and smallOverdraft how
	// far small requests may overdraw the bucket: a plain call is charged a thousandth of a long prompt,
	// and rejecting it saves nothing.
	smallRequest   = 0.005
	smallOverdraft = 0.05
	// retryRefill is the part of the burst that has to be refilled before a rejected caller retries.
	retryRefill = 0.02
	// unresponsiveRounds is the number of rounds without a report after which a node counts as
	// partitioned off: two missed ones, and some delay.
	unresponsiveRounds = 2.8
	// recentUseTime is the time constant with which recent use decays: over a single round of that length
	// it halves.
	recentUseTime = 2 * time.Second
	// unsharedLevel is the part of the burst above which shares do not apply.
	unsharedLevel = 0.5
	// unsharedSpend is the part of the burst that a node may spend between two reports while shares do
	// not apply. A first request may be larger.
	unsharedSpend = 0.3
	// assumedNodes is the number of nodes assumed until a process knows the others, which takes the first
	// tenths of a second after its start.
	assumedNodes = 16
	// startTolerance is how much older a process may be that was started by the same event.
	startTolerance = time.Second
	// minShare is a node's smallest share of the level, relative to the even share.
	minShare = 0.5
)

type peer struct {
	incarnation  string
	startedAt    time.Time // of the process, as estimated from its reports
	sequence     uint64    // of its last report
	lastSeen     time.Time
	lastListed   time.Time // by SetPeers
	leaving      bool      // it said that it ends
	unresponsive bool
	charged      map[string]float64 // as last reported by that incarnation
	assumed      []float64          // deducted while it did not report, by bucket.index; nil: nothing
	recent       map[string]float64 // of the workspaces that it used recently
	overflow     []float64          // bucket.overflow at its last report, by bucket.index; shared, not changed
}

type bucket struct {
	index        int     // in the slices of peers; not used again
	peersRecent  float64 // recent use of all peers
	limit        Limit
	level        float64
	updated      time.Time
	spent        float64 // by this node in this round
	charged      float64 // by this node since its process started
	recent       float64
	createdAt    time.Time // when this process created it
	initialLevel float64   // its level then
	overflow     float64   // refill that found the bucket full and has not been credited against late reports
}

// Quotas holds the buckets of all workspaces at one node. It isn't safe for concurrent use.
type Quotas struct {
	buckets    map[string]*bucket
	peers      map[string]*peer
	startFull  bool // new buckets start full
	startedAt  time.Time
	peersKnown bool // SetPeers has named the other nodes
	roundStart time.Time
	nextIndex  int // of buckets

	overflow   []float64 // of all buckets, as of overflowAt; nil: has to be read again
	overflowAt time.Time

	unnamed  []*peer                  // nodes that are assumed to exist, and not known by name
	restored map[string]restoredLevel // by workspace
	adopted  bool                     // the levels are another node's
	stale    bool                     // the restored levels were old
	removed  map[string]*peer         // nodes that are no longer listed, in the state of their last report
}

// restartLevel is the part of the burst with which a bucket starts in a process that does not start
// together with the whole system. The process cannot know what was charged a moment ago, but an empty
// bucket would reject callers far below their quotas after all processes were killed.
const restartLevel = 0.25

// New returns quotas without buckets. first says that the node starts together with the whole system,
// which makes buckets start full.
func New(now time.Time, first bool) *Quotas {
	q := &Quotas{buckets: make(map[string]*bucket), peers: make(map[string]*peer), removed: make(map[string]*peer), startFull: first, startedAt: now, roundStart: now}
	if !first {
		q.setUnnamed(now, assumedNodes-1)
	}
	return q
}

// SetLimits sets the quotas in force.
func (q *Quotas) SetLimits(now time.Time, limits map[string]Limit) {
	for n, l := range limits {
		b := q.buckets[n]
		if b == nil {
			b = &bucket{index: q.nextIndex, updated: now, createdAt: now, initialLevel: q.initialLevel(now, n, l)}
			b.level = b.initialLevel
			for _, p := range q.peers {
				b.peersRecent += p.recent[n]
			}
			q.buckets[n] = b
			q.nextIndex++
		}
		q.refill(now, b)
		b.limit = l
		b.level = min(b.level, l.Burst)
	}
	for n := range q.buckets {
		if _, ok := limits[n]; !ok {
			delete(q.buckets, n)
		}
	}
}

func (q *Quotas) refill(now time.Time, b *bucket) {
	d := now.Sub(b.updated).Seconds()
	if d <= 0 {
		return
	}
	b.updated = now
	b.fill(b.limit.Rate * d)
}

// fill adds tokens to a bucket, as far as it has room.
func (b *bucket) fill(tokens float64) {
	b.level += tokens
	if over := b.level - b.limit.Burst; over > 0 {
		b.level -= over
		b.overflow += over
	}
}

// deduct removes what a node has charged since its last report. If that was long ago, refill that found
// the bucket full in the meantime would have found room if the charges had been known, so it is credited
// against them. Without the credit, nodes reject callers below their quota after a partition.
func (b *bucket) deduct(tokens float64, late bool, overflowBefore float64) {
	if late && tokens > 0 {
		credit := max(0, min(tokens, b.overflow-overflowBefore))
		b.overflow -= credit
		tokens -= credit
	}
	b.fill(-tokens)
}

// lateReport is the time since the last report after which a node's report counts as late: some rounds,
// within which little refill overflows.
const lateReport = time.Second

// Nodes returns the number of nodes that share the quotas, this one included, whether they are heard or not.
func (q *Quotas) Nodes() float64 {
	n := float64(len(q.peers) + len(q.unnamed) + 1)
	if !q.peersKnown {
		return max(n, assumedNodes)
	}
	return n
}

// knownFraction returns the fraction of the nodes whose use is known, this one included.
func (q *Quotas) knownFraction() float64 {
	n := 1.0
	for _, p := range q.peers {
		if p.incarnation != "" {
			n++
		}
	}
	return n / q.Nodes()
}

// allKnown reports whether the use of all nodes is known, or there was none.
func (q *Quotas) allKnown() bool { return q.startFull || q.knownFraction() == 1 }

// Verdict is the result of a charge.
type Verdict struct {
	Allowed bool
	Level   float64       // of the bucket as this node knows it
	Wait    time.Duration // until a rejected request may be admitted
}

// Charge takes tokens from a workspace's quota if they are available.
func (q *Quotas) Charge(now time.Time, workspace string, tokens float64) Verdict {
	b := q.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return Verdict{Allowed: true}
	}
	q.refill(now, b)
	floor := 0.0
	if tokens <= smallRequest*b.limit.Burst {
		floor = -smallOverdraft * b.limit.Burst
	}
	unshared := q.allKnown() && b.level-tokens >= unsharedLevel*b.limit.Burst && (b.spent == 0 || b.spent+tokens <= unsharedSpend*b.limit.Burst)
	limit := q.allowance(b) - floor/q.Nodes() // each node has its part of the overdraft of small requests
	if !unshared && (b.level <= floor || b.spent >= limit) {
		short := max(floor-b.level, b.spent-limit) + retryRefill*b.limit.Burst
		return Verdict{Level: b.level, Wait: time.Duration(short / b.limit.Rate * float64(time.Second))}
	}
	b.level -= tokens
	b.spent += tokens
	b.charged += tokens
	b.recent += tokens
	return Verdict{Allowed: true, Level: b.level}
}

// Refund returns the charge of a request that did not run.
func (q *Quotas) Refund(workspace string, tokens float64) {
	b := q.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return
	}
	b.level = min(b.limit.Burst, b.level+tokens)
	b.spent = max(0, b.spent-tokens)
	b.charged -= tokens
}

// allowance returns what this node may spend of a bucket until the next round. Its share follows the use
// before this round: if it included the use in this round, which the other nodes do not know yet, each
// node would be entitled to the whole of a bucket that was idle before.
func (q *Quotas) allowance(b *bucket) float64 {
	even := 1 / q.Nodes()
	share := even
	own := max(0, b.recent-b.spent)
	if all := own + b.peersRecent; all > 0 {
		share = max(own/all*q.knownFraction(), minShare*even)
	}
	return share * (b.level + b.spent)
}

// StartRound starts a new interval between reports: it ages recent use, and deducts what unresponsive
// nodes may be charging. every is the usual length of an interval, and lag how old the report of a
// responsive node may be on the path by which it is forwarded.
func (q *Quotas) StartRound(now time.Time, every, lag time.Duration) {
	timeout := time.Duration(unresponsiveRounds*float64(every)) + lag
	d, before := now.Sub(q.roundStart).Seconds(), q.roundStart
	q.roundStart = now
	keep := 1 / (1 + d/recentUseTime.Seconds())
	for _, b := range q.buckets {
		q.refill(now, b)
		b.spent = 0
		b.recent *= keep
		b.peersRecent = 0
	}
	for _, p := range q.peers {
		q.ageRecent(p, keep)
		q.deductAssumed(now.Sub(p.lastSeen) > timeout, p, p.lastSeen.Before(before.Add(-lag)), d)
	}
	q.deductUnnamed(d)
}

// minRecent is the recent use in tokens below which a workspace isn't remembered as used by a node.
const minRecent = 0.01

// ageRecent ages the recent use of a peer, and adds it to the buckets.
func (q *Quotas) ageRecent(p *peer, keep float64) {
	for n, x := range p.recent {
		if x *= keep; x < minRecent {
			delete(p.recent, n)
			continue
		}
		p.recent[n] = x
		if b := q.buckets[n]; b != nil {
			b.peersRecent += x
		}
	}
}

// deductAssumed deducts what a node that missed a round may have charged in it and, once the node becomes
// unresponsive, its even share of the current level, if that is positive.
func (q *Quotas) deductAssumed(unresponsive bool, p *peer, missed bool, d float64) {
	becomes := unresponsive && !p.unresponsive
	p.unresponsive = unresponsive
	if !missed && !becomes {
		return
	}
	nodes := q.Nodes()
	for _, b := range q.buckets {
		x := 0.0
		if becomes && b.level > 0 {
			x = b.level / nodes
		}
		if missed {
			x += b.limit.Rate * d / nodes
		}
		b.level -= x
		p.assume(b, x)
	}
}

// addRecent adds the recent use of a peer to the buckets, or removes it with a sign of -1.
func (q *Quotas) addRecent(p *peer, sign float64) {
	for n, x := range p.recent {
		if b := q.buckets[n]; b != nil {
			b.peersRecent = max(0, b.peersRecent+sign*x)
		}
	}
}

// SetPeers sets the other nodes that share the quotas, all of them. One that is no longer listed may be up behind a
// partition, so it goes on sharing them, unless it has said that it leaves.
func (q *Quotas) SetPeers(now time.Time, names []string) { q.SetKnownPeers(now, names, 0) }

// SetKnownPeers is SetPeers where so many others are assumed that aren't known by name.
func (q *Quotas) SetKnownPeers(now time.Time, names []string, unnamed int) {
	q.peersKnown = true
	for _, n := range names {
		q.peer(now, n).lastListed = now
	}
	for n, p := range q.peers {
		if p.lastListed.Before(now) && p.isGone(now) {
			delete(q.peers, n)
			q.removed[n] = p
			q.addRecent(p, -1)
		}
	}
	for n, p := range q.removed {
		if now.Sub(p.lastSeen) > 2*peerTTL {
			delete(q.removed, n)
		}
	}
	q.setUnnamed(now, unnamed)
}

// peerTTL is how long a node that is neither listed nor heard counts as sharing the quotas: longer than a partition lasts.
// If one that reports again were taken for a new node, everything that it has charged since its start would be deducted at
// once.
const peerTTL = 5 * time.Minute

// isGone reports whether a node that isn't listed no longer charges anything.
func (p *peer) isGone(now time.Time) bool {
	return p.leaving || now.Sub(p.lastSeen) > peerTTL && now.Sub(p.lastListed) > peerTTL
}

// peer returns the state of a node and creates it if needed.
func (q *Quotas) peer(now time.Time, name string) *peer {
	p := q.peers[name]
	if p == nil {
		if p = q.removed[name]; p == nil {
			p = q.takeUnnamed(now)
		}
		delete(q.removed, name)
		q.peers[name] = p
		q.addRecent(p, 1)
	}
	return p
}

// Update is what a process of another node has charged since its start.
type Update struct {
	Node        string
	Incarnation string
	Sequence    uint64        // of the process's report; 0: not known
	Uptime      time.Duration // of the process now
	Age         time.Duration // since the node's report to this node, or to the one that forwards the update
	Leaving     bool          // the process ends soon
	Charged     map[string]float64
}

// ApplyUpdate applies another node's update. Updates of a process that has been replaced by a newer one
// are ignored: they took a longer path.
func (q *Quotas) ApplyUpdate(now time.Time, u Update) {
	p := q.peer(now, u.Node)
	startedAt := now.Add(-u.Uptime)
	if p.incarnation != u.Incarnation {
		if p.incarnation != "" && startedAt.Before(p.startedAt) {
			return
		}
		// What an unknown incarnation charged before was charged while this node could not receive its
		// reports, and is deducted. Only if it is older than this process, the bucket's initial level
		// accounts for it already, and what was assumed since stands.
		older := p.incarnation == "" && u.Uptime > now.Sub(q.startedAt)+startTolerance
		p.incarnation, p.startedAt, p.sequence = u.Incarnation, startedAt, 0
		p.charged = nil
		if older {
			p.charged, p.assumed = u.Charged, nil
		}
	}
	known := p.incarnation == u.Incarnation && p.sequence == u.Sequence && u.Sequence != 0 && len(p.assumed) == 0
	p.sequence = u.Sequence
	late := now.Sub(p.lastSeen) > lateReport
	if at := now.Add(-u.Age); at.After(p.lastSeen) {
		p.lastSeen = at
	}
	p.unresponsive, p.leaving = false, u.Leaving
	if known {
		return
	}
	q.applyCharged(now, p, u.Charged, late)
}

// Charged returns what this process has charged since its start, by workspace.
func (q *Quotas) Charged() map[string]float64 {
	r := make(map[string]float64, len(q.buckets))
	for n, b := range q.buckets {
		if b.charged != 0 {
			r[n] = b.charged
		}
	}
	return r
}
