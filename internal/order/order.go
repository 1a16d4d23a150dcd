// Package order decides with which priority a request is sent to an engine, and so who is served first where
// room is short.
//
// An engine admits and reads prompts in the order of their priorities, and within one in the order of their
// arrival. It preempts the newest of the least urgent when it runs out of slots or memory, and reads anew what
// it preempted. The load that this package answers: prompts arrive faster than the engines read them. If they
// are read in the order of arrival, each waits until shortly before its caller leaves, and hardly any is in
// time although most of the work is done.
//
// While the expected wait at the chosen engine is below the tightest latency target of the service, nothing is
// sent, and a request past its target goes behind the others. Beyond that, until shortageHold after the last
// such wait, each request gets a level from its rank and from a lot that it draws by its id:
//
//	0     streams that this node resumes: their callers have events already
//	1..8  by rank; within a rank, and where ranks border on each other, by lot
//	1     one in turnShare of each rank, so that none is starved
//	9     all requests past their latency target
//
// The lot is what keeps a rank from being late as a whole when it alone exceeds the room: those with a good one
// are in time, those with a bad one make room without having been read. A caller that comes again draws anew.
//
// Alternatives considered: the rank as it is (the most urgent rank is late as a whole once it exceeds the room, and
// the others get nothing), the time left until the target (differs between requests that were sent at different
// moments, while an engine compares what each was sent with), short prompts first within a rank, an urgency
// that rises with each return, and, against preemption, no urgency at engines without free slots.
// docs/design/order.md has the figures.
//
// Decide is pure; Tracker keeps its state, one time for each service.
package order

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Priorities that are sent to engines, of the ten that they know. Engines treat an unset one as 5.
const (
	// Unset keeps the engine's own order.
	Unset = -1
	// priorityResumed is for streams whose caller has events already.
	priorityResumed = 0
	// priorityFirst is the first of the levels by rank and lot.
	priorityFirst = 1
	// levels is how many levels there are by rank and lot.
	levels = 8
	// priorityOverdue is behind unset priorities.
	priorityOverdue = 7
	// priorityLast is behind all levels by rank and lot.
	priorityLast = 9
)

const (
	// shortageHold is how long after the last wait beyond the tightest target a node goes on sending levels.
	// Levels and unset priorities mixed in one queue overtake each other.
	shortageHold = 2 * time.Second
	// turnShare is how many requests there are of each rank for one that goes first.
	turnShare = 8.0
	// rankWeight is by how many times the spread of the lots the least urgent rank is behind the most urgent one.
	rankWeight = 2.0
)

// Request is what a decision depends on.
type Request struct {
	ID       string
	Rank     int           // as configured; 0 is the most urgent
	Ranks    []int         // that requests to the service may have, in order
	Target   time.Duration // until the first event; 0: none
	Tightest time.Duration // tightest target of the service's routes; 0: none
	Elapsed  time.Duration // since the caller's first attempt
	Wait     time.Duration // expected at the engine, to read what is queued there already
	Reading  time.Duration // expected from then on until the first event
	Resumed  bool          // this node sent the caller events already
}

// Reason is what a decision rests on.
type Reason string

// The reasons.
const (
	ReasonCalm    Reason = "calm"    // there is room, or all ranks are equal
	ReasonRank    Reason = "rank"    // rank and lot
	ReasonTurn    Reason = "turn"    // one of those that go first whatever their rank
	ReasonOverdue Reason = "overdue" // past its latency target
	ReasonResumed Reason = "resumed"
)

// Decision is a request's priority at an engine, with its reason.
type Decision struct {
	Priority int
	Reason   Reason
	Slack    time.Duration // what the expected first event leaves of the latency target
	Short    bool          // room is short
}

// Differs reports whether the engine is told another order than in calm times. The time until the first event
// then isn't that of reading what was queued.
func (d Decision) Differs() bool { return d.Short }

// Overtakes reports whether the request goes before nearly all that wait at the engine.
func (d Decision) Overtakes() bool { return d.Differs() && d.Priority <= priorityFirst }

// Endangers reports whether the queue at the engine is longer than the tightest target allows.
func (q *Request) Endangers() bool { return q.Tightest > 0 && q.Wait >= q.Tightest }

// lot returns a number from 0 to 1 that depends on the request's id alone.
func (q *Request) lot() float64 {
	const bits = 53
	return float64(xxhash.Sum64String(q.ID)>>(64-bits)) / (1 << bits)
}

func (q *Request) overdue() bool { return q.Target > 0 && q.Elapsed > q.Target }

// Decide returns a request's priority. short states whether the service's room is short.
func Decide(q Request, short bool) Decision {
	d := Decision{Priority: Unset, Reason: ReasonCalm, Slack: q.Target - q.Elapsed - q.Wait - q.Reading}
	d.Short = short && len(q.Ranks) > 1
	lot := q.lot() * turnShare
	switch {
	case !d.Short && q.overdue():
		d.Priority, d.Reason = priorityOverdue, ReasonOverdue
	case !d.Short:
	case q.Resumed:
		d.Priority, d.Reason = priorityResumed, ReasonResumed
	case q.overdue():
		d.Priority, d.Reason = priorityLast, ReasonOverdue
	case lot < 1:
		d.Priority, d.Reason = priorityFirst, ReasonTurn
	default:
		d.Priority, d.Reason = q.level((lot-1)/(turnShare-1)), ReasonRank
	}
	return d
}

// level returns the level of a request's rank and lot.
func (q *Request) level(lot float64) int {
	i, _ := slices.BinarySearch(q.Ranks, q.Rank)
	least := len(q.Ranks) - 1
	rank := float64(min(i, least)) / float64(least)
	return priorityFirst + int(levels*(rankWeight*rank+lot)/(rankWeight+1))
}

// Tracker remembers which services are short of room, as one node knows it. Its zero value knows of none. It is
// safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	short map[string]time.Time // until when
}

// Decide returns the priority of a request to a service, and records whether it finds the service short of room.
func (t *Tracker) Decide(now time.Time, service string, q Request) Decision {
	return Decide(q, t.Short(now, service, q))
}

// Short reports whether a service is short of room, given what a request to it is expected to wait.
func (t *Tracker) Short(now time.Time, service string, q Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !q.Endangers() {
		return now.Before(t.short[service])
	}
	if t.short == nil {
		t.short = make(map[string]time.Time)
	}
	t.short[service] = now.Add(shortageHold)
	return true
}
