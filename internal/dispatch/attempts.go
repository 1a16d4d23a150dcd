package dispatch

import (
	"errors"
	"time"

	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/upstream"
)

// attempts records the upstreams that a request was sent to, and whether it reached them.
type attempts struct {
	reachedBy map[string]bool
	search    retry.SearchLimit
	next      *target // reserved for the next attempt while the upstream of the last one was silent, or nil
}

func newAttempts() *attempts { return &attempts{reachedBy: make(map[string]bool)} }

// record records an attempt that failed after a time. An address to which callers are pinned may be tried
// again; it is known by then to refuse connections, so repeats are bounded like any other failure.
func (t *attempts) record(id string, err error, after time.Duration) {
	missed, known := errors.Is(err, upstream.ErrNotSent), t.has(id)
	t.reachedBy[id] = !missed
	if missed && !known {
		t.search.RecordUnreachable(after)
	} else {
		t.search.RecordReached()
	}
}

func (t *attempts) has(id string) bool {
	_, ok := t.reachedBy[id]
	return ok
}

func (t *attempts) reached(id string) bool { return t.reachedBy[id] }

// reachedAny reports whether the request has reached an upstream.
func (t *attempts) reachedAny() bool {
	for _, v := range t.reachedBy {
		if v {
			return true
		}
	}
	return false
}

// mayRetry decides whether another upstream may be tried, for a request with the given time left. Attempts
// that reached no upstream are not charged to the retry budget, which keeps retries from multiplying the load.
func (p *pool) mayRetry(t *attempts, a retry.Attempt) bool {
	if t.search.Next() == retry.ScopeNone {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Sent, a.MaxSent, a.MinTimeLeft = t.search.Reached(), maxAttempts, minTimeLeft
	v, _ := retry.Decide(a, func() bool { return !t.reachedAny() || p.budget.Take(p.d.now()) })
	return v == retry.VerdictRetry
}
