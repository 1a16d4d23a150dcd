package claim

// This file defines the machine's messages, actions, changes and states.

// MessageKind is the kind of a message between nodes.
type MessageKind int32

// Reason says why an attempt or a promise was rejected.
type Reason int32

// String returns the reason as text for a caller.
func (r Reason) String() string {
	switch r {
	case ReasonKnown:
		return "the key is already claimed"
	case ReasonViewMismatch:
		return "the nodes don't agree on who is a member"
	case ReasonUnsynced:
		return "this node has not yet synced with every member"
	case ReasonStopped:
		return "this node is leaving"
	case ReasonTimeout:
		return "a member gave no promise in time"
	case ReasonPlatformDown:
		return "the platform is out and this call does not run without it"
	case ReasonIsolated:
		return "no other member, or none in a second hall, can promise"
	}
	return "none"
}

// Entry is one key that may have run, and the attempt that may have run it. Revision is that of the claim,
// or 0 for a mark.
type Entry struct {
	Key      uint64
	Attempt  string
	Revision int64
}

// Message is sent from one node to another. It may be lost, duplicated or delayed.
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

// ActionKind says what the owner of the machine has to do.
type ActionKind int

// Action is one thing that the owner of the machine has to do.
type Action struct {
	Kind    ActionKind
	Message Message
	Key     uint64
	Attempt string
	Reason  Reason
}

// WriteResult is the outcome of writing a claim.
type WriteResult int

// Change is one change of the platform's members or claims, in the order of the watch.
type Change struct {
	Member  string // set for a change of a member
	Hall    string
	Key     uint64 // set for a change of a claim
	Attempt string
	Deleted bool
	// Revision is that of the change. Within one watch it only rises.
	Revision int64
}

type phase int

type attempt struct {
	key           uint64
	phase         phase
	allowPromises bool // may run on promises
	asked         []string
	waiting       map[string]bool
	runsByPromise bool // runs on promises and is not recorded as a claim yet
	writeIssued   bool // a write was requested and may take effect, whatever its result was
}

// storedClaim is a claim that the platform holds, as of a revision. Changes of older revisions from the watch
// are ignored: a claim that this node has just made is ahead of its watch.
type storedClaim struct {
	attempt  string
	revision int64
	own      bool // made by this node
}

// guards are the conditions that the proof rests on. Tests remove them one by one to show that each of them
// is needed.
type guards struct {
	rejectKnown bool // a peer denies a key that it knows
	markFirst   bool // a claimant marks its key before it writes or asks
	sameView    bool // a peer denies an asker whose view lacks a member
	syncedFirst bool // a joiner starts no attempt before it has synced
	abortFinal  bool // an aborted attempt ignores late grants
	allPromise  bool // all members must promise, not just the first
	notIsolated bool // at least one other member holds every promise
}

// Machine is one node's part of the protocol.
type Machine struct {
	id         string
	platformUp bool // the platform is available
	joined     bool
	synced     bool
	stopped    bool
	view       map[string]string // member to hall, this node included
	retired    map[string]bool   // never in view again
	halls      map[string]bool   // every hall that was ever in view
	pending    map[string]bool   // members that this node has not synced with yet
	// marks holds, for each key, the attempts that may run it without a claim: this node's attempts and its
	// promises to other nodes. A key may have several, since releasing one must not remove another.
	marks    map[uint64][]string
	claims   map[uint64]storedClaim
	attempts map[string]*attempt
	// released holds the newest attempts that peers have released. A late request for a promise of such an
	// attempt would set a mark that no node releases again.
	released      map[string]bool
	releasedOrder []string
	releasedNext  int
	guards        guards
}
