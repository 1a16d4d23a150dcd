// Package relay gathers what nodes report and hands it on, so that a node of a large fleet
// knows what the others do without talking to each of them.
//
// A few nodes of each hall are its relays. Every node of a hall tells one of them what it
// has, and gets a digest of all the others in the same call. Relays swap what their own
// nodes told them. So a figure takes three steps from any node to any other, whatever the
// size of the fleet, and the calls of a node that is no relay don't grow with it.
//
// A digest holds two kinds of things:
//
//   - What nodes have at upstreams, and what they see of a roll-out, adds up, and only the sum
//     is handed on: one for the nodes of the relay that answers, one for all the others.
//   - What a process has charged and counted since it began stays by process. It is exact,
//     any number of relays may tell it in any order, and a process that is gone is counted
//     once. Only what changed since the asker's last digest is told.
//
// Nothing is agreed on. A node that takes itself for a relay is one as soon as another node
// reports to it; two that think they are one only tell the same twice. A relay that is gone
// costs its nodes the time-out of a call. Nodes also swap reports in pairs, slowly (package
// edge), and go by these for every node that no digest covers.
//
// Weighed: gossip with random partners. A figure reaches all 95 nodes after some seven
// rounds instead of three steps, and each message bears what all nodes have at all
// upstreams, by node, since sums can't be told twice. A tree over all nodes: the loss of an
// inner node cuts off a part of the fleet until the tree is mended, and its root is a
// control VM by another name.
//
// The package is pure: time comes in, messages go out.
package relay

import (
	"time"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/usage"
)

const (
	// silentAfter is the silence after which a node no longer belongs to a relay: three
	// reports that were missed, and some delay. It has gone to another relay, or is cut off.
	silentAfter = time.Second
	// changesLimit bounds the processes whose changes one digest tells; the rest waits for
	// the next one. A fleet of 95 nodes, all of them busy, has as many as it has nodes.
	changesLimit = 128
	// placedLimit bounds the placements that are kept for nodes that ask for the first time.
	placedLimit = 4096
	// placedAgain is the age from which a placement is told again: those that hear of it
	// believe it for three times as long.
	placedAgain = 10 * time.Second
	// recordKeeps is how long a process is remembered that isn't heard any more: until its
	// counts have been reported.
	recordKeeps = 30 * time.Second
)

// Report is what a node tells its relay.
type Report struct {
	Node     string
	Incarnation string
	Sequence uint64 // rises with each report of a lifetime
	Uptime   time.Duration
	Loads    []pool.Load
	Placed   []pool.Placement
	Spent    map[string]float64 // tokens charged since the process began, by workspace
	Started  usage.Windows      // requests begun, of the newest windows
	Trials   []rollout.Update
	Reachability    pool.Reachability
}

// Change is what is new of one process.
type Change struct {
	Node     string
	Incarnation string
	Sequence uint64 // of its newest report; 0: it has come to another relay, and no more is told
	Uptime   time.Duration
	Age      time.Duration      // of the report
	Relay    string             // that the node reports to
	Unresponsive   bool               // the relay doesn't hear it any more
	Spent    map[string]float64 // of the workspaces that changed
	Started  usage.Windows      // between relays only
}

// Digest is what a relay tells a node: all that it knows of the other nodes.
type Digest struct {
	Incarnation string                   // of the relay's process
	Version  uint64                   // up to which changes are told
	Shares   []pool.PeerLoad             // of all nodes but the asker, as Shares returns them
	Relays   map[string]time.Duration // age of what each relay has told of its nodes
	Changes  []Change
	Placed   []pool.Placement
	Trials   []rollout.Update // of all nodes but the asker
	Reachability    pool.Reachability     // of the other nodes that report here
}

// Group is what a relay tells another one: its own nodes.
type Group struct {
	Relay    string
	Incarnation string
	Version  uint64 // up to which changes are told
	Share    pool.PeerLoad
	Changes  []Change
	Placed   []pool.Placement
	Trials   []rollout.Update
}
