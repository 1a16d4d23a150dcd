package claim

import "fmt"

// This file is a world of machines in which everything may happen in any order.

// world is a few machines, the messages between them and a platform, driven one
// step at a time by a chooser. Every step is one that the brief's failures allow.
type world struct {
	pick     func(n int) int
	guards   guards
	compare  bool // the claim's transaction compares the member record
	nodes    []*node
	mail     []Message
	writes   []write
	log      []Change
	members  map[string]string
	claims   map[uint64]string
	runs     map[uint64][]string
	refused  map[string]bool
	joined   int
	attempts int
}

type node struct {
	m       *Machine
	hall    string
	dead    bool
	reach   bool // the platform answers it
	seen    int  // position in the platform's log
	allowed []Action
	records int // records still to write before its member record may go
	left    bool
}

type write struct {
	from    *node
	key     uint64
	attempt string
	record  bool
	erase   bool
}

func newWorld(pick func(n int) int, g guards, compare bool) *world {
	w := &world{
		pick: pick, guards: g, compare: compare, members: map[string]string{},
		claims: map[uint64]string{}, runs: map[uint64][]string{}, refused: map[string]bool{},
	}
	for i := 0; i < 3; i++ {
		w.join()
		for len(w.mail) > 0 {
			w.deliver(0)
		}
	}
	return w
}

func (w *world) join() {
	w.joined++
	n := &node{m: New(fmt.Sprintf("n%d", w.joined)), hall: fmt.Sprintf("hall%d", w.joined%2), reach: true}
	n.m.guards = w.guards
	w.members[n.m.ID()] = n.hall
	w.append(Change{Member: n.m.ID(), Hall: n.hall})
	w.nodes = append(w.nodes, n)
	var list []Change
	for _, o := range w.nodes {
		if h, ok := w.members[o.m.ID()]; ok {
			list = append(list, Change{Member: o.m.ID(), Hall: h})
		}
	}
	for k := uint64(0); k < keys; k++ {
		if a, ok := w.claims[k]; ok {
			list = append(list, Change{Key: k, Attempt: a, Revision: int64(len(w.log))})
		}
	}
	n.seen = len(w.log)
	n.m.SetPlatform(true)
	w.do(n, n.m.Join(list))
}

func (w *world) append(c Change) {
	c.Revision = int64(len(w.log) + 1)
	w.log = append(w.log, c)
}

func (w *world) do(n *node, list []Action) {
	for _, a := range list {
		switch a.Kind {
		case ActionSend:
			w.mail = append(w.mail, a.Message)
		case ActionWrite:
			w.writes = append(w.writes, write{from: n, key: a.Key, attempt: a.Attempt})
		case ActionRecord:
			n.records++
			w.writes = append(w.writes, write{from: n, key: a.Key, attempt: a.Attempt, record: true})
		case ActionErase:
			w.writes = append(w.writes, write{from: n, key: a.Key, attempt: a.Attempt, erase: true})
		case ActionRun:
			n.allowed = append(n.allowed, a)
		case ActionRefuse:
			w.refused[a.Attempt] = true
		}
	}
}

func (w *world) node(id string) *node {
	for _, n := range w.nodes {
		if n.m.ID() == id {
			return n
		}
	}
	return nil
}

func (w *world) deliver(i int) {
	g := w.mail[i]
	w.mail = append(w.mail[:i:i], w.mail[i+1:]...)
	if n := w.node(g.To); !n.dead {
		w.do(n, n.m.Receive(g))
	}
}

// effect lets a pending write reach the platform; its answer may be lost.
func (w *world) effect(i int, answer bool) {
	p := w.writes[i]
	w.writes = append(w.writes[:i:i], w.writes[i+1:]...)
	if p.erase {
		if w.claims[p.key] == p.attempt {
			delete(w.claims, p.key)
			w.append(Change{Key: p.key, Deleted: true})
		}
		return
	}
	_, listed := w.members[p.from.m.ID()]
	_, taken := w.claims[p.key]
	ok := !taken && (listed || !w.compare)
	if ok {
		w.claims[p.key] = p.attempt
		w.append(Change{Key: p.key, Attempt: p.attempt})
	}
	if p.record {
		p.from.records--
		return
	}
	if p.from.dead {
		return
	}
	switch {
	case !answer:
		w.do(p.from, p.from.m.Wrote(p.attempt, WriteUnknown, 0))
	case ok:
		w.do(p.from, p.from.m.Wrote(p.attempt, WriteGranted, int64(len(w.log))))
	default:
		w.do(p.from, p.from.m.Wrote(p.attempt, WriteRefused, 0))
	}
}

// lose gives up waiting for a write that may still have its effect later.
func (w *world) lose(i int) {
	p := w.writes[i]
	if !p.record && !p.erase && !p.from.dead {
		w.do(p.from, p.from.m.Wrote(p.attempt, WriteUnknown, 0))
	}
}

func (w *world) watch(n *node) {
	if n.seen >= len(w.log) || n.dead || !n.reach {
		return
	}
	c := w.log[n.seen]
	n.seen++
	w.do(n, n.m.Watch([]Change{c}))
}

// lastHolder tells whether taking n away would lose a promise for good: the one
// loss that the protocol states and doesn't cover.
func (w *world) lastHolder(n *node) bool {
	for k := uint64(0); k < keys; k++ {
		if _, ok := w.claims[k]; ok {
			continue
		}
		if _, ok := n.m.Known(k); !ok {
			continue
		}
		others := 0
		for _, o := range w.nodes {
			_, listed := w.members[o.m.ID()]
			if _, ok := o.m.Known(k); ok && o != n && !o.dead && !o.left && listed && o.m.Synced() {
				others++
			}
		}
		if others == 0 {
			return true
		}
	}
	return false
}

func (w *world) kill(n *node) {
	if !w.lastHolder(n) {
		n.dead = true
	}
}

// retire removes the record of a node that is dead, that has left and whose
// promises are recorded, or that the VM list wrongly takes for gone: such a node
// goes on, cut off and unaware. One at a time: if the list wrongly drops every
// node that made a promise, a joiner has nobody left to learn of it from, which
// docs/PROOFS.md states as not covered.
func (w *world) retire(n *node) {
	if _, ok := w.members[n.m.ID()]; !ok {
		return
	}
	clean := n.dead || n.left && n.records == 0 && n.reach
	if !clean && (w.lastHolder(n) || w.cutOff()) {
		return
	}
	delete(w.members, n.m.ID())
	w.append(Change{Member: n.m.ID(), Deleted: true})
}

// cutOff tells whether a node already goes on without being listed.
func (w *world) cutOff() bool {
	for _, n := range w.nodes {
		if _, listed := w.members[n.m.ID()]; !listed && !n.dead && !n.m.Stopped() {
			return true
		}
	}
	return false
}

func (w *world) run(n *node) error {
	if n.dead || len(n.allowed) == 0 {
		return nil
	}
	a := n.allowed[0]
	n.allowed = n.allowed[1:]
	if w.pick(5) == 0 { // the call found no upstream
		w.refused[a.Attempt] = true
		w.do(n, n.m.Finish(a.Attempt, false))
		return nil
	}
	w.runs[a.Key] = append(w.runs[a.Key], a.Attempt)
	w.do(n, n.m.Finish(a.Attempt, true))
	if len(w.runs[a.Key]) > 1 {
		return fmt.Errorf("key %d ran %d times: %v", a.Key, len(w.runs[a.Key]), w.runs[a.Key])
	}
	if w.refused[a.Attempt] {
		return fmt.Errorf("attempt %s ran after it was told not-run", a.Attempt)
	}
	return nil
}

// step does one thing. The weights favour what moves the protocol on.
func (w *world) step() error {
	n := w.nodes[w.pick(len(w.nodes))]
	switch w.pick(20) {
	case 0, 1, 2:
		if !n.dead {
			w.attempts++
			w.do(n, n.m.Begin(uint64(w.pick(keys)), fmt.Sprintf("a%d", w.attempts), w.pick(4) > 0))
		}
	case 3, 4, 5, 6, 7:
		if len(w.mail) > 0 {
			w.deliver(w.pick(len(w.mail)))
		}
	case 8:
		if len(w.mail) > 0 && w.pick(3) == 0 { // lost
			i := w.pick(len(w.mail))
			w.mail = append(w.mail[:i:i], w.mail[i+1:]...)
		}
	case 9:
		if len(w.mail) > 0 && len(w.mail) < 40 { // doubled
			w.mail = append(w.mail, w.mail[w.pick(len(w.mail))])
		}
	case 10, 11:
		if len(w.writes) > 0 {
			w.effect(w.pick(len(w.writes)), w.pick(3) > 0)
		}
	case 12:
		if len(w.writes) > 0 {
			w.lose(w.pick(len(w.writes)))
		}
	case 13, 14:
		w.watch(n)
	case 15:
		n.reach = !n.reach
		w.do(n, n.m.SetPlatform(n.reach))
	case 16:
		w.trouble(n)
	case 17:
		if !n.dead && w.pick(2) == 0 && w.attempts > 0 {
			w.giveUp(n, fmt.Sprintf("a%d", 1+w.pick(w.attempts)))
		}
	default:
		return w.run(n)
	}
	return nil
}

// giveUp is a caller that stops waiting. Half of the time it had waited for an answer
// that is here already, which it then never uses.
func (w *world) giveUp(n *node, id string) {
	if w.pick(2) == 0 {
		w.do(n, n.m.Abandon(id))
		return
	}
	for i, a := range n.allowed {
		if a.Attempt == id {
			n.allowed = append(n.allowed[:i:i], n.allowed[i+1:]...)
			w.refused[id] = true
			w.do(n, n.m.GiveUp(id))
			return
		}
	}
}

func (w *world) trouble(n *node) {
	switch w.pick(5) {
	case 0:
		w.kill(n)
	case 1:
		w.retire(n)
	case 2:
		if w.joined < 6 {
			w.join()
		}
	case 3:
		if !n.dead && !n.left && !w.lastHolder(n) {
			n.left = true
			w.do(n, n.m.Leave())
		}
	default:
		if !n.dead {
			w.do(n, n.m.SyncAgain())
		}
	}
}
