package dispatch

import (
	"errors"
	"time"

	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/upstream"
)

// tries is the upstreams that a request was tried at, and whether it reached them.
type tries struct {
	at    map[string]bool
	bound retry.SearchLimit
}

func newTries() *tries { return &tries{at: make(map[string]bool)} }

// note notes a try that failed after a time. An address that callers are pinned to may be tried again; that it
// refuses connections is known then, and bounded like any other failure.
func (t *tries) note(id string, err error, after time.Duration) {
	missed, known := errors.Is(err, upstream.ErrNotSent), t.has(id)
	t.at[id] = !missed
	if missed && !known {
		t.bound.RecordUnreachable(after)
	} else {
		t.bound.RecordReached()
	}
}

func (t *tries) has(id string) bool {
	_, ok := t.at[id]
	return ok
}

func (t *tries) reached(id string) bool { return t.at[id] }

// reachedAny tells whether the request has reached an upstream.
func (t *tries) reachedAny() bool {
	for _, v := range t.at {
		if v {
			return true
		}
	}
	return false
}

// again tells whether another upstream may be tried, for a request that has so much time left. Tries that
// reached none cost nothing of the budget, which keeps load from multiplying.
func (p *pool) again(t *tries, a retry.Attempt) bool {
	if t.bound.Next() == retry.ScopeNone {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Sent, a.MaxSent, a.MinTimeLeft = t.bound.Reached(), maxAttempts, worthwhile
	v, _ := retry.Decide(a, func() bool { return !t.reachedAny() || p.budget.Take(p.d.now()) })
	return v == retry.VerdictRetry
}
