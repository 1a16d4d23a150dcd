// Package claim lets a call that may not be repeated run at most once per key,
// whichever nodes its caller retries through, and whether or not the platform
// answers.
//
// This file is the protocol as a pure state machine: events in, actions out, no
// clock and no I/O. book.go carries the actions out.
//
// With the platform, a claim is one compare-and-swap: the key must be absent and
// the claimant's own member record present. A claim outlives its holder, so a
// holder that is paused or dead can't lead to a second run.
//
// Without the platform, the claimant asks every member that it knows of for a
// promise, and runs only when all have promised:
//
//	A                B                C
//	mark k
//	ask k  --------> not known: mark k
//	ask k  -------------------------> not known: mark k
//	       <-------- grant
//	       <------------------------- grant
//	run
//
// Two nodes that try the same key at once refuse each other, and neither runs:
// that is the price of needing no leader. Majorities were refused, since they
// would be a consensus group; so were leased ranges of keys, since a paused owner
// would run its keys beside the next owner.
//
// Why at most one run per key holds: members and claims are followed in one
// ordered watch. Say A and B both run k. Not both by claim, by compare-and-swap.
// Say A by promises. If B was in A's view, B promised, so it knew k before its own
// try or refused A because of it. If B wasn't, either B joined later and A, which
// is listed, gave B its table before B was allowed to try; or A had seen B's
// removal, which comes after all of B's claims in the order of the watch, so A
// knew k. machine_test.go searches for the counterexample, and shows that it finds
// one as soon as any single guard is taken out.
package claim

import "sort"

// The messages.
const (
	MessageAsk     MessageKind = 1 // promise me this key
	MessageGrant   MessageKind = 2
	MessageDeny    MessageKind = 3
	MessageRelease MessageKind = 4 // the attempt is dead, forget its mark
	MessageSync    MessageKind = 5 // a joiner asks for the table
	MessageTable   MessageKind = 6
	MessageLeave   MessageKind = 7 // the sender has stopped for good
)

// The reasons.
const (
	ReasonNone     Reason = iota
	ReasonKnown           // the key was claimed, promised or is being tried
	ReasonView            // asker and peer don't have the same members in view
	ReasonUnsynced        // this node hasn't yet synced with every listed member
	ReasonStopped         // this node is leaving
	ReasonSilent          // a member didn't answer in time
	ReasonPlatform        // the platform is out and the call doesn't allow promises
	ReasonHalls           // nobody else, or nobody in a second hall, can promise
)

// The actions.
const (
	ActionSend   ActionKind = iota // send Message
	ActionWrite                    // write the claim, then call Wrote
	ActionRun                      // the attempt may run, now or later
	ActionRefuse                   // the attempt is dead: not run
	ActionRecord                   // write a promised key as a claim, no answer needed
	ActionErase                    // delete the claim if this attempt holds it
)

// The results. WriteUnknown: no answer, and it couldn't be read back.
const (
	WriteGranted WriteResult = iota
	WriteRefused
	WriteUnknown
)

const (
	phaseWriting phase = iota
	phaseAsking
	phaseRunning
	phaseDead
)

func allGuards() guards {
	return guards{
		peerKnows: true, markFirst: true, sameView: true,
		syncedFirst: true, deadStays: true, askAll: true, notAlone: true,
	}
}

// New returns a machine that isn't a member yet.
func New(id string) *Machine {
	return &Machine{
		id: id, view: make(map[string]string), retired: make(map[string]bool),
		halls: make(map[string]bool), pending: make(map[string]bool),
		marks: make(map[uint64][]string), claims: make(map[uint64]held),
		attempts: make(map[string]*attempt), released: make(map[string]bool),
		guards: allGuards(),
	}
}

// ID returns the member id.
func (m *Machine) ID() string { return m.id }

// Synced tells whether this node may try keys.
func (m *Machine) Synced() bool { return m.synced && !m.stopped }

// Joined tells whether Join was called.
func (m *Machine) Joined() bool { return m.joined }

// Stopped tells whether this node has stopped for good.
func (m *Machine) Stopped() bool { return m.stopped }

// Pending returns the members still to sync with, in order.
func (m *Machine) Pending() []string { return sorted(m.pending) }

// View returns the members in view, this node included, in order.
func (m *Machine) View() []string {
	r := make([]string, 0, len(m.view))
	for id := range m.view {
		r = append(r, id)
	}
	sort.Strings(r)
	return r
}

// Known tells whether the key may have run, and by which attempt.
func (m *Machine) Known(key uint64) (string, bool) {
	if h, ok := m.claims[key]; ok {
		return h.attempt, true
	}
	if l := m.marks[key]; len(l) > 0 {
		return l[0], true
	}
	return "", false
}

// Size returns the number of claims and of marks known.
func (m *Machine) Size() (claims, marks int) { return len(m.claims), len(m.marks) }

func (m *Machine) mark(key uint64, id string) {
	for _, o := range m.marks[key] {
		if o == id {
			return
		}
	}
	m.marks[key] = append(m.marks[key], id)
}

func (m *Machine) unmark(key uint64, id string) {
	l := m.marks[key]
	for i, o := range l {
		if o == id {
			l = append(l[:i:i], l[i+1:]...)
			break
		}
	}
	if len(l) == 0 {
		delete(m.marks, key)
		return
	}
	m.marks[key] = l
}

// Marked returns the marked keys in order.
func (m *Machine) Marked() []uint64 { return m.keys() }

// Forget drops the marks of a key whose declared lifetime is over.
func (m *Machine) Forget(key uint64) { delete(m.marks, key) }

func sorted(s map[string]bool) []string {
	r := make([]string, 0, len(s))
	for k := range s {
		r = append(r, k)
	}
	sort.Strings(r)
	return r
}

// Join begins membership, after this node's record was written: list holds the
// members and claims of one read that came after that write. It asks every other
// member for its table.
func (m *Machine) Join(list []Change) []Action {
	m.joined = true
	for _, c := range list {
		m.apply(c)
	}
	for id := range m.view {
		if id != m.id {
			m.pending[id] = true
		}
	}
	m.checkSynced()
	return m.SyncAgain()
}

// SyncAgain repeats the requests to the members not yet synced with.
func (m *Machine) SyncAgain() []Action {
	var r []Action
	for _, id := range m.Pending() {
		r = append(r, m.send(Message{Kind: MessageSync, To: id, View: []string{m.view[m.id]}}))
	}
	return r
}

func (m *Machine) checkSynced() {
	if len(m.pending) == 0 {
		m.synced = true
	}
}

func (m *Machine) send(g Message) Action {
	g.From = m.id
	return Action{Kind: ActionSend, Message: g}
}

// Watch takes the next changes of the ordered watch.
func (m *Machine) Watch(list []Change) []Action {
	var r []Action
	for _, c := range list {
		r = append(r, m.apply(c)...)
	}
	return r
}

func (m *Machine) apply(c Change) []Action {
	if c.Member == "" {
		return m.applyClaim(c)
	}
	if !c.Deleted {
		m.addMember(c.Member, c.Hall)
		return nil
	}
	m.drop(c.Member)
	if c.Member == m.id {
		return m.stop()
	}
	return nil
}

func (m *Machine) applyClaim(c Change) []Action {
	h, ok := m.claims[c.Key]
	if ok && c.Revision <= h.revision {
		return nil
	}
	if c.Deleted {
		delete(m.claims, c.Key)
		return nil
	}
	r := m.killTry(c.Key, c.Attempt)
	a := m.attempts[c.Attempt]
	own := a != nil || ok && h.own && h.attempt == c.Attempt
	m.claims[c.Key] = held{attempt: c.Attempt, revision: c.Revision, own: own}
	m.unmark(c.Key, c.Attempt)
	if a != nil {
		a.promised = false
	}
	return r
}

func (m *Machine) addMember(id, hall string) {
	if m.retired[id] {
		return
	}
	m.view[id] = hall
	m.halls[hall] = true
}

func (m *Machine) drop(id string) {
	m.retired[id] = true
	delete(m.view, id)
	if m.pending[id] {
		delete(m.pending, id)
		m.checkSynced()
	}
}

// learn takes in that a key may have run.
func (m *Machine) learn(e Entry) []Action {
	if e.Revision > 0 {
		return m.applyClaim(Change{Key: e.Key, Attempt: e.Attempt, Revision: e.Revision})
	}
	r := m.killTry(e.Key, e.Attempt)
	if m.claims[e.Key].attempt != e.Attempt {
		m.mark(e.Key, e.Attempt)
	}
	return r
}

// killTry ends this node's own try of a key that another attempt may run, unless
// the try has its permission already. The proof doesn't need this (the try would be
// refused later); it answers the caller sooner.
func (m *Machine) killTry(key uint64, other string) []Action {
	for _, id := range m.marks[key] {
		a := m.attempts[id]
		if a != nil && id != other && (a.phase == phaseWriting || a.phase == phaseAsking) {
			return m.kill(id, ReasonKnown)
		}
	}
	return nil
}

// SetPlatform says whether the platform answers. When it comes back, promised
// keys are recorded as claims: one's own at once, and others' when their claimant
// is no longer there to do it.
func (m *Machine) SetPlatform(up bool) []Action {
	came := up && !m.up
	m.up = up
	if !came {
		return nil
	}
	return m.record(func(attempt string) bool {
		a := m.attempts[attempt]
		return a == nil || a.promised
	})
}

func (m *Machine) record(keep func(attempt string) bool) []Action {
	var r []Action
	for _, k := range m.keys() {
		for _, id := range m.marks[k] {
			if keep(id) {
				r = append(r, Action{Kind: ActionRecord, Key: k, Attempt: id})
			}
		}
	}
	return r
}

// keys returns the marked keys in order.
func (m *Machine) keys() []uint64 {
	r := make([]uint64, 0, len(m.marks))
	for k := range m.marks {
		r = append(r, k)
	}
	sort.Slice(r, func(i, j int) bool { return r[i] < r[j] })
	return r
}

// DropClaims forgets the claims that a whole read at a revision didn't show and
// that are not newer than it.
func (m *Machine) DropClaims(list []Change, revision int64) []Action {
	shown := make(map[uint64]bool, len(list))
	for _, c := range list {
		if c.Member == "" {
			shown[c.Key] = true
		}
	}
	for k, h := range m.claims {
		if !shown[k] && h.revision <= revision {
			delete(m.claims, k)
		}
	}
	return nil
}

// Leave stops this node for good. Its tries that haven't run are dead, every
// member gets its table, and promises that it holds are to be recorded before its
// member record is deleted.
func (m *Machine) Leave() []Action {
	if m.stopped {
		return nil
	}
	others := m.View()
	r := m.stop()
	for _, p := range others {
		if p != m.id {
			r = append(r, m.send(Message{Kind: MessageLeave, To: p, Table: m.leaving()}))
		}
	}
	return append(r, m.record(func(string) bool { return true })...)
}

func (m *Machine) stop() []Action {
	m.stopped = true
	ids := make([]string, 0, len(m.attempts))
	for id := range m.attempts {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	var r []Action
	for _, id := range ids {
		a := m.attempts[id]
		if a.phase == phaseWriting || a.phase == phaseAsking {
			r = append(r, m.kill(id, ReasonStopped)...)
		}
	}
	return r
}
