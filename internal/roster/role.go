package roster

import (
	"slices"
	"time"
)

// This file decides whether a node watches the store or follows the nodes of its hall that do.
//
// A node that gets no updates from the watchers, or that learns of a change which they lack, watches by
// itself for a while. In a small fleet a starting node does so until it has received reports from its hall: it
// needs the store's state at once. In a large one, all nodes together would read more than the store can send
// (10,000 entries are some 3 MB), so a starting node follows the watchers that the registry names, and reads by
// itself only if they have nothing for some seconds.

const (
	// selfWatchDuration is how long a node watches by itself after the watchers failed it.
	selfWatchDuration = 5 * time.Second
	// SeatPeriod is how long the nodes of a hall ask the holders of its seats while the whole system starts (package seat):
	// by then, the nodes know each other, and the watchers have read the store.
	SeatPeriod = 8 * time.Second
	// SeatHolderPeriod is how long the holders read for them: nodes start some seconds apart.
	SeatHolderPeriod = 2 * SeatPeriod
)

// Role is what decides whether a node watches the store.
type Role struct {
	StartedAt    time.Time
	RegistryRead bool     // the registry of nodes has been read, or was sent
	Seats        []string // nodes that read the store for this one while the whole system starts
	selfUntil    time.Time
}

// WatchItself makes the node watch by itself for a while.
func (r *Role) WatchItself(now time.Time) { r.selfUntil = now.Add(selfWatchDuration) }

// MustWatch reports whether the node has to watch the store now. A starting node lacks the configuration or the upstream
// list; one that holds a seat reads the store for its hall while the whole system starts.
func (r *Role) MustWatch(v View, starting, holdsSeat bool) bool {
	switch {
	case v.Now.Before(r.selfUntil) || holdsSeat && v.Now.Sub(r.StartedAt) < SeatHolderPeriod:
		return true
	case starting:
		return !r.StartsAsFollower(v)
	}
	return v.IsWatcher()
}

// StartsAsFollower reports whether a starting node waits for its hall's watchers.
func (r *Role) StartsAsFollower(v View) bool {
	age := v.Now.Sub(r.StartedAt)
	if len(r.Seats) > 0 && !r.RegistryRead {
		return age < StartPatience
	}
	if !r.RegistryRead || v.IsWatcher() {
		return false
	}
	return WaitsToStart(age, v.Self.Name, v.Size)
}

// ToPoll returns the nodes that the node polls, in the order in which it tries them: while the whole system starts, the
// holders of seats, and then the watchers, over which the nodes of a hall spread. In a large fleet, nodes that leave come
// last: until they end they watch on, which the ones that take over from them may not do yet.
func (r *Role) ToPoll(v View) []string {
	if len(r.Seats) > 0 && v.Now.Sub(r.StartedAt) < SeatPeriod {
		return r.Seats
	}
	names := v.watchers().Spread(v.Self.Name)
	if IsLarge(v.Size) {
		names = append(names, v.leavingWatchers()...)
	}
	return names
}

// IsWatcher reports whether the node is one of the watchers of its hall.
func (v View) IsWatcher() bool { return slices.Contains(v.Watchers(), v.Self.Name) }
