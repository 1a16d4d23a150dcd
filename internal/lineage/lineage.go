// Package lineage remembers which software version began a stream. Streams may go on only at upstreams of that version,
// and their callers come back to any node, often because the one that began them has ended.
//
// While a service has upstreams of one version alone, nothing is told or asked. While it has several, the node that
// begins a resumable stream tells two others, its keepers: in each of two halls drawn from the stream's key, the first node of
// an order that is drawn from the key, too. Whoever takes the stream up asks these, and the next in each order. A stream costs a
// fixed number of messages, whatever the size of the fleet, and no keeper has more than its part of the streams. When a
// second version appears, nodes tell of the streams that they have, before it gets its first request.
//
// A stream that nobody knows of is refused once two versions have had requests: the node that began it ended before it
// could tell, or its keepers can't be reached.
//
// Alternatives considered: the version in an event's id or a header (events and heads are the upstream's own, and callers
// return nothing else); the store (its rates are a few writes a second for each node); asking every node (messages grow with
// the fleet's size, and the one that knows has often ended); a version drawn from the request's id (upstreams of it may be
// full, and nodes differ on which versions there are).
package lineage

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream: the workspace and the id of the attempt that brought its first event.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(workspace, request string) Key {
	d := xxhash.New()
	_, _ = d.WriteString(workspace) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(request)
	return Key(d.Sum64())
}

// Record is which version began a stream.
type Record struct {
	Key     Key
	Version string
	Left    time.Duration // for which the stream may still be taken up
}

// maxRecords bounds the streams that a node remembers, some 100 bytes each.
const maxRecords = 1 << 15

// entry is a remembered stream.
type entry struct {
	version string
	until   time.Time
}

// Book is what one node remembers. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	entries map[Key]entry
	order   []Key // in which they were added; the oldest goes first
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{entries: make(map[Key]entry)} }

// Add remembers streams. What began a stream never changes, so that a later record only extends its time.
func (b *Book) Add(now time.Time, list ...Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range list {
		old, known := b.entries[r.Key]
		until := now.Add(r.Left)
		if known && old.until.After(now) {
			old.until = later(old.until, until)
			b.entries[r.Key] = old
			continue
		}
		if !known {
			b.makeRoom(now)
			b.order = append(b.order, r.Key)
		}
		b.entries[r.Key] = entry{r.Version, until}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// makeRoom forgets streams that are over, and the oldest one if there are too many.
func (b *Book) makeRoom(now time.Time) {
	for len(b.order) > 0 && (!b.entries[b.order[0]].until.After(now) || len(b.order) >= maxRecords) {
		delete(b.entries, b.order[0])
		b.order = b.order[1:]
	}
}

// Version returns the version that began a stream, if it is known.
func (b *Book) Version(now time.Time, k Key) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, known := b.entries[k]
	return e.version, known && e.until.After(now)
}

// Len returns the number of streams that are remembered.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)
}

// Node is a node that may keep records.
type Node struct {
	Name, Hall string
}

const (
	// keeperHalls is in how many halls a stream is known: one may be cut off.
	keeperHalls = 2
	// toldPerHall is how many nodes of each are told, and askedPerHall how many are asked: whoever asks may have heard of
	// a node's start that the one who told hadn't.
	toldPerHall  = 1
	askedPerHall = 2
)

// Told returns the nodes that are told of a stream.
func Told(k Key, nodes []Node) []string { return keepers(k, nodes, toldPerHall) }

// Asked returns the nodes that are asked for a stream.
func Asked(k Key, nodes []Node) []string { return keepers(k, nodes, askedPerHall) }

func keepers(k Key, nodes []Node, perHall int) []string {
	weight := func(s string) uint64 {
		d := xxhash.NewWithSeed(uint64(k))
		_, _ = d.WriteString(s) // never fails
		return d.Sum64()
	}
	byHall := make(map[string][]string)
	var halls []string
	for _, n := range nodes {
		if byHall[n.Hall] == nil {
			halls = append(halls, n.Hall)
		}
		byHall[n.Hall] = append(byHall[n.Hall], n.Name)
	}
	first := func(list []string, n int) []string {
		slices.SortFunc(list, func(a, b string) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
		return list[:min(n, len(list))]
	}
	var list []string
	for _, h := range first(halls, keeperHalls) {
		list = append(list, first(byHall[h], perHall)...)
	}
	return list
}
