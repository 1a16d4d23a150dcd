package claim

// This file is the machine's vocabulary: its messages, actions, changes and states.

// MessageKind is the kind of a message between nodes.
type MessageKind int32

// Reason says why something was refused.
type Reason int32

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
