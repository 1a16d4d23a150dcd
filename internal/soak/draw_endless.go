package soak

import (
	"math/rand/v2"
	"time"
)

// This file draws days on which upstreams send without end in place of responses, while many callers ask for these at once. The
// daemons' VMs are small then, and so are the links of some. Each link has a bound: what an upstream sends without one would take the
// processor from all others.

// Of such a day.
const (
	endlessSequence = 0xe4d7
	endlessShare    = 6     // one in so many
	smallMemory     = 184   // MB of a small VM, as the users' pages have it
	usualMemory     = 512   // MB
	fastRate        = 125e6 // bytes a second: 1 Gbit/s
	leastEndless    = 3 * time.Second
	mostEndless     = 6 * time.Second
	leastBurst      = 12 // callers at once
	mostBurst       = 48
	burstFirst      = 300 * time.Millisecond // until the upstream has been told
	burstEach       = 800 * time.Millisecond
)

// What an upstream sends without end.
const (
	EndlessNoHead     = "no-head"     // bytes in place of a head
	EndlessHead       = "head"        // lines of a head
	EndlessInterim    = "interim"     // interim responses
	EndlessBody       = "body"        // a body with neither a length nor chunks
	EndlessChunks     = "chunks"      // a body in chunks
	EndlessError      = "error"       // a body after a 500
	EndlessByte       = "byte"        // a body, one byte a millisecond
	EndlessTrailer    = "trailer"     // lines of a trailer, after all of a response
	EndlessFirstEvent = "first-event" // an event, the first of its stream
	EndlessLaterEvent = "later-event" // an event after one that ends
)

// EndlessPiece is what the bodies and events that don't end consist of.
const EndlessPiece = "garbage "

// endlessHows is what upstreams send without end; the last ones are of engines alone.
var endlessHows = []string{
	EndlessNoHead, EndlessHead, EndlessInterim, EndlessBody, EndlessChunks, EndlessError, EndlessByte, EndlessTrailer, EndlessFirstEvent, EndlessLaterEvent,
}

const endlessOfEngines = 2

// lessen makes the VMs of a day small. It tells whether the day has no other faults.
func (d *Day) lessen(r *rand.Rand) (alone bool) {
	d.Memory = smallMemory
	d.Rate = []float64{smallRate, largeRate, fastRate}[r.IntN(3)]
	return r.IntN(2) == 0
}

// memory is how many MB the VM of a daemon has.
func (d *Day) memory() int {
	if d.Memory > 0 {
		return d.Memory
	}
	return usualMemory
}

// drawEndless draws one or two upstreams, of one or two services, that send without end.
func (d *Day) drawEndless(r *rand.Rand, last time.Duration) []Fault {
	var list []Fault
	for _, i := range r.Perm(d.Engines + d.Plain)[:1+r.IntN(2)] {
		hows := endlessHows
		if d.serviceOf(i) != ServiceEngine {
			hows = hows[:len(hows)-endlessOfEngines]
		}
		f := Fault{Kind: FaultEndless, On: OnUpstreams, Who: []int{i}, How: hows[r.IntN(len(hows))], X: float64(leastBurst + r.IntN(mostBurst-leastBurst+1))}
		if f.How == EndlessByte {
			f.X = leastBurst // each byte is a packet of its own
		}
		f.For = leastEndless + time.Duration(r.Int64N(int64(mostEndless-leastEndless)))
		f.At = quietBefore + time.Duration(r.Int64N(int64(max(1, last-quietBefore-f.For))))
		list = append(list, f)
	}
	return list
}

// endlessCalls draws the callers that come at once to the service of an upstream that sends without end.
func (d *Day) endlessCalls(r *rand.Rand) []Call {
	var list []Call
	for _, f := range d.Faults {
		if f.Kind != FaultEndless {
			continue
		}
		routes := []Route{RoutePlain, RouteAgain}
		if d.serviceOf(f.Who[0]) == ServiceEngine {
			routes = []Route{RouteStream, RouteResume}
		}
		for at := f.At + burstFirst; at < f.End(); at += burstEach {
			daemon := r.IntN(d.Daemons)
			for range int(f.X) {
				list = append(list, Call{At: at, Daemon: daemon, Route: routes[r.IntN(len(routes))], Key: KeyWide, Size: 10})
			}
		}
	}
	return list
}
