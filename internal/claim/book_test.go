package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestMarksOutliveTheirKeysOnly(t *testing.T) {
	b := NewManager(Options{Member: Member{ID: "a"}})
	b.machine.Join([]Change{{Member: "a"}, {Member: "b"}})
	b.machine.learn(Entry{Key: 1, Attempt: "x"})
	start := time.Unix(1000, 0)
	b.expire(start)
	b.expire(start.Add(recordLifetime))
	_, ok := b.machine.Known(1)
	assert.True(t, ok, "the key may still be asked for")
	b.expire(start.Add(recordLifetime + expireEvery))
	_, ok = b.machine.Known(1)
	assert.False(t, ok)
}
