package standin

import (
	"sort"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// Keys is a key-value service with transactions, leases and watches, in memory. It
// speaks no protocol: the stand-ins for the services that are met put one in front.
type Keys struct {
	mu        sync.Mutex
	clock     *timer.Service
	revision  int64
	pairs     map[string]store.Pair
	log       []change // events since the last compaction, for watches
	compacted int64    // events up to this revision are gone
	leases    map[int64]*lease
	nextID    int64
	wake      chan struct{}
}

type change struct {
	revision int64
	event    store.Event
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewKeys returns an empty service.
func NewKeys(clock *timer.Service) *Keys {
	return &Keys{clock: clock, revision: 1, pairs: make(map[string]store.Pair), leases: make(map[int64]*lease), wake: make(chan struct{})}
}

// Range returns the keys from key up to end, or key alone if end is empty, in order.
func (k *Keys) Range(key, end string) store.RangeResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	return k.read(key, end)
}

func (k *Keys) read(key, end string) store.RangeResult {
	r := store.RangeResult{Revision: k.revision}
	for n, v := range k.pairs {
		if within(key, end, n) {
			r.Pairs = append(r.Pairs, v)
		}
	}
	sort.Slice(r.Pairs, func(i, j int) bool { return r.Pairs[i].Key < r.Pairs[j].Key })
	return r
}

func within(key, end, n string) bool {
	if end == "" {
		return n == key
	}
	return n >= key && (end == "\x00" || n < end)
}

func holds(c store.Compare, v store.Pair) bool {
	switch c.Target {
	case store.CompareCreated:
		return v.Created == c.Number
	case store.CompareModified:
		return v.Modified == c.Number
	}
	return v.Version == c.Number
}

// Txn does Then if all comparisons hold, else Else. The error is store.ErrLeaseGone if
// a put names a lease that there isn't.
func (k *Keys) Txn(t store.Txn) (store.TxnResult, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	ok := true
	for _, c := range t.If {
		ok = ok && holds(c, k.pairs[c.Key])
	}
	list := t.Then
	if !ok {
		list = t.Else
	}
	for _, o := range list {
		if o.Lease != 0 && k.leases[o.Lease] == nil {
			return store.TxnResult{}, store.ErrLeaseGone
		}
	}
	r := store.TxnResult{Succeeded: ok, Reads: k.apply(list)}
	r.Revision = k.revision
	return r, nil
}

func (k *Keys) apply(list []store.Op) []store.RangeResult {
	revision, changed := k.revision+1, false
	var reads []store.RangeResult
	for _, o := range list {
		switch o.Kind {
		case store.OpPut:
			k.put(revision, o)
			changed = true
		case store.OpDelete:
			changed = k.remove(revision, o.Key) || changed
		case store.OpRange:
			reads = append(reads, k.read(o.Key, ""))
		}
	}
	if changed {
		k.revision = revision
		k.tell()
	}
	return reads
}

func (k *Keys) put(revision int64, o store.Op) {
	v, ok := k.pairs[o.Key]
	if !ok {
		v = store.Pair{Key: o.Key, Created: revision}
	}
	v.Value, v.Modified, v.Lease = o.Value, revision, o.Lease
	v.Version++
	k.pairs[o.Key] = v
	k.log = append(k.log, change{revision, store.Event{Pair: v}})
}

func (k *Keys) remove(revision int64, key string) bool {
	if _, ok := k.pairs[key]; !ok {
		return false
	}
	delete(k.pairs, key)
	k.log = append(k.log, change{revision, store.Event{Deleted: true, Pair: store.Pair{Key: key, Modified: revision}}})
	return true
}

func (k *Keys) tell() {
	close(k.wake)
	k.wake = make(chan struct{})
}

func (k *Keys) expire() {
	now := k.clock.Now()
	for id, l := range k.leases {
		if now.After(l.expires) {
			k.drop(id)
		}
	}
}

func (k *Keys) drop(id int64) {
	delete(k.leases, id)
	changed := false
	for n, v := range k.pairs {
		if v.Lease == id {
			changed = k.remove(k.revision+1, n) || changed
		}
	}
	if changed {
		k.revision++
		k.tell()
	}
}

// Grant returns a new lease.
func (k *Keys) Grant(ttl time.Duration) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextID++
	k.leases[k.nextID] = &lease{ttl: ttl, expires: k.clock.Now().Add(ttl)}
	return k.nextID
}

// KeepAlive renews a lease and returns its time, 0 if it is gone.
func (k *Keys) KeepAlive(id int64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	l := k.leases[id]
	if l == nil {
		return 0
	}
	l.expires = k.clock.Now().Add(l.ttl)
	return l.ttl
}

// Revoke ends a lease; its keys go with it.
func (k *Keys) Revoke(id int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drop(id)
}

// Compact forgets all events up to now.
func (k *Keys) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.compacted, k.log = k.revision, nil
	k.tell()
}

// Events returns the events after a revision, the service's revision, and a channel
// that is closed at the next change. The error is store.ErrCompacted if some are gone, or if the
// service hasn't come to that revision.
func (k *Keys) Events(key, end string, after int64) (store.WatchBatch, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if after < k.compacted || after > k.revision {
		return store.WatchBatch{}, nil, store.ErrCompacted
	}
	b := store.WatchBatch{Revision: k.revision}
	first := sort.Search(len(k.log), func(i int) bool { return k.log[i].revision > after })
	for _, c := range k.log[first:] {
		if within(key, end, c.event.Pair.Key) {
			b.Events = append(b.Events, c.event)
		}
	}
	return b, k.wake, nil
}
