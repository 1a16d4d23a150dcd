package edge

import (
	"context"
	"net"
	"slices"
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
// The evidence that quarantines requests is also kept in the store, where the holder of the duties writes it,
// so that after a loss of all processes each request doesn't crash another three upstreams.

// quarantineRetryPause is how often a starting process retries the read while the store is unavailable.
const quarantineRetryPause = time.Second

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
	var list []*peer
	for _, p := range n.peers.peers {
		if p.hall == hall {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *peer) int { return y.LastSeen.Compare(x.LastSeen) })
	addresses := make([]string, 0, maxHallProbes)
	for _, p := range list[:min(len(list), maxHallProbes)] {
		addresses = append(addresses, p.address)
	}
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

// quarantineRecord holds the crashes that quarantine requests.
var quarantineRecord = handover.Record{Name: "held", Key: "spurhall/held"}

// storedCrash is a crash of an upstream with its wall-clock time, as processes on other VMs read it.
type storedCrash struct {
	ID       quarantine.ID      `json:"print"`
	Prefixes []quarantine.Shape `json:"prefixes,omitempty"`
	Upstream string             `json:"upstream"`
	At       int64              `json:"at"` // Unix milliseconds
}

// quarantineWriter stores the evidence for the holder of the duties.
type quarantineWriter struct {
	token   int64 // of the term in which it was written
	written int64
}

// write stores the evidence that quarantines requests when it has changed. The next step repeats a failed
// write.
func (v *quarantineWriter) write(ctx context.Context, n *Node, token int64) {
	ends, version := n.quarantine.Evidence()
	if version == 0 || version == v.written && token == v.token {
		return // never any evidence, or already stored; a write of an earlier term may be lost
	}
	list := make([]storedCrash, len(ends))
	for i, e := range ends {
		list[i] = storedCrash{e.Fingerprint.ID(), e.Fingerprint.Prefixes(), e.Upstream, n.clock.WallOf(e.At).UnixMilli()}
	}
	if n.records().Write(ctx, quarantineRecord, token, list) {
		v.written, v.token = version, token
	}
}

// restoreQuarantine restores the evidence that was stored before this process started.
func (n *Node) restoreQuarantine(ctx context.Context) {
	if n.settings.FirstStart {
		return
	}
	var list []storedCrash
	for {
		found, err := n.records().Load(ctx, quarantineRecord, &list)
		if err == nil {
			break
		}
		n.log.Info("held_unread", zap.String("cause", err.Error()))
		if found || n.clock.Sleep(ctx, quarantineRetryPause) != nil {
			return
		}
	}
	if len(list) == 0 {
		return
	}
	now := n.clock.Now()
	var w quarantine.Update
	for _, v := range list {
		at := now.Add(-max(0, now.Sub(n.clock.At(time.UnixMilli(v.At))))) // no crash lies in the future
		w.Crashes = append(w.Crashes, quarantine.Crash{Fingerprint: quarantine.NewFingerprint(v.ID, v.Prefixes), Upstream: v.Upstream, At: at})
	}
	n.log.Info("held_found", zap.Int("ends", len(w.Crashes)))
	n.front.ApplyQuarantine(n.quarantine.Merge(now, w), quarantineRecord.Key)
}
