package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// This file draws a day's sizes and faults from its seed. Each group of kinds that was added has a sequence of random numbers
// of its own, so that the other faults of a seed stay as they were.

// Options bounds the days that are drawn.
type Options struct {
	Daemons int           // 0: drawn
	Traffic time.Duration // 0: the usual
	// OneVersion draws engines of one software version alone.
	OneVersion bool
	// Takeover draws days with a takeover alone.
	Takeover bool
	// Endless draws days with upstreams that send without end alone.
	Endless bool
	// Outlived draws days alone on which streams outlast what daemons know of their engines.
	Outlived bool
	// Row draws days alone on which daemons start while the store is away and a workspace asks for many times its quota.
	Row bool
	// Crowd draws days alone on which crowds of callers that don't behave come to daemons on small VMs.
	Crowd bool
}

const (
	usualTraffic = 16 * time.Second
	// quietBefore and quietAfter are the parts of a day without faults: what the checks compare with, and in
	// which everything has to have recovered.
	quietBefore = 2 * time.Second
	quietAfter  = 7 * time.Second
	mostFaults  = 7
)

// Draw returns the day of a seed. The same seed and options draw the same day.
func Draw(seed uint64, o Options) Day {
	r := rand.New(rand.NewPCG(seed, 0x50a4))
	d := Day{Seed: seed, Daemons: 3 + r.IntN(4), Halls: 2 + r.IntN(2), Engines: 4 + r.IntN(4), Plain: 3 + r.IntN(2), PerSecond: 40 + 60*r.Float64(), Traffic: usualTraffic}
	t := rand.New(rand.NewPCG(seed, takeoverSequence))
	if taken := t.IntN(takeoverShare) == 0; taken && !o.Endless || o.Takeover {
		d.enlarge(t)
	}
	e, alone := rand.New(rand.NewPCG(seed, endlessSequence)), false
	if drawn := e.IntN(endlessShare) == 0; d.Large == 0 && (drawn || o.Endless) {
		alone = d.lessen(e)
	}
	if o.Daemons > 0 {
		d.Daemons = o.Daemons
		d.Halls = min(d.Halls, o.Daemons)
	}
	if o.Traffic > 0 {
		d.Traffic = o.Traffic
	}
	lessened := d.Memory > 0
	if d.Large == 0 && !alone {
		alone = d.drawAlone(seed, o)
	}
	if d.Large == 0 && !alone || d.Large > 0 && t.IntN(2) == 0 && !o.Takeover {
		d.drawOthers(r, seed, o)
	}
	if lessened {
		d.Faults = append(d.Faults, d.drawEndless(e, d.Traffic-quietAfter)...)
	}
	if d.Large > 0 {
		d.Faults = append(d.Faults, d.drawTakeover(t)...)
	} else if !alone {
		d.Faults = append(d.Faults, d.drawStill(rand.New(rand.NewPCG(seed, 0x5717)))...)
	}
	slices.SortStableFunc(d.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return d
}

// drawAlone draws the faults that the options ask for alone, and tells whether there are any. Rows are drawn beside others, too.
func (d *Day) drawAlone(seed uint64, o Options) (alone bool) {
	if o.Outlived {
		v := rand.New(rand.NewPCG(seed, outlivedSequence))
		d.Mixed = v.IntN(2) == 0
		d.Faults = append(d.Faults, d.drawOutlived(v, d.Traffic-quietAfter)...)
		return true
	}
	if o.Crowd {
		d.Faults = append(d.Faults, d.drawCrowd(rand.New(rand.NewPCG(seed, crowdSequence)), d.Traffic-quietAfter)...)
		return true
	}
	v := rand.New(rand.NewPCG(seed, rowSequence))
	if drawn := v.IntN(rowShare) == 0; drawn || o.Row {
		d.Faults = append(d.Faults, d.drawRow(v)...)
	}
	return o.Row
}

// drawOthers draws the faults of days with and without a takeover.
func (d *Day) drawOthers(r *rand.Rand, seed uint64, o Options) {
	last := d.Traffic - quietAfter
	for range 2 + r.IntN(mostFaults-1) {
		d.Faults = append(d.Faults, d.draw(r, quietBefore, last))
	}
	d.Faults = append(d.Faults, d.drawLater(rand.New(rand.NewPCG(seed, 0xe9e5)), last)...)
	d.Faults = append(d.Faults, d.drawPress(rand.New(rand.NewPCG(seed, 0x57e5)), d.Traffic-quietAfter)...)
	d.Faults = append(d.Faults, d.drawStarve(rand.New(rand.NewPCG(seed, 0x51a4)), d.Traffic-quietAfter)...)
	d.Faults = append(d.Faults, d.drawPart(rand.New(rand.NewPCG(seed, 0xbad0)), d.Traffic-quietAfter)...)
	d.Mixed = rand.New(rand.NewPCG(seed, 0x3e75)).IntN(2) == 0 && !o.OneVersion
	d.Faults = append(d.Faults, d.drawReleased(rand.New(rand.NewPCG(seed, 0x7e1e)), d.Traffic-quietAfter)...)
	if v := rand.New(rand.NewPCG(seed, outlivedSequence)); v.IntN(4) == 0 && !d.Released && !o.OneVersion && d.Large == 0 {
		d.Faults = append(d.Faults, d.drawOutlived(v, d.Traffic-quietAfter)...)
	}
	d.Faults = append(d.Faults, d.drawMalformed(rand.New(rand.NewPCG(seed, 0x012d)), d.Traffic-quietAfter)...)
	d.Faults = append(d.Faults, d.drawBetween(rand.New(rand.NewPCG(seed, 0xba7e)), d.Traffic-quietAfter)...)
	d.Faults = append(d.Faults, d.drawOdd(rand.New(rand.NewPCG(seed, 0x0ded)), d.Traffic-quietAfter)...)
}

// kinds are drawn evenly.
var kinds = []Kind{
	FaultDelay, FaultReset, FaultSilent, FaultOldSilent, FaultOneWay, FaultHall, FaultTerm, FaultKill, FaultKillAll, FaultFreeze,
	FaultReclaim, FaultCrash, FaultDrain, FaultStore, FaultLapse, FaultForget, FaultCopy, FaultConfig, FaultKeys, FaultQuota, FaultLimit, FaultErrors, FaultLost, FaultSpoil,
}

// Of a stop under pressure: callers press from pressStart to pressEnd after the signal. The daemon closes connections
// without a request in between, and isn't scheduled around that moment, from pressFreeze on: before callers press, so
// that the connections which they have kept since the signal are still open.
const (
	pressFreeze = 2300 * time.Millisecond
	pressStart  = 2320 * time.Millisecond
	pressEnd    = 3200 * time.Millisecond
	pressRate   = 150.0 // calls a second at each daemon
)

// Of daemons without processor time: they run for a part of each starvePeriod.
const starvePeriod = 800 * time.Millisecond

const (
	// recoveryGap is the pause between the faults of draw and those of drawLater, where these come after them.
	recoveryGap = 3500 * time.Millisecond
	// secondPart is by how much such a day is longer.
	secondPart = recoveryGap + 7*time.Second
)

// drawLater draws the kinds of faults that were added later, from a sequence of random numbers of their own: the other
// faults of a seed stay as they were. They overlap with these in half of the days, and come after them in the others.
func (d *Day) drawLater(r *rand.Rand, last time.Duration) []Fault {
	var list []Fault
	first := quietBefore
	if r.IntN(2) == 0 {
		first, last = last+recoveryGap, last+secondPart
		d.Traffic += secondPart
	}
	span := func(least, most time.Duration) (at, lasts time.Duration) {
		lasts = least + time.Duration(r.Int64N(int64(most-least)))
		return first + time.Duration(r.Int64N(int64(last-first-lasts))), lasts
	}
	if r.IntN(2) == 0 {
		f := Fault{Kind: FaultEgress, On: OnDaemons, How: []string{EgressHangs, EgressResets, EgressRefuses, EgressLives}[r.IntN(4)]}
		f.At, f.For = span(4500*time.Millisecond, 6500*time.Millisecond)
		f.Who = r.Perm(d.Daemons)[:1+r.IntN(d.Daemons-1)]
		slices.Sort(f.Who)
		list = append(list, f)
	}
	if r.IntN(3) == 0 {
		f := Fault{Kind: FaultBrittle, On: OnUpstreams, X: float64(1 + r.IntN(4))}
		f.At, f.For = span(3*time.Second, 6*time.Second)
		for i := range d.Plain {
			f.Who = append(f.Who, d.Engines+i)
		}
		list = append(list, f)
	}
	if r.IntN(2) == 0 {
		f := Fault{Kind: FaultSecond, On: OnUpstreams, Who: d.some(r, OnUpstreams)}
		f.At, f.For = span(leastSecond, mostSecond)
		list = append(list, f)
	}
	return list
}

// drawPress draws planned stops under pressure, from a sequence of their own as well.
func (d *Day) drawPress(r *rand.Rand, last time.Duration) []Fault {
	if r.IntN(3) > 0 {
		return nil
	}
	f := Fault{Kind: FaultPress, On: OnDaemons, Who: d.some(r, OnDaemons), X: 0.25 + 0.6*r.Float64()}
	f.At = quietBefore + time.Duration(r.Int64N(int64(last-quietBefore-pressEnd)))
	f.For = pressEnd
	return []Fault{f}
}

// drawStarve draws daemons that get hardly any processor time, and upstreams that leave meanwhile, from a sequence of
// their own as well.
func (d *Day) drawStarve(r *rand.Rand, last time.Duration) []Fault {
	if r.IntN(3) > 0 {
		return nil
	}
	f := Fault{Kind: FaultStarve, On: OnDaemons, Who: d.some(r, OnDaemons), X: 0.03 + 0.15*r.Float64()}
	f.For = 3*time.Second + time.Duration(r.Int64N(int64(2*time.Second)))
	f.At = quietBefore + time.Duration(r.Int64N(int64(max(1, last-quietBefore-f.For))))
	left := Fault{Kind: FaultDrain, On: OnUpstreams, Who: d.some(r, OnUpstreams), At: f.At + time.Duration(r.Int64N(int64(time.Second)))}
	return []Fault{f, left}
}

// Of daemons that reach upstreams through others: how long they are cut off, and when others are stopped meanwhile.
const (
	betweenLasts = 6 * time.Second
	betweenFirst = 2500 * time.Millisecond
	betweenEach  = 1200 * time.Millisecond
	betweenStops = 3
)

// drawBetween draws daemons that are cut off from upstreams, and kills and stops of those through which they reach them,
// from a sequence of their own as well. Answers end with their connections then.
func (d *Day) drawBetween(r *rand.Rand, last time.Duration) []Fault {
	if r.IntN(4) > 0 {
		return nil
	}
	d.Bare = true
	order := r.Perm(d.Daemons)
	f := Fault{Kind: FaultEgress, On: OnDaemons, How: []string{EgressHangs, EgressResets, EgressRefuses}[r.IntN(3)], Who: order[:1], For: betweenLasts}
	f.At = quietBefore + time.Duration(r.Int64N(int64(max(1, last-quietBefore-f.For))))
	list := []Fault{f}
	for i := range betweenStops {
		k := Fault{Kind: []Kind{FaultKill, FaultKill, FaultTerm}[r.IntN(3)], On: OnDaemons, Who: []int{order[1+i%(d.Daemons-1)]}}
		k.At = f.At + betweenFirst + time.Duration(i)*betweenEach
		list = append(list, k)
	}
	return list
}

// releasedFor is how long after its beginning a release has replaced the entries of the old version, a part of a stream's time.
const releasedFor = 700 * time.Millisecond

// drawReleased draws a release that replaces all engines of one of two versions, and a kill of all daemons while streams of
// the old version are in progress, from a sequence of their own as well.
func (d *Day) drawReleased(r *rand.Rand, last time.Duration) []Fault {
	if !d.Mixed || r.IntN(3) > 0 {
		return nil
	}
	d.Released = true
	f := Fault{Kind: FaultRelease, On: OnUpstreams}
	for i := range d.Engines {
		if d.Version(i) == oldVersion {
			f.Who = append(f.Who, i)
		}
	}
	f.At = quietBefore + time.Second + time.Duration(r.Int64N(int64(max(1, last-quietBefore-2*time.Second))))
	return []Fault{f, {Kind: FaultKillAll, At: f.At + releasedFor}}
}

// drawPart draws streams with a part that crashes engines, from a sequence of their own as well.
func (d *Day) drawPart(r *rand.Rand, last time.Duration) []Fault {
	if r.IntN(3) > 0 {
		return nil
	}
	f := Fault{Kind: FaultPart, On: OnUpstreams, X: 3 + 3*r.Float64(), For: partLasts}
	f.At = quietBefore + time.Duration(r.Int64N(int64(max(1, last-quietBefore-f.For))))
	return []Fault{f}
}

// drawOdd draws odd entries of another writer, from a sequence of their own as well.
func (d *Day) drawOdd(r *rand.Rand, last time.Duration) []Fault {
	if r.IntN(3) > 0 {
		return nil
	}
	var list []Fault
	for range 1 + r.IntN(3) {
		f := Fault{Kind: FaultOdd, On: OnUpstreams, Who: d.some(r, OnUpstreams)[:1]}
		f.How = []string{OddDeep, OddNumber, OddPort, OddLong, OddID, OddSame, OddElsewhere, OddOrder}[r.IntN(8)]
		f.At = quietBefore + time.Duration(r.Int64N(int64(last-quietBefore)))
		f.For = time.Duration(r.Int64N(int64(last - f.At)))
		list = append(list, f)
	}
	return list
}

// partLasts is long enough for five crashes, the time in which daemons hear of each other, and more streams after it.
const partLasts = 6500 * time.Millisecond

func (d *Day) draw(r *rand.Rand, first, last time.Duration) Fault {
	f := Fault{Kind: kinds[r.IntN(len(kinds))]}
	f.At = first + time.Duration(r.Int64N(int64(last-first)))
	f.For = time.Duration(float64(last-f.At) * (0.2 + 0.8*r.Float64()))
	f.Hall = r.IntN(d.Halls)
	switch f.Kind {
	case FaultDelay, FaultReset, FaultSilent, FaultOldSilent, FaultOneWay:
		f.On = []Target{OnStore, OnPeers, OnUpstreams, OnCallers}[r.IntN(4)]
		f.Who, f.X = d.some(r, f.On), 0.02+0.5*r.Float64()
	case FaultTerm, FaultKill, FaultFreeze:
		f.On = OnDaemons
		f.Who = d.some(r, f.On)
		if f.Kind == FaultFreeze && r.IntN(2) == 0 {
			f.On = []Target{OnUpstreams, OnStore}[r.IntN(2)]
			f.Who = d.some(r, f.On)
		}
		if f.Kind != FaultFreeze {
			f.For = 0
		}
	case FaultCrash, FaultDrain, FaultErrors, FaultLost, FaultSpoil:
		f.On = OnUpstreams
		f.Who, f.X = d.some(r, f.On), 0.1+0.5*r.Float64()
	case FaultLimit:
		f.On = OnUpstreams
		f.Who, f.X = d.some(r, f.On)[:1], 0.5+6*r.Float64()
	case FaultStore:
		f.How, f.X = []string{StoreSlow, StoreDown, StoreLoses, StoreFrozen, StoreBusy}[r.IntN(5)], 0.05+0.6*r.Float64()
		f.Who = d.some(r, OnStore)
	default:
	}
	return f
}

// some returns up to half of what a target has, at least one.
func (d *Day) some(r *rand.Rand, on Target) []int {
	n := d.Daemons
	if on == OnUpstreams {
		n = d.Upstreams()
	}
	list := r.Perm(n)[:1+r.IntN(max(1, n/2))]
	slices.Sort(list)
	return list
}
