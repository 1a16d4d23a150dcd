package follow_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/store"
)

type unreadable struct {
	follow.Unreadable
	log *zap.Logger
}

func (u *unreadable) record(p store.Pair, err error) bool {
	return u.Record(u.log.Warn, "unreadable", p, err)
}

func newUnreadable() (*unreadable, *observer.ObservedLogs) {
	core, logs := observer.New(zap.DebugLevel)
	return &unreadable{log: zap.New(core)}, logs
}

// TestUnreadableIsLoggedAnew guards against an odd entry that is never logged since others, which are gone, were.
func TestUnreadableIsLoggedAnew(t *testing.T) {
	const many = 1000
	odd := errors.New("odd")
	pair := func(i int) store.Pair { return store.Pair{Key: fmt.Sprint("k", i)} }
	for name, forget := range map[string]func(u *unreadable, i int){
		"after a deletion":            func(u *unreadable, i int) { u.Clear(pair(i).Key) },
		"after a list without others": func(u *unreadable, i int) { u.Keep([]store.Pair{pair(i + 1)}) },
	} {
		t.Run(name, func(t *testing.T) {
			u, logs := newUnreadable()
			for i := range many {
				assert.True(t, u.record(pair(i), odd), i)
				assert.False(t, u.record(pair(i), odd), "once")
				forget(u, i)
			}
			assert.Equal(t, many, logs.Len())
		})
	}
	t.Run("the lines are bounded as long as the keys are there", func(t *testing.T) {
		u, logs := newUnreadable()
		for i := range many {
			u.record(pair(i), odd)
		}
		assert.Less(t, logs.Len(), many)
	})
	t.Run("a long cause is shortened", func(t *testing.T) {
		u, logs := newUnreadable()
		u.record(pair(0), errors.New(strings.Repeat("ü", many)))
		assert.Less(t, len(logs.All()[0].ContextMap()["cause"].(string)), many)
	})
}
