package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// This file executes the machine's actions: it writes claims in batches, reads back writes whose outcome
// is unknown, follows the watch, and sends messages to peers through a function in Options.

const (
	prefix       = "/spurhall/agreed/"
	memberPrefix = prefix + "m/"
	claimPrefix  = prefix + "k/"
)

var errs = errorx.NewNamespace("claim")

// ErrNotMember says that the store holds no member record of this node yet.
var ErrNotMember = errs.NewType("not_member").New("this node is not yet a member")

var (
	errManyRecords   = errs.NewType("many_records").New("too many responses wait for the store")
	errClaimModified = errs.NewType("claim_modified").New("the claim was modified meanwhile")
)

// Member is the stored record of a member.
type Member struct {
	ID      string `json:"id"`
	Hall    string `json:"hall"`
	Address string `json:"address"` // of the peer listener
	VM      string `json:"vm"`
}

// Record is the stored value of a claim. Outcome is empty until the call has ended.
type Record struct {
	Attempt string              `json:"attempt"`
	Outcome string              `json:"outcome,omitempty"`
	Status  int                 `json:"status,omitempty"`
	Header  map[string][]string `json:"header,omitempty"`
	Body    []byte              `json:"body,omitempty"`
}

// Options configures a Manager. The functions are its access to the platform and to peers.
type Options struct {
	Member Member
	KV     store.KV
	Up     func() bool // whether the platform responded recently
	PeerUp func() bool // whether a peer reports that the platform responds to it
	Clock  *timer.Service
	Send   func(ctx context.Context, m Member, g Message) (*Message, error)
	// ProxyWrite asks peers that reach the platform to write a claim.
	ProxyWrite func(ctx context.Context, key uint64, attempt string, lifetime time.Duration) (WriteResult, int64)
	// ProxyErase asks peers to erase a claim, and returns whether it is gone.
	ProxyErase func(ctx context.Context, key uint64, attempt string) bool
	Event      func(name, detail string)
	Interval   time.Duration // of the group commit
	Timeout    time.Duration // for a promise
}

// Manager holds one node's part of the claims. It is safe for concurrent use.
type Manager struct {
	o           Options
	mu          sync.Mutex
	machine     *Machine
	members     map[string]Member
	created     int64 // create revision of this node's member record
	watchUp     bool  // whether this node's watch is connected
	waiters     map[string]chan Action
	lifetimes   map[string]time.Duration // requested lifetime, by attempt
	writes      chan pendingWrite
	leases      map[time.Duration]claimLease
	ctx         context.Context
	markedSince map[uint64]time.Time // when a key was first seen marked on this node
	maxLifetime time.Duration        // longest lifetime requested so far

	recordsWaiting atomic.Int32 // responses that are being written to their claims
}

type pendingWrite struct {
	key      uint64
	attempt  string
	lifetime time.Duration
	result   func(w WriteResult, revision int64)
}

type claimLease struct {
	id    int64
	until time.Time
}

// queueLimit bounds the writes that wait for the next group commit. When the queue is full a claim is
// rejected: the platform cannot take more writes, and waiting would not help.
const queueLimit = 1024

// NewManager returns a manager. It does nothing until Run is called.
func NewManager(o Options) *Manager {
	return &Manager{
		o: o, machine: New(o.Member.ID), members: make(map[string]Member),
		waiters: make(map[string]chan Action), lifetimes: make(map[string]time.Duration),
		writes: make(chan pendingWrite, queueLimit), leases: make(map[time.Duration]claimLease),
		markedSince: make(map[uint64]time.Time), maxLifetime: recordLifetime,
	}
}

// HashKey returns the hash under which a workspace's key is claimed. If two keys collide, the claim of the
// second is rejected, which is safe.
func HashKey(workspace, service, key string) uint64 {
	return xxhash.Sum64String(workspace + "\x00" + service + "\x00" + key)
}

func claimKey(k uint64) string { return fmt.Sprintf("%s%016x", claimPrefix, k) }

// Run joins the members, follows the watch and writes claims until the context ends.
func (b *Manager) Run(ctx context.Context) {
	b.mu.Lock()
	b.ctx = ctx
	b.mu.Unlock()
	go b.writeLoop(ctx)
	go b.syncLoop(ctx)
	go b.expireLoop(ctx)
	for ctx.Err() == nil {
		err := b.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if b.setPlatform(false) {
			b.o.Event("claims_watch_broken", err.Error())
		}
		_ = b.o.Clock.Sleep(ctx, followRetryDelay)
	}
}

const (
	followRetryDelay = 300 * time.Millisecond
	syncInterval     = 500 * time.Millisecond
)

// setPlatform records whether this node's watch is connected, and returns whether that changed.
func (b *Manager) setPlatform(up bool) bool {
	b.mu.Lock()
	changed := b.watchUp != up
	b.watchUp = up
	b.mu.Unlock()
	b.refreshPlatform()
	return changed
}

// refreshPlatform updates the machine's view of whether claims can be written, by this node or by a peer
// on its behalf.
func (b *Manager) refreshPlatform() {
	peer := b.o.PeerUp != nil && b.o.PeerUp()
	b.mu.Lock()
	up := b.watchUp || peer
	b.mu.Unlock()
	b.do(func(m *Machine) []Action { return m.SetPlatform(up) })
}

// do runs one step of the machine and executes the actions that it returns.
func (b *Manager) do(step func(m *Machine) []Action) {
	b.mu.Lock()
	before := b.machine.Synced()
	list := step(b.machine)
	after := b.machine.Synced()
	b.mu.Unlock()
	if after != before {
		b.o.Event("claims_synced", fmt.Sprintf("synced=%v", after))
	}
	for _, a := range list {
		b.execute(a)
	}
}

func (b *Manager) execute(a Action) {
	switch a.Kind {
	case ActionSend:
		go b.send(a.Message)
	case ActionWrite:
		b.write(a)
	case ActionRecord:
		b.enqueue(pendingWrite{key: a.Key, attempt: a.Attempt, lifetime: recordLifetime, result: func(WriteResult, int64) {}})
	case ActionErase:
		go b.erase(a)
	case ActionRun, ActionReject:
		if a.Kind == ActionReject {
			b.o.Event("claim_refused", fmt.Sprintf("key %016x, attempt %s: %s", a.Key, a.Attempt, a.Reason))
		}
		b.mu.Lock()
		c := b.waiters[a.Attempt]
		delete(b.waiters, a.Attempt)
		delete(b.lifetimes, a.Attempt)
		b.mu.Unlock()
		if c != nil {
			c <- a
		}
	}
}

// recordLifetime is the lifetime of a claim that records a promise made to another node.
const recordLifetime = 24 * time.Hour

func (b *Manager) write(a Action) {
	b.mu.Lock()
	d := b.lifetimes[a.Attempt]
	b.mu.Unlock()
	b.enqueue(pendingWrite{key: a.Key, attempt: a.Attempt, lifetime: d, result: func(w WriteResult, revision int64) {
		b.do(func(m *Machine) []Action { return m.HandleWriteResult(a.Attempt, w, revision) })
	}})
}

func (b *Manager) enqueue(p pendingWrite) {
	select {
	case b.writes <- p:
	default:
		go p.result(WriteUnknown, 0)
	}
}

// A lost release leaves a key marked at the peer, so a release is repeated.
const (
	releaseAttempts   = 5
	releaseRetryDelay = 500 * time.Millisecond
)

func (b *Manager) syncLoop(ctx context.Context) {
	b.o.Clock.Every(ctx, syncInterval, func(time.Time) {
		b.do(func(m *Machine) []Action { return m.RetrySync() })
	})
}

// Grant is the result of Claim.
type Grant struct {
	Granted bool
	Reason  Reason
}

// Claim asks for the permission to run a key. A granted claim has to be ended with Finish.
func (b *Manager) Claim(ctx context.Context, key uint64, attempt string, lifetime time.Duration, promises bool) Grant {
	c := make(chan Action, 1)
	b.mu.Lock()
	b.waiters[attempt] = c
	b.lifetimes[attempt] = lifetime
	b.maxLifetime = max(b.maxLifetime, lifetime)
	b.mu.Unlock()
	b.refreshPlatform()
	b.do(func(m *Machine) []Action { return m.StartAttempt(key, attempt, promises) })
	select {
	case a := <-c:
		return Grant{Granted: a.Kind == ActionRun, Reason: a.Reason}
	case <-ctx.Done():
	}
	// Cancel handles an attempt that waits and one that was just allowed to run in one step under the
	// lock: a permission granted after a separate check would never be used or ended, and the key
	// would stay taken for good.
	b.do(func(m *Machine) []Action { return m.Cancel(attempt) })
	b.mu.Lock()
	delete(b.waiters, attempt)
	delete(b.lifetimes, attempt)
	b.mu.Unlock()
	return Grant{Reason: ReasonTimeout}
}

// Finish ends a granted claim. ran is false only if the call certainly did not run and never will. The
// response, if there is one, is recorded for later callers of the key.
func (b *Manager) Finish(attempt string, ran bool, response *Record) {
	var key uint64
	b.do(func(m *Machine) []Action {
		if a := m.attempts[attempt]; a != nil {
			key = a.key
		}
		return m.Finish(attempt, ran)
	})
	if ran && response != nil {
		go b.storeRecord(key, *response)
	}
}

// Synced returns whether this node may claim keys.
func (b *Manager) Synced() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.Synced()
}

// View returns the members in view.
func (b *Manager) View() []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	var r []Member
	for _, id := range b.machine.View() {
		r = append(r, b.members[id])
	}
	return r
}

// Leave stops claiming for good, announces that to every member, and deletes this node's member record
// once the promises that it holds are recorded.
func (b *Manager) Leave(ctx context.Context) {
	b.mu.Lock()
	list := b.machine.Leave()
	created := b.created
	b.mu.Unlock()
	var wait sync.WaitGroup
	ok := true
	for _, a := range list {
		switch a.Kind {
		case ActionSend:
			wait.Add(1)
			go func() { defer wait.Done(); b.send(a.Message) }()
		case ActionRecord:
			w, _ := b.writeOne(ctx, a.Key, a.Attempt, recordLifetime)
			ok = ok && w != WriteUnknown
		default:
			b.execute(a)
		}
	}
	wait.Wait()
	if ok && created != 0 {
		_, _ = b.o.KV.Txn(ctx, store.Txn{Then: []store.Op{{Kind: store.OpDelete, Key: memberPrefix + b.o.Member.ID}}})
	}
}

// Retire deletes the record of a member whose VM was listed before and has disappeared from the list.
func (b *Manager) Retire(ctx context.Context, id string) error {
	_, err := b.o.KV.Txn(ctx, store.Txn{Then: []store.Op{{Kind: store.OpDelete, Key: memberPrefix + id}}})
	return err
}
