package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0)

func ago(d time.Duration) time.Time { return now.Add(-d) }

// TestSilenceDoesntGrowWithTheFleet: a lost watcher or relay stayed in use for two minutes at 985 nodes, since it
// counted as silent only after several exchanges of its pair had been missed.
func TestSilenceDoesntGrowWithTheFleet(t *testing.T) {
	for _, nodes := range []int{300, 985, 2000} {
		s := Signs{LastSeen: ago(15 * time.Second), LastRelayed: ago(relayedSilence - time.Second)}
		assert.True(t, s.IsResponsive(now, nodes), "a digest names it")
		s.LastRelayed = ago(relayedSilence + time.Second)
		assert.False(t, s.IsResponsive(now, nodes))
		s.LastSeen = ago(time.Second)
		assert.True(t, s.IsResponsive(now, nodes), "its own report came since")
	}
}

// TestSmallFleetsGoByReports checks that in a fleet whose pairs swap often only a node's own reports count.
func TestSmallFleetsGoByReports(t *testing.T) {
	s := Signs{LastSeen: ago(20 * time.Second), LastRelayed: ago(0)}
	assert.False(t, s.IsResponsive(now, 50))
	assert.True(t, s.NeedsReport(now, 50))
	assert.True(t, s.IsResponsive(now, 500))
	assert.False(t, s.NeedsReport(now, 500))
	s.LastRelayed = ago(relayedSilence + time.Second)
	assert.True(t, s.NeedsReport(now, 500), "no current digest names it")
}

// TestNewNodesAreLeftToTheRelays: when all nodes of a fleet start, no digest names any for a moment. Each node
// called 12 others in each round meanwhile, over a new connection, and those piled up at VMs with 0.19 cores.
func TestNewNodesAreLeftToTheRelays(t *testing.T) {
	s := Signs{FoundAt: ago(time.Second)}
	assert.False(t, s.NeedsReport(now, 500))
	assert.True(t, s.NeedsReport(now, 50))
	s.FoundAt = ago(relayedSilence + time.Second)
	assert.True(t, s.NeedsReport(now, 500))
}

func TestPresence(t *testing.T) {
	s := Signs{LastListed: ago(time.Second)}
	assert.True(t, s.IsPresent(now, 985), "registered")
	assert.False(t, s.IsResponsive(now, 985))
	s.LastListed = ago(listedFor + time.Second)
	assert.False(t, s.IsPresent(now, 985))
}

func TestWatchers(t *testing.T) {
	nodes := []Node{{"a", 0.2, true}, {"b", 0.8, false}, {"c", 0.8, true}, {"d", 0.4, true}}
	assert.Equal(t, []string{"c", "d"}, Watchers(nodes, len(nodes)).Names(), "those with the most cores that reach the store")
	for i := range nodes {
		nodes[i].StoreUp = false
	}
	assert.Len(t, Watchers(nodes, len(nodes)), WatchersPerHall)
	assert.Equal(t, []string{"a"}, Watchers(nodes[:1], 1).Names())
}

// TestRegistryFollowers draws reads of the registry, and a node that is sent the changes now and then: it has
// the same nodes after each message.
func TestRegistryFollowers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := NewRegistry(), NewRegistry()
		sequence := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "reads") {
			var list []Member
			for i := range 6 {
				if rapid.Bool().Draw(t, "registered") {
					list = append(list, Member{Name: fmt.Sprint("n", i), Address: fmt.Sprint("10.0.0.", rapid.IntRange(1, 2).Draw(t, "address")), Hall: "a"})
				}
			}
			source.Replace(now, list)
			assert.Equal(t, len(list), len(source.Members()))
			if !rapid.Bool().Draw(t, "asks") {
				continue
			}
			if changed, gone, ok := source.Since(sequence); ok {
				follower.Apply(now, changed, gone)
			} else {
				follower.Replace(now, source.Members())
			}
			sequence, _ = source.Subscribe()
			assert.Equal(t, source.Members(), follower.Members())
		}
	})
}

// TestReadsWithoutChangesWakeNobody checks that reading the same registry again is no change.
func TestReadsWithoutChangesWakeNobody(t *testing.T) {
	r := NewRegistry()
	r.Replace(now, []Member{{Name: "a"}})
	first, _ := r.Subscribe()
	r.Replace(now.Add(time.Second), []Member{{Name: "a"}})
	second, _ := r.Subscribe()
	assert.Equal(t, first, second)
	assert.Zero(t, r.Age(now.Add(time.Second)))
}

// TestSlowWatchersArentAStorm: when the watchers of a hall didn't answer twice in a row, all nodes of the hall read the
// store by themselves, which made the store and the watchers slower still.
func TestSlowWatchersArentAStorm(t *testing.T) {
	reading := func(nodes int, silent time.Duration) int {
		count := 0
		for i := range 200 {
			if !WaitsForNews(silent, fmt.Sprint("edge-", i), nodes) {
				count++
			}
		}
		return count
	}
	assert.Equal(t, 200, reading(20, 0), "in a small fleet each node reads at once")
	assert.Zero(t, reading(985, newsPatience-time.Millisecond))
	assert.Less(t, reading(985, newsPatience+2*time.Second), 40)
	assert.Equal(t, 200, reading(985, newsPatience+985*readGap), "in the end each does")
}

func TestStartPatience(t *testing.T) {
	assert.False(t, WaitsToStart(0, "n", maxSmall))
	assert.True(t, WaitsToStart(0, "n", maxSmall+1))
	assert.False(t, WaitsToStart(StartPatience+985*readGap, "n", 985))
	assert.Equal(t, time.Second, MaxLag(time.Second, "n", maxSmall))
	assert.GreaterOrEqual(t, MaxLag(time.Second, "n", 985), newsPatience)
}

// TestIsGone: a node is forgotten once neither its reports nor the registry have named it for a while.
func TestIsGone(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		seen, listed time.Duration // ago
		want         bool
	}{
		"reports":                   {time.Second, time.Minute, false},
		"is registered":             {time.Minute, time.Second, false},
		"neither, for long enough":  {time.Minute, retention + time.Millisecond, true},
		"neither, a short time ago": {time.Minute, retention, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := Signs{LastSeen: now.Add(-c.seen), LastListed: now.Add(-c.listed)}
			assert.Equal(t, c.want, s.IsGone(now, 8))
		})
	}
}
