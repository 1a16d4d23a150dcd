package quota

// This file tells what this node's part of the quotas rests on, for the log.

// Start is where the levels of this process began.
type Start uint8

// The starts of levels.
const (
	StartPart   Start = iota // a part of the burst, since nothing is known of before
	StartFull                // the burst: the whole system starts
	StartStored              // what was stored before
	StartHeard               // what another node had
)

// String returns the start as the log names it.
func (s Start) String() string {
	switch s {
	case StartFull:
		return "full"
	case StartStored:
		return "stored"
	case StartHeard:
		return "heard"
	default:
		return "part"
	}
}

// Sharing is how many nodes share the quotas as this node sees it.
type Sharing struct {
	Nodes   int // this one included
	Heard   int // of these, those that have reported to this process, and this one
	Silent  int // of these, those that no longer report
	Unnamed int // of these, those that are assumed and not known by name
	Known   bool
	Start   Start
}

// HearsMost reports whether this process hears more than half of the nodes.
func (s Sharing) HearsMost() bool { return 2*min(s.Heard, s.Nodes-s.Silent-s.Unnamed) > s.Nodes }

// Sharing returns how many nodes share the quotas.
func (q *Quotas) Sharing() Sharing {
	s := Sharing{Nodes: int(q.Nodes()), Heard: 1, Unnamed: len(q.unnamed), Known: q.peersKnown, Start: q.start()}
	for _, p := range q.peers {
		if p.incarnation != "" {
			s.Heard++
		}
		if p.unresponsive {
			s.Silent++
		}
	}
	return s
}

func (q *Quotas) start() Start {
	switch {
	case q.startFull:
		return StartFull
	case q.adopted:
		return StartHeard
	case q.restored != nil:
		return StartStored
	default:
		return StartPart
	}
}
