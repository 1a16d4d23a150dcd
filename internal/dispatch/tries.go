package dispatch

import (
	"errors"

	"spurhall.example/spurhall/internal/upstream"
)

// tries is the upstreams that a request was tried at, and whether it reached them.
type tries map[string]bool

func (t tries) note(id string, err error) { t[id] = !errors.Is(err, upstream.ErrNotSent) }

func (t tries) has(id string) bool {
	_, ok := t[id]
	return ok
}

func (t tries) reached(id string) bool { return t[id] }

// reachedAny tells whether the request has reached an upstream.
func (t tries) reachedAny() bool {
	for _, v := range t {
		if v {
			return true
		}
	}
	return false
}
