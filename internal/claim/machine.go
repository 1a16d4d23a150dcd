// Package claim lets a call that must not be repeated run at most once per key, whichever nodes its caller
// retries through, and whether or not the platform is available.
//
// This file is the protocol as a pure state machine: events in, actions out, no clock and no I/O.
// manager.go executes the actions.
//
// With the platform, a claim is one compare-and-swap: the key must be absent and the claimant's own member
// record present. A claim outlives its holder, so a holder that is paused or has crashed cannot lead to a
// second run.
//
// Without the platform, the claimant asks every member that it knows of for a promise, and runs only when
// all have promised:
//
//	A                B                C
//	mark k
//	ask k  --------> not known: mark k
//	ask k  -------------------------> not known: mark k
//	       <-------- grant
//	       <------------------------- grant
//	run
//
// Two nodes that attempt the same key at once reject each other, and neither runs: that is the price of
// needing no leader. Alternatives considered: majorities, rejected since they would make the nodes a
// consensus group, and leased ranges of keys, rejected since a paused owner would run its keys beside the
// next owner.
//
// Why there is at most one run per key: members and claims are followed in one ordered watch. Suppose A and
// B both run k. They cannot both do so by a claim, because of the compare-and-swap. So suppose A runs by
// promises. If B was in A's view, B promised, so either B knew k before its own attempt, or B denied the
// promise to A because of that attempt. If B was not in A's view, there are two cases. Either B joined later
// and A, which is listed, gave B its table before B was allowed to start an attempt. Or A had seen B's
// removal, which follows all of B's claims in the order of the watch, so A knew k. machine_test.go searches
// for a counterexample, and shows that it finds one as soon as any single guard is removed.
package claim

import "sort"

// The kinds of messages between nodes. The numbers are sent to other nodes.
const (
	MessageAsk     MessageKind = 1 // asks for a promise of a key
	MessageGrant   MessageKind = 2
	MessageDeny    MessageKind = 3
	MessageRelease MessageKind = 4 // the attempt has ended without a run: its mark can be removed
	MessageSync    MessageKind = 5 // a joiner asks for the table of marks
	MessageTable   MessageKind = 6
	MessageLeave   MessageKind = 7 // the sender has stopped for good
)

// The reasons of rejections. The numbers are sent to other nodes.
const (
	ReasonNone         Reason = iota
	ReasonKnown               // the key is claimed, promised or being attempted
	ReasonViewMismatch        // the asker and its peer do not have the same members in view
	ReasonUnsynced            // this node has not synced with every listed member yet
	ReasonStopped             // this node is leaving
	ReasonTimeout             // a member did not respond in time
	ReasonPlatformDown        // the platform is unavailable and the call does not allow promises
	ReasonIsolated            // no other member, or none in a second hall, can promise
)

// The kinds of actions.
const (
	ActionSend   ActionKind = iota // send Message
	ActionWrite                    // write the claim, then call HandleWriteResult
	ActionRun                      // the attempt may run, now or later
	ActionReject                   // the attempt has ended without a run
	ActionRecord                   // write a promised key as a claim; the result is not needed
	ActionErase                    // delete the claim if this attempt holds it
)

// The results of a write. WriteUnknown: there was no response, and the claim could not be read back. The
// numbers are sent to other nodes.
const (
	WriteGranted WriteResult = iota
	WriteRejected
	WriteUnknown
)

const (
	phaseWriting phase = iota
	phaseAsking
	phaseRunning
	phaseAborted
)

func allGuards() guards {
	return guards{
		rejectKnown: true, markFirst: true, sameView: true,
		syncedFirst: true, abortFinal: true, allPromise: true, notIsolated: true,
	}
}

// New returns a machine that is not a member yet.
func New(id string) *Machine {
	return &Machine{
		id: id, view: make(map[string]string), retired: make(map[string]bool),
		halls: make(map[string]bool), pending: make(map[string]bool),
		marks: make(map[uint64][]string), claims: make(map[uint64]storedClaim),
		attempts: make(map[string]*attempt), released: make(map[string]bool),
		guards: allGuards(),
	}
}

// ID returns the member id.
func (m *Machine) ID() string { return m.id }

// Synced returns whether this node may attempt keys.
func (m *Machine) Synced() bool { return m.synced && !m.stopped }

// Joined returns whether Join was called.
func (m *Machine) Joined() bool { return m.joined }

// Stopped returns whether this node has stopped for good.
func (m *Machine) Stopped() bool { return m.stopped }

// Pending returns the members that this node still has to sync with, sorted.
func (m *Machine) Pending() []string { return sorted(m.pending) }

// View returns the members in view, this node included, sorted.
func (m *Machine) View() []string {
	r := make([]string, 0, len(m.view))
	for id := range m.view {
		r = append(r, id)
	}
	sort.Strings(r)
	return r
}

// Known returns whether the key may have run, and by which attempt.
func (m *Machine) Known(key uint64) (string, bool) {
	if h, ok := m.claims[key]; ok {
		return h.attempt, true
	}
	if l := m.marks[key]; len(l) > 0 {
		return l[0], true
	}
	return "", false
}

// Size returns the number of known claims and of marked keys.
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

// Marked returns the marked keys, sorted.
func (m *Machine) Marked() []uint64 { return m.markedKeys() }

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

// Join starts membership after this node's record was written: list holds the members and claims of one
// read that came after that write. It asks every other member for its table.
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
	return m.RetrySync()
}

// RetrySync repeats the requests to the members that this node has not synced with yet.
func (m *Machine) RetrySync() []Action {
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

// ApplyChanges applies the next changes of the ordered watch.
func (m *Machine) ApplyChanges(list []Change) []Action {
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
	m.removeMember(c.Member)
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
	r := m.abortPending(c.Key, c.Attempt)
	a := m.attempts[c.Attempt]
	own := a != nil || ok && h.own && h.attempt == c.Attempt
	m.claims[c.Key] = storedClaim{attempt: c.Attempt, revision: c.Revision, own: own}
	m.unmark(c.Key, c.Attempt)
	if a != nil {
		a.runsByPromise = false
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

func (m *Machine) removeMember(id string) {
	m.retired[id] = true
	delete(m.view, id)
	if m.pending[id] {
		delete(m.pending, id)
		m.checkSynced()
	}
}

// mergeEntry merges a key that may have run, as another node reports it.
func (m *Machine) mergeEntry(e Entry) []Action {
	if e.Revision > 0 {
		return m.applyClaim(Change{Key: e.Key, Attempt: e.Attempt, Revision: e.Revision})
	}
	r := m.abortPending(e.Key, e.Attempt)
	if m.claims[e.Key].attempt != e.Attempt {
		m.mark(e.Key, e.Attempt)
	}
	return r
}

// abortPending ends this node's own attempt at a key that another attempt may run, unless the own one has
// its permission already. The proof does not need this, since the attempt would be rejected later; it
// responds to the caller sooner.
func (m *Machine) abortPending(key uint64, other string) []Action {
	for _, id := range m.marks[key] {
		a := m.attempts[id]
		if a != nil && id != other && (a.phase == phaseWriting || a.phase == phaseAsking) {
			return m.abort(id, ReasonKnown)
		}
	}
	return nil
}

// SetPlatform sets whether the platform is available. When it becomes available again, promised keys are
// recorded as claims: those of this node's attempts at once, and those of other nodes' attempts in case
// the claimant no longer exists.
func (m *Machine) SetPlatform(up bool) []Action {
	regained := up && !m.platformUp
	m.platformUp = up
	if !regained {
		return nil
	}
	return m.recordMarks(func(attempt string) bool {
		a := m.attempts[attempt]
		return a == nil || a.runsByPromise
	})
}

func (m *Machine) recordMarks(keep func(attempt string) bool) []Action {
	var r []Action
	for _, k := range m.markedKeys() {
		for _, id := range m.marks[k] {
			if keep(id) {
				r = append(r, Action{Kind: ActionRecord, Key: k, Attempt: id})
			}
		}
	}
	return r
}

// markedKeys returns the marked keys, sorted.
func (m *Machine) markedKeys() []uint64 {
	r := make([]uint64, 0, len(m.marks))
	for k := range m.marks {
		r = append(r, k)
	}
	sort.Slice(r, func(i, j int) bool { return r[i] < r[j] })
	return r
}

// DropClaims drops the claims that a complete read at a revision did not contain and that are not newer
// than that revision.
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

// Leave stops this node for good. Its attempts that have not run are aborted, every member receives its
// table, and promises that it holds are to be recorded before its member record is deleted.
func (m *Machine) Leave() []Action {
	if m.stopped {
		return nil
	}
	others := m.View()
	r := m.stop()
	for _, p := range others {
		if p != m.id {
			r = append(r, m.send(Message{Kind: MessageLeave, To: p, Table: m.leaveTable()}))
		}
	}
	return append(r, m.recordMarks(func(string) bool { return true })...)
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
			r = append(r, m.abort(id, ReasonStopped)...)
		}
	}
	return r
}
