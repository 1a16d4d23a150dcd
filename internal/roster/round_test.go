package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/pair"
)

func TestRound(t *testing.T) {
	now := time.Unix(1000, 0)
	node := func(name string, ago time.Duration) *Peer {
		return &Peer{Name: name, Address: name, Hall: "h", Signs: Signs{LastSeen: now.Add(-ago)}}
	}
	fresh, silent, leaving := node("fresh", 0), node("silent", time.Minute), node("leaving", 0)
	leaving.Leaving = true
	v := fleetOf(now, fresh, silent, leaving)
	var f pair.Fallback
	r := v.Round(&f)
	assert.Equal(t, 2, r.Responsive)
	assert.Equal(t, []string{"leaving"}, r.Leaving)
	assert.Equal(t, []*Peer{silent}, r.Silent)
	assert.Contains(t, r.Due, "silent", "it is called from both sides")
	t.Run("a silence is noted once, a call in progress isn't made again", func(t *testing.T) {
		r := v.Round(&f)
		assert.Empty(t, r.Silent)
		assert.Empty(t, r.Due)
	})
	t.Run("until the node was heard of again", func(t *testing.T) {
		silent.LastSeen = now
		assert.Equal(t, 3, v.Round(&f).Responsive)
		silent.LastSeen = now.Add(-time.Minute)
		assert.Len(t, v.Round(&f).Silent, 1)
	})
	t.Run("a node that was never heard of isn't silent", func(t *testing.T) {
		assert.Empty(t, fleetOf(now, &Peer{Name: "unknown"}).Round(&f).Silent)
	})
}

func TestRole(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(now time.Time, names ...string) View {
		var peers []*Peer
		for _, name := range names {
			peers = append(peers, &Peer{Name: name, Hall: "h", Cores: 2, StoreUp: true, Signs: Signs{LastSeen: now}})
		}
		return fleetOf(now, peers...)
	}
	follows := at(now, "b", "c") // both have more cores than a
	watches := at(now, "b")
	t.Run("the first of a hall watch", func(t *testing.T) {
		r := Role{StartedAt: now.Add(-time.Hour), RegistryRead: true}
		assert.True(t, r.MustWatch(watches, false, false))
		assert.False(t, r.MustWatch(follows, false, false))
		assert.ElementsMatch(t, []string{"b", "c"}, r.ToPoll(follows))
	})
	t.Run("a node that the watchers failed watches for a while", func(t *testing.T) {
		r := Role{RegistryRead: true}
		r.WatchItself(now)
		assert.True(t, r.MustWatch(follows, false, false))
		assert.False(t, r.MustWatch(at(now.Add(selfWatchDuration), "b", "c"), false, false))
	})
	t.Run("a starting node of a small fleet reads by itself", func(t *testing.T) {
		r := Role{StartedAt: now, RegistryRead: true}
		assert.True(t, r.MustWatch(follows, true, false))
	})
	t.Run("the holders of seats read while the whole system starts", func(t *testing.T) {
		r := Role{StartedAt: now.Add(-SeatHolderPeriod + time.Millisecond)}
		assert.True(t, r.MustWatch(follows, false, true))
		r.StartedAt = now.Add(-SeatHolderPeriod)
		assert.False(t, r.MustWatch(follows, false, true))
	})
	t.Run("and the others follow them", func(t *testing.T) {
		r := Role{StartedAt: now, Seats: []string{"s"}}
		assert.False(t, r.MustWatch(follows, true, false))
		assert.Equal(t, []string{"s"}, r.ToPoll(follows))
		r.StartedAt = now.Add(-SeatPeriod)
		assert.True(t, r.MustWatch(follows, true, false), "they have nothing")
		assert.NotEqual(t, []string{"s"}, r.ToPoll(follows))
	})
}

func TestEvents(t *testing.T) {
	var e Events
	assert.True(t, e.Take("peer_heard", 6), "a small fleet")
	for range 94 {
		assert.False(t, e.Take("peer_heard", 95))
	}
	assert.Equal(t, map[string]int{"peer_heard": 94}, e.EndRound(true))
	assert.True(t, e.Take("peer_heard", 95), "a watcher logs each")
	assert.Empty(t, e.EndRound(false))
}
