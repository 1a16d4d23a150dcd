package roster

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/relay"
)

// fleetOf returns the view of node "a" of hall "h".
func fleetOf(now time.Time, peers ...*Peer) View {
	return View{
		Now: now, Self: Peer{Name: "a", Hall: "h", Cores: 1, StoreUp: true}, Size: len(peers) + 1, Regions: map[string]string{"h": "r", "i": "r"},
		Peers: slices.Values(peers),
	}
}

func TestView(t *testing.T) {
	now := time.Unix(1000, 0)
	heard := func(name, hall string, ago time.Duration) *Peer {
		return &Peer{Name: name, Address: name + ":1", Hall: hall, Cores: 1, StoreUp: true, Signs: Signs{LastSeen: now.Add(-ago)}}
	}
	b, c, silent, leaving := heard("b", "h", 100*time.Millisecond), heard("c", "i", 0), heard("silent", "h", time.Hour), heard("leaving", "h", 0)
	leaving.Leaving = true
	v := fleetOf(now, b, c, silent, leaving)
	t.Run("senders are present and stay", func(t *testing.T) { assert.Equal(t, []string{"a", "b", "c"}, v.Senders()) })
	t.Run("relays of a hall", func(t *testing.T) {
		assert.ElementsMatch(t, []string{"a", "b"}, v.HallNodes("h").Names())
		assert.Equal(t, []string{"c"}, v.HallNodes("i").Names())
	})
	t.Run("relays of all halls", func(t *testing.T) {
		assert.Equal(t, []string{"a", "b", "c"}, v.RelaysOfAllHalls(func(l relay.Ranking) relay.Ranking { return l }))
		assert.Len(t, v.RelaysOfAllHalls(relay.Ranking.Active), 2, "one of each hall")
	})
	t.Run("a relay that failed is avoided", func(t *testing.T) {
		b.RelayFailedAt = now
		defer func() { b.RelayFailedAt = time.Time{} }()
		assert.Equal(t, []string{"a"}, v.HallNodes("h").Names())
	})
	t.Run("most nodes are heard", func(t *testing.T) {
		assert.True(t, v.HearsMost(time.Second), "three of four that stay")
		assert.False(t, fleetOf(now, b, silent, silent).HearsMost(time.Second), "half of them may be the fleet")
		assert.True(t, fleetOf(now).HearsMost(time.Second), "there is no other")
	})
	t.Run("watchers reach the store", func(t *testing.T) {
		assert.ElementsMatch(t, []string{"a", "b"}, v.Watchers())
		b.StoreUp = false
		assert.Equal(t, []string{"a"}, v.Watchers())
	})
	t.Run("last heard of", func(t *testing.T) {
		assert.Equal(t, []string{"leaving:1", "b:1"}, v.LastHeard("h", 2))
		assert.Empty(t, v.LastHeard("nowhere", 2))
	})
	t.Run("a node that leaves has no part", func(t *testing.T) {
		v.Self.Leaving = true
		assert.Equal(t, []string{"b", "c"}, v.Senders())
		assert.Equal(t, []string{"b"}, v.HallNodes("h").Names())
	})
}

func TestUnnamed(t *testing.T) {
	view := func(halls ...string) View {
		return View{
			Self: Peer{Hall: "a"}, Regions: map[string]string{"a": "r", "b": "r", "c": "r"},
			Peers: func(yield func(*Peer) bool) {
				for _, h := range halls {
					if !yield(&Peer{Hall: h}) {
						return
					}
				}
			},
		}
	}
	assert.Equal(t, 2, view().Unnamed(), "alone in one hall of three")
	assert.Equal(t, 6, view("a", "a").Unnamed())
	assert.Equal(t, 3, view("b", "b", "b", "").Unnamed(), "one whose hall isn't known stands for none")
	assert.Zero(t, view("b", "c").Unnamed())
}
