package edge

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/handover"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/wire"
)

// This file shares the crash evidence about requests (package quarantine) between nodes. It is part of every
// report, digest and swap, and each node propagates what is new to it, so that an update reaches all nodes
// within a pair's round, or three steps over relays.
//
// The evidence that quarantines requests is also kept in the store, where the holder of the duties writes it
// (package handover).

// mergeSuspicions merges the evidence of another node.
func (n *Node) mergeSuspicions(m *wire.Suspicions, source string) {
	if m != nil {
		now := n.clock.Now()
		n.front.ApplyQuarantine(n.quarantine.Merge(now, quarantine.UpdateFromWire(now, m)), source)
	}
}

// suspicions returns this node's evidence for the other nodes, or nil if there is none.
func (n *Node) suspicions() *wire.Suspicions {
	now := n.clock.Now()
	return n.quarantine.BuildUpdate(now).ToWire(now)
}

const (
	// maxHallProbes is how many nodes of a hall are probed for reachability: one may have crashed.
	maxHallProbes = 2
	// hallProbeTimeout bounds each probe, like a connection attempt to an upstream.
	hallProbeTimeout = 300 * time.Millisecond
)

// reachesHall reports whether a hall is reachable: one of its nodes accepts a connection. If no node of it is
// known, there is no sign of a partition.
func (n *Node) reachesHall(ctx context.Context, hall string) bool {
	n.mu.Lock()
	addresses := n.view(n.clock.Now()).LastHeard(hall, maxHallProbes)
	n.mu.Unlock()
	d := net.Dialer{Timeout: hallProbeTimeout}
	for _, a := range addresses {
		if c, err := d.DialContext(ctx, "tcp", a); err == nil {
			_ = c.Close()
			return true
		}
	}
	return len(addresses) == 0
}

// restoreQuarantine restores the evidence that was stored before this process started.
func (n *Node) restoreQuarantine(ctx context.Context) {
	if n.settings.FirstStart {
		return
	}
	if u := handover.ReadCrashes(ctx, n.records(), n.clock); !u.Empty() {
		n.log.Info("held_found", zap.Int("ends", len(u.Crashes)))
		n.front.ApplyQuarantine(n.quarantine.Merge(n.clock.Now(), u), handover.CrashesRecord.Key)
	}
	if u := handover.ReadParts(ctx, n.records(), n.clock); !u.Empty() {
		n.log.Info("held_parts_found", zap.Int("ends", len(u.PartCrashes)))
		n.front.ApplyQuarantine(n.quarantine.Merge(n.clock.Now(), u), handover.PartsRecord.Key)
	}
}

// holdsDuties reports whether this node holds the lease of the duties, which one node has at a time.
func (n *Node) holdsDuties() bool {
	_, held := n.lease.Token()
	return held
}
