// Package brittle decides how much this node may have at upstreams that fall over when they have to reject too many
// requests in a second, which they state in their responses.
//
// An upstream rejects what it has no room for, and while it is brittle it lets few requests wait or none. So a node sends
// nothing that may have to wait there: no more than its share of the upstream's slots, and nothing while the nodes
// together are believed to fill them. Where that belief is wrong, the upstream rejects a request, and the node then holds
// off: for so long that all nodes together, each of which has to find out by itself, stay below the stated number. Then a
// single request goes there, and more only once it was accepted. What can't be sent is rejected at once; the caller is told
// when slots become free.
//
// A node that holds off from all upstreams would learn neither of room nor that the service is brittle no longer: responses
// alone tell. So it sends one request in a while all the same.
//
// All upstreams of a service are brittle at the same time, so that one that has just started counts as brittle before its
// first response.
//
// Alternatives considered: shares of the stated number, as package limit shares a rate. A node can't choose which of its
// requests are rejected, and with more nodes than rejections most could send nothing.
//
// The package reads no clock: callers pass times in.
package brittle

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// statementTTL is how long a statement holds without a response that repeats it.
	statementTTL = 30 * time.Second
	// minHold and maxHold bound how long a node holds off. The number that upstreams state counts for a second.
	minHold = time.Second
	maxHold = 20 * time.Second
	// reserve is by how much the nodes' rejections together stay below the stated number on average: those of several
	// nodes may fall into one second.
	reserve = 3.0
	// leastRejections stands for a stated number below it in the length of a hold.
	leastRejections = 0.5
	// minProbe and maxProbe bound the time between two requests of a node that holds off from all upstreams.
	minProbe = 500 * time.Millisecond
	maxProbe = 3 * time.Second
)

// Statement is what an upstream's response states.
type Statement struct {
	Brittle    bool
	Rejections float64 // in a second, which the upstream bears
}

// Load is what runs at an upstream.
type Load struct {
	Own   int     // requests of this node
	All   float64 // requests of all nodes, as far as known
	Slots int     // 0: unknown
	Nodes int     // that share the upstream
}

// Tracker holds what one node knows of the brittle upstreams of all services. It isn't safe for concurrent use.
type Tracker struct {
	self       string
	services   map[string]*service
	rejections int // so far
}

type service struct {
	rejections float64
	statedAt   time.Time
	holds      map[string]time.Time // by upstream: until when this node holds off
	probedAt   time.Time            // when a request was last sent though this node holds off from all upstreams
}

// NewTracker returns the tracker of a node.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, services: make(map[string]*service)}
}

// Observe records what a response states, to a request sent at the given time, and reports whether the service has
// become brittle or is brittle no longer.
func (t *Tracker) Observe(now, sent time.Time, name string, v Statement) bool {
	s := t.services[name]
	switch {
	case v.Brittle && s == nil:
		t.services[name] = &service{rejections: v.Rejections, statedAt: now, holds: make(map[string]time.Time)}
		return true
	case v.Brittle:
		s.rejections, s.statedAt = v.Rejections, now
	case s != nil && sent.After(s.statedAt):
		delete(t.services, name)
		return true
	}
	return false
}

// current returns the state of a service that is brittle now, or nil.
func (t *Tracker) current(now time.Time, name string) *service {
	s := t.services[name]
	if s != nil && now.Sub(s.statedAt) > statementTTL {
		delete(t.services, name)
		return nil
	}
	return s
}

// IsBrittle reports whether the upstreams of a service are brittle.
func (t *Tracker) IsBrittle(now time.Time, name string) bool { return t.current(now, name) != nil }

// HoldOff records that an upstream rejected a request or broke off, and returns how long this node holds off; 0 if the
// service isn't brittle. One that breaks off may have fallen over, and comes back with the same room.
func (t *Tracker) HoldOff(now time.Time, name, upstream string, nodes int) time.Duration {
	s := t.current(now, name)
	if s == nil {
		return 0
	}
	for u, until := range s.holds {
		if now.Sub(until) > maxHold {
			delete(s.holds, u)
		}
	}
	d := time.Duration(reserve * float64(nodes) / math.Max(s.rejections, leastRejections) * float64(time.Second))
	d = min(max(d, minHold), maxHold)
	t.rejections++
	d += time.Duration(t.fraction(upstream) * float64(d)) // so that the nodes don't come back together
	s.holds[upstream] = now.Add(d)
	return d
}

// fraction returns a number from 0 to 1 that differs between nodes, upstreams and rejections.
func (t *Tracker) fraction(upstream string) float64 {
	return float64(xxhash.Sum64String(t.self+"\x00"+upstream+"\x00"+strconv.Itoa(t.rejections))>>11) / (1 << 53)
}

// Accepted records that an upstream has taken a request.
func (t *Tracker) Accepted(now time.Time, name, upstream string) {
	if s := t.current(now, name); s != nil && !now.Before(s.holds[upstream]) {
		delete(s.holds, upstream)
	}
}

// Wait returns how long this node must not send to an upstream, 0 if it may send a request now. duration is that of the
// service's requests.
func (t *Tracker) Wait(now time.Time, name, upstream string, l Load, duration time.Duration) time.Duration {
	s := t.current(now, name)
	if s == nil {
		return 0
	}
	until, held := s.holds[upstream]
	switch {
	case now.Before(until):
		return min(until.Sub(now), maxProbe) // a probe may tell more before
	case held && l.Own > 0, l.isFull():
		return duration
	}
	return 0
}

// Holds reports whether this node holds off from an upstream.
func (t *Tracker) Holds(now time.Time, name, upstream string) bool {
	s := t.current(now, name)
	return s != nil && now.Before(s.holds[upstream])
}

// MayProbe reports whether a request may be sent though this node holds off from all upstreams that could take it, and
// records that it is. The nodes' probes together stay below the number that the upstreams bear, if no bound cuts in.
func (t *Tracker) MayProbe(now time.Time, name string, nodes, upstreams int) bool {
	s := t.current(now, name)
	if s == nil || upstreams == 0 {
		return false
	}
	d := time.Duration(reserve * float64(nodes) / (math.Max(s.rejections, leastRejections) * float64(upstreams)) * float64(time.Second))
	if now.Sub(s.probedAt) < min(max(d, minProbe), maxProbe) {
		return false
	}
	s.probedAt = now
	return true
}

// isFull reports whether one more request may have to wait for a slot.
func (l Load) isFull() bool {
	if l.Slots == 0 {
		return false
	}
	share := max(1, l.Slots/max(1, l.Nodes))
	return l.Own >= share || l.All >= float64(l.Slots)
}
