package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"spurhall.example/spurhall/internal/retry"
)

// Joiner joins what nodes have seen of upstreams. In a small fleet each node is one; in a large one the relays are,
// and each relay adds the parts of the others to what its own nodes report. It isn't safe for concurrent use.
type Joiner struct {
	upstreams  map[retry.Incarnation]*joined
	order      []*joined            // all upstreams, as they are computed in turn
	next       int                  // in order
	walkedAt   time.Time            // when the last ones were
	heardAt    map[string]time.Time // by node
	histograms int                  // of nodes, at all upstreams
	dirty      map[retry.Incarnation]struct{}
	centres    map[string]float64
	centredAt  time.Time
	parts      outbox               // of the parts of this joiner's own nodes
	figures    outbox               // of the figures
	weights    []float64            // scratch space, as the following ones
	logs       map[string][]float64 // by service
	ids        []retry.Incarnation
	due        []*joined
}

// joined is what is known of one upstream.
type joined struct {
	service      string
	place        int            // in the joiner's order
	nodes        []*nodeSeen    // sorted by name
	parts        []receivedPart // sorted by source
	own          Part           // of this joiner's nodes
	sentPart     Part           // as last recorded as changed
	partSentAt   time.Time
	withdrawn    bool // the last part that was recorded is none
	log          float64
	spread       float64
	weight       float64
	seenBy       int // nodes
	figure       Figure
	sentFigure   Figure // as last recorded as changed
	figureSentAt time.Time
	// combinedAt is when log, spread and weight were last determined.
	combinedAt time.Time
	since      time.Time // since when the evidence says that a usual upstream differs; zero: it doesn't
}

// nodeSeen is what one node has seen of an upstream.
type nodeSeen struct {
	node   string
	ratios Histogram
	weight float64 // as of at
	at     time.Time
}

func (n *nodeSeen) weightAt(now time.Time) float64 { return n.weight * decay(now.Sub(n.at)) }

type receivedPart struct {
	Part
	source string
	at     time.Time
}

func (p receivedPart) weightAt(now time.Time) float64 { return p.Weight * decay(now.Sub(p.at)) }

// NewJoiner returns a joiner that knows nothing.
func NewJoiner() *Joiner {
	return &Joiner{
		upstreams: make(map[retry.Incarnation]*joined), dirty: make(map[retry.Incarnation]struct{}), centres: make(map[string]float64),
		parts: newOutbox(maxParts), figures: newOutbox(maxFigures), heardAt: make(map[string]time.Time), logs: make(map[string][]float64),
	}
}

func (j *Joiner) upstream(service string, id retry.Incarnation) *joined {
	v := j.upstreams[id]
	if v == nil && len(j.upstreams) < maxUpstreams {
		v = &joined{service: service, place: len(j.order), figure: Figure{Upstream: id, Speed: 1}, sentFigure: Figure{Speed: 1}}
		j.upstreams[id] = v
		j.order = append(j.order, v)
	}
	return v
}

// Heard records that a node reported. What it has seen counts only while it does: it may report to another joiner.
func (j *Joiner) Heard(now time.Time, node string) { j.heardAt[node] = now }

// ApplySeen applies what a node has seen of an upstream. It replaces what that node reported before.
func (j *Joiner) ApplySeen(now time.Time, node, service string, s Seen) {
	j.Heard(now, node)
	v := j.upstream(service, s.Upstream)
	if v == nil {
		return
	}
	i, known := slices.BinarySearchFunc(v.nodes, node, func(n *nodeSeen, name string) int { return cmp.Compare(n.node, name) })
	if !known {
		if j.histograms >= maxHistograms {
			return
		}
		v.nodes = slices.Insert(v.nodes, i, &nodeSeen{node: node})
		j.histograms++
	}
	n := v.nodes[i]
	n.ratios, n.weight, n.at = s.Ratios, s.Ratios.Weight(), now
	j.dirty[s.Upstream] = struct{}{}
}

// ApplyPart applies the part of another joiner. It replaces that joiner's former one; one without nodes drops it.
func (j *Joiner) ApplyPart(now time.Time, source, service string, p Part) {
	if !p.valid() && p.Nodes != 0 {
		return
	}
	v := j.upstreams[p.Upstream]
	if v == nil && p.Nodes > 0 {
		v = j.upstream(service, p.Upstream)
	}
	if v == nil {
		return
	}
	i, known := slices.BinarySearchFunc(v.parts, source, func(r receivedPart, name string) int { return cmp.Compare(r.source, name) })
	switch {
	case p.Nodes == 0 && known:
		v.parts = slices.Delete(v.parts, i, i+1)
	case p.Nodes == 0:
	case known:
		v.parts[i] = receivedPart{p, source, now}
	default:
		v.parts = slices.Insert(v.parts, i, receivedPart{p, source, now})
	}
	j.dirty[p.Upstream] = struct{}{}
}

// Forget drops an incarnation.
func (j *Joiner) Forget(id retry.Incarnation) {
	if v := j.upstreams[id]; v != nil {
		j.histograms -= len(v.nodes)
		delete(j.upstreams, id)
		last := j.order[len(j.order)-1]
		j.order[v.place], last.place = last, v.place
		j.order[len(j.order)-1] = nil
		j.order = j.order[:len(j.order)-1]
	}
	delete(j.dirty, id)
	j.parts.forget(id)
	j.figures.forget(id)
}

// ForgetReceiver records that a process knows nothing of what was sent to its name.
func (j *Joiner) ForgetReceiver(name string) {
	j.parts.forgetReceiver(name)
	j.figures.forgetReceiver(name)
}

// Update computes the figures anew of what has changed, and of a share of the others in turn. It returns those that
// changed enough to matter.
func (j *Joiner) Update(now time.Time) []Figure {
	j.walk(now)
	if now.Sub(j.centredAt) >= centreEvery {
		j.centredAt = now
		j.centre()
		j.dropSilent(now)
	}
	var changed []Figure
	for _, v := range j.due {
		if j.decide(now, v) {
			changed = append(changed, v.figure)
		}
	}
	j.ids = slices.AppendSeq(j.ids[:0], maps.Keys(j.dirty))
	slices.SortFunc(j.ids, compare) // a fixed order, so that simulations are reproducible
	for _, id := range j.ids {
		v := j.upstreams[id]
		if age := now.Sub(v.combinedAt); age > 0 && age < combineEvery {
			continue
		} else if age != 0 {
			j.combine(now, v)
		}
		delete(j.dirty, id)
		if j.decide(now, v) {
			changed = append(changed, v.figure)
		}
	}
	return changed
}

// walk estimates the ratios of the upstreams whose turn it is, all in centreEvery, and drops those of which nothing is
// known any more. The others are due for a decision.
func (j *Joiner) walk(now time.Time) {
	share := min(1, float64(now.Sub(j.walkedAt))/float64(centreEvery))
	j.walkedAt = now
	clear(j.due)
	j.due = j.due[:0]
	for range int(math.Ceil(share * float64(len(j.order)))) {
		if j.next >= len(j.order) {
			j.next = 0
		}
		if len(j.order) == 0 {
			return
		}
		v := j.order[j.next]
		j.combine(now, v)
		if v.weight < leastWeight && !v.isTold(now) {
			j.Forget(v.figure.Upstream)
			continue
		}
		j.due = append(j.due, v)
		j.next++
	}
}

// dropSilent drops what is known of nodes and receivers that weren't heard for long.
func (j *Joiner) dropSilent(now time.Time) {
	maps.DeleteFunc(j.heardAt, func(_ string, at time.Time) bool { return now.Sub(at) > silentTTL })
	j.parts.dropSilent(now)
	j.figures.dropSilent(now)
}

func compare(a, b retry.Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}

// combine estimates an upstream's ratio from its nodes and from the parts of other joiners.
func (j *Joiner) combine(now time.Time, v *joined) {
	v.combinedAt = now
	v.own = j.estimate(now, v)
	v.parts = slices.DeleteFunc(v.parts, func(p receivedPart) bool { return now.Sub(p.at) > partTTL })
	total, nodes := v.own.Weight, v.own.Nodes
	for _, p := range v.parts {
		total, nodes = total+min(p.weightAt(now), nodeWeight*float64(p.Nodes)), nodes+p.Nodes
	}
	v.weight, v.seenBy = 0, nodes
	if nodes == 0 {
		return
	}
	mean := total / float64(nodes)
	log, spread := 0.0, 0.0
	add := func(p Part, w float64) {
		w = min(w, nodeWeight*float64(p.Nodes))
		if p.Nodes < minNodes { // too few to bound each other
			w = min(w, nodeFactor*mean*float64(p.Nodes))
		}
		v.weight, log, spread = v.weight+w, log+w*p.Log, spread+w*p.Spread
	}
	add(v.own, v.own.Weight)
	for _, p := range v.parts {
		add(p.Part, p.weightAt(now))
	}
	if v.weight > 0 {
		v.log, v.spread = log/v.weight, spread/v.weight
	}
}

// estimate joins what this joiner's nodes have seen.
func (j *Joiner) estimate(now time.Time, v *joined) Part {
	before := len(v.nodes)
	v.nodes = slices.DeleteFunc(v.nodes, func(n *nodeSeen) bool { return n.weightAt(now) < leastWeight })
	j.histograms -= before - len(v.nodes)
	j.weights = j.weights[:0]
	for _, n := range v.nodes {
		if j.reports(now, n.node) {
			j.weights = append(j.weights, n.weightAt(now))
		}
	}
	nodes, most := len(j.weights), greatestWeight(j.weights)
	var sum Histogram
	for _, n := range v.nodes {
		if j.reports(now, n.node) {
			sum.addAll(&n.ratios, min(n.weightAt(now), most)/n.weight)
		}
	}
	p := Part{Upstream: v.figure.Upstream, Weight: sum.Weight(), Nodes: nodes}
	if p.Weight > 0 {
		p.Log, p.Spread = sum.quantile(quantile), sum.spread()
	}
	return p
}

// reports reports whether a node still reports to this joiner.
func (j *Joiner) reports(now time.Time, node string) bool { return now.Sub(j.heardAt[node]) <= nodeTTL }

// greatestWeight returns the greatest weight that one of several nodes may have: few times what the others have, so
// that one that states a large weight doesn't outweigh many that see an upstream seldom. It sorts the weights.
func greatestWeight(weights []float64) float64 {
	if len(weights) == 0 {
		return 0
	}
	slices.Sort(weights)
	return min(nodeWeight, nodeFactor*weights[(len(weights)-1)*3/4])
}

// centre determines the usual ratio of each service: the median over the upstreams with sufficient evidence.
func (j *Joiner) centre() {
	for name, l := range j.logs {
		j.logs[name] = l[:0]
	}
	for _, v := range j.order {
		if v.weight >= minWeight {
			j.logs[v.service] = append(j.logs[v.service], v.log)
		}
	}
	clear(j.centres)
	for name, l := range j.logs {
		if len(l) == 0 {
			delete(j.logs, name)
			continue
		}
		slices.Sort(l)
		j.centres[name] = (l[(len(l)-1)/2] + l[len(l)/2]) / 2
	}
}

// decide sets an upstream's figure, and reports whether it changed enough to matter.
func (j *Joiner) decide(now time.Time, v *joined) bool {
	j.recordPart(now, v)
	v.figure.Weight = v.weight
	v.figure.Speed = j.lasting(now, v)
	before, after := math.Log(v.sentFigure.Speed), math.Log(v.figure.Speed)
	changed := math.Abs(after-before) > changedBy || v.figure.Usual() != v.sentFigure.Usual()
	if changed {
		v.sentFigure, v.figureSentAt = v.figure, now
		j.figures.record(v.figure.Upstream)
	}
	j.figures.setRefreshed(v.figure.Upstream, v.isTold(now))
	return changed
}

// isTold reports whether the upstream's figure is sent again now and then: it differs from the usual, or receivers may
// still have one that does.
func (v *joined) isTold(now time.Time) bool {
	return !v.figure.Usual() || !v.figureSentAt.IsZero() && now.Sub(v.figureSentAt) <= FigureTTL
}

// lasting returns the speed that the evidence has given for some time.
func (j *Joiner) lasting(now time.Time, v *joined) float64 {
	x := j.speed(v)
	switch {
	case x == 1 || !v.figure.Usual():
		v.since = time.Time{}
	case v.since.IsZero():
		v.since = now
		return 1
	case now.Sub(v.since) < lastingAfter:
		return 1
	}
	return x
}

// speed returns the speed that the evidence gives.
func (j *Joiner) speed(v *joined) float64 {
	centre, known := j.centres[v.service]
	least, share := float64(minWeight), 1.0
	if !v.figure.Usual() {
		least, share = keptWeight, keptShare
	}
	if !known || v.weight < least || v.seenBy < minNodes {
		return 1
	}
	d := v.log - centre
	if math.Abs(d) < share*max(band, bandErrors*v.spread/math.Sqrt(v.weight)) {
		return 1
	}
	d *= v.weight / (v.weight + priorWeight)
	if v.weight < minWeight {
		d *= (v.weight - keptWeight) / (minWeight - keptWeight)
	}
	return math.Exp(-min(max(d, -maxLog), maxLog))
}

// recordPart notes a part for other joiners if it has changed for some time, and that there is none any more if its
// nodes have gone: what only ages does so at the receivers as well.
func (j *Joiner) recordPart(now time.Time, v *joined) {
	old, p, age := v.sentPart, v.own, now.Sub(v.partSentAt)
	j.parts.setRefreshed(p.Upstream, p.Weight >= 1)
	gone := p.Weight < 1 && old.Weight*decay(age) >= 2
	changed := p.Weight >= 1 && (math.Abs(p.Log-old.Log) > changedBy || p.Weight >= 1.5*old.Weight || p.Weight <= old.Weight/1.5)
	if !gone && !changed || age < partEvery {
		return
	}
	v.sentPart, v.partSentAt, v.withdrawn = p, now, gone
	j.parts.record(p.Upstream)
}

// Parts returns what a joiner is to be sent next of what this one's nodes have seen.
func (j *Joiner) Parts(now time.Time, receiver string) []Part {
	ids := j.parts.take(now, receiver)
	list := make([]Part, 0, len(ids))
	for _, id := range ids {
		v := j.upstreams[id]
		p := v.own
		p.Weight *= decay(now.Sub(v.combinedAt))
		if p.Weight >= 1 {
			list = append(list, p)
		} else if v.withdrawn {
			list = append(list, Part{Upstream: id})
		}
	}
	return list
}

// Figures returns the figures that a node is to be sent next.
func (j *Joiner) Figures(now time.Time, receiver string) []Figure {
	ids := j.figures.take(now, receiver)
	list := make([]Figure, 0, len(ids))
	for _, id := range ids {
		f := j.upstreams[id].sentFigure // it doesn't follow each small change
		f.Upstream, f.Weight = id, j.upstreams[id].weight
		list = append(list, f)
	}
	return list
}

// Figure returns what is known of an upstream.
func (j *Joiner) Figure(id retry.Incarnation) (Figure, bool) {
	if v := j.upstreams[id]; v != nil {
		return v.figure, true
	}
	return Figure{Upstream: id, Speed: 1}, false
}
