// Package store has clients of the operators' services: the key-value service, the
// VM list with its notices, and the cloud API.
//
// The key-value service is called through etcd's published v3 JSON gateway over
// net/http. KV is a struct of functions, so that support for another protocol takes
// one file, and so that a test can inject a fault into a single call:
//
//	kv := gateway.KV()
//	kv.Txn = func(ctx context.Context, t Txn) (TxnResult, error) {
//		return TxnResult{}, ErrUnknown
//	}
//
// All callers rely on the distinction between ErrUnavailable (the call had no
// effect) and ErrUnknown (it may have had one). After ErrUnknown, a caller must read
// the state back before it acts on it.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

var errs = errorx.NewNamespace("store")

var (
	// ErrUnavailable means that the call had no effect and can be repeated later.
	ErrUnavailable = errs.NewType("unavailable").New("platform unavailable, the call had no effect")
	// ErrUnknown means that the call may have had an effect: the caller must read the state back.
	ErrUnknown = errs.NewType("unknown").New("no answer from the platform, the call may have had its effect")
	// ErrCompacted means that a watch asked for revisions that the store has discarded.
	ErrCompacted = errs.NewType("compacted").New("the watched revision is gone, read the range again")
	// ErrBudget means that this node has used up its share of the platform's call rate.
	ErrBudget = errs.NewType("budget").New("this node's share of the platform's call rate is used up, the call was not made")
	// ErrWatchUntrusted means that a watch was ended because another call failed, so that it may
	// have missed changes. It is no proof of an outage: the next read shows that.
	ErrWatchUntrusted = errs.NewType("doubted").New("another call failed, this watch is no longer trusted")
	// ErrNotTaken means that the store takes no such call, whoever makes it and when: a key that is too long, say. It shows
	// that the store answers.
	ErrNotTaken = errs.NewType("not_taken").New("the platform takes no such call, it had no effect")
	// ErrLeaseGone means that a lease has expired or was revoked.
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

// RangeResult is the result of a read, with the store's revision at the time.
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

// Compare is one condition of a transaction: a property of the key equals Number.
// Version 0 means that the key doesn't exist.
type Compare struct {
	Key    string
	Target CompareTarget
	Number int64
}

// OpKind is the kind of an operation.
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

// Txn is a transaction: if all conditions of If hold, it executes Then, else Else.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult has the branch that was executed and the results of its reads.
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

// WatchBatch has all changes of one or more complete revisions.
type WatchBatch struct {
	Revision int64
	Events   []Event
}

// KV is the key-value service.
type KV struct {
	Range func(ctx context.Context, key, end string) (RangeResult, error)
	// StaleRange reads all keys of a prefix at a fraction of Range's cost; its result may be
	// seconds old. It is nil if the service has no such reads.
	StaleRange func(ctx context.Context, prefix string) (RangeResult, error)
	Txn        func(ctx context.Context, t Txn) (TxnResult, error)
	Grant      func(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive  func(ctx context.Context, lease int64) (time.Duration, error)
	Revoke     func(ctx context.Context, lease int64) error
	// Watch calls f for each batch of changes in the span, in order, until the context ends or
	// f fails.
	Watch func(ctx context.Context, s Span, f func(WatchBatch) error) error
}

// Span is the range of keys, and the first revision, of a watch. End is exclusive, as in all
// ranges of this package.
type Span struct {
	Key, End string
	From     int64 // the first revision to report
	// Wait is how long a service that is polled may hold a call without events; 0 leaves it to
	// the service. A shorter wait detects a broken watch sooner, but each wait ends with a new call.
	Wait time.Duration
}

// PrefixSpan returns the span of all keys with a prefix.
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

// Put returns the transaction that sets a key unconditionally.
func Put(key string, value []byte) Txn {
	return Txn{Then: []Op{{Kind: OpPut, Key: key, Value: value}}}
}

// Absent returns the condition that the key doesn't exist.
func Absent(key string) Compare { return Compare{Key: key, Target: CompareVersion} }

// Unmodified returns the condition that the key's last change has the given revision.
func Unmodified(key string, revision int64) Compare {
	return Compare{Key: key, Target: CompareModified, Number: revision}
}
