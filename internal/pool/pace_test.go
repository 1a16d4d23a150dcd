package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/timer"
)

// lightLoad is a load that one upstream could carry alone: requests one after the other, as on a quiet
// service. Only the estimated slowness distinguishes the upstreams under this load, so it shows estimates
// that are not justified.
type lightLoad struct {
	clock  *timer.Manual
	p      *Pools
	engine bool
	takes  map[string]time.Duration // time to the first event, by upstream
	gets   map[string]int
	n      int
}

func newLightLoad(engine bool, takes map[string]time.Duration) *lightLoad {
	c := timer.NewManual(start)
	p := New(c.Service(), "self", "h")
	for id := range takes {
		p.Update(func(l *List) {
			l.Put(Item{Entry: Entry{ID: id, Service: "s", Address: "10.0.0.1:1", Hall: "h", Slots: 8, Born: 1}, Revision: 1})
		})
	}
	c.Advance(versionGrace)
	return &lightLoad{clock: c, p: p, engine: engine, takes: takes, gets: make(map[string]int)}
}

// play sends requests for the given time, and returns how many each upstream got.
func (l *lightLoad) play(d time.Duration) map[string]int {
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

// stall lets one response of an upstream take the given time.
func (l *lightLoad) stall(id string, d time.Duration) {
	n := Request{ID: "stall", Service: "s", Engine: l.engine, Excluded: make(map[string]bool)}
	for v := range l.takes {
		n.Excluded[v] = v != id
	}
	u := l.p.Pick(n)
	l.clock.Advance(d)
	u.Started()
	u.End(ResultGood)
}

// restart lists the next incarnation of an upstream.
func (l *lightLoad) restart(id string, born int64) {
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

// TestSlowness guards against one of two upstreams of a quiet service staying idle for as long as the
// service is quiet, and against the next incarnation of a restarted upstream not being used for seconds.
// Both happen if slowness is kept relative to the pool's mean and the mean is normalized to 1: each
// response that is faster than expected then makes all other upstreams look slower, without any response
// of theirs.
func TestSlowness(t *testing.T) {
	for name, engine := range map[string]bool{"plain": false, "engine": true} {
		t.Run(name, func(t *testing.T) {
			t.Run("similar upstreams are used equally", func(t *testing.T) {
				l := newLightLoad(engine, map[string]time.Duration{"a": 5 * time.Millisecond, "b": 5 * time.Millisecond})
				assertShare(t, l.play(20*time.Second), "a", 0.4, 0.6)
			})
			t.Run("a new incarnation is used at once", func(t *testing.T) {
				l := newLightLoad(engine, map[string]time.Duration{"a": 5 * time.Millisecond, "b": 5 * time.Millisecond})
				l.play(10 * time.Second)
				l.restart("a", 2)
				assertShare(t, l.play(time.Second), "a", 0.2, 0.8)
			})
			t.Run("the next incarnation of a slow one, too", func(t *testing.T) {
				l := newLightLoad(engine, map[string]time.Duration{"a": 40 * time.Millisecond, "b": 5 * time.Millisecond})
				l.play(10 * time.Second)
				l.takes["a"] = 5 * time.Millisecond
				l.restart("a", 2)
				assertShare(t, l.play(time.Second), "a", 0.2, 0.8)
			})
			t.Run("one stalled response has little effect, on its upstream and on the others", func(t *testing.T) {
				l := newLightLoad(engine, map[string]time.Duration{"a": 5 * time.Millisecond, "b": 5 * time.Millisecond, "c": 5 * time.Millisecond})
				l.play(5 * time.Second)
				l.stall("a", 10*time.Second)
				gets := l.play(2 * time.Second)
				assertShare(t, gets, "b", 0.2, 0.6)
				assertShare(t, gets, "c", 0.2, 0.6)
				l.play(6 * time.Second)
				assertShare(t, l.play(2*time.Second), "a", 0.2, 0.5)
			})
			t.Run("a slow one gets few requests", func(t *testing.T) {
				l := newLightLoad(engine, map[string]time.Duration{"a": 200 * time.Millisecond, "b": 50 * time.Millisecond, "c": 50 * time.Millisecond})
				l.play(5 * time.Second)
				assertShare(t, l.play(20*time.Second), "a", 0, 0.1)
			})
			t.Run("and its share again soon after it is as fast as the others", func(t *testing.T) {
				l := newLightLoad(engine, map[string]time.Duration{"a": 200 * time.Millisecond, "b": 50 * time.Millisecond, "c": 50 * time.Millisecond})
				l.play(10 * time.Second)
				l.takes["a"] = 50 * time.Millisecond
				l.play(5 * time.Second)
				assertShare(t, l.play(5*time.Second), "a", 0.2, 0.5)
			})
		})
	}
}

// TestPaceBounds: an upstream that responds far faster than the others, such as one that has its prompts
// cached, is estimated as at most twice as fast. Otherwise it would get all requests, including those that
// other upstreams would finish sooner.
func TestPaceBounds(t *testing.T) {
	var p pace
	for range 100 {
		p.observe(start, 0.01)
	}
	assert.Equal(t, minSlowness, p.slowness(start))
}
