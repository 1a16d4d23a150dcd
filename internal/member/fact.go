// Package member holds what this node has observed, or was told by its peers,
// about the other VMs: nodes and upstreams, who lives, who leaves, what load they
// report.
//
// Facts are merged so that order, loss and repetition of messages don't matter:
// the merge is commutative, associative and idempotent. Within one incarnation
// of a VM its status only ever rises (live, leaving, gone), so a leaving VM never
// looks live again because an old message, or a VM list that lags, says so. Only
// a higher incarnation, a new process on the VM, starts again at live.
//
// A leased record per VM in the platform was weighed and refused: it would cost
// a write per VM and heartbeat, and it would stop in an outage, which is when
// membership is needed most.
package member

import (
	"spurhall.example/spurhall/internal/wire"
)

// Kind is what a fact is about.
type Kind int32

// The kinds of VM.
const (
	KindNode     Kind = 1
	KindUpstream Kind = 2
)

// Status is the state of a VM in its incarnation. It only rises.
type Status int32

// The statuses.
const (
	StatusLive    Status = 1
	StatusLeaving Status = 2
	StatusGone    Status = 3
)

// String returns the status's name.
func (s Status) String() string {
	switch s {
	case StatusLive:
		return "live"
	case StatusLeaving:
		return "leaving"
	case StatusGone:
		return "gone"
	}
	return "unset"
}

// Fact is what is known about one VM. The static part (hall, address, price) is
// fixed for an incarnation; Sequence numbers the subject's load reports.
type Fact struct {
	ID             string
	Kind           Kind
	Incarnation    uint64
	Status         Status
	Sequence       uint64
	Hall           string
	Zone           string
	Address        string
	Service        string
	Class          string
	Reclaimable    bool
	Price          float64
	Slots          int32
	Running        int32
	Queued         int32
	ConfigRevision uint64
	LeavesAt       int64 // Unix milliseconds at which a leaving VM goes; 0: not known
}

// Merge returns the newer knowledge of two facts about the same VM.
func Merge(a, b Fact) Fact {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	r := a
	if newer(b, a) {
		r = b
	}
	r.Status = max(a.Status, b.Status)
	r.LeavesAt = earlier(a.LeavesAt, b.LeavesAt)
	return r
}

// earlier returns the earlier of two times, of which 0 is not known.
func earlier(a, b int64) int64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// newer orders two facts of one incarnation by their reports. Equal sequences
// differ only when a fact was forged or built by hand; the rest of the order
// then keeps the merge commutative.
func newer(b, a Fact) bool {
	if b.Sequence != a.Sequence {
		return b.Sequence > a.Sequence
	}
	x, y := b, a
	x.Status, y.Status, x.LeavesAt, y.LeavesAt = 0, 0, 0, 0
	return less(y, x)
}

func less(a, b Fact) bool {
	switch {
	case a.Address != b.Address:
		return a.Address < b.Address
	case a.Running != b.Running:
		return a.Running < b.Running
	case a.Queued != b.Queued:
		return a.Queued < b.Queued
	case a.ConfigRevision != b.ConfigRevision:
		return a.ConfigRevision < b.ConfigRevision
	case a.Hall != b.Hall:
		return a.Hall < b.Hall
	case a.Service != b.Service:
		return a.Service < b.Service
	}
	return a.Price < b.Price
}

// Short returns the fact without its fixed part, for a peer that has that.
func (f Fact) Short() Fact {
	return Fact{
		ID: f.ID, Kind: f.Kind, Incarnation: f.Incarnation, Status: f.Status, Sequence: f.Sequence,
		Running: f.Running, Queued: f.Queued, ConfigRevision: f.ConfigRevision, LeavesAt: f.LeavesAt,
	}
}

// short tells whether the fixed part is left out. Every VM has an address.
func (f *Fact) short() bool { return f.Address == "" }

// fill puts the fixed part of what is known into a short fact. It fits only within
// one incarnation; a short fact of another is taken as it is known, which changes
// nothing.
func (f Fact) fill(known *Fact) Fact {
	if f.Incarnation != known.Incarnation {
		return *known
	}
	r := *known
	r.Status, r.Sequence, r.Running, r.Queued = f.Status, f.Sequence, f.Running, f.Queued
	r.ConfigRevision, r.LeavesAt = f.ConfigRevision, f.LeavesAt
	return r
}

func sameStatic(a, b *Fact) bool {
	x, y := *a, *b
	for _, f := range []*Fact{&x, &y} {
		f.Status, f.Sequence, f.Running, f.Queued, f.ConfigRevision, f.LeavesAt = 0, 0, 0, 0, 0, 0
	}
	return x == y
}

// Wire returns the fact's form between processes.
func (f *Fact) Wire() *wire.Fact {
	return &wire.Fact{
		Id: f.ID, Kind: int32(f.Kind), Incarnation: f.Incarnation, Status: int32(f.Status),
		Sequence: f.Sequence, Hall: f.Hall, Zone: f.Zone, Address: f.Address, Service: f.Service,
		Class: f.Class, Reclaimable: f.Reclaimable, Price: f.Price, Slots: f.Slots,
		Running: f.Running, Queued: f.Queued, ConfigRevision: f.ConfigRevision, LeavesAtUnixMs: f.LeavesAt,
	}
}

// FromWire reads a fact. Values out of range are refused.
func FromWire(w *wire.Fact) (Fact, bool) {
	f := Fact{
		ID: w.Id, Kind: Kind(w.Kind), Incarnation: w.Incarnation, Status: Status(w.Status),
		Sequence: w.Sequence, Hall: w.Hall, Zone: w.Zone, Address: w.Address, Service: w.Service,
		Class: w.Class, Reclaimable: w.Reclaimable, Price: w.Price, Slots: w.Slots,
		Running: w.Running, Queued: w.Queued, ConfigRevision: w.ConfigRevision, LeavesAt: w.LeavesAtUnixMs,
	}
	ok := f.ID != "" && (f.Kind == KindNode || f.Kind == KindUpstream) &&
		f.Status >= StatusLive && f.Status <= StatusGone
	return f, ok
}
