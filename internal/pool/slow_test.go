package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/timer"
)

// calm is a load that one upstream could carry alone: requests one after the other, as a quiet hour
// has them. Nothing but what is believed of the upstreams tells them apart, so it is the load that shows
// a belief that has no ground.
type calm struct {
	clock  *timer.Manual
	p      *Pools
	engine bool
	takes  map[string]time.Duration // of one answer's first event, by upstream
	gets   map[string]int
	n      int
}

func newCalm(engine bool, takes map[string]time.Duration) *calm {
	c := timer.NewManual(start)
	p := New(c.Service(), "self", "h")
	for id := range takes {
		p.Update(func(l *List) {
			l.Put(Item{Entry: Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: 8, Born: 1}, Revision: 1})
		})
	}
	c.Advance(versionGrace)
	return &calm{clock: c, p: p, engine: engine, takes: takes, gets: make(map[string]int)}
}

// play lets requests come for so long, and returns how many each upstream got.
func (l *calm) play(d time.Duration) map[string]int {
	clear(l.gets)
	for until := l.clock.Service().Now().Add(d); l.clock.Service().Now().Before(until); {
		l.n++
		n := Request{ID: fmt.Sprint("r", l.n), Service: "s"}
		if l.engine {
			n.Engine, n.Prompt, n.Output, n.Parts = true, 600, 10, []call.Part{{ID: uint64(l.n), Tokens: 600}}
		}
		u := l.p.Pick(n)
		l.gets[u.Entry().ID]++
		l.clock.Advance(l.takes[u.Entry().ID])
		u.Started()
		u.End(ResultGood)
	}
	return l.gets
}

// stall lets one answer of an upstream take that long.
func (l *calm) stall(id string, d time.Duration) {
	n := Request{ID: "stall", Service: "s", Engine: l.engine, Excluded: make(map[string]bool)}
	for v := range l.takes {
		n.Excluded[v] = v != id
	}
	u := l.p.Pick(n)
	l.clock.Advance(d)
	u.Started()
	u.End(ResultGood)
}

// restart is the next life of an upstream.
func (l *calm) restart(id string, born int64) {
	l.p.Update(func(v *List) {
		v.Put(Item{Entry: Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: 8, Born: born}, Revision: born})
	})
}

func assertShare(t *testing.T, gets map[string]int, id string, least, most float64) {
	t.Helper()
	sum := 0
	for _, n := range gets {
		sum += n
	}
	share := float64(gets[id]) / float64(sum)
	assert.GreaterOrEqual(t, share, least, "%s of %v", id, gets)
	assert.LessOrEqual(t, share, most, "%s of %v", id, gets)
}

// TestSlowness: callers of a quiet service found one of its two upstreams idle for as long as anybody
// looked, and a new life of an upstream that had been restarted wasn't used for seconds. How slow an
// upstream is was kept as a part of the mean over the pool, and the mean was held at 1: each answer that came
// faster than the time expected made all others slower, though nothing had been heard of them.
func TestSlowness(t *testing.T) {
	for name, engine := range map[string]bool{"plain": false, "engine": true} {
		t.Run(name, func(t *testing.T) {
			t.Run("upstreams that are alike are used alike", func(t *testing.T) {
				l := newCalm(engine, map[string]time.Duration{"a": 5 * time.Millisecond, "b": 5 * time.Millisecond})
				assertShare(t, l.play(20*time.Second), "a", 0.4, 0.6)
			})
			t.Run("a new life is used at once", func(t *testing.T) {
				l := newCalm(engine, map[string]time.Duration{"a": 5 * time.Millisecond, "b": 5 * time.Millisecond})
				l.play(10 * time.Second)
				l.restart("a", 2)
				assertShare(t, l.play(time.Second), "a", 0.2, 0.8)
			})
			t.Run("the next life of a slow one, too", func(t *testing.T) {
				l := newCalm(engine, map[string]time.Duration{"a": 40 * time.Millisecond, "b": 5 * time.Millisecond})
				l.play(10 * time.Second)
				l.takes["a"] = 5 * time.Millisecond
				l.restart("a", 2)
				assertShare(t, l.play(time.Second), "a", 0.2, 0.8)
			})
			t.Run("one answer that stalls says little, of its upstream and of the others", func(t *testing.T) {
				l := newCalm(engine, map[string]time.Duration{"a": 5 * time.Millisecond, "b": 5 * time.Millisecond, "c": 5 * time.Millisecond})
				l.play(5 * time.Second)
				l.stall("a", 10*time.Second)
				gets := l.play(2 * time.Second)
				assertShare(t, gets, "b", 0.2, 0.6)
				assertShare(t, gets, "c", 0.2, 0.6)
				l.play(6 * time.Second)
				assertShare(t, l.play(2*time.Second), "a", 0.2, 0.5)
			})
			t.Run("a slow one gets little", func(t *testing.T) {
				l := newCalm(engine, map[string]time.Duration{"a": 200 * time.Millisecond, "b": 50 * time.Millisecond, "c": 50 * time.Millisecond})
				l.play(5 * time.Second)
				assertShare(t, l.play(20*time.Second), "a", 0, 0.1)
			})
			t.Run("and its share again soon after it is as fast as the others", func(t *testing.T) {
				l := newCalm(engine, map[string]time.Duration{"a": 200 * time.Millisecond, "b": 50 * time.Millisecond, "c": 50 * time.Millisecond})
				l.play(10 * time.Second)
				l.takes["a"] = 50 * time.Millisecond
				l.play(5 * time.Second)
				assertShare(t, l.play(5*time.Second), "a", 0.2, 0.5)
			})
		})
	}
}

// TestPaceBounds: an upstream that answers far faster than the others, as one does whose prompts are cached, is believed
// to be twice as fast at most. More would send it everything that the others could take sooner.
func TestPaceBounds(t *testing.T) {
	var p pace
	for range 100 {
		p.take(start, 0.01)
	}
	assert.Equal(t, fastest, p.slowness(start))
}
