package pool

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/timer"
)

// shared is a request whose first part others have, too.
func shared(id string, own uint64) Request {
	return Request{ID: id, Service: "s", Engine: true, Prompt: 6000, Output: 100, Parts: []call.Part{{ID: 1, Tokens: 5000}, {ID: own, Tokens: 1000}}}
}

// fetchPools is two halls of two engines that read 30 tokens a millisecond; rate is that of
// their links.
func fetchPools(rate float64) *Pools {
	p := fetchPoolsAt(timer.NewManual(start))
	p.SetSize("s", capacity.Size{Slots: 8, Memory: 1e6, Fetch: rate})
	return p
}

// fetchPoolsAt is such pools by a clock.
func fetchPoolsAt(c *timer.Manual) *Pools {
	p := cutPools(c)
	p.RestoreEngine("s", capacity.Engine{Reading: 30, First: 30, Token: 10})
	return p
}

// busy queues prompts at an upstream.
func busy(p *Pools, id string, requests int) {
	for i := 0; i < requests; i++ {
		n := shared("b", uint64(100+i))
		n.Excluded = map[string]bool{"a1": true, "a2": true, "b1": true, "b2": true}
		delete(n.Excluded, id)
		p.Pick(n)
	}
}

func assertFetches(t *testing.T, p *Pools, want bool) {
	t.Helper()
	u := p.Pick(shared("x", 7))
	assert.NotEqual(t, "a1", u.Entry().ID, "a1 is busy")
	assert.Equal(t, want, u.Fetch() != "")
	if want {
		assert.Equal(t, 5000.0, u.Choice().Fetched)
		assert.Equal(t, 1000.0, u.prompt, "the rest is read")
	}
}

func TestFetch(t *testing.T) {
	t.Run("where the engine that has the part is busy", func(t *testing.T) {
		p := fetchPools(1000)
		busy(p, "a1", 4)
		assertFetches(t, p, true)
	})
	t.Run("not over links slower than reading", func(t *testing.T) {
		p := fetchPools(20)
		busy(p, "a1", 4)
		assertFetches(t, p, false)
	})
	t.Run("not where engines give nothing", func(t *testing.T) {
		p := fetchPools(0)
		busy(p, "a1", 4)
		assertFetches(t, p, false)
	})
	t.Run("not from one that can't be reached", func(t *testing.T) {
		p := fetchPools(1000)
		busy(p, "a1", 4)
		pickFrom(p, "a1").End(ResultUnreachable)
		assertFetches(t, p, false)
	})
	t.Run("from the own hall, if it has as much", func(t *testing.T) {
		members := []*member{{entry: Entry{Hall: "a", Address: "a1"}}, {entry: Entry{Hall: "b", Address: "b1"}}, {entry: Entry{Hall: "b", Address: "b2"}}}
		list := []Candidate{{Cached: 5000}, {Cached: 5000}, {}}
		sources(1000, members, list)
		assert.Equal(t, "b1", list[2].Source)
		assert.Equal(t, fetchMs+5, list[2].FetchMs)
		list = []Candidate{{Cached: 5000}, {Cached: 3000}, {}}
		sources(1000, members, list)
		assert.Equal(t, "a1", list[2].Source)
		assert.Equal(t, fetchMs+2*5, list[2].FetchMs)
	})
}
