// Package store speaks to what the operators already run: the key-value
// service, the VM list with its notices, and the cloud API.
//
// The key-value service is reached by etcd's published v3 JSON gateway over
// net/http. KV is a struct of functions, so that another protocol is one file,
// and so that a test can put a fault in front of a single call:
//
//	kv := gateway.KV()
//	kv.Txn = func(ctx context.Context, t Txn) (TxnResult, error) {
//		return TxnResult{}, ErrUnknown
//	}
//
// The one distinction that everything above relies on is ErrUnavailable (the
// call had no effect) against ErrUnknown (it may have had one). A caller that
// gets ErrUnknown reads back before it concludes anything.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

var errs = errorx.NewNamespace("store")

var (
	// ErrUnavailable says that the call had no effect: try later.
	ErrUnavailable = errs.NewType("unavailable").New("platform unavailable, the call had no effect")
	// ErrUnknown says that the call may have had its effect: read back.
	ErrUnknown = errs.NewType("unknown").New("no answer from the platform, the call may have had its effect")
	// ErrCompacted says that a watch asked for revisions already discarded.
	ErrCompacted = errs.NewType("compacted").New("the watched revision is gone, read the range again")
	// ErrBudget says that this node has used up its share of the platform's calls.
	ErrBudget = errs.NewType("budget").New("this node's share of the platform's call rate is used up, the call was not made")
	// ErrDoubted says that a watch was ended because another call failed: it may have
	// missed changes. It is no outage: that is for the next read to tell.
	ErrWatchUntrusted = errs.NewType("doubted").New("another call failed, this watch is no longer trusted")
	// ErrLeaseGone says that a lease has expired or was revoked.
	ErrLeaseGone = errs.NewType("lease_gone").New("the lease has expired")
)

// Pair is one key with its value and revisions.
type Pair struct {
	Key      string
	Value    []byte
	Created  int64
	Modified int64
	Version  int64
	Lease    int64
}

// RangeResult is what a read saw, and the revision it saw it at.
type RangeResult struct {
	Revision int64
	Pairs    []Pair
}

// CompareTarget is the property of a key that a transaction compares.
type CompareTarget int

// The properties that can be compared. All compare for equality.
const (
	CompareVersion CompareTarget = iota
	CompareCreated
	CompareModified
)

// Compare is one condition of a transaction: the property of the key equals the
// number. Version 0 means that the key doesn't exist.
type Compare struct {
	Key    string
	Target CompareTarget
	Number int64
}

// OpKind is what an operation does.
type OpKind int

// The operations of a transaction.
const (
	OpPut OpKind = iota
	OpDelete
	OpRange
)

// Op is one operation of a transaction.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	Lease int64
}

// Txn is a transaction: if all comparisons hold, Then is done, else Else.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult tells which side was done and what its reads saw.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	Reads     []RangeResult
}

// Event is one change seen by a watch.
type Event struct {
	Deleted bool
	Pair    Pair
}

// WatchBatch is all the changes of one or more whole revisions.
type WatchBatch struct {
	Revision int64
	Events   []Event
}

// KV is the key-value service.
type KV struct {
	Range func(ctx context.Context, key, end string) (RangeResult, error)
	// Glance reads all keys of a prefix at a fraction of Range's cost; what it tells
	// may be seconds old. A service without such reads leaves it nil.
	StaleRange    func(ctx context.Context, prefix string) (RangeResult, error)
	Txn       func(ctx context.Context, t Txn) (TxnResult, error)
	Grant     func(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive func(ctx context.Context, lease int64) (time.Duration, error)
	Revoke    func(ctx context.Context, lease int64) error
	// Watch calls f for each batch of the span, in order, until the context ends or f
	// fails.
	Watch func(ctx context.Context, s Span, f func(WatchBatch) error) error
}

// Span is what a watch tells of. Its end is exclusive, as everywhere here.
type Span struct {
	Key, End string
	From     int64 // the first revision that counts
	// Wait is how long a service that is asked again and again may hold a question that
	// has no answer; 0 leaves it to the service. It bounds how long the watch may be
	// silently dead, and the end of each wait is a call.
	Wait time.Duration
}

// Under is the span of all keys of a prefix.
func PrefixSpan(prefix string, from int64) Span {
	return Span{Key: prefix, End: PrefixEnd(prefix), From: from}
}

// PrefixEnd returns the first key after all keys that begin with prefix.
func PrefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00"
}

// Put is the transaction that sets a key whatever it holds.
func Put(key string, value []byte) Txn {
	return Txn{Then: []Op{{Kind: OpPut, Key: key, Value: value}}}
}

// Absent is the comparison that holds when the key doesn't exist.
func Absent(key string) Compare { return Compare{Key: key, Target: CompareVersion} }

// Unmodified is the comparison that holds while the key has that revision.
func Unmodified(key string, revision int64) Compare {
	return Compare{Key: key, Target: CompareModified, Number: revision}
}
