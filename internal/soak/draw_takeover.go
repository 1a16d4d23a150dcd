package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// This file draws days on which daemons are of two sizes, and the large ones of a hall, which have duties towards its other
// daemons, are told to stop together. The small ones take over while the configuration changes and upstreams are released.

// Of the daemons of such a day, as the users' pages have their VMs.
const (
	takeoverSequence = 0x7a47
	takeoverShare    = 6 // one in so many days
	leastFleet       = 16
	mostFleet        = 24
	largeCores       = 0.8
	leastCores       = 0.144 // of small ones
	mostCores        = 0.192
	largeRate        = 25e6   // bytes a second, each way: 200 Mbit/s
	smallRate        = 1.25e6 // 10 Mbit/s
	takeoverPlain    = 4
	takeoverAsks     = 150.0 // requests a second, at least
	takeoverMore     = 150.0
	takeoverParts    = 4
	takeoverLonger   = 8 * time.Second
)

// Of the changes of the configuration beside a takeover.
const (
	stormFirst = 500 * time.Millisecond
	stormEach  = 400 * time.Millisecond
	leastStorm = 6
	mostStorm  = 12
)

// enlarge makes a day one with daemons of two sizes. One in four of these days has as few daemons as others have.
func (d *Day) enlarge(r *rand.Rand) {
	d.Large, d.Small = 2, leastCores+(mostCores-leastCores)*r.Float64()
	fleet, halls := leastFleet+r.IntN(mostFleet-leastFleet+1), 1+r.IntN(2)
	if r.IntN(4) == 0 {
		d.Large = 1
	} else {
		d.Daemons, d.Halls = fleet, halls
		d.Plain = takeoverPlain
		d.PerSecond = takeoverAsks + takeoverMore*r.Float64()
	}
	d.Traffic += takeoverLonger
}

// Cores is how many cores a daemon has; 0: the day doesn't say.
func (d *Day) Cores(i int) float64 {
	switch {
	case d.Large == 0:
		return 0
	case d.isLarge(i):
		return largeCores
	}
	return d.Small
}

// ownParts is how many parts the prompt of a stream has that no other one has: within some seconds daemons have as many of them to
// tell each other of as they keep.
func (d *Day) ownParts() int {
	if d.Large == 0 {
		return 0
	}
	return takeoverParts
}

// isLarge tells whether a daemon is one of the large ones of its hall.
func (d *Day) isLarge(i int) bool { return i/d.Halls < d.Large }

// rate is how many bytes a daemon's network connection carries in a second, each way; 0: any number.
func (d *Day) rate(i int) float64 {
	switch {
	case d.Large == 0:
		return d.Rate
	case d.isLarge(i):
		return largeRate
	}
	return smallRate
}

// drawTakeover draws the stop of a hall's large daemons, and what comes beside it.
func (d *Day) drawTakeover(r *rand.Rand) []Fault {
	// Daemons that aren't run for other reasons would be run by what gives them their shares of the processor.
	d.Faults = slices.DeleteFunc(d.Faults, func(f Fault) bool {
		return f.Kind == FaultPress || f.Kind == FaultStarve || f.Kind == FaultFreeze && f.On == OnDaemons
	})
	f := Fault{Kind: FaultTakeover, On: OnDaemons, Hall: r.IntN(d.Halls)}
	for i := range d.Daemons {
		if d.HallOf(i) == f.Hall && d.isLarge(i) {
			f.Who = append(f.Who, i)
		}
	}
	last := d.Traffic - quietAfter
	changes := leastStorm + r.IntN(mostStorm-leastStorm+1)
	storm := stormFirst + time.Duration(changes)*stormEach
	f.At = quietBefore + time.Second + time.Duration(r.Int64N(int64(last-quietBefore-time.Second-storm)))
	release := Fault{Kind: FaultRelease, On: OnUpstreams, At: f.At + time.Duration(r.Int64N(int64(time.Second)))}
	half := r.IntN(2)
	for i := range d.Upstreams() {
		if i%2 == half {
			release.Who = append(release.Who, i)
		}
	}
	list := []Fault{f, release}
	for i := range changes {
		list = append(list, Fault{Kind: FaultConfig, At: f.At + stormFirst + time.Duration(i)*stormEach})
	}
	return list
}

// bigFleet is how many daemons a day has at least that counts as two of those played at the same time.
const bigFleet = 12

// Weight is as how many days the day counts of those that are played at the same time.
func (d *Day) Weight() int {
	if d.Daemons >= bigFleet {
		return 2
	}
	return 1
}
