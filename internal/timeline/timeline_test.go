package timeline

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/timer"
)

var start = time.Unix(1000, 0)

// names returns the events' names in order.
func names(list []Event) []string {
	var r []string
	for _, e := range list {
		r = append(r, e.Name)
	}
	return r
}

func TestLog(t *testing.T) {
	clock := timer.NewManual(start)
	core, logs := observer.New(zap.InfoLevel)
	l := New("n1", clock.Service(), zap.New(core))
	l.Add("first", "r1", "a")
	clock.Advance(time.Second)
	l.Add("second", "", "b")
	t.Run("from a time on", func(t *testing.T) {
		assert.Equal(t, []string{"first", "second"}, names(l.Since(start)))
		assert.Equal(t, []string{"second"}, names(l.Since(start.Add(time.Second))))
	})
	t.Run("each is a line of the log", func(t *testing.T) {
		assert.Equal(t, 1, logs.FilterMessage("first").FilterField(zap.String("request", "r1")).Len())
	})
}

func TestLogKeepsTheNewest(t *testing.T) {
	clock := timer.NewManual(start)
	l := New("n1", clock.Service(), zap.NewNop())
	const more = 10
	for i := range Size + more {
		l.Add(strconv.Itoa(i), "", "")
		clock.Advance(time.Millisecond)
	}
	list := l.Since(start)
	assert.Len(t, list, Size)
	assert.Equal(t, strconv.Itoa(more), list[0].Name)
	assert.Equal(t, strconv.Itoa(Size+more-1), list[Size-1].Name)
}

func TestMerge(t *testing.T) {
	at := func(s int, name string) Event {
		return Event{At: start.Add(time.Duration(s) * time.Second), Name: name}
	}
	a := []Event{at(1, "a1"), at(4, "a4")}
	b := []Event{at(1, "b1"), at(2, "b2"), at(5, "b5")}
	assert.Equal(t, []string{"a1", "b1", "b2", "a4", "b5"}, names(Merge(a, b)), "equal times keep their order")
	assert.Equal(t, names(a), names(Merge(a)))
	assert.Empty(t, Merge())
}
