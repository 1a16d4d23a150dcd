package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestMarksExpireAfterKeyLifetime(t *testing.T) {
	b := NewManager(Options{Member: Member{ID: "a"}})
	b.machine.Join([]Change{{Member: "a"}, {Member: "b"}})
	b.machine.mergeEntry(Entry{Key: 1, Attempt: "x"})
	start := time.Unix(1000, 0)
	b.expire(start)
	b.expire(start.Add(recordLifetime))
	_, ok := b.machine.Known(1)
	assert.True(t, ok, "a caller may still use the key")
	b.expire(start.Add(recordLifetime + expireInterval))
	_, ok = b.machine.Known(1)
	assert.False(t, ok)
}
