package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// This file draws silences of a second that leave nobody else who could serve: all upstreams of a service are silent, or the
// only engine of a version. The operators change the configuration beside each. They come once all other faults have passed,
// so that nothing else excuses an answer that is ended.

const (
	// stillFirst is from the change to tighter aims, which makes daemons impatient, to the first silence, and stillEach from
	// one silence to the next: longer than the longest, and than a configuration takes to be in force.
	stillFirst = 2500 * time.Millisecond
	stillEach  = 2500 * time.Millisecond
	stillDrift = 500 * time.Millisecond
	stillCount = 3
	stillLasts = stillFirst + stillCount*stillEach
	// How long sound upstreams are silent.
	leastSecond = 800 * time.Millisecond
	mostSecond  = 1400 * time.Millisecond
)

// drawStill draws such silences, from a sequence of their own. The day is as much longer.
func (d *Day) drawStill(r *rand.Rand) []Fault {
	if r.IntN(4) > 0 || d.Released || d.Outlived && d.Mixed {
		return nil
	}
	first := quietBefore
	for _, f := range d.Faults {
		first = max(first, f.passed()+lately)
	}
	d.Traffic = first + stillLasts + quietAfter
	list := []Fault{{Kind: FaultAims, At: first}}
	who := [][]int{d.servingAs(ServiceEngine), d.servingAs(ServicePlain), d.servingAs(ServiceEngine)}
	if last := d.ofVersion(newVersion); len(last) > 0 {
		who[2] = last[:1]
		if len(last) > 1 {
			list = append(list, Fault{Kind: FaultDrain, On: OnUpstreams, Who: last[1:], At: first, For: stillLasts})
		}
	}
	r.Shuffle(len(who), func(i, j int) { who[i], who[j] = who[j], who[i] })
	changes := []Kind{FaultConfig, FaultKeys, FaultQuota}
	r.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	for i := range stillCount {
		f := Fault{Kind: FaultSecond, On: OnUpstreams, Who: who[i]}
		f.At = first + stillFirst + time.Duration(i)*stillEach + time.Duration(r.Int64N(int64(stillDrift)))
		f.For = leastSecond + time.Duration(r.Int64N(int64(mostSecond-leastSecond)))
		list = append(list, f, Fault{Kind: changes[i], At: f.At + time.Duration(r.Int64N(int64(f.For)))})
	}
	return list
}

// servingAs returns the upstreams of a service.
func (d *Day) servingAs(service string) []int {
	return d.upstreamsThat(func(i int) bool { return d.serviceOf(i) == service })
}

// ofVersion returns the engines of a software version.
func (d *Day) ofVersion(version string) []int {
	return d.upstreamsThat(func(i int) bool { return i < d.Engines && d.Version(i) == version })
}

func (d *Day) upstreamsThat(fit func(i int) bool) []int {
	var list []int
	for i := range d.Upstreams() {
		if fit(i) {
			list = append(list, i)
		}
	}
	return list
}

// endsProcesses lists the kinds of faults after which processes start again.
var endsProcesses = []Kind{FaultTerm, FaultPress, FaultTakeover, FaultReclaim, FaultDrain, FaultRelease, FaultTry, FaultCrash, FaultPart, FaultKill, FaultKillAll}

// passed is when a fault is over and the processes that it ended have started again.
func (f Fault) passed() time.Duration {
	if slices.Contains(endsProcesses, f.Kind) {
		return f.End() + stopGrace + 2*time.Second
	}
	return f.End()
}
