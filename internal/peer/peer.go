// Package peer holds the other nodes as one node knows them: which there are, what each last reported, and how it is called.
//
// Several sources tell of the same node: its own reports, the relays' digests, the registry, and other nodes that name it. The table
// decides which of them holds: a node's own report is newer than a digest with a lower sequence number of the same process, and a
// node that is heard isn't moved by a read of the registry that may be stale.
//
// A Table isn't safe for concurrent use, except for the clients: its owner guards it, with all peers in it, by a lock.
//
// The decisions on signs of life are those of package roster, and the pace of pairs that of package pair.
package peer

import (
	"sync"
	"time"

	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// Peer is another node as this node knows it.
type Peer struct {
	roster.Peer
	Incarnation string
	Sequence    uint64 // of its last report
	LastFailure string // of the last call; empty: it succeeded
	Work        map[string]capacity.Work
	WorkAt      time.Time // when it had sent that work to engines, since its process started; zero: none is known
	Trials      []rollout.Update
	Reach       pool.Reachability
	Relay       Relay

	clientMu sync.Mutex
	client   wireconnect.EdgeClient // nil: not called yet
}

// Relay is what a node knows of a peer as a relay.
type Relay struct {
	LastCalled       time.Time // last call for a swap
	LastSwapped      time.Time // last successful swap
	Busy             bool      // a swap is in progress
	KnownIncarnation string    // incarnation of this process that the relay knows, up to KnownVersion
	KnownVersion     uint64
}

// Report is what a peer's own report says of its node. Its maps and slices belong to the table afterwards.
type Report struct {
	Name, Address, Hall string
	Incarnation         string
	Sequence            uint64
	CatalogVersion      int64
	Cores               float64
	Leaving, StoreUp    bool
	Work                map[string]capacity.Work
	Trials              []rollout.Update
	Reach               pool.Reachability
}

// Relayed is what a relay's digest says of a node.
type Relayed struct {
	Name             string
	Incarnation      string
	Sequence         uint64
	Age              time.Duration
	Leaving, StoreUp bool
}

// isNew reports whether a report is newer than the last one of its node.
func (p *Peer) isNew(r *Report) bool {
	return p.Incarnation != r.Incarnation || r.Sequence > p.Sequence
}
