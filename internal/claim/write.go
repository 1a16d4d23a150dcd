package claim

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"spurhall.example/spurhall/internal/store"
)

// This file writes claims to the platform: many in one transaction, each settled separately. A write without
// a response is read back before its outcome is decided.

// batchLimit keeps a transaction under the store's limit on operations.
const batchLimit = 60

func (b *Manager) writeLoop(ctx context.Context) {
	for {
		var list []pendingWrite
		select {
		case p := <-b.writes:
			list = append(list, p)
		case <-ctx.Done():
			return
		}
		_ = b.o.Clock.Sleep(ctx, b.o.Interval)
		for len(list) < batchLimit {
			select {
			case p := <-b.writes:
				list = append(list, p)
				continue
			default:
			}
			break
		}
		go b.commit(ctx, list)
	}
}

// commit settles a batch: in one transaction if no key is taken, else without the taken keys. It runs at
// most as many transactions as there are keys.
func (b *Manager) commit(ctx context.Context, list []pendingWrite) {
	if !b.o.Up() {
		for _, p := range list {
			b.proxyWrite(ctx, p)
		}
		return
	}
	for len(list) > 0 {
		left, err := b.attemptCommit(ctx, list)
		if err != nil {
			b.settleUnknown(ctx, list, err)
			return
		}
		if len(left) == len(list) { // no key is taken and yet the write was rejected: this node is not a member
			b.settleAll(list, WriteRejected, 0)
			return
		}
		list = left
	}
}

func (b *Manager) settleAll(list []pendingWrite, w WriteResult, revision int64) {
	for _, p := range list {
		p.result(w, revision)
	}
}

// attemptCommit tries to claim all keys at once. If that fails, it settles the writes whose keys are taken
// and returns the others.
func (b *Manager) attemptCommit(ctx context.Context, list []pendingWrite) ([]pendingWrite, error) {
	t, err := b.transaction(ctx, list)
	if err != nil {
		return nil, err
	}
	r, err := b.o.KV.Txn(ctx, t)
	if err != nil {
		return nil, err
	}
	if r.Succeeded {
		b.settleAll(list, WriteGranted, r.Revision)
		return nil, nil
	}
	var left []pendingWrite
	for i, p := range list {
		if i >= len(r.Reads) || len(r.Reads[i].Pairs) == 0 {
			left = append(left, p)
			continue
		}
		p.result(b.matchClaim(p, r.Reads[i].Pairs[0]))
	}
	return left, nil
}

func (b *Manager) transaction(ctx context.Context, list []pendingWrite) (store.Txn, error) {
	b.mu.Lock()
	created := b.created
	b.mu.Unlock()
	return b.transactionFor(ctx, list, b.o.Member.ID, created)
}

func (b *Manager) transactionFor(ctx context.Context, list []pendingWrite, member string, created int64) (store.Txn, error) {
	t := store.Txn{If: []store.Compare{{Key: memberPrefix + member, Target: store.CompareCreated, Number: created}}}
	for _, p := range list {
		lease, err := b.lease(ctx, p.lifetime)
		if err != nil {
			return t, err
		}
		v, err := json.Marshal(Record{Attempt: p.attempt})
		if err != nil {
			return t, err
		}
		k := claimKey(p.key)
		t.If = append(t.If, store.Absent(k))
		t.Then = append(t.Then, store.Op{Kind: store.OpPut, Key: k, Value: v, Lease: lease})
		t.Else = append(t.Else, store.Op{Kind: store.OpRange, Key: k})
	}
	return t, nil
}

// matchClaim compares a claim that was found with the one that was to be written.
func (b *Manager) matchClaim(p pendingWrite, found store.Pair) (WriteResult, int64) {
	var v Record
	if json.Unmarshal(found.Value, &v) == nil && v.Attempt == p.attempt {
		return WriteGranted, found.Modified
	}
	return WriteRejected, 0
}

// lease returns a platform lease that outlasts the lifetime. Claims made within the same part of a lifetime
// share a lease, and the platform drops them when it ends: no node has to clean up, and no claim depends
// on its holder.
func (b *Manager) lease(ctx context.Context, lifetime time.Duration) (int64, error) {
	now := b.o.Clock.Now()
	b.mu.Lock()
	l, ok := b.leases[lifetime]
	b.mu.Unlock()
	if ok && now.Before(l.until) {
		return l.id, nil
	}
	span := lifetime/leasesPerLifetime + time.Second
	id, err := b.o.KV.Grant(ctx, lifetime+span)
	if err != nil {
		return 0, err
	}
	b.mu.Lock()
	b.leases[lifetime] = claimLease{id: id, until: now.Add(span)}
	b.mu.Unlock()
	return id, nil
}

// leasesPerLifetime is the number of leases that cover one lifetime.
const leasesPerLifetime = 24

// settleUnknown settles a batch whose transaction got no response or was not sent.
func (b *Manager) settleUnknown(ctx context.Context, list []pendingWrite, err error) {
	if !errors.Is(err, store.ErrUnknown) {
		for _, p := range list {
			b.proxyWrite(ctx, p)
		}
		return
	}
	for _, p := range list {
		p.result(b.readBack(ctx, p))
	}
}

// readBack settles one write that got no response. If its claim is not stored it is written once more: the
// same attempt cannot be granted twice.
func (b *Manager) readBack(ctx context.Context, p pendingWrite) (WriteResult, int64) {
	r, err := b.o.KV.Range(ctx, claimKey(p.key), "")
	if err != nil {
		return WriteUnknown, 0
	}
	if len(r.Pairs) > 0 {
		return b.matchClaim(p, r.Pairs[0])
	}
	return b.writeOne(ctx, p.key, p.attempt, p.lifetime)
}

// writeOne writes one claim for this node, without reading back.
func (b *Manager) writeOne(ctx context.Context, key uint64, attempt string, lifetime time.Duration) (WriteResult, int64) {
	b.mu.Lock()
	created := b.created
	b.mu.Unlock()
	return b.writeFor(ctx, b.o.Member.ID, created, key, attempt, lifetime)
}

func (b *Manager) writeFor(ctx context.Context, member string, created int64, key uint64, attempt string, lifetime time.Duration) (WriteResult, int64) {
	p := pendingWrite{key: key, attempt: attempt, lifetime: lifetime}
	t, err := b.transactionFor(ctx, []pendingWrite{p}, member, created)
	if err != nil {
		return WriteUnknown, 0
	}
	r, err := b.o.KV.Txn(ctx, t)
	switch {
	case err != nil:
		return WriteUnknown, 0
	case r.Succeeded:
		return WriteGranted, r.Revision
	case len(r.Reads) > 0 && len(r.Reads[0].Pairs) > 0:
		return b.matchClaim(p, r.Reads[0].Pairs[0])
	}
	return WriteRejected, 0
}

// proxyWrite asks the peers that still reach the platform to write a claim for this node.
func (b *Manager) proxyWrite(ctx context.Context, p pendingWrite) {
	if b.o.ProxyWrite == nil {
		p.result(WriteUnknown, 0)
		return
	}
	go func() { p.result(b.o.ProxyWrite(ctx, p.key, p.attempt, p.lifetime)) }()
}

// WriteFor writes a claim for another member, whose record it compares: a member that was removed cannot
// claim through its peers either.
func (b *Manager) WriteFor(ctx context.Context, member string, key uint64, attempt string, lifetime time.Duration) (WriteResult, int64) {
	if !b.o.Up() {
		return WriteUnknown, 0
	}
	r, err := b.o.KV.Range(ctx, memberPrefix+member, "")
	if err != nil {
		return WriteUnknown, 0
	}
	if len(r.Pairs) == 0 {
		return WriteRejected, 0
	}
	return b.writeFor(ctx, member, r.Pairs[0].Created, key, attempt, lifetime)
}

// erase deletes the claim of an attempt that did not run, directly or through a peer. A node that is
// partitioned from the platform may hold a claim that a peer has written for it. Its caller was told that
// the call has not run, and would otherwise find the key taken for as long as the partition lasts.
func (b *Manager) erase(a Action) {
	b.mu.Lock()
	ctx := b.ctx
	b.mu.Unlock()
	if ctx == nil {
		return
	}
	for n := 0; n < eraseAttempts && ctx.Err() == nil; n++ {
		if b.tryErase(ctx, a) {
			b.o.Event("claim_erased", fmt.Sprintf("key %016x, attempt %s, tries %d", a.Key, a.Attempt, n+1))
			return
		}
		_ = b.o.Clock.Sleep(ctx, eraseRetryDelay)
	}
}

func (b *Manager) tryErase(ctx context.Context, a Action) bool {
	if b.o.Up() {
		return b.eraseStored(ctx, a.Key, a.Attempt)
	}
	return b.o.ProxyErase != nil && b.o.ProxyErase(ctx, a.Key, a.Attempt)
}

// EraseFor erases the claim of another member's attempt that did not run.
func (b *Manager) EraseFor(ctx context.Context, key uint64, attempt string) bool {
	return b.o.Up() && b.eraseStored(ctx, key, attempt)
}

// An erase is retried through an outage of a few minutes; after that the key becomes free when its lifetime
// ends.
const (
	eraseAttempts   = 300
	eraseRetryDelay = 2 * time.Second
)

func (b *Manager) eraseStored(ctx context.Context, key uint64, attempt string) bool {
	k := claimKey(key)
	r, err := b.o.KV.Range(ctx, k, "")
	if err != nil {
		return false
	}
	if len(r.Pairs) == 0 {
		return true
	}
	if w, _ := b.matchClaim(pendingWrite{attempt: attempt}, r.Pairs[0]); w != WriteGranted {
		return true
	}
	_, err = b.o.KV.Txn(ctx, store.Txn{
		If:   []store.Compare{store.Unmodified(k, r.Pairs[0].Modified)},
		Then: []store.Op{{Kind: store.OpDelete, Key: k}},
	})
	return err == nil
}

// maxRecordBody bounds the bytes of a response body that is kept for later callers of a key.
const maxRecordBody = 16 << 10

// A response whose write got no answer is written again, through an outage of a minute. recordsAtOnce bounds
// the responses that wait for that, at maxRecordBody each.
const (
	recordAttempts   = 60
	recordRetryDelay = time.Second
	recordsAtOnce    = 256
)

// storeRecord stores the response with the claim. Without it, later callers of the key are told that the call
// may have run, instead of what it returned.
func (b *Manager) storeRecord(key uint64, v Record) {
	b.mu.Lock()
	ctx := b.ctx
	b.mu.Unlock()
	if ctx == nil || len(v.Body) > maxRecordBody {
		return
	}
	j, err := json.Marshal(v)
	if err != nil {
		b.recordLost(key, v.Attempt, err)
		return
	}
	if b.recordsWaiting.Add(1) > recordsAtOnce {
		b.recordsWaiting.Add(-1)
		b.recordLost(key, v.Attempt, errManyRecords)
		return
	}
	defer b.recordsWaiting.Add(-1)
	for n := 0; n < recordAttempts; n++ {
		if err = b.tryRecord(ctx, claimKey(key), v.Attempt, j); err == nil {
			return
		}
		if b.o.Clock.Sleep(ctx, recordRetryDelay) != nil {
			break
		}
	}
	b.recordLost(key, v.Attempt, err)
}

func (b *Manager) recordLost(key uint64, attempt string, err error) {
	b.o.Event("claim_record_lost", fmt.Sprintf("key %016x, attempt %s: %v", key, attempt, err))
}

// tryRecord writes a response to the attempt's claim. There is nothing to write if the claim isn't this
// attempt's, or if a write without an answer has stored the response already.
func (b *Manager) tryRecord(ctx context.Context, k, attempt string, value []byte) error {
	r, err := b.o.KV.Range(ctx, k, "")
	if err != nil || len(r.Pairs) == 0 || bytes.Equal(r.Pairs[0].Value, value) {
		return err
	}
	if w, _ := b.matchClaim(pendingWrite{attempt: attempt}, r.Pairs[0]); w != WriteGranted {
		return nil
	}
	t, err := b.o.KV.Txn(ctx, store.Txn{
		If:   []store.Compare{store.Unmodified(k, r.Pairs[0].Modified)},
		Then: []store.Op{{Kind: store.OpPut, Key: k, Value: value, Lease: r.Pairs[0].Lease}},
	})
	if err == nil && !t.Succeeded {
		return errClaimModified
	}
	return err
}

// LoadRecord returns the stored record of a key.
func (b *Manager) LoadRecord(ctx context.Context, key uint64) (Record, bool) {
	r, err := b.o.KV.Range(ctx, claimKey(key), "")
	if err != nil || len(r.Pairs) == 0 {
		return Record{}, false
	}
	var v Record
	if json.Unmarshal(r.Pairs[0].Value, &v) != nil {
		return Record{}, false
	}
	return v, true
}
