package relay

import (
	"maps"
	"time"
)

// This file is the other side of a digest: what a node knows of the others by its relay.

// Word is what a node knows of another one's process.
type Update struct {
	Node     string
	Incarnation string
	Sequence uint64
	Uptime   time.Duration // now
	Age      time.Duration // since the node was heard by its relay
	Spent    map[string]float64
}

// View is what a node was told by its relay. It isn't safe for concurrent use.
type View struct {
	relay    string
	lifetime string // of the relay
	version  uint64
	nodes    map[string]*told
}

type told struct {
	Update
	relay  string
	silent bool      // its relay doesn't hear it
	began  time.Time // of the process
}

// Known returns the relay's process and the version up to which its changes are known, for
// the next question to that relay.
func (v *View) KnownVersion(relay string) (lifetime string, version uint64) {
	if relay != v.relay {
		return "", 0
	}
	return v.lifetime, v.version
}

// Take takes in a relay's digest, and returns what is known by it of each node that some
// relay hears.
func (v *View) ApplyDigest(now time.Time, relay string, d Digest) []Update {
	if relay != v.relay || d.Incarnation != v.lifetime {
		*v = View{relay: relay, lifetime: d.Incarnation, nodes: make(map[string]*told)}
	}
	v.version = d.Version
	for _, c := range d.Changes {
		v.change(now, c)
	}
	var list []Update
	for _, t := range v.nodes {
		age, heard := d.Relays[t.relay]
		if t.silent || !heard || age > silentAfter {
			continue
		}
		t.Age = age
		t.Uptime = now.Sub(t.began)
		list = append(list, t.Update)
	}
	return list
}

// change keeps a silent node, too: once it is heard again, only what changed is told.
func (v *View) change(now time.Time, c Change) {
	old := v.nodes[c.Node]
	t := &told{Update: Update{Node: c.Node, Incarnation: c.Incarnation, Sequence: c.Sequence}, relay: c.Relay, silent: c.Unresponsive, began: now.Add(-c.Uptime - c.Age)}
	t.Spent = c.Spent
	if old != nil && old.Incarnation == c.Incarnation {
		t.Spent = maps.Clone(old.Spent) // whoever was given it keeps it
		maps.Copy(t.Spent, c.Spent)
	}
	v.nodes[c.Node] = t
}
