package edge

import (
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/follow"
)

// This file decides whether this node's list of upstreams is recent enough to choose from. An upstream that leaves
// serves on for a time that the operators state, and gets nothing new after it; a list that may lack changes of as long
// a time can't be chosen from. A node whose news is late because it isn't scheduled doesn't notice by the news itself.
//
// A list can't be confirmed while the store is away, and whoever reads it knows that: the last list then stays in use,
// unless other nodes report that they have a later one, or a later configuration. To a node that is cut off, or whose
// link is full, the store seems away as well.

// noNewsTTL is how long a watcher's word counts that it has no news: a node that follows asks again at once.
const noNewsTTL = 1500 * time.Millisecond

// listAge returns how old this node's list may be, and whether it is recent enough.
func (n *Node) listAge() (age time.Duration, current bool) {
	now := n.clock.Now()
	if n.listFollower.Connected() {
		n.confirmed.Confirm(now.Add(-n.lag.Late()))
	}
	age = n.confirmed.Age(now)
	most := follow.MaxAge(n.settings.DrainTime)
	current = most == 0 || (age <= most || n.storeIsAway(now)) && !n.knowsItselfBehind(now, most)
	n.noteListAge(age, current)
	return age, current
}

// storeIsAway reports whether the store can't be read, as far as this node has tried, or the watchers say.
func (n *Node) storeIsAway(now time.Time) bool {
	at := n.noNewsAt.Load()
	return n.listFollower.Lost() || at != nil && now.Sub(*at) < noNewsTTL
}

// knowsItselfBehind reports whether other nodes have had a later list or configuration for longer than d.
func (n *Node) knowsItselfBehind(now time.Time, d time.Duration) bool {
	version := int64(0)
	if c := n.currentCatalog(); c != nil {
		version = c.Version()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lacksList.Lasts(now, n.pools.Revision(), d) || n.catchUps.Lasts(now, version, d)
}

// noteListAge logs when the list becomes too old to choose from, and when it is recent enough again.
func (n *Node) noteListAge(age time.Duration, current bool) {
	if n.staleList.Swap(!current) == !current {
		return
	}
	event := "list_stale"
	if current {
		event = "list_current"
	}
	upstreamEvents.Add(event, 1)
	n.log.Info(event, zap.Duration("age", age), zap.Duration("late", n.lag.Late()), zap.Int64("revision", n.pools.Revision()))
}
