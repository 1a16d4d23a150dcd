package rollout

import "time"

// This file decides what an attempt tells of its version that a backup has overtaken since its upstream was silent. By
// itself it tells nothing: a sound upstream may fall silent for a second and go on, and all of a version may do so
// together. Nobody sees whether an overtaken attempt would have gone on, since it is canceled at once. But its upstream
// goes on with other requests, or it doesn't.
//
// So such attempts are held back, by upstream. They count as failures once their upstream's silence has lasted for longer
// than a sound one's, which later attempts show that were overtaken without an answer in between. They count for nothing
// once it is heard, and nor do the times of responses that waited for the end of such a silence: what was sent shortly before
// it is late without having been overtaken. An upstream has one such silence within silenceInterval: one that answers some requests and hangs
// under the others is silent again and again.
//
// Both versions are counted alike. What a node holds back it tells nobody.
//
// Alternatives considered: counting overtaken attempts as slow responses, of which a version that is silent for a second
// has enough to be found slow; and a timer in place of later attempts, which condemns a sound upstream that got no
// requests after its silence.

const (
	// longestSilence is how long a sound upstream may be silent: a second or so, with the time that the attempts
	// which show it were on their way.
	longestSilence = 2 * time.Second
	// silenceInterval is the least time between the beginnings of two silences of a sound upstream. It is a roll-out's
	// usual stage: a version that hangs under some requests is stopped within it.
	silenceInterval = 10 * time.Second
)

// Silence is the silence of an upstream under one attempt, until a backup overtook it.
type Silence struct {
	Upstream   string
	Route      string
	Rank       int       // as in Trial.Observe
	Since      time.Time // when the attempt was sent, or its last event arrived
	AfterStart bool      // its response had started
}

// spell is one silence of an upstream.
type spell struct {
	began time.Time
	ended time.Time // when the upstream was next heard; zero: it wasn't
	held  map[heldKey]int64
}

// heldKey is what attempts that are held back have in common.
type heldKey struct {
	route      string
	group      int
	afterStart bool
}

func (s *spell) over() bool { return !s.ended.IsZero() }

// excuses returns whether a response was late for the silence of a sound upstream. since is when its wait began.
func (s *spell) excuses(since time.Time) bool {
	return s.over() && s.ended.Sub(s.began) < longestSilence && !since.After(s.ended)
}

// Overtaken counts an attempt that a backup has overtaken, or holds it back. It returns whether this made the node stop.
func (t *Trial) Overtaken(now time.Time, v Silence) bool {
	s := t.spells[v.Upstream]
	if s == nil || s.over() && v.Since.Sub(s.began) >= silenceInterval {
		s = &spell{began: v.Since, held: make(map[heldKey]int64)}
		t.spells[v.Upstream] = s
	}
	switch {
	case s.over() && !v.Since.After(s.ended):
		return false
	case s.over():
		t.countFailures(heldKey{v.Route, cellOf(v.Rank), v.AfterStart}, 1)
		return t.evaluate()
	}
	s.held[heldKey{v.Route, cellOf(v.Rank), v.AfterStart}]++
	if now.Sub(s.began) < longestSilence {
		return false
	}
	for k, n := range s.held {
		t.countFailures(k, n)
	}
	clear(s.held)
	return t.evaluate()
}

// Heard records that an upstream has answered a request.
func (t *Trial) Heard(now time.Time, upstream string) {
	if s := t.spells[upstream]; s != nil && !s.over() {
		s.ended = now
		clear(s.held)
	}
}

func (t *Trial) countFailures(k heldKey, n int64) {
	c := &t.ownTally.row(k.route)[k.group]
	c.Failed += n
	if !k.afterStart {
		c.Responses += n
	}
}
