package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newHall returns the nodes of a hall as one of its small nodes sees them in a fleet: large VMs, those among them that leave, and small ones.
func newHall(now time.Time, large, leaving, small, fleet int) View {
	add := func(list []*Peer, prefix string, n int, cores float64) []*Peer {
		for i := range n {
			name := fmt.Sprint(prefix, i)
			list = append(list, &Peer{Name: name, Hall: "h", Cores: cores, StoreUp: true, Signs: Signs{LastSeen: now, LastRelayed: now}})
		}
		return list
	}
	peers := add(add(nil, "large-", large, 0.8), "edge-", small-1, 0.192)
	for _, p := range peers[:leaving] {
		p.Leaving = true
	}
	v := fleetOf(now, peers...)
	v.Self = Peer{Name: "self", Hall: "h", Cores: 0.192, StoreUp: true}
	v.Size = fleet
	return v
}

// TestSmallVMIsRelayAndWatcherAtOnce: it had the reports of half of its hall, and the polls of all of it.
func TestSmallVMIsRelayAndWatcherAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, v := range []struct{ large, leaving int }{{2, 2}, {2, 1}, {0, 0}} {
		hall := newHall(now, v.large, v.leaving, 27, 77)
		relays := hall.HallNodes("h").Active()
		watchers := hall.watchers()
		assert.Len(t, watchers, WatchersPerHall)
		for _, w := range watchers {
			assert.True(t, w.BearsAll() || !relays.Has(w.Name()), "%s, %d of %d large ones leave", w.Name(), v.leaving, v.large)
		}
	}
	hall := newHall(now, 2, 0, 27, 77)
	assert.Equal(t, hall.HallNodes("h").Active().Names(), hall.Watchers(), "large VMs do both")
	hall = newHall(now, 0, 0, 3, 9)
	assert.Len(t, hall.Watchers(), WatchersPerHall, "where there are few nodes, these do both")
}

// TestAllNodesOfAHallPollOneWatcher: the other one had no followers.
func TestAllNodesOfAHallPollOneWatcher(t *testing.T) {
	hall, polls := newHall(time.Unix(1000, 0), 2, 2, 27, 77), make(map[string]int)
	for _, n := range hall.HallNodes("h") {
		hall.Self.Name = n.Name()
		polls[new(Role).ToPoll(hall)[0]]++
	}
	assert.Len(t, polls, WatchersPerHall)
	for w, n := range polls {
		assert.LessOrEqual(t, n, 18, "%s of 27: two thirds", w)
	}
}

// TestNodesHaveNoNewsWhileWatchersTakeOver: those that leave watch on until they end, and those that take over read the store first.
func TestNodesHaveNoNewsWhileWatchersTakeOver(t *testing.T) {
	hall := newHall(time.Unix(1000, 0), 2, 2, 27, 77)
	names := new(Role).ToPoll(hall)
	assert.ElementsMatch(t, hall.Watchers(), names[:2], "those that take over come first")
	assert.ElementsMatch(t, []string{"large-0", "large-1"}, names[2:])
	hall.Size = 9
	assert.Len(t, new(Role).ToPoll(hall), 2, "nodes of a small fleet read the store at once")
}
