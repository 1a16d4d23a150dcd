// Package soak plays days of faults against the real programs, as separate processes on loopback, and checks
// what callers and upstreams see.
//
//	day.go      draws a day from a seed: sizes, traffic, faults and their overlap
//	proxy.go    stands on every connection: delays, resets, silences
//	process.go  starts, signals and ends processes, by their ids
//	caller.go   sends requests at the drawn times over connections that are kept
//	event.go    what callers and upstreams saw
//	check.go    the promises, from these events alone
//	play.go     plays a day
//	shrink.go   leaves faults out while the day still fails
//
// The names of the platform's wire come in by World, since only package platform knows them.
//
// Weighed: faults inside the programs, by build tags. They miss what the programs don't know of themselves: signals,
// sockets, the order in which a kernel delivers. Weighed, too: a virtual clock. Nothing real would run on it; so a
// seed repeats the day and its faults, and not the interleaving.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The faults. Those of links hold for a time; signals and changes come at a moment.
const (
	FaultDelay     Kind = "delay"      // what passes the links of some processes is late
	FaultReset     Kind = "reset"      // the open connections of some links are reset
	FaultSilent    Kind = "silent"     // nothing passes, either way
	FaultOldSilent Kind = "old-silent" // nothing passes on the connections that are open
	FaultOneWay    Kind = "one-way"    // answers don't pass
	FaultHall      Kind = "hall-cut"   // nothing passes between one hall and the others
	FaultTerm      Kind = "term"       // SIGTERM, and a start once it has ended
	FaultKill      Kind = "kill"       // SIGKILL, and a start
	FaultKillAll   Kind = "kill-all"   // all daemons at once
	FaultFreeze    Kind = "freeze"     // SIGSTOP, and SIGCONT
	FaultReclaim   Kind = "reclaim"    // a hall's engines leave with short notice, and others come
	FaultCrash     Kind = "crash"      // SIGKILL of upstreams, which start again under their ids
	FaultDrain     Kind = "drain"      // SIGTERM of upstreams: they say that they leave, serve on for a while and end
	FaultStore     Kind = "store"      // the store misbehaves, as How says
	FaultLapse     Kind = "lapse"      // the store is away, and the upstreams' entries lapse
	FaultForget    Kind = "forget"     // the store forgets its history
	FaultCopy      Kind = "copy"       // the store comes back from an older copy
	FaultConfig    Kind = "config"     // the operators move a route
	FaultKeys      Kind = "keys"       // the operators withdraw a key
	FaultQuota     Kind = "quota"      // the operators lower a quota
	FaultLimit     Kind = "limit"      // an upstream names a rate for all daemons
	FaultErrors    Kind = "errors"     // an upstream fails a part of its requests
	FaultLost      Kind = "lost"       // an upstream runs requests and loses their answers
	FaultSpoil     Kind = "spoil"      // an upstream's answers lack its signature, or name another request
	FaultEgress    Kind = "egress-cut" // some daemons reach no upstream; How says what becomes of open connections
	FaultBrittle   Kind = "brittle"    // the upstreams of a service are slow and fall over when they reject too much
	FaultSecond    Kind = "second"     // upstreams are silent for a second or so, which is no disturbance
	FaultStarve    Kind = "starve"     // daemons run for a small part of the time, X; upstreams leave meanwhile
	FaultPart      Kind = "part"       // streams come with a part that crashes each engine which begins to answer, X a second
	FaultRelease   Kind = "release"    // engines are replaced by ones of another version: their entries go, and they serve on for a while
	FaultPress     Kind = "press"      // SIGTERM of daemons that more callers use; they aren't scheduled when they close connections
)

// What becomes of connections while daemons are cut off from upstreams.
const (
	EgressHangs   = "hang"   // open and new ones hang
	EgressResets  = "reset"  // open ones are reset, new ones hang
	EgressRefuses = "refuse" // open ones are reset, new ones refused
	EgressLives   = "live"   // open ones live on, new ones hang
)

// How the store misbehaves.
const (
	StoreSlow   = "slow"
	StoreDown   = "refuse"
	StoreLoses  = "lose"
	StoreFrozen = "freeze"
	StoreBusy   = "busy"
)

// Target is what a fault strikes.
type Target string

// The targets.
const (
	OnDaemons   Target = "daemons"
	OnUpstreams Target = "upstreams"
	OnStore     Target = "store" // the daemons' ways to it
	OnPeers     Target = "peers"
	OnCallers   Target = "callers"
)

// Fault is one fault of a day.
type Fault struct {
	Kind Kind          `json:"kind"`
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for,omitempty"`
	On   Target        `json:"on,omitempty"`
	Who  []int         `json:"who,omitempty"` // indexes of daemons or upstreams
	Hall int           `json:"hall,omitempty"`
	How  string        `json:"how,omitempty"`
	X    float64       `json:"x,omitempty"` // strength, as the kind has it
}

// End is when a fault is over.
func (f Fault) End() time.Duration { return f.At + f.For }

// plannedStop tells whether daemons are told to stop.
func (f Fault) plannedStop() bool { return f.Kind == FaultTerm || f.Kind == FaultPress }

// Call is one request of a day.
type Call struct {
	At     time.Duration
	Daemon int
	Route  Route
	Key    KeyName
	Size   int // tokens
	// Of a stream that its caller takes up: the id of the attempt that brought its first event, and the last event.
	Resumes string `json:"resumes,omitempty"`
	After   int    `json:"after,omitempty"`
	// Parts are those of its prompt that others share.
	Parts []string `json:"parts,omitempty"`
}

// Parts of prompts: one that all streams share, and one that crashes engines.
const (
	CommonPart = "a1"
	BadPart    = "bad0"
)

// bad tells whether a call crashes the engine that begins to answer it.
func (c Call) bad() bool { return slices.Contains(c.Parts, BadPart) }

// Route is which route a call takes.
type Route string

// The routes.
const (
	RoutePlain  Route = "plain"  // at most once
	RouteAgain  Route = "again"  // may be repeated
	RouteStream Route = "stream" // a stream that ends with its upstream
	RouteResume Route = "resume" // a stream that goes on elsewhere
	RouteMoving Route = "moving" // may be repeated; the operators move it
)

// KeyName is whose key a call bears.
type KeyName string

// The keys.
const (
	KeyWide      KeyName = "wide"      // of a workspace with room
	KeyNarrow    KeyName = "narrow"    // of one that asks for more than its quota
	KeyWithdrawn KeyName = "withdrawn" // which the operators may take away
)

// Day is what is played.
type Day struct {
	Seed      uint64        `json:"seed"`
	Daemons   int           `json:"daemons"`
	Halls     int           `json:"halls"`
	Engines   int           `json:"engines"`
	Plain     int           `json:"plain"` // upstreams of each of the two plain services
	PerSecond float64       `json:"per_second"`
	Traffic   time.Duration `json:"traffic"`
	Faults    []Fault       `json:"faults"`
	Mixed     bool          `json:"mixed,omitempty"`    // engines are of two software versions, and slower
	Released  bool          `json:"released,omitempty"` // the engines of the old version are replaced, and all daemons are killed; engines are slower still
	Bare      bool          `json:"bare,omitempty"`     // answers have neither a length nor chunks and end with their connections; engines are slower
}

// Options bounds the days that are drawn.
type Options struct {
	Daemons int           // 0: drawn
	Traffic time.Duration // 0: the usual
	// OneVersion draws engines of one software version alone.
	OneVersion bool
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
	if o.Daemons > 0 {
		d.Daemons = o.Daemons
		d.Halls = min(d.Halls, o.Daemons)
	}
	if o.Traffic > 0 {
		d.Traffic = o.Traffic
	}
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
	d.Faults = append(d.Faults, d.drawBetween(rand.New(rand.NewPCG(seed, 0xba7e)), d.Traffic-quietAfter)...)
	slices.SortStableFunc(d.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return d
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
		f.At, f.For = span(800*time.Millisecond, 1400*time.Millisecond)
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

// partLasts is long enough for five crashes, the time in which daemons hear of each other, and more streams after it.
const partLasts = 6500 * time.Millisecond

// partCalls draws the streams with a part that crashes engines.
func (d *Day) partCalls(r *rand.Rand) []Call {
	var list []Call
	for _, f := range d.Faults {
		if f.Kind != FaultPart {
			continue
		}
		for at := f.At; at < f.End(); at += time.Duration(r.ExpFloat64() / f.X * float64(time.Second)) {
			parts := [][]string{{CommonPart, BadPart}, {BadPart, CommonPart}, {CommonPart, neighbourPart(len(list)), BadPart}}[r.IntN(3)]
			list = append(list, Call{At: at, Daemon: r.IntN(d.Daemons), Route: []Route{RouteStream, RouteResume}[r.IntN(2)], Key: KeyWide, Size: 10, Parts: parts})
		}
	}
	return list
}

// neighbourPart is one of some parts that a share of the streams have.
func neighbourPart(i int) string { return fmt.Sprintf("e%d", i%5) }

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

// pressingCalls draws the calls to daemons that are stopped under pressure.
func (d *Day) pressingCalls(r *rand.Rand) []Call {
	var list []Call
	for _, f := range d.Faults {
		if f.Kind != FaultPress {
			continue
		}
		for _, i := range f.Who {
			for at := f.At + pressStart; at < f.At+pressEnd; at += time.Duration(r.ExpFloat64() / pressRate * float64(time.Second)) {
				list = append(list, Call{At: at, Daemon: i, Route: []Route{RoutePlain, RouteAgain}[r.IntN(2)], Key: KeyWide, Size: 10})
			}
		}
	}
	return list
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

// Upstreams is how many there are of all services.
func (d *Day) Upstreams() int { return d.Engines + 2*d.Plain }

// HallOf is the hall of a daemon or an upstream.
func (d *Day) HallOf(i int) int { return i % d.Halls }

const (
	usualPace = 25 * time.Millisecond  // between two events of a stream
	mixedPace = 100 * time.Millisecond // where callers are to take streams up
	slowPace  = 250 * time.Millisecond // where these are to outlast the entries of their engines
)

func (d *Day) pace() time.Duration {
	switch {
	case d.Released:
		return slowPace
	case d.Mixed || d.Bare:
		return mixedPace
	}
	return usualPace
}

// Version is the software version of an upstream. Each hall has engines of both.
func (d *Day) Version(i int) string {
	if d.Mixed && i < d.Engines && i/d.Halls%2 == 1 {
		return newVersion
	}
	return oldVersion
}

// The software versions of engines.
const (
	oldVersion = "v1"
	newVersion = "v1.1"
)

// Disturbed tells whether any fault is in force or was so lately.
func (d *Day) Disturbed(from, to, lately time.Duration) bool {
	return slices.ContainsFunc(d.Faults, func(f Fault) bool { return f.At <= to && f.End()+lately >= from })
}

// Calls draws the day's requests: at any time, whatever became of those before.
func (d *Day) Calls() []Call {
	r := rand.New(rand.NewPCG(d.Seed, 0xca11))
	list := d.pressingCalls(rand.New(rand.NewPCG(d.Seed, 0x9e55)))
	list = append(list, d.partCalls(rand.New(rand.NewPCG(d.Seed, 0xbad1)))...)
	sharesParts := slices.ContainsFunc(d.Faults, func(f Fault) bool { return f.Kind == FaultPart })
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / d.PerSecond * float64(time.Second))
		if at >= d.Traffic {
			slices.SortStableFunc(list, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
			return list
		}
		c := Call{At: at, Daemon: r.IntN(d.Daemons), Key: KeyWide, Size: 10 + r.IntN(40)}
		c.Route = []Route{RoutePlain, RoutePlain, RouteAgain, RouteAgain, RouteStream, RouteResume, RouteResume, RouteMoving}[r.IntN(8)]
		switch x := r.IntN(20); {
		case x < 6:
			c.Key = KeyNarrow
		case x < 8:
			c.Key = KeyWithdrawn
		}
		if sharesParts && (c.Route == RouteStream || c.Route == RouteResume) {
			c.Parts = []string{CommonPart, neighbourPart(len(list))}
		}
		list = append(list, c)
	}
}
