package claim

import "fmt"

// This file simulates several machines with events in any order.

// world is a set of machines, the messages between them and a platform. A chooser function selects each step,
// and every step is one of the failures or events that the protocol has to tolerate.
type world struct {
	pick     func(n int) int
	guards   guards
	compare  bool // the claim's transaction compares the member record
	nodes    []*node
	messages []Message
	writes   []write
	log      []Change
	members  map[string]string
	claims   map[uint64]string
	runs     map[uint64][]string
	rejected map[string]bool
	joined   int
	attempts int
}

type node struct {
	m           *Machine
	hall        string
	crashed     bool
	platformUp  bool // the platform responds to it
	logPosition int  // position in the platform's log
	allowed     []Action
	records     int // records still to write before its member record may be deleted
	left        bool
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
		claims: map[uint64]string{}, runs: map[uint64][]string{}, rejected: map[string]bool{},
	}
	for i := 0; i < 3; i++ {
		w.join()
		for len(w.messages) > 0 {
			w.deliver(0)
		}
	}
	return w
}

func (w *world) join() {
	w.joined++
	n := &node{m: New(fmt.Sprintf("n%d", w.joined)), hall: fmt.Sprintf("hall%d", w.joined%2), platformUp: true}
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
	n.logPosition = len(w.log)
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
			w.messages = append(w.messages, a.Message)
		case ActionWrite:
			w.writes = append(w.writes, write{from: n, key: a.Key, attempt: a.Attempt})
		case ActionRecord:
			n.records++
			w.writes = append(w.writes, write{from: n, key: a.Key, attempt: a.Attempt, record: true})
		case ActionErase:
			w.writes = append(w.writes, write{from: n, key: a.Key, attempt: a.Attempt, erase: true})
		case ActionRun:
			n.allowed = append(n.allowed, a)
		case ActionReject:
			w.rejected[a.Attempt] = true
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
	g := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	if n := w.node(g.To); !n.crashed {
		w.do(n, n.m.Receive(g))
	}
}

// applyWrite applies a pending write to the platform. Unless responds is set, its response is lost.
func (w *world) applyWrite(i int, responds bool) {
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
	if p.from.crashed {
		return
	}
	switch {
	case !responds:
		w.do(p.from, p.from.m.HandleWriteResult(p.attempt, WriteUnknown, 0))
	case ok:
		w.do(p.from, p.from.m.HandleWriteResult(p.attempt, WriteGranted, int64(len(w.log))))
	default:
		w.do(p.from, p.from.m.HandleWriteResult(p.attempt, WriteRejected, 0))
	}
}

// loseResponse reports a write as unknown that may still take effect later.
func (w *world) loseResponse(i int) {
	p := w.writes[i]
	if !p.record && !p.erase && !p.from.crashed {
		w.do(p.from, p.from.m.HandleWriteResult(p.attempt, WriteUnknown, 0))
	}
}

func (w *world) watch(n *node) {
	if n.logPosition >= len(w.log) || n.crashed || !n.platformUp {
		return
	}
	c := w.log[n.logPosition]
	n.logPosition++
	w.do(n, n.m.ApplyChanges([]Change{c}))
}

// holdsLastPromise returns whether removing n would lose a promise for good: the one loss that the protocol
// documents as not covered.
func (w *world) holdsLastPromise(n *node) bool {
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
			if _, ok := o.m.Known(k); ok && o != n && !o.crashed && !o.left && listed && o.m.Synced() {
				others++
			}
		}
		if others == 0 {
			return true
		}
	}
	return false
}

func (w *world) crash(n *node) {
	if !w.holdsLastPromise(n) {
		n.crashed = true
	}
}

// retire removes the record of a node that has crashed, that has left and whose promises are recorded, or
// that the VM list wrongly drops: such a node continues, partitioned and unaware. Only one node may be
// wrongly dropped at a time: if the list dropped every node that made a promise, a joiner would have no
// member to learn of it from, which docs/PROOFS.md documents as not covered.
func (w *world) retire(n *node) {
	if _, ok := w.members[n.m.ID()]; !ok {
		return
	}
	clean := n.crashed || n.left && n.records == 0 && n.platformUp
	if !clean && (w.holdsLastPromise(n) || w.hasUnlistedRunning()) {
		return
	}
	delete(w.members, n.m.ID())
	w.append(Change{Member: n.m.ID(), Deleted: true})
}

// hasUnlistedRunning returns whether a node runs already without being listed.
func (w *world) hasUnlistedRunning() bool {
	for _, n := range w.nodes {
		if _, listed := w.members[n.m.ID()]; !listed && !n.crashed && !n.m.Stopped() {
			return true
		}
	}
	return false
}

func (w *world) run(n *node) error {
	if n.crashed || len(n.allowed) == 0 {
		return nil
	}
	a := n.allowed[0]
	n.allowed = n.allowed[1:]
	if w.pick(5) == 0 { // the call found no upstream
		w.rejected[a.Attempt] = true
		w.do(n, n.m.Finish(a.Attempt, false))
		return nil
	}
	w.runs[a.Key] = append(w.runs[a.Key], a.Attempt)
	w.do(n, n.m.Finish(a.Attempt, true))
	if len(w.runs[a.Key]) > 1 {
		return fmt.Errorf("key %d ran %d times: %v", a.Key, len(w.runs[a.Key]), w.runs[a.Key])
	}
	if w.rejected[a.Attempt] {
		return fmt.Errorf("attempt %s ran after its caller was told that it had not run", a.Attempt)
	}
	return nil
}

// step runs one random event. The weights favour events that advance the protocol.
func (w *world) step() error {
	n := w.nodes[w.pick(len(w.nodes))]
	switch w.pick(20) {
	case 0, 1, 2:
		if !n.crashed {
			w.attempts++
			w.do(n, n.m.StartAttempt(uint64(w.pick(keys)), fmt.Sprintf("a%d", w.attempts), w.pick(4) > 0))
		}
	case 3, 4, 5, 6, 7:
		if len(w.messages) > 0 {
			w.deliver(w.pick(len(w.messages)))
		}
	case 8:
		if len(w.messages) > 0 && w.pick(3) == 0 { // lost
			i := w.pick(len(w.messages))
			w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
		}
	case 9:
		if len(w.messages) > 0 && len(w.messages) < 40 { // duplicated
			w.messages = append(w.messages, w.messages[w.pick(len(w.messages))])
		}
	case 10, 11:
		if len(w.writes) > 0 {
			w.applyWrite(w.pick(len(w.writes)), w.pick(3) > 0)
		}
	case 12:
		if len(w.writes) > 0 {
			w.loseResponse(w.pick(len(w.writes)))
		}
	case 13, 14:
		w.watch(n)
	case 15:
		n.platformUp = !n.platformUp
		w.do(n, n.m.SetPlatform(n.platformUp))
	case 16:
		w.injectFault(n)
	case 17:
		if !n.crashed && w.pick(2) == 0 && w.attempts > 0 {
			w.cancel(n, fmt.Sprintf("a%d", 1+w.pick(w.attempts)))
		}
	default:
		return w.run(n)
	}
	return nil
}

// cancel plays a caller that stops waiting. In half of the cases the permission has arrived already and is
// never used.
func (w *world) cancel(n *node, id string) {
	if w.pick(2) == 0 {
		w.do(n, n.m.Abandon(id))
		return
	}
	for i, a := range n.allowed {
		if a.Attempt == id {
			n.allowed = append(n.allowed[:i:i], n.allowed[i+1:]...)
			w.rejected[id] = true
			w.do(n, n.m.Cancel(id))
			return
		}
	}
}

func (w *world) injectFault(n *node) {
	switch w.pick(5) {
	case 0:
		w.crash(n)
	case 1:
		w.retire(n)
	case 2:
		if w.joined < 6 {
			w.join()
		}
	case 3:
		if !n.crashed && !n.left && !w.holdsLastPromise(n) {
			n.left = true
			w.do(n, n.m.Leave())
		}
	default:
		if !n.crashed {
			w.do(n, n.m.RetrySync())
		}
	}
}
