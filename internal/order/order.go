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
// such wait, each request to that engine gets a level from its rank and from a lot that it draws by its id, and each
// request to the service if two engines have such waits:
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
// that rises with each return, an order only at the engines with long waits, or only once two have them (in both the
// most urgent rank is served less often than others where room is just short), and, against preemption, no urgency at
// engines without free slots.
// docs/design/order.md has the figures.
//
// Decide is pure; Tracker keeps its state, two times for each service and one for each engine with a long wait.
package order

import (
	"maps"
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
	// turnShare is the number of requests of which one goes first, whatever its rank.
	turnShare = 8.0
	// rankWeight is how much more the rank counts than the lot: with 2, the difference between the most and the least
	// urgent rank moves a request twice as far as that between the best lot and the worst.
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

	Engine     string // that was chosen
	Candidates int    // engines that the choice considered
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

// Tracker remembers where room is short, as one node knows it. Its zero value knows of none. It is safe
// for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*state
}

// state is what a node knows of one service. One engine with a long queue says little of the others: room is short at
// it alone, until a second one within the hold shows that it is short at all.
type state struct {
	engines      map[string]time.Time // until when room is short at each
	prunedAt     time.Time
	since, until time.Time // of the shortage at all engines; zero: none
}

// News is what changed in what a node believes of a service.
type News struct {
	Began  bool // room is short at all engines
	Ended  bool
	Lasted time.Duration // if ended: until the hold was over
}

// Decide returns the priority of a request to a service, and records whether it finds room short.
func (t *Tracker) Decide(now time.Time, service string, q Request) (Decision, News) {
	short, news := t.Short(now, service, q)
	return Decide(q, short), news
}

// Short reports whether room is short for a request to a service, given what it is expected to wait. It never is if all
// ranks are equal.
func (t *Tracker) Short(now time.Time, service string, q Request) (bool, News) {
	if len(q.Ranks) < 2 {
		return false, News{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.services[service]
	if v == nil {
		if !q.Endangers() {
			return false, News{}
		}
		v = &state{engines: make(map[string]time.Time), prunedAt: now}
		if t.services == nil {
			t.services = make(map[string]*state)
		}
		t.services[service] = v
	}
	n := v.expire(now)
	if q.Endangers() {
		n.Began = v.observe(now, q)
	}
	return !v.until.IsZero() || now.Before(v.engines[q.Engine]), n
}

// expire ends a shortage once its hold is over.
func (v *state) expire(now time.Time) News {
	if v.until.IsZero() || now.Before(v.until) {
		return News{}
	}
	n := News{Ended: true, Lasted: v.until.Sub(v.since)}
	v.since, v.until = time.Time{}, time.Time{}
	return n
}

// observe records a wait beyond the tightest target, and reports whether a shortage at all engines begins with it.
func (v *state) observe(now time.Time, q Request) bool {
	v.prune(now)
	v.engines[q.Engine] = now.Add(shortageHold)
	began := v.until.IsZero()
	if began && q.Candidates > 1 && !v.elsewhere(now, q.Engine) {
		return false
	}
	if began {
		v.since = now
	}
	v.until = now.Add(shortageHold)
	return began
}

// elsewhere reports whether room is short at another engine.
func (v *state) elsewhere(now time.Time, engine string) bool {
	for e, until := range v.engines {
		if e != engine && now.Before(until) {
			return true
		}
	}
	return false
}

// prune forgets the engines at which room isn't short any more; they may have ended.
func (v *state) prune(now time.Time) {
	if now.Sub(v.prunedAt) < shortageHold {
		return
	}
	v.prunedAt = now
	maps.DeleteFunc(v.engines, func(_ string, until time.Time) bool { return !now.Before(until) })
}
