package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// This file draws days on which streams outlast what daemons may know of the engines that began them: all engines of one of two
// versions are replaced while the operators lower the time-outs of routes, or another version is tried and withdrawn while a
// daemon stands still. Callers' connections are reset then, so that they take their streams up at the next daemon.

const outlivedSequence = 0x0126

// Of a release and lowered time-outs: when these are lowered, and when connections are reset, more than a second after the
// lowered time-out would be over.
const (
	loweredAfter = 100 * time.Millisecond
	loweredLasts = 3 * time.Second
	loweredReset = 1700 * time.Millisecond
)

// Of a version that is tried: when a daemon stands still before it, for how long the version is listed, when callers come who may
// get it, and when their connections are reset: a moment after the daemon goes on, and before their streams end.
const (
	triedAfter  = 100 * time.Millisecond
	triedLasts  = 4100 * time.Millisecond
	triedFreeze = 5*time.Second + goneWait
	triedBurst  = 3500*time.Millisecond + goneWait
	triedReset  = 6100*time.Millisecond + goneWait
	triedCalls  = 48
	goneWait    = time.Second // until daemons know that an upstream has gone which starts again with another version
)

// hidesEnds lists the kinds of faults beside which daemons may not learn that an upstream has ended, or which end one by itself.
var hidesEnds = []Kind{FaultPart, FaultCrash, FaultReclaim, FaultDrain, FaultStore, FaultLapse, FaultCopy, FaultHall}

// drawOutlived draws such a change. The day is longer, so that its engines are back before it ends.
func (d *Day) drawOutlived(r *rand.Rand, last time.Duration) []Fault {
	if !d.Mixed && slices.ContainsFunc(d.Faults, func(f Fault) bool { return slices.Contains(hidesEnds, f.Kind) }) {
		return nil
	}
	d.Outlived = true
	at := quietBefore + time.Duration(r.Int64N(int64(max(1, last-quietBefore-triedReset))))
	d.Traffic = max(d.Traffic, at+triedLasts+drainServes+2*goneWait+quietAfter)
	var all []int
	for i := range d.Daemons {
		all = append(all, i)
	}
	if d.Mixed {
		return []Fault{
			{Kind: FaultRelease, On: OnUpstreams, Who: d.ofVersion(oldVersion), At: at},
			{Kind: FaultTimeout, At: at + loweredAfter, For: loweredLasts},
			{Kind: FaultReset, On: OnCallers, Who: all, At: at + loweredReset},
		}
	}
	engines := r.Perm(d.Engines)[:(d.Engines+1)/2]
	slices.Sort(engines)
	still := r.IntN(d.Daemons)
	return []Fault{
		{Kind: FaultFreeze, On: OnDaemons, Who: []int{still}, At: at, For: triedFreeze},
		{Kind: FaultTry, On: OnUpstreams, Who: engines, At: at + triedAfter, For: triedLasts},
		{Kind: FaultReset, On: OnCallers, Who: slices.DeleteFunc(all, func(i int) bool { return i == still }), At: at + triedReset},
	}
}

// triedCallsOf draws the callers of streams that come at once to the daemon before one that stands still, at which they take their
// streams up.
func (d *Day) triedCallsOf() []Call {
	var list []Call
	for _, f := range d.Faults {
		if f.Kind != FaultTry {
			continue
		}
		from := f.At - triedAfter
		i := slices.IndexFunc(d.Faults, func(o Fault) bool { return o.Kind == FaultFreeze && o.On == OnDaemons && o.At == from })
		for range triedCalls {
			list = append(list, Call{At: from + triedBurst, Daemon: (d.Faults[i].Who[0] + d.Daemons - 1) % d.Daemons, Route: RouteResume, Key: KeyWide, Size: 10})
		}
	}
	return list
}

// What an upstream sends in place of a response.
const (
	MalformedStatus  = "status"  // a status that is none
	MalformedName    = "name"    // the name of a field has a blank
	MalformedLength  = "length"  // that of the length
	MalformedTrailer = "trailer" // that of a field in the trailer
	MalformedEarly   = "early"   // a part of a body without a length, while the request is being written, and a reset
)

const (
	malformedLasts = 3 * time.Second
	malformedEach  = 250 * time.Millisecond // between two uploads
	uploadSize     = 1 << 20                // bytes
)

// drawMalformed draws an upstream a part of whose responses are none.
func (d *Day) drawMalformed(r *rand.Rand, last time.Duration) []Fault {
	if r.IntN(4) > 0 {
		return nil
	}
	f := Fault{Kind: FaultMalformed, On: OnUpstreams, Who: []int{r.IntN(d.Engines + d.Plain)}, X: 0.2 + 0.6*r.Float64(), For: malformedLasts}
	f.How = []string{MalformedStatus, MalformedName, MalformedLength, MalformedTrailer, MalformedEarly}[r.IntN(5)]
	f.At = quietBefore + time.Duration(r.Int64N(int64(max(1, last-quietBefore-f.For))))
	return []Fault{f}
}

// uploadCalls draws long requests to the service of an upstream that answers early.
func (d *Day) uploadCalls(r *rand.Rand) []Call {
	var list []Call
	for _, f := range d.Faults {
		if f.Kind != FaultMalformed || f.How != MalformedEarly {
			continue
		}
		routes := []Route{RoutePlain, RouteAgain}
		if d.serviceOf(f.Who[0]) == ServiceEngine {
			routes = []Route{RouteStream, RouteResume}
		}
		for at := f.At + burstFirst; at < f.End(); at += malformedEach {
			list = append(list, Call{At: at, Daemon: r.IntN(d.Daemons), Route: routes[r.IntN(len(routes))], Key: KeyWide, Size: 10, Upload: uploadSize})
		}
	}
	return list
}
