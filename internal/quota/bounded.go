package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// This file uses the operators' bound: how much over all nodes may be charged in a window of time. It answers the
// load of workspaces whose callers come in waves, one request here and one there, of sizes from 200 to 40,000 tokens,
// at fleets of which one node sees a workspace's request every few seconds.
//
// Each node sums up what all nodes have charged in the last window, as far as it has heard. The rest of the bound, less a
// reserve, is the room. What other nodes do before this node hears of it is forecast from what they were asked for, and
// each node admits the same part of what it is asked for: room over demand, at most all. So shares follow demand without
// being assigned, no node keeps a share that nobody asks it for, and a request doesn't have to fit into one node's share
// while the fleet has room. Above the room, chance decides within the part, so that what many nodes admit adds up to the
// room and not to a request at each.
//
// A node that isn't heard is assumed to take its even part of the room as it was when it was last heard. Both sides of a
// cut know that room, so the parts add up however demand changes meanwhile.
//
// Alternatives considered: a deeper and faster bucket (of what a window allows, it leaves unused what it is deep); a part
// of the room for each node (a fleet's nodes see few requests each: most don't fit into a part, and overdrawing it by one
// request at each node is more than the whole bound); turns by rank (callers don't come in turns).

const (
	// demandTime is the time constant with which a node forgets what others were asked for.
	demandTime = 700 * time.Millisecond
	// reserveDeviations is the reserve, in standard deviations of what nodes admit before they hear of each other.
	reserveDeviations = 2.5
	// leastReserve is the part of the bound that is reserved beyond it: a charge's time is known to a slot.
	leastReserve = 0.02
	// largeReserve is the part of the bound that is kept free beside a large request at most.
	largeReserve = 0.125
	// maxReserve is the part of the operators' tolerance that the reserve takes at most; callers have the rest.
	maxReserve = 0.5
	// lateSpread is the part of a window into which a late report's charges are put: when they were made isn't known, and
	// a node that wasn't heard may have had its part a moment ago.
	lateSpread = 4
	// usualSize is the size of requests, in tokens and weighted by them, that a node assumes until it has seen some.
	usualSize, usualSamples = 5000.0, 20.0
	// restartReserve is the part of the bound that a restarted process takes as used, beyond what was stored.
	restartReserve = 0.1
	// minRetry and maxRetry bound the time from which a refused caller's wait is drawn: one that is told more won't return.
	minRetry, maxRetry = 100 * time.Millisecond, 1200 * time.Millisecond
	// spendTime is the time in which demand above it takes up the room that is free beyond what comes free meanwhile: a
	// rush goes on for seconds, and the window that follows it as well.
	spendTime = 1500 * time.Millisecond
	// leastSpan is the least time for which nodes may spend ahead: requests are too few and uneven for a shorter one.
	leastSpan = 300 * time.Millisecond
	// minDemand is the demand in tokens below which a peer's use of a workspace is forgotten.
	minDemand = 1.0
	// firstStartGrace is the age of a first process up to which nodes that it hasn't heard count as idle: they may still start.
	firstStartGrace = 2 * time.Second
	// unlistedWindows is for how many windows since it was last heard a silent node keeps its part when it is no longer
	// listed: in a cut nodes drop out of the registry and go on. One that stops as planned is listed until it has.
	unlistedWindows = 3
	// unheardStep is how often the time unheard is determined anew.
	unheardStep = 50 * time.Millisecond
	// relayedDelay is the part of a report's greatest age by which it may be older than the relay says.
	relayedDelay = 1.0 / 3
)

// Bound is what operators allow a workspace over all nodes together: in any window, (rate x window + burst) x
// (1 + overage) + slack tokens. Without a window, nodes keep to the bucket of rate and burst.
type Bound struct {
	Window  time.Duration
	Overage float64 // relative
	Slack   float64 // tokens
}

func (b Bound) tokens(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// tolerance returns by how much the bound is above the bucket.
func (b Bound) tolerance(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*b.Overage + b.Slack
}

// windowed is a bucket's state under a bound.
type windowed struct {
	all, own, ownAsked *ledger // charged by all nodes; charged by this node; asked of it
	asked              float64 // of this node since its process started
	refunded           float64 // by this node since its process started
	calls              *ledger // requests at this node
	squares, sizes     float64 // of the sizes of requests, and their number: count
	count              float64
	lowered            float64 // by how much the limit was lowered
	loweredAt          time.Duration
	unknown            float64 // assumed to have been charged before this process started
	learned            *ledger // of all, what older processes say of the time before; nil: nothing
	restored           bool    // all has what was stored
}

// silentPeers counts the nodes that were last heard at a time.
type silentPeers struct {
	at    time.Duration
	count float64
}

// SetBound sets the operators' bound. draw returns random numbers from 0 to 1.
func (q *Quotas) SetBound(b Bound, draw func() float64) {
	if b.Window > 0 {
		q.bound, q.draw = b, draw
	}
}

func (q *Quotas) bounded() bool { return q.bound.Window > 0 }

// offset returns a time relative to the start of the process.
func (q *Quotas) offset(t time.Time) time.Duration { return t.Sub(q.startedAt) }

// setWindowLimit puts a bucket's limit in force. A lower one takes effect little by little over a window: what was
// charged under the old one leaves the window meanwhile, and nothing binds the window that it was changed in. A second one
// within that window takes effect at the end of the first.
func (q *Quotas) setWindowLimit(now time.Time, name string, b *bucket, l Limit) {
	at := q.offset(now)
	b.dropped = false
	if b.w == nil {
		b.w = &windowed{all: newLedger(q.bound.Window, at), own: newLedger(q.bound.Window, at), ownAsked: newLedger(q.bound.Window, at), calls: newLedger(q.bound.Window, at)}
		b.w.squares, b.w.sizes = usualSamples*usualSize*usualSize, usualSamples*usualSize
		b.w.count = 2 * usualSamples
		b.limit = l
		q.fillHistory(now, name, b)
		return
	}
	if l == b.limit {
		return
	}
	old, next := q.boundTokens(at, b), q.bound.tokens(l)
	left := q.bound.Window - (at - b.w.loweredAt)
	b.limit = l
	if b.w.lowered > 0 && left > 0 { // the first lowering keeps its end
		b.w.lowered = max(0, old-next) * q.bound.Window.Seconds() / left.Seconds()
		return
	}
	b.w.lowered, b.w.loweredAt = max(0, old-next), at
}

// boundTokens returns the bound of a bucket now.
func (q *Quotas) boundTokens(at time.Duration, b *bucket) float64 {
	left := 1 - (at-b.w.loweredAt).Seconds()/q.bound.Window.Seconds()
	return q.bound.tokens(b.limit) + b.w.lowered*max(0, left)
}

// reserve returns the part of a bucket's bound that covers what nodes can't know of each other: the scatter of what they
// admit before they hear of it. The number of requests that are under way unheard follows from the bound's rate, and
// neither from the number of nodes nor from demand.
func (q *Quotas) reserve(b *bucket, unheard time.Duration) float64 {
	if len(q.peers) == 0 && q.peersKnown {
		return 0
	}
	underway := q.bound.tokens(b.limit) / q.bound.Window.Seconds() * unheard.Seconds()
	x := reserveDeviations*math.Sqrt(underway*b.w.squares/b.w.sizes) + leastReserve*q.bound.tokens(b.limit)
	if q.silentCount > 0 {
		x *= math.Sqrt2 // the sides of a cut err independently
	}
	return min(maxReserve*q.bound.tolerance(b.limit), x)
}

// unheard returns for how long, on average, this node hasn't heard of what the others do.
func (q *Quotas) unheard(now time.Time) time.Duration {
	if now.Sub(q.unheardAt) < unheardStep && !q.unheardAt.IsZero() {
		return q.unheardFor
	}
	sum, n := time.Duration(0), time.Duration(0)
	for _, p := range q.peers {
		if !p.unresponsive && p.incarnation != "" {
			sum += now.Sub(p.lastSeen)
			n++
		}
	}
	q.unheardAt, q.unheardFor = now, 0
	if n > 0 {
		q.unheardFor = min(q.bound.Window, sum/n+time.Duration(relayedDelay*float64(q.lag)))
	}
	return q.unheardFor
}

// silentReserve returns what the nodes that aren't heard may charge unseen.
func (q *Quotas) silentReserve(at time.Duration, b *bucket, limit float64) float64 {
	x := 0.0
	for _, s := range q.silent {
		x += s.count / q.nodes() * max(0, limit-b.w.all.until(at, s.at))
	}
	return x
}

// chargeWindow takes tokens from a workspace's quota under the operators' bound if they are available.
func (q *Quotas) chargeWindow(now time.Time, b *bucket, tokens float64) Verdict {
	at, w := q.offset(now), b.w
	w.asked += tokens
	w.ownAsked.add(at, tokens)
	w.squares += tokens * tokens
	w.sizes += tokens
	w.count++
	w.calls.add(at, 1)
	if w.sizes > 4*usualSamples*usualSize {
		w.squares /= 2
		w.sizes /= 2
		w.count /= 2
	}
	if q.lostTime > 0 && now.Sub(q.roundStart) > q.lostTime { // this process was suspended
		q.startWindowRound(now, q.lostTime, q.lag)
	}
	unheard := q.unheard(now)
	reserved := q.reserve(b, unheard)
	limit := q.boundTokens(at, b) - reserved
	silent := q.silentReserve(at, b, limit)
	known := w.all.total(at)
	room := limit - silent - known
	if w.lowered > 0 && at-w.loweredAt < q.bound.Window {
		room = min(room, q.bound.tokens(b.limit)-reserved-silent-w.all.last(at, at-w.loweredAt))
	}
	heard := 1.0
	if !q.startFull {
		heard = q.knownFraction()
	}
	room *= heard
	own, asked := w.own.last(at, unheard), max(tokens, w.ownAsked.last(at, unheard))
	demand := b.peersRecent / demandTime.Seconds()
	free := room + own
	leaving := w.all.leaving(at, unheard) * (heard - q.silentCount/q.nodes())
	if unheard > 0 && free > leaving {
		free = leaving + (free-leaving)*min(1, max(unheard, leastSpan).Seconds()/spendTime.Seconds())
	}
	part := min(1, max(0, free/(demand*unheard.Seconds()+asked-max(0, tokens-usualSize))))
	if rush := q.rush(at, b, demand, unheard); rush > 0 {
		part = min(part, max(0, (room+own)/rush))
	}
	v := Verdict{Level: room, Part: part, Asked: demand + w.ownAsked.last(at, demandTime)/demandTime.Seconds(), Reserved: reserved + silent}
	fits := part >= 1 || own+q.draw()*tokens <= part*asked
	ahead := room - part*demand*unheard.Seconds() // of what others admit unheard
	large := 0.0
	if unheard > 0 { // another node may admit as large a one
		large = min(max(0, tokens-usualSize), largeReserve*limit)
	}
	if room < tokens || ahead < tokens+large || !fits {
		short := max(tokens-room, (demand*unheard.Seconds()+asked)*(1-part))
		v.Wait = q.retryWait(w.all.freeing(at, short))
		return v
	}
	w.all.add(at, tokens)
	w.own.add(at, tokens)
	b.charged += tokens
	v.Allowed, v.Level, v.At = true, room-tokens, now
	return v
}

// rush estimates what all nodes are asked for in the time unheard from the number of requests at this node, as it may know
// of a rush before it hears of it. The first request doesn't count: one comes now and then and says nothing of the others.
func (q *Quotas) rush(at time.Duration, b *bucket, demand float64, unheard time.Duration) float64 {
	w := b.w
	if unheard <= 0 {
		return 0
	}
	n, mean := w.calls.last(at, unheard), w.sizes/w.count
	past := mean * (w.calls.last(at, q.bound.Window) - n) / (q.bound.Window - unheard).Seconds()
	share := 1 / max(float64(b.peersAsked+1), math.Sqrt(q.nodes()))
	if past > 0 {
		share = max(share, past/(past+demand))
	}
	return max(0, n-1) * mean / min(1, share)
}

// retryWait spreads the returns of refused callers, also those that have short to wait, around the time at which there will be room.
func (q *Quotas) retryWait(free time.Duration) time.Duration {
	d := min(max(free, minRetry), maxRetry)
	return minRetry + time.Duration(q.draw()*float64(d))
}

// refundWindow takes a charge back from the time when it was made. One that has left the window is no one's any more.
func (q *Quotas) refundWindow(now time.Time, b *bucket, tokens float64, chargedAt time.Time) {
	at := q.offset(now)
	b.w.own.advance(at)
	b.w.all.advance(at)
	x := b.w.own.removeAt(q.offset(chargedAt), tokens)
	b.w.all.removeAt(q.offset(chargedAt), x)
	b.charged -= x
	b.w.refunded += x
}

// applyWindow applies a peer's report: what it has charged since its last one was charged in between.
func (q *Quotas) applyWindow(now time.Time, p *peer, u Update, older bool) {
	if u.Sequence != 0 && u.Sequence < p.sequence { // it took a longer path
		q.Heard(now, u.Node, u.Incarnation, u.Age, u.Vouched)
		return
	}
	from, to := p.lastSeen, now.Add(-u.Age)
	if late := to.Add(-q.bound.Window / lateSpread); late.After(from) {
		from = late
	}
	if p.startedAt.After(from) {
		from = p.startedAt
	}
	q.hear(to, p, u.Vouched)
	p.leaving = u.Leaving
	known := p.sequence == u.Sequence && u.Sequence != 0
	p.sequence = u.Sequence
	q.applyAsked(p, u, !known)
	if !known {
		hidden := time.Duration(relayedDelay * float64(q.lag))
		q.applyWindowCharges(q.offset(from)-hidden, q.offset(p.lastSeen)-hidden, p, u)
	}
	if older {
		q.learnHistory(now, u)
	}
}

// hear records that a peer was there at a time.
func (q *Quotas) hear(at time.Time, p *peer, vouched time.Duration) {
	if at.After(p.lastSeen) {
		p.lastSeen, p.vouched = at, vouched
	}
	if p.unresponsive {
		p.unresponsive = false
		q.addRecent(p, 1)
	}
}

// Heard records that a process was heard of, without more news than this node has. A relay's word of a node that does
// nothing is as old as its last change, while a report of the node itself is newer. It has an effect under a bound only.
func (q *Quotas) Heard(now time.Time, node, incarnation string, age, vouched time.Duration) {
	p := q.peers[node]
	if !q.bounded() || p == nil || p.incarnation != incarnation {
		return
	}
	q.hear(now.Add(-age), p, vouched)
	q.applyAsked(p, Update{}, false)
}

func (q *Quotas) applyWindowCharges(from, to time.Duration, p *peer, u Update) {
	for n, x := range u.Charged {
		b := q.buckets[n]
		if b == nil || b.w == nil || !isTokens(x) {
			continue
		}
		v, says := u.Uses[n]
		last, before := p.charged[n], p.refunds[n].Refunded
		if !says {
			v.Refunded = before
		}
		if x+v.Refunded < last+before || v.Refunded < before {
			if !says && x > last/2 {
				continue // a refund of a node that doesn't say when it refunds
			}
			last, before = 0, 0 // it was dropped and listed again
		}
		refunded := v.Refunded - before
		x += refunded - last
		if says && v.Recent >= 0 {
			x = min(x, v.Recent+refunded) // the rest has left the window
		}
		b.w.all.spread(from, to, x)
		b.w.all.removeOldest(refunded)
	}
	p.charged = u.Charged
	if u.Uses != nil {
		p.refunds = u.Uses
	}
}

// coverLost takes it that a process that was replaced went on to charge, unheard, as it did in the window before. startedAt
// is the start of the new one.
func (q *Quotas) coverLost(p *peer, startedAt time.Time) {
	d := min(startedAt.Sub(p.lastSeen)+p.vouched, q.lostTime)
	if !q.bounded() || d <= 0 {
		return
	}
	for n, v := range p.uses {
		if b := q.buckets[n]; b != nil && b.w != nil && isTokens(v.Recent) {
			b.w.all.add(q.offset(startedAt), v.Recent*d.Seconds()/q.bound.Window.Seconds())
		}
	}
}

// applyAsked updates what a peer is asked for.
func (q *Quotas) applyAsked(p *peer, u Update, fresh bool) {
	d := p.lastSeen.Sub(p.agedAt).Seconds()
	if d <= 0 {
		return
	}
	p.agedAt = p.lastSeen
	keep := math.Exp(-d / demandTime.Seconds())
	for n, x := range p.recent {
		q.setDemand(p, n, x*keep)
	}
	if !fresh {
		return
	}
	for n, x := range u.Charged {
		if _, says := u.Uses[n]; !says {
			q.addDemand(p, n, x-p.charged[n], d, keep)
		}
	}
	for n, v := range u.Uses {
		last, known := p.uses[n]
		if !known && p.unsaid {
			continue // the first figure of what it was asked for, of a time that isn't known
		}
		q.addDemand(p, n, v.Asked-last.Asked, d, keep)
	}
	if u.Uses != nil {
		p.uses = u.Uses
	}
	p.unsaid = u.Uses == nil && len(u.Charged) > 0
}

// addDemand adds what a peer was asked for in the d seconds since its last report.
func (q *Quotas) addDemand(p *peer, name string, tokens, d, keep float64) {
	if tokens > 0 && isTokens(tokens) {
		q.setDemand(p, name, p.recent[name]+tokens/d*demandTime.Seconds()*(1-keep))
	}
}

// sign returns 1 for a positive figure, else 0.
func sign(x float64) int {
	if x > 0 {
		return 1
	}
	return 0
}

// maxTokens is the largest figure of another node that counts as one: larger ones don't add up exactly.
const maxTokens = 1e15

// isTokens reports whether a figure of another node is a number of tokens.
func isTokens(x float64) bool { return x >= 0 && x <= maxTokens }

func (v Use) isValid() bool { return isTokens(v.Asked) && isTokens(v.Recent) && isTokens(v.Refunded) }

// validFigures returns a report with a peer's last figures in place of those that aren't numbers of tokens.
func validFigures(p *peer, u Update) Update {
	u.Charged, u.Uses = validCharged(p.charged, u.Charged), validUses(p.refunds, u.Uses)
	return u
}

func validCharged(last, said map[string]float64) map[string]float64 {
	valid := true
	for _, x := range said {
		valid = valid && isTokens(x)
	}
	if valid {
		return said
	}
	r := maps.Clone(said) // others may have the map
	for n, x := range said {
		if !isTokens(x) {
			r[n] = last[n]
		}
	}
	return r
}

func validUses(last, said map[string]Use) map[string]Use {
	valid := true
	for _, v := range said {
		valid = valid && v.isValid()
	}
	if valid {
		return said
	}
	r := maps.Clone(said)
	for n, v := range said {
		if !v.isValid() {
			r[n] = last[n]
		}
	}
	return r
}

func (q *Quotas) setDemand(p *peer, name string, x float64) {
	b := q.buckets[name]
	if x < minDemand || b == nil {
		x = 0
	}
	if b != nil {
		old := p.recent[name]
		b.peersRecent = max(0, b.peersRecent+x-old)
		b.peersAsked += sign(x) - sign(old)
	}
	if x == 0 {
		delete(p.recent, name)
		return
	}
	if p.recent == nil {
		p.recent = make(map[string]float64)
	}
	p.recent[name] = x
}

// startWindowRound determines which nodes aren't heard. What one of them was asked for no longer counts: it has its part.
func (q *Quotas) startWindowRound(now time.Time, timeout, lag time.Duration) {
	for n, b := range q.buckets {
		if b.dropped {
			q.drop(now, n, b)
		}
	}
	q.lag, q.lostTime, q.roundStart = lag, timeout, now
	counts := make(map[time.Duration]float64)
	grace := q.startFull && now.Sub(q.startedAt) < firstStartGrace
	for _, p := range q.peers {
		if silent := now.Sub(p.lastSeen) > timeout && !grace; silent {
			if !p.unresponsive {
				p.unresponsive = true
				q.addRecent(p, -1)
			}
			if !p.leaving {
				counts[q.lastReport(now, p)]++
			}
		}
	}
	q.unlistedSilent = 0
	for _, p := range q.removed {
		if p.unresponsive && !p.leaving && now.Sub(p.lastSeen) < unlistedWindows*q.bound.Window {
			q.unlistedSilent++
			counts[q.lastReport(now, p)]++
		}
	}
	q.silent, q.silentCount = q.silent[:0], 0
	for at, n := range counts {
		q.silentCount += n
		q.silent = append(q.silent, silentPeers{at, n})
	}
}

// lastReport returns when a silent peer may have reported last, to a slot. It's no longer ago than a window.
func (q *Quotas) lastReport(now time.Time, p *peer) time.Duration {
	step := q.bound.Window / ledgerSlots
	at := q.offset(p.lastSeen) - p.vouched
	return max(at, q.offset(now)-q.bound.Window-step).Truncate(step)
}

// fillHistory fills a new bucket with what was charged before this process could know, as far as that is stored. Else
// all of the bound may have been charged a moment ago.
func (q *Quotas) fillHistory(now time.Time, name string, b *bucket) {
	at := q.offset(now)
	if q.startFull || at > q.bound.Window {
		return
	}
	if r, ok := q.restored[name]; ok {
		q.fillRestored(at, b, r)
		return
	}
	b.w.unknown = q.bound.tokens(b.limit) * (1 - float64(q.learnedFrom)/q.nodes())
	b.w.all.add(0, b.w.unknown)
}

// learnHistory takes notice of a node that has run for a window longer than this process: it says what it charged lately.
// Its part of the bound is no longer assumed to have been charged at the start of this process. That of nodes that were
// replaced, this one among them, and of those that don't say, still is.
func (q *Quotas) learnHistory(now time.Time, u Update) {
	if q.startFull || now.Sub(q.startedAt) > q.bound.Window || u.Uses == nil && len(u.Charged) > 0 {
		return
	}
	at := q.offset(now)
	if u.Uptime-at < q.bound.Window {
		return
	}
	q.learnedFrom++
	for n, b := range q.buckets {
		if v := u.Uses[n]; b.w != nil && !b.w.restored && v.Recent > 0 {
			q.learnRecent(at, b, v.Recent)
		}
	}
	q.assumeUnknown(at)
}

// learnRecent takes in what an older process says it charged in the window before this one heard of it.
func (q *Quotas) learnRecent(at time.Duration, b *bucket, tokens float64) {
	if b.w.learned == nil {
		b.w.learned = newLedger(q.bound.Window, at)
	}
	b.w.learned.spread(at-q.bound.Window, at, tokens)
	b.w.all.spread(at-q.bound.Window, at, tokens)
}

// assumeUnknown assumes the bound for the nodes that weren't learned from only.
func (q *Quotas) assumeUnknown(at time.Duration) {
	if q.startFull || q.learnedFrom == 0 || at > q.bound.Window {
		return
	}
	part := max(0, 1-float64(q.learnedFrom)/q.nodes())
	for _, b := range q.buckets {
		if b.w == nil || b.w.unknown == 0 {
			continue
		}
		next := q.bound.tokens(b.limit) * part
		b.w.all.advance(at)
		b.w.all.removeAt(0, b.w.unknown-next)
		b.w.all.add(0, max(0, next-b.w.unknown))
		b.w.unknown = next
	}
}

// fillRestored fills a bucket with what was stored. Use went on since, at most to the bound, and may have grown.
func (q *Quotas) fillRestored(at time.Duration, b *bucket, r restoredLevel) {
	b.w.restored = true
	stored := q.offset(r.at)
	if r.charged == nil {
		b.w.all.add(stored, max(0, q.bound.tokens(b.limit)-r.level))
	}
	for i, x := range r.charged {
		end := stored - time.Duration(len(r.charged)-1-i)*q.bound.Window/storedParts
		b.w.all.spread(end-q.bound.Window/storedParts, end, x)
	}
	free := max(0, q.bound.tokens(b.limit)-b.w.all.total(at))
	b.w.all.spread(stored, at, min(free, r.use*(at-stored).Seconds()))
	b.w.all.add(at, restartReserve*q.bound.tokens(b.limit))
}

// storedParts is the number of parts of a window in which charges are stored.
const storedParts = 16

// windowLevel returns the state of a bucket to store.
func (q *Quotas) windowLevel(now time.Time, b *bucket) Level {
	at := q.offset(now)
	r := Level{Level: q.boundTokens(at, b) - b.w.all.total(at), Use: b.w.all.last(at, demandTime) / demandTime.Seconds()}
	if b.w.all.sum <= 0 {
		return r
	}
	part := q.bound.Window / storedParts
	before := 0.0
	for i := range storedParts {
		x := b.w.all.last(at, time.Duration(i+1)*part)
		r.Charged = append(r.Charged, math.Round(x-before))
		before = x
	}
	r.Charged[0] += math.Round(r.Use * q.unheard(now).Seconds()) // what others have charged unheard
	slices.Reverse(r.Charged)
	return r
}

// restoreWindow continues from what was stored of a workspace, in place of what this process has learned of its past.
func (q *Quotas) restoreWindow(now time.Time, name string) {
	b := q.buckets[name]
	if b == nil || b.w == nil || b.w.restored {
		return
	}
	at := q.offset(now)
	b.w.all.advance(at)
	b.w.all.removeAt(0, b.w.unknown)
	if b.w.learned != nil {
		b.w.all.subtract(at, b.w.learned)
	}
	b.w.unknown, b.w.learned = 0, nil
	q.fillRestored(at, b, q.restored[name])
}
