// Package follow carries the configuration, the registry of nodes and the upstream list from the nodes that watch
// the store to the other nodes of their hall.
//
// A follower is sent the entries that changed (package changelog). It is sent the whole list only if it has none, or
// one that is too old, and then in parts: a list of thousands of entries takes longer than a call may take on a VM
// with a slow link. Of the large services of other halls it is sent a part of the upstreams (pool.ScopeKept). Followers
// of an earlier build take none of this, and are sent the whole list at once.
//
// A follower that has a list from one source asks another by the store's revision. A hash of all ids shows whether
// its list is the source's.
//
// Alternatives considered: sending the list along with the reports between nodes, which take seconds to reach all nodes of
// a large fleet; a tree over the nodes of a hall, whose inner nodes would be VMs with a tenth of a watcher's link.
package follow
