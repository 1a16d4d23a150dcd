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

// MessageKind is the kind of a message between nodes.
type MessageKind int32

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

// Reason says why something was refused.
type Reason int32

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

// String returns the reason in words for a caller.
func (r Reason) String() string {
	switch r {
	case ReasonKnown:
		return "the key is already claimed"
	case ReasonView:
		return "the nodes don't agree on who is a member"
	case ReasonUnsynced:
		return "this node has not yet synced with every member"
	case ReasonStopped:
		return "this node is leaving"
	case ReasonSilent:
		return "a member gave no promise in time"
	case ReasonPlatform:
		return "the platform is out and this call does not run without it"
	case ReasonHalls:
		return "no other member, or none in a second hall, can promise"
	}
	return "none"
}

// Entry is one key that may have run, by which attempt. Revision is that of the
// claim, or 0 for a mark.
type Entry struct {
	Key      uint64
	Attempt  string
	Revision int64
}

// Message goes from one node to another. It may be lost, doubled or late.
type Message struct {
	Kind    MessageKind
	From    string
	To      string
	Key     uint64
	Attempt string
	View    []string
	Table   []Entry
	Reason  Reason
}

// ActionKind is what the machine asks its owner to do.
type ActionKind int

// The actions.
const (
	ActionSend   ActionKind = iota // send Message
	ActionWrite                    // write the claim, then call Wrote
	ActionRun                      // the attempt may run, now or later
	ActionRefuse                   // the attempt is dead: not run
	ActionRecord                   // write a promised key as a claim, no answer needed
	ActionErase                    // delete the claim if this attempt holds it
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Message Message
	Key     uint64
	Attempt string
	Reason  Reason
}

// WriteResult is how a claim's write ended.
type WriteResult int

// The results. WriteUnknown: no answer, and it couldn't be read back.
const (
	WriteGranted WriteResult = iota
	WriteRefused
	WriteUnknown
)

// Change is one change of the platform's members or claims, in watch order.
type Change struct {
	Member  string // set for a change of a member
	Hall    string
	Key     uint64 // else a claim
	Attempt string
	Deleted bool
	// Revision of the change. Within one watch it only rises.
	Revision int64
}

type phase int

const (
	phaseWriting phase = iota
	phaseAsking
	phaseRunning
	phaseDead
)

type attempt struct {
	key      uint64
	phase    phase
	promises bool // may go on by promises
	asked    []string
	waiting  map[string]bool
	promised bool // runs by promises, not yet recorded as a claim
	written  bool // a write was asked for and may have its effect, whatever was heard
}

// held is a claim that the platform holds, as of a revision. What the watch tells
// of older revisions changes nothing: a claim just made is ahead of the watch.
type held struct {
	attempt  string
	revision int64
	own      bool // made by this node
}

// guards are the conditions that the proof rests on. Tests take them out one by
// one to show that each is needed.
type guards struct {
	peerKnows   bool // a peer refuses a key that it knows
	markFirst   bool // a claimant marks its key before it writes or asks
	sameView    bool // a peer refuses an asker that lacks a member
	syncedFirst bool // a joiner doesn't try before it has synced
	deadStays   bool // a dead attempt ignores late grants
	askAll      bool // all members must promise, not just the first
	notAlone    bool // somebody else holds every promise
}

func allGuards() guards {
	return guards{
		peerKnows: true, markFirst: true, sameView: true,
		syncedFirst: true, deadStays: true, askAll: true, notAlone: true,
	}
}

// Machine is one node's part in the protocol.
type Machine struct {
	id      string
	up      bool // the platform answers
	joined  bool
	synced  bool
	stopped bool
	view    map[string]string // member to hall, this node included
	retired map[string]bool   // never in view again
	halls   map[string]bool   // every hall ever seen
	pending map[string]bool   // members not yet synced with
	// marks holds, for each key, the attempts that may run it without a claim:
	// this node's tries and its promises. Several may stand side by side, since
	// releasing one must not forget another.
	marks    map[uint64][]string
	claims   map[uint64]held
	attempts map[string]*attempt
	// released remembers the newest attempts that peers gave up: their asks may
	// still be under way, and nobody would release the mark again.
	released map[string]bool
	ring     []string
	at       int
	guards   guards
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

// Begin tries a key. promises says whether it may run while the platform is out.
func (m *Machine) Begin(key uint64, id string, promises bool) []Action {
	refuse := func(r Reason) []Action {
		return []Action{{Kind: ActionRefuse, Key: key, Attempt: id, Reason: r}}
	}
	if m.stopped {
		return refuse(ReasonStopped)
	}
	if !m.synced && m.guards.syncedFirst {
		return refuse(ReasonUnsynced)
	}
	if _, ok := m.Known(key); ok {
		return refuse(ReasonKnown)
	}
	a := &attempt{key: key, promises: promises}
	m.attempts[id] = a
	if m.guards.markFirst {
		m.mark(key, id)
	}
	if m.up {
		a.phase, a.written = phaseWriting, true
		return []Action{{Kind: ActionWrite, Key: key, Attempt: id}}
	}
	return m.ask(id)
}

// Wrote says how the write that ActionWrite asked for has ended.
// revision is that of the write, if it was granted.
func (m *Machine) Wrote(id string, w WriteResult, revision int64) []Action {
	a := m.attempts[id]
	if a == nil || a.phase != phaseWriting {
		return nil
	}
	switch w {
	case WriteGranted:
		if h := m.claims[a.key]; revision > h.revision {
			m.claims[a.key] = held{attempt: id, revision: revision, own: true}
		}
		m.unmark(a.key, id)
		return m.run(id)
	case WriteRefused:
		a.written = false
		// Somebody holds the key; the watch tells who, and for how long.
		return m.kill(id, ReasonKnown)
	}
	return m.ask(id)
}

func (m *Machine) run(id string) []Action {
	a := m.attempts[id]
	a.phase = phaseRunning
	return []Action{{Kind: ActionRun, Key: a.key, Attempt: id}}
}

// ask goes on by promises, if the call allows it.
func (m *Machine) ask(id string) []Action {
	a := m.attempts[id]
	if !a.promises {
		return m.kill(id, ReasonPlatform)
	}
	// A node alone in its view never runs: if the VM list wrongly drops it, a
	// joiner could not learn of the run from anybody.
	if len(m.view) < 2 && m.guards.notAlone {
		return m.kill(id, ReasonHalls)
	}
	if len(m.halls) > 1 && !m.twoHalls() {
		return m.kill(id, ReasonHalls)
	}
	a.phase = phaseAsking
	a.waiting = make(map[string]bool)
	view := m.View()
	var r []Action
	for _, peer := range view {
		if peer == m.id {
			continue
		}
		a.waiting[peer] = true
		a.asked = append(a.asked, peer)
		r = append(r, m.send(Message{Kind: MessageAsk, To: peer, Key: a.key, Attempt: id, View: view}))
	}
	if len(a.waiting) == 0 {
		a.promised = true
		return m.run(id)
	}
	return r
}

func (m *Machine) twoHalls() bool {
	own := m.view[m.id]
	for _, h := range m.view {
		if h != own {
			return true
		}
	}
	return false
}

// kill ends a try that hasn't run. It never runs afterwards.
func (m *Machine) kill(id string, why Reason) []Action {
	a := m.attempts[id]
	a.phase = phaseDead
	m.unmark(a.key, id)
	r := []Action{{Kind: ActionRefuse, Key: a.key, Attempt: id, Reason: why}}
	if a.written {
		// The claim may be there, or come yet: the caller is told not-run and will try
		// again, and must not find its own dead attempt in the way.
		r = append(r, Action{Kind: ActionErase, Key: a.key, Attempt: id})
	}
	for _, p := range a.asked {
		r = append(r, m.send(Message{Kind: MessageRelease, To: p, Key: a.key, Attempt: id}))
	}
	return r
}

// Abandon gives up a try that has waited too long.
func (m *Machine) Abandon(id string) []Action {
	a := m.attempts[id]
	if a == nil || a.phase == phaseRunning || a.phase == phaseDead {
		return nil
	}
	return m.kill(id, ReasonSilent)
}

// GiveUp is Abandon for an owner that stops waiting: an attempt that got its permission
// meanwhile gives it back, since nobody will use it.
func (m *Machine) GiveUp(id string) []Action {
	if a := m.attempts[id]; a != nil && a.phase == phaseRunning {
		return m.Finish(id, false)
	}
	return m.Abandon(id)
}

// Finish ends an attempt that was allowed to run. If it ran, or may have, its key
// stays known. If it certainly didn't and never will, the key is free again.
func (m *Machine) Finish(id string, ran bool) []Action {
	a := m.attempts[id]
	if a == nil || a.phase != phaseRunning {
		return nil
	}
	if ran {
		if !a.promised {
			delete(m.attempts, id)
		}
		return nil
	}
	delete(m.attempts, id)
	m.unmark(a.key, id)
	r := []Action{{Kind: ActionErase, Key: a.key, Attempt: id}}
	for _, p := range a.asked {
		r = append(r, m.send(Message{Kind: MessageRelease, To: p, Key: a.key, Attempt: id}))
	}
	return r
}

// Receive takes a message from a peer.
func (m *Machine) Receive(g Message) []Action {
	if g.To != m.id {
		return nil // meant for an earlier process on this address
	}
	switch g.Kind {
	case MessageAsk:
		return m.promise(g)
	case MessageGrant:
		return m.granted(g)
	case MessageDeny:
		return m.denied(g)
	case MessageRelease:
		m.unmark(g.Key, g.Attempt)
		m.remember(g.Attempt)
	case MessageSync:
		return m.giveTable(g)
	case MessageTable:
		return m.takeTable(g)
	case MessageLeave:
		r := m.learnAll(g.Table)
		m.drop(g.From)
		return r
	}
	return nil
}

func (m *Machine) promise(g Message) []Action {
	reply := Message{Kind: MessageGrant, To: g.From, Key: g.Key, Attempt: g.Attempt}
	if why := m.mayPromise(g); why != ReasonNone {
		reply.Kind, reply.Reason = MessageDeny, why
		return []Action{m.send(reply)}
	}
	m.mark(g.Key, g.Attempt)
	return []Action{m.send(reply)}
}

func (m *Machine) mayPromise(g Message) Reason {
	if m.stopped {
		return ReasonStopped
	}
	if !m.synced && m.guards.syncedFirst {
		return ReasonUnsynced
	}
	// Not needed for the proof either: a removed asker is refused early, and hears why.
	if _, ok := m.view[g.From]; !ok {
		return ReasonView
	}
	if m.guards.sameView && !m.knowsAll(g.View) {
		return ReasonView
	}
	if m.released[g.Attempt] {
		return ReasonSilent
	}
	if m.guards.peerKnows && m.knownOther(g.Key, g.Attempt) {
		return ReasonKnown
	}
	return ReasonNone
}

// releasedLimit bounds the memory of released attempts. An ask that is later than so
// many releases marks its key until the key's lifetime ends, which only refuses.
const releasedLimit = 4096

func (m *Machine) remember(id string) {
	if m.released[id] {
		return
	}
	m.released[id] = true
	if len(m.ring) < releasedLimit {
		m.ring = append(m.ring, id)
		return
	}
	delete(m.released, m.ring[m.at])
	m.ring[m.at] = id
	m.at = (m.at + 1) % releasedLimit
}

// knownOther tells whether an attempt other than id may run the key.
func (m *Machine) knownOther(key uint64, id string) bool {
	if h, ok := m.claims[key]; ok && h.attempt != id {
		return true
	}
	for _, o := range m.marks[key] {
		if o != id {
			return true
		}
	}
	return false
}

// knowsAll tells whether an asker's view holds every member of this node's.
func (m *Machine) knowsAll(view []string) bool {
	has := make(map[string]bool, len(view))
	for _, id := range view {
		has[id] = true
	}
	for id := range m.view {
		if !has[id] {
			return false
		}
	}
	return true
}

func (m *Machine) granted(g Message) []Action {
	a := m.attempts[g.Attempt]
	if a == nil || a.phase == phaseRunning {
		return nil
	}
	if a.phase != phaseAsking && m.guards.deadStays {
		return nil
	}
	delete(a.waiting, g.From)
	if len(a.waiting) > 0 && m.guards.askAll {
		return nil
	}
	a.promised = true
	return m.run(g.Attempt)
}

func (m *Machine) denied(g Message) []Action {
	a := m.attempts[g.Attempt]
	if a == nil || a.phase != phaseAsking {
		return nil
	}
	return m.kill(g.Attempt, g.Reason)
}

// leaving lists what the others have to know once this node is out of their
// views: its marks, and the claims that it made itself, which may be ahead of what
// they have read.
func (m *Machine) leaving() []Entry {
	r := m.table()
	for k, h := range m.claims {
		if h.own {
			r = append(r, Entry{Key: k, Attempt: h.attempt, Revision: h.revision})
		}
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Key < r[j].Key })
	return r
}

// table lists the marks. A joiner needs no claims: it reads them from the
// platform, and whoever made one that it hasn't read yet is still in its view.
func (m *Machine) table() []Entry {
	var r []Entry
	for _, k := range m.keys() {
		for _, id := range m.marks[k] {
			r = append(r, Entry{Key: k, Attempt: id})
		}
	}
	return r
}

func (m *Machine) giveTable(g Message) []Action {
	// A node that hasn't joined itself has no table to give yet; it will be asked again.
	if !m.joined || m.stopped || m.retired[g.From] {
		return nil
	}
	hall := ""
	if len(g.View) == 1 {
		hall = g.View[0] // a joiner's Sync carries its hall
	}
	if _, ok := m.view[g.From]; !ok {
		m.addMember(g.From, hall)
	}
	return []Action{m.send(Message{Kind: MessageTable, To: g.From, Table: m.table()})}
}

func (m *Machine) takeTable(g Message) []Action {
	r := m.learnAll(g.Table)
	if m.pending[g.From] {
		delete(m.pending, g.From)
		m.checkSynced()
	}
	return r
}

func (m *Machine) learnAll(list []Entry) []Action {
	var r []Action
	for _, e := range list {
		r = append(r, m.learn(e)...)
	}
	return r
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
