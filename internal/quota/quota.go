// Package quota holds the workspaces to their token quotas over all nodes together.
//
// Each node runs the whole token bucket by itself and takes in what the others report
// to have charged. Between two reports nodes don't see each other, so a node doesn't
// spend the whole level but a share of it, as large as its share of the workspace's use
// up to the last report. While the bucket is more than half full a node may spend more: such a
// workspace is far below its quota, and refusing a large request because this node is
// entitled to a sixth of the level would be wrong.
//
// A node that falls silent may be dead, or alive and cut off, charging on. It is taken
// to charge its even share all the time; and since those on the other side take the
// same of this node, the sum holds on both sides of a cut without a word between them.
// When it is heard again, what it did charge takes the place of the guess.
//
// A process that starts knows neither what was charged a moment ago nor how many share the
// bucket. It begins with the level that was written down last, or with a part of the burst, assumes many nodes until it has been told them,
// and entitles itself only to the part of the nodes that it has heard. What a peer charged
// before it was first heard counts, unless the peer is older than this process: then the
// part of the burst stands for it.
//
// A request is let in while the level is positive, and may overdraw it. Asking for the
// whole charge first, as an earlier version did, lets small requests keep the level low
// forever, and the large ones of a busy workspace never get in.
//
// Weighed: fixed shares (a workspace whose callers meet one node would get a sixth of
// its quota), a counter in the store (a write a request), leases of tokens handed out
// by one node (a second path to fail, and it has to be found after a cut).
package quota

import (
	"time"
)

// Limit is one workspace's quota.
type Limit struct {
	Rate  float64 // tokens a second over all nodes; 0: no limit
	Burst float64
}

const (
	// smallRequest is the part of the burst up to which a request counts as small, and
	// smallDebt how far the small ones may overdraw the bucket: a plain call is charged a
	// thousandth of what a long prompt is, and refusing it saves nothing.
	smallRequest = 0.005
	smallDebt    = 0.05
	// refillShare is the part of the burst that is to be there again when a refused caller
	// comes back.
	refillShare = 0.02
	// silentRounds is the number of spans without a report after which a node counts as cut
	// off: two missed, and some delay.
	silentRounds = 2.8
	// useHalf is the time over which recent use counts half.
	useHalf = 2 * time.Second
	// calmLevel is the part of the burst above which shares don't bind.
	calmLevel = 0.5
	// calmSpend is the part of the burst that a node may spend of such a bucket between
	// two reports; a first request may be larger.
	calmSpend = 0.3
	// unknownNodes is the number of nodes that are assumed until a process knows the others:
	// the first tenths of a second of its life.
	unknownNodes = 16
	// sameAge is how much older a process may be that was started by the same event.
	sameAge = time.Second
	// leastShare is a node's least part of the level, over the even share.
	leastShare = 0.5
)

type peer struct {
	lifetime string
	began    time.Time // the process, as near as its reports tell
	sequence uint64    // of its last report
	heard    time.Time
	silent   bool
	charged  map[string]float64 // as last reported by that lifetime
	assumed  map[string]float64 // taken off for its silence
	recent   map[string]float64
	lost     map[string]float64 // of the buckets, when it was last heard
}

type bucket struct {
	limit   Limit
	level   float64
	updated time.Time
	spent   float64 // by this node since the last round
	charged float64 // by this node in all
	recent  float64
	began   time.Time // when this process first knew it
	first   float64   // its level then
	lost    float64   // refill that found it full, and no late use to make good for
}

// Quotas is the buckets of all workspaces at one node. It isn't safe for concurrent use.
type Quotas struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	full    bool // new buckets start full
	began   time.Time
	named   bool // the other nodes are known
	round   time.Time

	recalled map[string]recalled // by workspace
	gone     map[string]*peer    // nodes that were taken off the list, as they were last heard
}

// restartLevel is the part of the burst that a process begins with which does not start
// with the whole system. It can't know what was charged a moment ago; starting empty
// refused callers far below their quotas after each kill of all processes.
const restartLevel = 0.25

// New returns quotas. A node that starts with the whole system starts with full
// buckets.
func New(now time.Time, first bool) *Quotas {
	return &Quotas{buckets: make(map[string]*bucket), peers: make(map[string]*peer), gone: make(map[string]*peer), full: first, began: now, round: now}
}

// SetLimits takes in the quotas in force.
func (q *Quotas) SetLimits(now time.Time, limits map[string]Limit) {
	for n, l := range limits {
		b := q.buckets[n]
		if b == nil {
			b = &bucket{updated: now, began: now, first: q.first(now, n, l)}
			b.level = b.first
			q.buckets[n] = b
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

// fill puts tokens into a bucket, as far as it has room.
func (b *bucket) fill(tokens float64) {
	b.level += tokens
	if over := b.level - b.limit.Burst; over > 0 {
		b.level -= over
		b.lost += over
	}
}

// drain takes off what a node has charged in the time since it was last heard. If that was
// long ago, the refill of that time that found the bucket full would have found room, had the
// use been known: it makes good for it. Without that, nodes refuse callers below their quota after a
// cut.
func (b *bucket) drain(tokens float64, late bool, lostBefore float64) {
	if late && tokens > 0 {
		credit := max(0, min(tokens, b.lost-lostBefore))
		b.lost -= credit
		tokens -= credit
	}
	b.fill(-tokens)
}

// lateHeard is the silence after which what a node reports to have charged counts as late:
// beyond some rounds, in which the lost refill is small.
const lateHeard = time.Second

// nodes is the number of nodes that share the quotas, this one included.
func (q *Quotas) nodes() float64 {
	n := float64(len(q.peers) + 1)
	if !q.named {
		return max(n, unknownNodes)
	}
	return n
}

// heard is the part of the nodes whose use is known, this one included.
func (q *Quotas) heard() float64 {
	n := 1.0
	for _, p := range q.peers {
		if p.lifetime != "" {
			n++
		}
	}
	return n / q.nodes()
}

// whole tells whether the use of all nodes is known, or that there was none.
func (q *Quotas) whole() bool { return q.full || q.heard() == 1 }

// Verdict is the answer to a charge.
type Verdict struct {
	Allowed bool
	Level   float64       // of the bucket as this node knows it
	Wait    time.Duration // until it may be allowed, if it wasn't
}

// Charge takes tokens from a workspace's quota if they are there.
func (q *Quotas) Charge(now time.Time, workspace string, tokens float64) Verdict {
	b := q.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return Verdict{Allowed: true}
	}
	q.refill(now, b)
	floor := 0.0
	if tokens <= smallRequest*b.limit.Burst {
		floor = -smallDebt * b.limit.Burst
	}
	calm := q.whole() && b.level-tokens >= calmLevel*b.limit.Burst && (b.spent == 0 || b.spent+tokens <= calmSpend*b.limit.Burst)
	limit := q.grant(b) - floor/q.nodes() // each node its part of what the small ones may overdraw
	if !calm && (b.level <= floor || b.spent >= limit) {
		short := max(floor-b.level, b.spent-limit) + refillShare*b.limit.Burst
		return Verdict{Level: b.level, Wait: time.Duration(short / b.limit.Rate * float64(time.Second))}
	}
	b.level -= tokens
	b.spent += tokens
	b.charged += tokens
	b.recent += tokens
	return Verdict{Allowed: true, Level: b.level}
}

// Refund gives back what a request was charged that didn't run.
func (q *Quotas) Refund(workspace string, tokens float64) {
	b := q.buckets[workspace]
	if b == nil || b.limit.Rate <= 0 {
		return
	}
	b.level = min(b.limit.Burst, b.level+tokens)
	b.spent = max(0, b.spent-tokens)
	b.charged -= tokens
}

// grant is what this node may spend of a bucket until the next round. Its share follows the
// use before this round: by what it spends in the round, of which the others know nothing
// yet, every node would be entitled to all of a bucket that was at rest.
func (q *Quotas) grant(b *bucket) float64 {
	even := 1 / q.nodes()
	share := even
	own := max(0, b.recent-b.spent)
	if all := own + q.peersRecent(b); all > 0 {
		share = max(own/all*q.heard(), leastShare*even)
	}
	return share * (b.level + b.spent)
}

func (q *Quotas) peersRecent(b *bucket) float64 {
	sum := 0.0
	for n, v := range q.buckets {
		if v != b {
			continue
		}
		for _, p := range q.peers {
			sum += p.recent[n]
		}
	}
	return sum
}

// Round begins a new span between reports: it ages what is known, and takes off what
// silent nodes may be charging. every is how long a span usually is, and lag how old the
// word of a node is that isn't silent: that of the way on which it is handed on.
func (q *Quotas) StartRound(now time.Time, every, lag time.Duration) {
	silence := time.Duration(silentRounds*float64(every)) + lag
	d, before := now.Sub(q.round).Seconds(), q.round
	q.round = now
	keep := 1 / (1 + d/useHalf.Seconds())
	for _, b := range q.buckets {
		q.refill(now, b)
		b.spent = 0
		b.recent *= keep
	}
	for _, p := range q.peers {
		for n := range p.recent {
			p.recent[n] *= keep
		}
		q.assume(now.Sub(p.heard) > silence, p, p.heard.Before(before.Add(-lag)), d)
	}
}

// assume takes off what a node that missed a round may have charged in it, and, once it
// is silent for longer, its part of the level that it knew when it was last heard.
func (q *Quotas) assume(silent bool, p *peer, missed bool, d float64) {
	for n, b := range q.buckets {
		x := 0.0
		if silent && !p.silent && b.level > 0 {
			x = b.level / q.nodes()
		}
		if missed {
			x += b.limit.Rate * d / q.nodes()
		}
		if x != 0 {
			b.level -= x
			p.assumed[n] += x
		}
	}
	p.silent = silent
}

// SetPeers names the other nodes that share the quotas. A node that is gone for good
// takes nothing any more.
func (q *Quotas) SetPeers(now time.Time, names []string) {
	q.named = true
	keep := make(map[string]bool, len(names))
	for _, n := range names {
		keep[n] = true
		q.peer(now, n)
	}
	for n, p := range q.peers {
		if !keep[n] {
			delete(q.peers, n)
			q.gone[n] = p
		}
	}
	for n, p := range q.gone {
		if now.Sub(p.heard) > goneKeeps {
			delete(q.gone, n)
		}
	}
}

// goneKeeps is how long a node that was taken off the list is remembered: longer than a cut
// lasts, after which it is heard again. Were it taken for a new one, all that it has charged
// in its life would be taken off the level at once.
const goneKeeps = 5 * time.Minute

// peer returns what is known of a node, or begins to know it.
func (q *Quotas) peer(now time.Time, name string) *peer {
	p := q.peers[name]
	if p == nil {
		if p = q.gone[name]; p == nil {
			p = newPeer(now)
		}
		delete(q.gone, name)
		q.peers[name] = p
	}
	return p
}

func newPeer(now time.Time) *peer {
	return &peer{heard: now, charged: map[string]float64{}, assumed: map[string]float64{}, recent: map[string]float64{}, lost: map[string]float64{}}
}

// Word is what a process of another node has charged since it began.
type Update struct {
	Node     string
	Incarnation string
	Sequence uint64        // of the process's report; 0: not known
	Uptime   time.Duration // now
	Age      time.Duration // since the node was heard: by this one, or by one that hands its word on
	Charged  map[string]float64
}

// TakeIn takes in another node's word. One of a process that another has taken the place of
// says nothing: it came by a longer way.
func (q *Quotas) ApplyUpdate(now time.Time, w Update) {
	p := q.peer(now, w.Node)
	began := now.Add(-w.Uptime)
	if p.lifetime != w.Incarnation {
		if p.lifetime != "" && began.Before(p.began) {
			return
		}
		// What an unknown life has charged before was charged while this node couldn't
		// hear of it. Only of one that is older than this process, what it charged before is
		// what the bucket's first level stands for.
		older := p.lifetime == "" && w.Uptime > now.Sub(q.began)+sameAge
		p.lifetime, p.began, p.sequence = w.Incarnation, began, 0
		p.charged = map[string]float64{}
		if older {
			p.charged = w.Charged
		}
	}
	known := p.lifetime == w.Incarnation && p.sequence == w.Sequence && w.Sequence != 0 && len(p.assumed) == 0
	p.sequence = w.Sequence
	late := now.Sub(p.heard) > lateHeard
	if at := now.Add(-w.Age); at.After(p.heard) {
		p.heard = at
	}
	p.silent = false
	if known {
		return
	}
	for n, b := range q.buckets {
		d := w.Charged[n] - p.charged[n]
		q.refill(now, b)
		b.drain(d-p.assumed[n], late, p.lost[n])
		p.lost[n] = b.lost
		p.recent[n] += max(0, d)
	}
	p.charged, p.assumed = w.Charged, map[string]float64{}
}

// Charged returns what this process has charged in all, by workspace.
func (q *Quotas) Charged() map[string]float64 {
	r := make(map[string]float64, len(q.buckets))
	for n, b := range q.buckets {
		if b.charged != 0 {
			r[n] = b.charged
		}
	}
	return r
}
