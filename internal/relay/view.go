package relay

import (
	"maps"
	"time"
)

// This file is the receiving side of a digest: a node's state of the others, as received from its relay.

// Update is what a node knows of another node's process.
type Update struct {
	Node        string
	Incarnation string
	Sequence    uint64
	Uptime      time.Duration // at the time of the digest
	Age         time.Duration // since the relay received the node's report
	Spent       map[string]float64
	Status      Status
}

// View is the state that a node has received from its relay. It is not safe for concurrent use.
type View struct {
	relay       string
	incarnation string // of the relay
	version     uint64
	receivedAt  time.Time // arrival of the last digest
	nodes       map[string]*nodeView
}

type nodeView struct {
	Update
	relay        string
	unresponsive bool      // its relay no longer receives its reports
	startedAt    time.Time // of the process
}

// KnownVersion returns the incarnation of the relay whose digests are known, and the version up to which they are, for
// the next request to a relay. A request to another relay has version 0: it shows that relay that the node has had
// digests, unless the last one is long ago.
func (v *View) KnownVersion(now time.Time, relay string) (incarnation string, version uint64) {
	switch {
	case relay == v.relay:
		return v.incarnation, v.version
	case now.Sub(v.receivedAt) <= informedFor:
		return v.incarnation, 0
	}
	return "", 0
}

// ApplyDigest applies a relay's digest, and returns the state of each node that reports to some relay.
func (v *View) ApplyDigest(now time.Time, relay string, d Digest) []Update {
	if relay != v.relay || d.Incarnation != v.incarnation {
		*v = View{relay: relay, incarnation: d.Incarnation, nodes: make(map[string]*nodeView)}
	}
	v.version, v.receivedAt = d.Version, now
	for _, c := range d.Changes {
		v.applyChange(now, c)
	}
	var list []Update
	for _, t := range v.nodes {
		age, listed := d.Relays[t.relay]
		if t.unresponsive || !listed || age > unresponsiveAfter {
			continue
		}
		t.Age = age
		t.Uptime = now.Sub(t.startedAt)
		list = append(list, t.Update)
	}
	return list
}

// applyChange keeps unresponsive nodes too: if one reports again, only its changes are sent.
func (v *View) applyChange(now time.Time, c Change) {
	old := v.nodes[c.Node]
	t := &nodeView{Update: Update{Node: c.Node, Incarnation: c.Incarnation, Sequence: c.Sequence, Status: c.Status}, relay: c.Relay, unresponsive: c.Unresponsive, startedAt: now.Add(-c.Uptime - c.Age)}
	t.Spent = c.Spent
	if old != nil && old.Incarnation == c.Incarnation {
		t.Spent = maps.Clone(old.Spent) // the old map has been returned to callers
		maps.Copy(t.Spent, c.Spent)
	}
	v.nodes[c.Node] = t
}
