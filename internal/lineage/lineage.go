// Package lineage remembers which software version began a stream. Streams may go on only at upstreams of that version,
// and their callers come back to any node, often because the one that began them has ended.
//
// While a service has upstreams of one version alone, nothing is asked by nodes that can know so. The node that begins a
// resumable stream tells two others, its keepers: in each of two halls drawn from the stream's key, the first of the hall's
// candidates in an order that is drawn from the key, too; in a single hall the first two. Whoever takes the stream up asks
// these, and the next in each order. A stream costs a fixed number of messages, whatever the size of the fleet. The candidates
// are a tenth of a hall's nodes, and two at least: each keeps twice the streams of ten nodes at most. While there is one
// version, streams are told of once a second, if they last, and nothing is stored: a second version may appear while the node
// that began them is frozen. When it does, nodes tell of the streams that they have, before it gets its first request.
//
// All nodes may end at once, and all in turn within a stream's time. So while there are several versions each node stores what
// it remembers, several times a second while that changes, and its next process reads it; and a node that stops tells it to
// those that stay. A loss of all takes along what was told since the last save, so a stream is told of while its first event
// is awaited, and its request stays at that version from then on. A process that starts doesn't know which versions served before: the holder of the duties stores them, and
// until they are read, no stream is taken up there.
//
// A node that is out of step with the others (package follow) may lack a version that they use, and one that was may have missed
// one that came and went. It asks them though it knows of one alone, for as long as streams of that time can be owed. It also asks
// them, once, which versions they know: a stream that nobody remembers goes on only where the versions that are known together
// are one.
//
// A stream that nobody knows of is refused once two versions have had requests: all nodes that knew of it ended before they
// could tell or store it, or its keepers can't be reached.
//
// Alternatives considered: the version in an event's id or a header (events and heads are the upstream's own, and callers
// return nothing else); a write to the store for each stream (its rates are a few writes a second for each node); one value
// for all nodes' streams (each process that starts would read the fleet's, which grows with the square of its size); asking
// every node (messages grow with the fleet's size, and the one that knows has often ended); a version drawn from the
// request's id (upstreams of it may be full, and nodes differ on which versions there are).
//
//	lineage.go  which nodes keep a stream's record, and what one node remembers
//	keeper.go   tells other nodes and asks them
//	decide.go   decides which version a stream goes on at that is taken up
//	saved.go    keeps what this node remembers for its next process
package lineage

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurhall.example/spurhall/internal/roster"
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

// Add remembers streams, and returns how many of them it didn't know. What began a stream never changes, so that a later
// record only extends its time.
func (b *Book) Add(now time.Time, list ...Record) (added int) {
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
		added++
	}
	return added
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

// Records returns the streams that may still be taken up, the oldest first.
func (b *Book) Records(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Record
	for _, k := range b.order {
		if e := b.entries[k]; e.until.After(now) {
			list = append(list, Record{k, e.version, e.until.Sub(now)})
		}
	}
	return list
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

// NodesOf returns the nodes of a fleet that may keep records, the one that sees it unless it leaves.
func NodesOf(v roster.View) []Node {
	var list []Node
	if !v.Self.Leaving {
		list = append(list, Node{v.Self.Name, v.Self.Hall})
	}
	for p := range v.Present() {
		list = append(list, Node{p.Name, p.Hall})
	}
	return list
}

const (
	// keeperHalls is in how many halls a stream is known: one may be cut off.
	keeperHalls = 2
	// toldPerHall is how many nodes of each are told, and askedPerHall how many are asked: whoever asks may have heard of
	// a node's start that the one who told hadn't.
	toldPerHall  = 1
	askedPerHall = 2
	// askedWidely is how many candidates are asked, of any hall, for a stream that these don't know: all of both halls may
	// have been away when it was told. In a small fleet these are all.
	askedWidely = 24
	// minCandidates is how many nodes of a hall may keep records, or nodesPerCandidate nodes have one, whichever is more:
	// few enough that storing what they keep costs little, and enough that a part of them may end.
	minCandidates     = 2
	nodesPerCandidate = 10
	// spareCandidates is how many more of a hall may have been candidates while others of it were away.
	spareCandidates = 2
)

// Candidates returns the nodes that may keep records: some of each hall, which differ little while nodes come and go.
func Candidates(nodes []Node) []Node { return candidates(nodes, 0) }

// LateCandidates returns those that may have kept some lately.
func LateCandidates(nodes []Node) []Node { return candidates(nodes, spareCandidates) }

func candidates(nodes []Node, spare int) []Node {
	halls := make(map[string]int)
	for _, n := range nodes {
		halls[n.Hall]++
	}
	var list []Node
	for hall, size := range halls {
		t := top{most: max(minCandidates, (size+nodesPerCandidate-1)/nodesPerCandidate) + spare}
		for _, n := range nodes {
			if n.Hall == hall {
				t.add(n.Name, 0)
			}
		}
		for _, name := range t.names() {
			list = append(list, Node{Name: name, Hall: hall})
		}
	}
	return list
}

// Told returns the nodes that are told of a stream.
func Told(k Key, nodes []Node) []string { return keepers(k, nodes, toldPerHall) }

// Asked returns the nodes that are asked for a stream.
func Asked(k Key, nodes []Node) []string { return keepers(k, nodes, askedPerHall) }

// AskedWidely returns the nodes that are asked for a stream that those of Asked don't know: late candidates, and the nodes
// that a build without candidates tells, which chooses among all.
func AskedWidely(k Key, nodes []Node) []string {
	t := top{most: askedWidely}
	for _, n := range LateCandidates(nodes) {
		t.add(n.Name, k)
	}
	list := t.names()
	for _, name := range Told(k, nodes) {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list
}

// Others returns the nodes that are asked which versions served: as many as for a stream, in an order drawn from the name of the
// one that asks.
func Others(self string, nodes []Node) []string {
	list := AskedWidely(KeyOf(self, ""), nodes)
	return slices.DeleteFunc(list, func(name string) bool { return name == self })
}

func keepers(k Key, nodes []Node, perHall int) []string {
	halls := top{most: keeperHalls}
	for _, n := range nodes {
		halls.add(n.Hall, k)
	}
	if len(halls.list) == 1 {
		perHall = max(perHall, keeperHalls)
	}
	var list []string
	for _, h := range halls.list {
		t := top{most: perHall}
		for _, n := range nodes {
			if n.Hall == h.name {
				t.add(n.Name, k)
			}
		}
		list = append(list, t.names()...)
	}
	return list
}

// top holds the names of the lowest weights for a key, lowest first.
type top struct {
	most int
	list []weighted
}

func (t *top) names() []string {
	list := make([]string, len(t.list))
	for i, v := range t.list {
		list[i] = v.name
	}
	return list
}

type weighted struct {
	name   string
	weight uint64
}

// add adds a name, unless it is there.
func (t *top) add(name string, k Key) {
	v := weighted{name, weight(name, k)}
	i := len(t.list)
	for i > 0 && v.less(t.list[i-1]) {
		i--
	}
	if i > 0 && t.list[i-1] == v || i == t.most {
		return
	}
	t.list = slices.Insert(t.list, i, v)
	t.list = t.list[:min(len(t.list), t.most)]
}

func (v weighted) less(o weighted) bool {
	return cmp.Or(cmp.Compare(v.weight, o.weight), cmp.Compare(v.name, o.name)) < 0
}

// weight returns a number that looks drawn anew for each name and key (the last step of splitmix64).
func weight(name string, k Key) uint64 {
	x := xxhash.Sum64String(name) ^ uint64(k)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
