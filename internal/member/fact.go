// Package member holds what this node has observed, or received from its peers, about the other VMs:
// nodes and upstreams, their status and the load that they report.
//
// Facts are merged so that order, loss and repetition of messages don't matter: the merge is
// commutative, associative and idempotent. Within one incarnation of a VM its status only ever rises
// (live, leaving, gone), so a leaving VM never becomes live again through an outdated message or a VM
// list that lags. Only a higher incarnation, a new process on the VM, starts again at live.
//
// Alternatives considered: a leased record per VM in the platform's store. It would cost a write per VM
// and heartbeat, and it would stop during an outage, which is when membership is needed most.
package member

import (
	"spurhall.example/spurhall/internal/wire"
)

// Kind is the kind of VM that a fact describes.
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

// Fact is what is known about one VM. The static part (such as hall, address, price) is fixed for an
// incarnation; Sequence numbers the load reports of the VM.
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

// Merge returns the merged knowledge of two facts about the same VM.
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

// earlier returns the earlier of two times; 0 means not known.
func earlier(a, b int64) int64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// newer reports whether b is the newer of two facts of one incarnation. Facts with equal sequences
// differ only when one was forged or built by hand; the rest of the order then keeps the merge
// commutative.
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

// Short returns the fact without its static part, for a peer that has that part.
func (f Fact) Short() Fact {
	return Fact{
		ID: f.ID, Kind: f.Kind, Incarnation: f.Incarnation, Status: f.Status, Sequence: f.Sequence,
		Running: f.Running, Queued: f.Queued, ConfigRevision: f.ConfigRevision, LeavesAt: f.LeavesAt,
	}
}

// short reports whether the static part is left out. Every VM has an address.
func (f *Fact) short() bool { return f.Address == "" }

// fill adds the static part of the known fact to a short fact. This is valid only within one
// incarnation; for a short fact of another incarnation it returns the known fact, which changes
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

// Wire returns the fact's wire form.
func (f *Fact) Wire() *wire.Fact {
	return &wire.Fact{
		Id: f.ID, Kind: int32(f.Kind), Incarnation: f.Incarnation, Status: int32(f.Status),
		Sequence: f.Sequence, Hall: f.Hall, Zone: f.Zone, Address: f.Address, Service: f.Service,
		Class: f.Class, Reclaimable: f.Reclaimable, Price: f.Price, Slots: f.Slots,
		Running: f.Running, Queued: f.Queued, ConfigRevision: f.ConfigRevision, LeavesAtUnixMs: f.LeavesAt,
	}
}

// FromWire reads a fact from its wire form. It returns false if values are out of range.
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
