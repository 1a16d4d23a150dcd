package egress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// failThree lets direct connections to three upstreams fail, and returns whether the last one makes the network
// suspected.
func failThree(p *Paths, ms int) (suspected bool) {
	for i := range suspectAfter {
		suspected = p.DirectFailed(at(ms+i), fmt.Sprint("u", i), 9)
	}
	return suspected
}

func TestNetworkIsSuspectedAfterSeveralUpstreamsInARow(t *testing.T) {
	t.Run("three upstreams", func(t *testing.T) {
		p := NewPaths(start)
		assert.True(t, failThree(p, 1000))
		assert.False(t, p.Lost())
		assert.False(t, p.DirectFailed(at(1020), "u3", 9), "it is told once")
	})
	t.Run("not one upstream alone", func(t *testing.T) {
		p := NewPaths(start)
		for i := range 5 {
			assert.False(t, p.DirectFailed(at(1000+i), "u", 9))
		}
	})
	t.Run("all upstreams, if there are fewer", func(t *testing.T) {
		p := NewPaths(start)
		assert.False(t, p.DirectFailed(at(1000), "a", 2))
		assert.True(t, p.DirectFailed(at(1001), "b", 2))
	})
	t.Run("not while another upstream responds", func(t *testing.T) {
		p := NewPaths(start)
		p.DirectFailed(at(1000), "u0", 9)
		p.DirectFailed(at(1001), "u1", 9)
		p.Heard(at(1002))
		assert.False(t, p.DirectFailed(at(1003), "u2", 9))
		assert.False(t, failThree(p, 1100), "too soon after the response")
		assert.True(t, p.DirectFailed(at(1200), "u3", 9))
	})
	t.Run("not by failures of long ago", func(t *testing.T) {
		p := NewPaths(start)
		p.DirectFailed(at(1000), "u0", 9)
		p.DirectFailed(at(1001), "u1", 9)
		assert.False(t, p.DirectFailed(at(4000), "u2", 9))
	})
}

func TestNetworkIsLostIfNoUpstreamIsHeardOfMeanwhile(t *testing.T) {
	t.Run("none", func(t *testing.T) {
		p := NewPaths(start)
		failThree(p, 1000)
		assert.True(t, p.Failed("u0"))
		assert.False(t, p.Failed("u3"))
		p.DirectFailed(at(1300), "u3", 9)
		assert.True(t, p.Conclude())
		assert.True(t, p.Lost())
		assert.Equal(t, PathPeer, p.First(at(1310), "other"))
	})
	t.Run("a probe opens", func(t *testing.T) {
		p := NewPaths(start)
		failThree(p, 1000)
		p.DirectOpened(at(1010), "u3")
		assert.False(t, p.Conclude())
		assert.False(t, p.Lost())
	})
	t.Run("an open connection lives on", func(t *testing.T) {
		p := NewPaths(start)
		failThree(p, 1000)
		p.Heard(at(1010))
		assert.False(t, p.Conclude())
	})
}

func TestNetworkIsRegainedByADirectConnectionOnly(t *testing.T) {
	p := NewPaths(start)
	failThree(p, 1000)
	p.Conclude()
	p.Heard(at(1100)) // on a connection that lives on
	assert.True(t, p.Lost())
	assert.True(t, p.DirectOpened(at(1200), "u0"))
	assert.False(t, p.Lost())
	assert.False(t, p.DirectOpened(at(1300), "u0"), "it is told once")
	assert.Equal(t, PathDirect, p.First(at(1300), "u0"))
}

func TestUpstreamOutOfReachOfThisNodeAlone(t *testing.T) {
	p := NewPaths(start)
	p.DirectFailed(at(1000), "u", 9)
	assert.Equal(t, PathDirect, p.First(at(1001), "u"), "nobody knows whether it has crashed")
	assert.True(t, p.MayUsePeer(at(1001), "u"))
	p.PeerOpened(at(1010), "u")
	assert.Equal(t, PathPeer, p.First(at(1011), "u"))
	p.DirectFailed(at(1020), "u", 9)
	assert.Equal(t, PathPeer, p.First(at(1021), "u"), "another try of the direct way shows nothing new")
	assert.True(t, p.OwnFault(at(1021), "u"))
	assert.False(t, p.OwnFault(at(1021), "other"))
	assert.Equal(t, PathDirect, p.First(at(3100), "u"), "the direct way is tried again")
	p.PeerFailed(at(3200), "u")
	assert.False(t, p.MayUsePeer(at(3300), "u"), "it has crashed")
	assert.True(t, p.MayUsePeer(at(5300), "u"))
}

// TestPathsStayBounded plays random results: the network is never suspected within quietTime of a sign of it.
func TestPathsStayBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p, now, sign := NewPaths(start), start, start
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(r, "ms")) * time.Millisecond)
			u := fmt.Sprint("u", rapid.IntRange(0, 400).Draw(r, "upstream"))
			switch rapid.IntRange(0, 4).Draw(r, "result") {
			case 0:
				p.DirectOpened(now, u)
				sign = now
			case 1:
				p.Heard(now)
				sign = now
			case 2:
				p.PeerFailed(now, u)
				p.Conclude()
			default:
				if p.DirectFailed(now, u, 400) && now.Sub(sign) < quietTime {
					r.Fatal("suspected though an upstream has just been heard of")
				}
			}
		}
		now = now.Add(2 * memory)
		p.PeerFailed(now, "last")
		if len(p.upstreams) != 1 {
			r.Fatalf("%d records are left", len(p.upstreams))
		}
	})
}

func names(list []Peer) (r []string) {
	for _, p := range list {
		r = append(r, p.Name)
	}
	return r
}

func TestPeersThatHeardOfTheHallComeFirst(t *testing.T) {
	list := []Peer{
		{Name: "silent", Hall: "a", Heard: -1},
		{Name: "far", Hall: "b", Heard: time.Second},
		{Name: "stale", Hall: "b", Heard: 5 * time.Second},
		{Name: "near", Hall: "a", Heard: time.Second},
		{Name: "refused", Hall: "a", Heard: 0, RefusedAt: at(9500)},
	}
	assert.Equal(t, []string{"near", "far", "silent", "stale"}, names(Rank(at(10000), "a", list)))
	assert.Contains(t, names(Rank(at(10600), "a", list)), "refused", "it is asked again after a while")
}

func TestConnectionsSpreadOverPeers(t *testing.T) {
	first := make(map[string]int)
	for range 300 {
		first[Rank(start, "a", []Peer{{Name: "x", Hall: "a"}, {Name: "y", Hall: "a"}, {Name: "z", Hall: "a"}})[0].Name]++
	}
	for _, n := range []string{"x", "y", "z"} {
		assert.Greater(t, first[n], 50, n)
	}
}
