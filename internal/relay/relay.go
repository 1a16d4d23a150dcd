// Package relay aggregates and distributes the reports of nodes, so that a node of a large fleet knows the
// state of the others without calling each of them.
//
// A few nodes of each hall are its relays. Every node reports to one relay of its hall and receives a digest
// of all other nodes in the same call. Relays exchange the state of the nodes that report to them. So a value
// takes three steps from any node to any other, whatever the size of the fleet, and the number of calls of a
// node that is not a relay does not grow with it.
//
// A digest has two kinds of content:
//
//   - The load of nodes at upstreams and their observations of roll-outs are additive, and only sums are sent:
//     one for the nodes of the responding relay, one for all others.
//   - The tokens charged and requests counted by a process since its start are kept per process. They are
//     exact, may be sent by any number of relays in any order, and a process that is gone is counted once.
//     Only changes since the receiver's last digest are sent.
//
// There is no consensus on the relays. Any node acts as a relay once another node reports to it; two that both
// consider themselves the relay only send the same state twice. The loss of a relay costs its nodes the
// time-out of one call. Nodes also exchange reports in pairs, at a low rate (package edge), and use these for
// every node that no digest covers.
//
// Alternatives considered: gossip with random partners. A value reaches all 95 nodes after some seven rounds
// instead of three steps, and each message carries the load of all nodes at all upstreams, by node, since sums
// cannot be merged twice. A tree over all nodes: the loss of an inner node separates a part of the fleet until
// the tree is repaired, and its root is in effect a control VM.
//
// The package performs no input or output: callers pass the time and carry the messages.
package relay

import (
	"time"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/usage"
)

const (
	// unresponsiveAfter is the silence after which a node no longer counts as reporting to a relay: three
	// missed reports plus some delay. It has moved to another relay, or is partitioned.
	unresponsiveAfter = time.Second
	// maxChanges bounds the processes whose changes fit into one digest; the rest is sent with the next one.
	// A fleet of 95 nodes, all of them busy, has as many changed processes as nodes.
	maxChanges = 128
	// maxPlacements bounds the placements kept for nodes that ask for the first time.
	maxPlacements = 4096
	// placementRepeatAfter is the age after which a placement is sent again: receivers use it for three
	// times as long.
	placementRepeatAfter = 10 * time.Second
	// handoverSpan is the age up to which a node that comes from another relay may lack placements, and informedFor how
	// long after its last digest it counts as coming from another relay: the difference is what is on its way between relays.
	handoverSpan = 2 * time.Second
	informedFor  = 1500 * time.Millisecond
	// recordRetention is how long an unresponsive process is remembered: until its counts have been reported.
	recordRetention = 30 * time.Second
)

// Report is what a node sends to its relay.
type Report struct {
	Node         string
	Incarnation  string
	Sequence     uint64 // increases with each report of an incarnation
	Uptime       time.Duration
	Loads        []pool.Load
	Placed       []pool.Placement
	Spent        map[string]float64 // tokens charged since the process started, by workspace
	Started      usage.Windows      // requests started, in the newest windows
	Trials       []rollout.Update
	Reachability pool.Reachability
	Status       Status
	Work         map[string]capacity.Work // sent to engines since the process started, by service
}

// Status is what a node states of itself beside its counts.
type Status struct {
	Leaving   bool // it is stopping
	StoreDown bool // the store isn't available to it
}

// Change is the changed state of one process.
type Change struct {
	Node         string
	Incarnation  string
	Sequence     uint64 // of its newest report; 0: the node moved to another relay, and no more is sent
	Uptime       time.Duration
	Age          time.Duration      // of the report
	Relay        string             // relay that the node reports to
	Unresponsive bool               // the relay no longer receives its reports
	Spent        map[string]float64 // changed workspaces only
	Started      usage.Windows      // between relays only
	Status       Status
	Work         map[string]capacity.Work // between relays only
}

// Digest is what a relay sends to a node: its state of the other nodes.
type Digest struct {
	Incarnation  string                   // of the relay's process
	Version      uint64                   // up to which changes are included
	Shares       []pool.PeerLoad          // of all nodes but the receiver, as returned by Shares
	Relays       map[string]time.Duration // age of each relay's last group
	Changes      []Change
	Placed       []pool.Placement
	Trials       []rollout.Update  // of all nodes but the receiver
	Reachability pool.Reachability // of the other nodes that report to this relay
}

// Group is what a relay sends to another: the state of the nodes that report to it.
type Group struct {
	Relay       string
	Incarnation string
	Version     uint64 // up to which changes are included
	Share       pool.PeerLoad
	Changes     []Change
	Placed      []pool.Placement
	Trials      []rollout.Update
}
