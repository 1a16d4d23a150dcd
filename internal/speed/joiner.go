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
	histograms int       // of nodes, at all upstreams
	weights    []float64 // scratch space
	dirty      map[retry.Incarnation]struct{}
	centres    map[string]float64
	centredAt  time.Time
	parts      journal           // of the parts of this joiner's own nodes
	figures    journal           // of the figures
	sentParts  map[string]uint64 // by receiver: version of the newest part that it was sent
	sent       map[string]uint64 // by receiver: version of the newest figure that it was sent
}

// joined is what is known of one upstream.
type joined struct {
	service string
	nodes   []*nodeSeen // sorted by name
	parts   map[string]receivedPart
	own     Part // of this joiner's nodes
	partAt  time.Time
	sent    Part // as last recorded in the journal
	log     float64
	spread  float64
	weight  float64
	figure  Figure
	sentFig Figure // as last recorded in the journal
	figAt   time.Time
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
	at time.Time
}

// NewJoiner returns a joiner that knows nothing.
func NewJoiner() *Joiner {
	return &Joiner{
		upstreams: make(map[retry.Incarnation]*joined), dirty: make(map[retry.Incarnation]struct{}), centres: make(map[string]float64),
		parts: newJournal(), figures: newJournal(), sentParts: make(map[string]uint64), sent: make(map[string]uint64),
	}
}

func (j *Joiner) upstream(service string, id retry.Incarnation) *joined {
	v := j.upstreams[id]
	if v == nil && len(j.upstreams) < maxUpstreams {
		v = &joined{service: service, parts: make(map[string]receivedPart), figure: Figure{Upstream: id, Speed: 1}, sentFig: Figure{Speed: 1}}
		j.upstreams[id] = v
	}
	return v
}

// ApplySeen applies what a node has seen of an upstream. It replaces what that node reported before.
func (j *Joiner) ApplySeen(now time.Time, node, service string, s Seen) {
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

// ApplyPart applies the part of another joiner. It replaces that joiner's former one.
func (j *Joiner) ApplyPart(now time.Time, source, service string, p Part) {
	if !p.valid() {
		return
	}
	if v := j.upstream(service, p.Upstream); v != nil {
		v.parts[source] = receivedPart{p, now}
		j.dirty[p.Upstream] = struct{}{}
	}
}

// Forget drops an incarnation.
func (j *Joiner) Forget(id retry.Incarnation) {
	if v := j.upstreams[id]; v != nil {
		j.histograms -= len(v.nodes)
		delete(j.upstreams, id)
	}
	delete(j.dirty, id)
	j.parts.forget(id)
	j.figures.forget(id)
}

// ForgetReceiver records that a process knows nothing of what was sent to its name.
func (j *Joiner) ForgetReceiver(name string) {
	delete(j.sent, name)
	delete(j.sentParts, name)
}

// Update computes the figures anew of what has changed, and returns those that changed enough to matter.
func (j *Joiner) Update(now time.Time) []Figure {
	if now.Sub(j.centredAt) >= centreEvery {
		j.centredAt = now
		j.combineAll(now)
		j.centre()
	}
	var changed []Figure
	for _, id := range slices.SortedFunc(maps.Keys(j.dirty), compare) { // a fixed order, so that simulations are reproducible
		v := j.upstreams[id]
		if age := now.Sub(v.combinedAt); age > 0 && age < combineEvery {
			continue
		} else if age != 0 {
			j.combine(now, v)
		}
		delete(j.dirty, id)
		if j.decide(now, id, v) {
			changed = append(changed, v.figure)
		}
	}
	return changed
}

// combineAll estimates all upstreams' ratios, and drops those of which nothing is known any more.
func (j *Joiner) combineAll(now time.Time) {
	for id, v := range j.upstreams {
		j.combine(now, v)
		if v.weight < leastWeight && v.figure.Usual() && now.Sub(v.figAt) > FigureTTL {
			j.Forget(id)
			continue
		}
		j.dirty[id] = struct{}{}
	}
}

func compare(a, b retry.Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
}

// combine estimates an upstream's ratio from its nodes and from the parts of other joiners.
func (j *Joiner) combine(now time.Time, v *joined) {
	v.combinedAt = now
	v.own = j.estimate(now, v)
	sum := v.own.Weight
	log, spread := sum*v.own.Log, sum*v.own.Spread
	for _, name := range slices.Sorted(maps.Keys(v.parts)) {
		p := v.parts[name]
		age := now.Sub(p.at)
		if age > partTTL {
			delete(v.parts, name)
			continue
		}
		w := p.Weight * decay(age)
		sum, log, spread = sum+w, log+w*p.Log, spread+w*p.Spread
	}
	v.weight = sum
	if sum > 0 {
		v.log, v.spread = log/sum, spread/sum
	}
}

// estimate joins what this joiner's nodes have seen.
func (j *Joiner) estimate(now time.Time, v *joined) Part {
	before := len(v.nodes)
	v.nodes = slices.DeleteFunc(v.nodes, func(n *nodeSeen) bool { return n.weightAt(now) < leastWeight })
	j.histograms -= before - len(v.nodes)
	j.weights = j.weights[:0]
	for _, n := range v.nodes {
		j.weights = append(j.weights, n.weightAt(now))
	}
	most := greatestWeight(j.weights)
	var sum Histogram
	for _, n := range v.nodes {
		w := n.weightAt(now)
		sum.addAll(&n.ratios, min(w, most)/n.weight)
	}
	p := Part{Upstream: v.figure.Upstream, Weight: sum.Weight()}
	if p.Weight > 0 {
		p.Log, p.Spread = sum.quantile(quantile), sum.spread()
	}
	return p
}

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
	logs := make(map[string][]float64)
	for _, v := range j.upstreams {
		if v.weight >= minWeight {
			logs[v.service] = append(logs[v.service], v.log)
		}
	}
	clear(j.centres)
	for name, l := range logs {
		slices.Sort(l)
		j.centres[name] = (l[(len(l)-1)/2] + l[len(l)/2]) / 2
	}
}

// decide sets an upstream's figure, and reports whether it changed enough to matter.
func (j *Joiner) decide(now time.Time, id retry.Incarnation, v *joined) bool {
	j.recordPart(now, id, v)
	v.figure.Weight = v.weight
	v.figure.Speed = j.lasting(now, v)
	before, after := math.Log(v.sentFig.Speed), math.Log(v.figure.Speed)
	changed := math.Abs(after-before) > changedBy || v.figure.Usual() != v.sentFig.Usual()
	if changed || !v.figure.Usual() && now.Sub(v.figAt) >= refreshEvery {
		v.sentFig, v.figAt = v.figure, now
		j.figures.record(id)
	}
	return changed
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
	if !known || v.weight < least {
		return 1
	}
	d := v.log - centre
	if math.Abs(d) < share*max(band, bandErrors*v.spread/math.Sqrt(v.weight)) {
		return 1
	}
	d *= v.weight / (v.weight + priorWeight)
	return math.Exp(-min(max(d, -maxLog), maxLog))
}

// recordPart notes a part for other joiners if it has changed for some time.
func (j *Joiner) recordPart(now time.Time, id retry.Incarnation, v *joined) {
	old, p := v.sent, v.own
	if p.Weight < 1 || now.Sub(v.partAt) < partEvery {
		return
	}
	if math.Abs(p.Log-old.Log) <= changedBy && p.Weight < 1.5*old.Weight && p.Weight > old.Weight/1.5 && now.Sub(v.partAt) < refreshEvery {
		return
	}
	v.sent, v.partAt = p, now
	j.parts.record(id)
}

// Parts returns what a joiner is to be sent next of what this one's nodes have seen.
func (j *Joiner) Parts(receiver string) []Part {
	ids, upTo := j.parts.after(j.sentParts[receiver], maxParts)
	j.sentParts[receiver] = upTo
	list := make([]Part, 0, len(ids))
	for _, id := range ids {
		list = append(list, j.upstreams[id].sent)
	}
	return list
}

// Figures returns the figures that a node is to be sent next.
func (j *Joiner) Figures(receiver string) []Figure {
	ids, upTo := j.figures.after(j.sent[receiver], maxFigures)
	j.sent[receiver] = upTo
	list := make([]Figure, 0, len(ids))
	for _, id := range ids {
		list = append(list, j.upstreams[id].sentFig)
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
