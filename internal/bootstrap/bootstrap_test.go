package bootstrap

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func ExampleLookup() {
	var l Lookup
	for i := range 3 {
		fmt.Println(l.Next(start.Add(time.Duration(i)*askInterval), []string{"b", "a"}))
	}
	// Output:
	// a
	// b
	// a
}

func TestNext(t *testing.T) {
	t.Run("asks nobody before it has heard from one", func(t *testing.T) {
		var l Lookup
		assert.Empty(t, l.Next(start, nil))
		assert.Equal(t, "a", l.Next(start, []string{"a"}), "and then at once")
	})
	t.Run("asks seldom", func(t *testing.T) {
		var l Lookup
		l.Next(start, []string{"a"})
		assert.Empty(t, l.Next(start.Add(askInterval-time.Millisecond), []string{"a"}))
	})
	t.Run("skips a node that has gone", func(t *testing.T) {
		var l Lookup
		l.Next(start, []string{"a", "b", "c"})
		assert.Equal(t, "c", l.Next(start.Add(askInterval), []string{"c"}))
	})
	t.Run("asks the more seldom the more nodes there are", func(t *testing.T) {
		names := make([]string, 985)
		for i := range names {
			names[i] = fmt.Sprint("edge-", i)
		}
		var l Lookup
		asked := 0
		for at := time.Duration(0); at < time.Minute; at += askInterval {
			if l.Next(start.Add(at), names) != "" {
				asked++
			}
		}
		assert.LessOrEqual(t, asked, 3, "of a minute")
	})
}

func TestComplete(t *testing.T) {
	var l Lookup
	l.Hear(false)
	assert.False(t, l.Complete())
	l.Hear(true)
	l.Hear(false)
	assert.True(t, l.Complete(), "once known, it stays so")
}
