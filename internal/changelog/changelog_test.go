package changelog

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// owner is a process that follows the store: a list of versions by id, and its log.
type owner struct {
	log      *Log
	list     map[string]int64
	revision int64
}

// apply applies the store's changes up to a revision, as one batch.
func (o *owner) apply(history []storeChange, upTo int64) {
	var ids []string
	for _, c := range history[o.revision:upTo] {
		if c.deleted {
			delete(o.list, c.id)
		} else {
			o.list[c.id] = c.revision
		}
		ids = append(ids, c.id)
	}
	o.revision = upTo
	o.log.Append(Update{Revision: upTo, Length: len(o.list), IDs: ids})
}

type storeChange struct {
	id       string
	deleted  bool
	revision int64
}

// follower is a list that is brought up to date from an owner's log.
type follower struct {
	list     map[string]int64
	owner    *owner
	sequence int64
	revision int64
	whole    int // number of whole lists that it was sent
}

// follow brings the list up to date with an owner's.
func (f *follower) follow(o *owner) {
	sequence, _ := o.log.Subscribe()
	ids, ok := o.log.SinceRevision(f.revision)
	if f.owner == o {
		ids, ok = o.log.Since(f.sequence)
	}
	if !ok || f.list == nil {
		f.list = maps.Clone(o.list)
		f.whole++
	} else {
		for _, id := range ids {
			if v, listed := o.list[id]; listed {
				f.list[id] = v
			} else {
				delete(f.list, id)
			}
		}
	}
	f.owner, f.sequence, f.revision = o, sequence, o.revision
}

// TestFollowersHaveTheOwnersList draws a store's history, two processes that read it in batches of their own, and
// followers that change between them: after each answer a follower has the list of the process that gave it.
func TestFollowersHaveTheOwnersList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []storeChange
		owners := []*owner{{log: New(), list: map[string]int64{}}, {log: New(), list: map[string]int64{}}}
		followers := []*follower{{}, {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 5).Draw(t, "changes") {
				id := fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "id"))
				history = append(history, storeChange{id, rapid.Bool().Draw(t, "deleted"), int64(len(history) + 1)})
			}
			for _, o := range owners {
				if rapid.Bool().Draw(t, "reads") && o.revision < int64(len(history)) {
					o.apply(history, rapid.Int64Range(o.revision+1, int64(len(history))).Draw(t, "up to"))
				}
			}
			f, o := followers[rapid.IntRange(0, 1).Draw(t, "follower")], owners[rapid.IntRange(0, 1).Draw(t, "owner")]
			if o.revision == 0 || o.revision < f.revision {
				continue // a follower ignores a list that is older than its own
			}
			f.follow(o)
			assert.Equal(t, o.list, f.list)
		}
	})
}

func TestSince(t *testing.T) {
	l := New()
	l.Append(Update{Revision: 5, Length: 2, IDs: []string{"a", "b"}})
	first, _ := l.Subscribe()
	l.Append(Update{Revision: 7, Length: 2, IDs: []string{"b", "a", "b"}})
	ids, ok := l.Since(first)
	assert.True(t, ok)
	assert.Equal(t, []string{"a", "b"}, ids, "each id once")
	_, ok = l.Since(first - 1)
	assert.False(t, ok, "what was listed before the first list isn't known")
	_, ok = l.Since(first + 5)
	assert.False(t, ok, "a sequence of another process")
	_, ok = l.SinceRevision(4)
	assert.False(t, ok)
	ids, ok = l.SinceRevision(6)
	assert.True(t, ok)
	assert.Equal(t, []string{"a", "b"}, ids)
	ids, ok = l.SinceRevision(8)
	assert.True(t, ok)
	assert.Empty(t, ids)
}

// TestOwnChangesAreSentByRevision: a process heard from an upstream itself that it leaves. A follower whose list
// comes from another process is told, whatever its revision.
func TestOwnChangesAreSentByRevision(t *testing.T) {
	l := New()
	l.Append(Update{Revision: 5, Length: 2, IDs: []string{"a", "b"}})
	l.Append(Update{Revision: 6, Local: true, Length: 2, IDs: []string{"a"}})
	ids, ok := l.SinceRevision(9)
	assert.True(t, ok)
	assert.Equal(t, []string{"a"}, ids)
}

// TestLogIsBounded checks that the log keeps about as many changes as the list is long, and knows what it has
// dropped.
func TestLogIsBounded(t *testing.T) {
	for _, length := range []int{10, 5000} {
		l := New()
		l.Append(Update{Revision: 1, Length: length})
		for i := range 3 * length {
			l.Append(Update{Revision: int64(i + 2), Length: length, IDs: []string{fmt.Sprint(i)}})
		}
		kept := max(minKept, length)
		require.LessOrEqual(t, len(l.changes), kept)
		now, _ := l.Subscribe()
		_, ok := l.Since(now - int64(min(kept, 3*length)))
		assert.True(t, ok)
		if 3*length > kept {
			_, ok = l.Since(now - int64(kept) - 1)
			assert.False(t, ok)
			_, ok = l.SinceRevision(int64(3*length + 1 - kept))
			assert.False(t, ok)
		}
	}
}

func TestWaitersWake(t *testing.T) {
	l := New()
	_, changed := l.Subscribe()
	l.Announce()
	<-changed
	_, changed = l.Subscribe()
	l.Append(Update{Revision: 1})
	<-changed
}
