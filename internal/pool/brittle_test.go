package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/timer"
)

// brittlePools returns the pools of one node with two brittle upstreams of two slots each.
func brittlePools(t *testing.T) (*Pools, *timer.Manual, map[string]Entry) {
	t.Helper()
	p, clock, entries := twoUpstreams(2)
	assert.True(t, p.ObserveBrittle(entries["a"], call.Brittle{Stated: true, Rejections: 3}, start))
	return p, clock, entries
}

func TestBrittleUpstreams(t *testing.T) {
	request := Request{ID: "r", Service: "s"}
	t.Run("get no more than they have slots for", func(t *testing.T) {
		p, clock, e := brittlePools(t)
		var uses []*Use
		for range 4 {
			u := p.Pick(request)
			require.NotNil(t, u)
			uses = append(uses, u)
		}
		assert.Nil(t, p.Pick(request), "another one would have to wait")
		assert.Positive(t, p.RetryAfter("s"))
		uses[0].Started()
		uses[0].End(ResultGood)
		assert.NotNil(t, p.Pick(request))
		assert.Nil(t, p.Pick(request))
		clock.Advance(time.Millisecond)
		assert.True(t, p.ObserveBrittle(e["a"], call.Brittle{}, clock.Service().Now()))
		assert.NotNil(t, p.Pick(request), "the service is brittle no longer")
	})
	t.Run("get nothing for a while after a rejection, then one request at a time", func(t *testing.T) {
		p, clock, _ := brittlePools(t)
		u := p.Pick(onlyA())
		u.End(ResultRejected)
		held := u.HoldOff()
		assert.Positive(t, held)
		assert.Nil(t, p.Pick(onlyA()))
		assert.NotNil(t, p.Pick(request), "the other one takes it")
		clock.Advance(held)
		probe := p.Pick(onlyA())
		require.NotNil(t, probe)
		assert.Nil(t, p.Pick(onlyA()))
		probe.Started()
		assert.NotNil(t, p.Pick(onlyA()))
	})
	t.Run("get a request in a while though this node holds off from all, which may tell that they are sound", func(t *testing.T) {
		p, clock, e := brittlePools(t)
		for range 2 {
			u := p.Pick(request)
			u.End(ResultRejected)
			u.HoldOff()
		}
		probe := p.Pick(request)
		require.NotNil(t, probe)
		assert.Nil(t, p.Pick(request))
		wait := p.RetryAfter("s")
		assert.Positive(t, wait)
		assert.LessOrEqual(t, wait, 3*time.Second)
		clock.Advance(3 * time.Second)
		require.NotNil(t, p.Pick(request))
		assert.True(t, p.ObserveBrittle(e["a"], call.Brittle{}, clock.Service().Now()))
		assert.NotNil(t, p.Pick(request))
		assert.NotNil(t, p.Pick(request))
	})
	t.Run("of other nodes", func(t *testing.T) {
		p, _, _ := brittlePools(t)
		p.ApplyReport("other", []Load{{Upstream: "a", Running: 2}}, nil, nil)
		assert.Nil(t, p.Pick(onlyA()))
	})
}
