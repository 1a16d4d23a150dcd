// Package soak plays days of faults against the real programs, as separate processes on loopback, and checks
// what callers and upstreams see.
//
//	day.go      what a day consists of
//	draw.go     draws a day from a seed: sizes, faults and their overlap
//	calls.go    draws its requests
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
	FaultAims      Kind = "aims"       // the operators aim at shorter times, in answers and between a stream's events
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
	FaultOdd       Kind = "odd"        // another writer leaves an odd entry among those of the upstreams, as How says, which is no disturbance
	FaultEndless   Kind = "endless"    // an upstream sends without end, as How says, to bursts of X callers
	FaultTimeout   Kind = "timeout"    // the operators lower the time-outs of routes, and raise them again
	FaultTry       Kind = "try"        // engines are replaced by ones of another version, which are withdrawn again
	FaultMalformed Kind = "malformed"  // a part of what an upstream sends, X, isn't a response, as How says
	FaultTakeover  Kind = "takeover"   // SIGTERM of all large daemons of a hall, which has small ones besides
	FaultCrowd     Kind = "crowd"      // X callers that don't behave come to each of some daemons and stay, as How says
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

// What is odd about an entry of another writer.
const (
	OddDeep      = "deep"      // nested very deeply
	OddNumber    = "number"    // a number that is too large
	OddPort      = "port"      // a port out of range
	OddLong      = "long"      // a version of 60 kB
	OddID        = "id"        // an id with control characters
	OddSame      = "same"      // the id of an upstream, which writes again
	OddElsewhere = "elsewhere" // a hall that doesn't exist
	OddOrder     = "order"     // not an entry: an order of the operators, of a service whose name is as long as a key may be
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
func (f Fault) plannedStop() bool {
	return f.Kind == FaultTerm || f.Kind == FaultPress || f.Kind == FaultTakeover
}

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
	// Upload is by how many bytes its body is longer than usual.
	Upload int `json:"upload,omitempty"`
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
	Outlived  bool          `json:"outlived,omitempty"` // streams outlast the entries of their engines, and what daemons know of them; engines are slower
	Released  bool          `json:"released,omitempty"` // the engines of the old version are replaced, and all daemons are killed; engines are slower still
	Large     int           `json:"large,omitempty"`    // large daemons in each hall; 0: all are equal, and nothing bounds them
	Small     float64       `json:"small,omitempty"`    // cores of the others
	Memory    int           `json:"memory,omitempty"`   // MB of a daemon's VM; 0: the usual
	Row       time.Duration `json:"row,omitempty"`      // from when on daemons start without the store and a workspace asks for many times its quota; 0: never
	Rate      float64       `json:"rate,omitempty"`     // bytes a second that a daemon's network connection carries each way, where all are equal; 0: any number
	Bare      bool          `json:"bare,omitempty"`     // answers have neither a length nor chunks and end with their connections; engines are slower
}

// Upstreams is how many there are of all services.
func (d *Day) Upstreams() int { return d.Engines + 2*d.Plain }

// HallOf is the hall of a daemon or an upstream.
func (d *Day) HallOf(i int) int { return i % d.Halls }

const (
	usualPace = 25 * time.Millisecond  // between two events of a stream
	mixedPace = 100 * time.Millisecond // where callers are to take streams up
	slowPace  = 250 * time.Millisecond // where these are to outlast the entries of their engines
	longPace  = 300 * time.Millisecond // and what daemons know of these
)

func (d *Day) pace() time.Duration {
	switch {
	case d.Outlived:
		return longPace
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
