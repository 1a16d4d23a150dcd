package edge

import (
	"context"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/wire"
)

// This file carries what nodes know of requests that end upstreams (package quarantine). It
// goes with every report, digest and swap: what is news to a node it tells on, so that a word
// is everywhere after a pair's round, or three steps over relays.
//
// What holds requests back also stands in the store, where the holder of the duties writes it,
// so that a loss of all processes doesn't cost another three upstreams for each request.

// suspicionsAgain is how often a process that starts asks a store that doesn't answer.
const suspicionsAgain = time.Second

// hearSuspicions takes in what another node knows.
func (n *Node) hearSuspicions(m *wire.Suspicions, source string) {
	if m != nil {
		now := n.clock.Now()
		n.front.ApplyQuarantine(n.suspects.Merge(now, quarantine.UpdateFromWire(now, m)), source)
	}
}

// suspicions is what this node tells the others now; nil: nothing.
func (n *Node) suspicions() *wire.Suspicions {
	now := n.clock.Now()
	return n.suspects.BuildUpdate(now).ToWire(now)
}

const (
	// waysTried is how many nodes of a hall are tried for the way there: one may have ended.
	waysTried = 2
	// wayTimeout bounds each try, as it does for a connection to an upstream.
	wayTimeout = 300 * time.Millisecond
)

// reaches tells whether the way to a hall is open: one of its nodes listens. Where none is
// known, nothing speaks for a cut.
func (n *Node) reaches(ctx context.Context, hall string) bool {
	n.mu.Lock()
	var list []*peer
	for _, p := range n.peers.peers {
		if p.hall == hall {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *peer) int { return y.heard.Compare(x.heard) })
	addresses := make([]string, 0, waysTried)
	for _, p := range list[:min(len(list), waysTried)] {
		addresses = append(addresses, p.address)
	}
	n.mu.Unlock()
	d := net.Dialer{Timeout: wayTimeout}
	for _, a := range addresses {
		if c, err := d.DialContext(ctx, "tcp", a); err == nil {
			_ = c.Close()
			return true
		}
	}
	return len(addresses) == 0
}

// heldRecord is what holds requests back.
var heldRecord = record{name: "held", key: "spurhall/held"}

// heldEnd is an end of an upstream, by the wall clock: it is read by processes of other VMs.
type heldEnd struct {
	Print    quarantine.Fingerprint `json:"print"`
	Upstream string           `json:"upstream"`
	At       int64            `json:"at"` // Unix milliseconds
}

// heldRequests is the side of the duties' holder.
type heldRequests struct {
	token   int64 // of the term in which it was written
	written int64
}

// write puts what holds requests back into the store when it has changed. What can't be
// written is tried again with the next step.
func (v *heldRequests) write(ctx context.Context, n *Node, token int64) {
	ends, version := n.suspects.Evidence()
	if version == 0 || version == v.written && token == v.token {
		return // nothing was ever held, or it stands there; what a term before wrote may be lost
	}
	list := make([]heldEnd, len(ends))
	for i, e := range ends {
		list[i] = heldEnd{e.Fingerprint, e.Upstream, n.clock.WallOf(e.At).UnixMilli()}
	}
	if heldRecord.write(ctx, n, token, list) {
		v.written, v.token = version, token
	}
}

// recallHeld reads what held requests back before this process began.
func (n *Node) recallHeld(ctx context.Context) {
	if n.s.FirstStart {
		return
	}
	var list []heldEnd
	for {
		found, err := heldRecord.load(ctx, n, &list)
		if err == nil {
			break
		}
		n.log.Info("held_unread", zap.String("cause", err.Error()))
		if found || n.clock.Sleep(ctx, suspicionsAgain) != nil {
			return
		}
	}
	if len(list) == 0 {
		return
	}
	now := n.clock.Now()
	var w quarantine.Update
	for _, v := range list {
		at := now.Add(-max(0, now.Sub(n.clock.At(time.UnixMilli(v.At))))) // no end is to come
		w.Crashes = append(w.Crashes, quarantine.Crash{Fingerprint: v.Print, Upstream: v.Upstream, At: at})
	}
	n.log.Info("held_found", zap.Int("ends", len(w.Crashes)))
	n.front.ApplyQuarantine(n.suspects.Merge(now, w), heldRecord.key)
}
