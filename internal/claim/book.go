package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// This file carries out what the machine asks for: it writes claims in batches,
// reads back writes that got no answer, follows the watch, and sends messages to
// peers through a function that the owner gives it.

const (
	prefix       = "/spurhall/agreed/"
	memberPrefix = prefix + "m/"
	claimPrefix  = prefix + "k/"
)

var errs = errorx.NewNamespace("claim")

// ErrNotMember says that this node has no member record yet.
var ErrNotMember = errs.NewType("not_member").New("this node is not yet a member")

// Member is a member record.
type Member struct {
	ID      string `json:"id"`
	Hall    string `json:"hall"`
	Address string `json:"address"` // of the peer listener
	VM      string `json:"vm"`
}

// Recorded is a claim's value. Outcome is empty until the call has ended.
type Record struct {
	Attempt string              `json:"attempt"`
	Outcome string              `json:"outcome,omitempty"`
	Status  int                 `json:"status,omitempty"`
	Header  map[string][]string `json:"header,omitempty"`
	Body    []byte              `json:"body,omitempty"`
}

// Options sets a book. The functions are its way to the outside.
type Options struct {
	Member Member
	KV     store.KV
	Up     func() bool // whether the platform answered lately
	PeerUp func() bool // whether a peer says so of itself
	Clock  *timer.Service
	Send   func(ctx context.Context, m Member, g Message) (*Message, error)
	ProxyWrite func(ctx context.Context, key uint64, attempt string, lifetime time.Duration) (WriteResult, int64)
	// EraseBehalf asks peers to erase a claim, and tells whether it is gone.
	ProxyErase func(ctx context.Context, key uint64, attempt string) bool
	Event       func(name, detail string)
	Interval    time.Duration // of the group commit
	Timeout     time.Duration // for a promise
}

// Book is one node's claims. It is safe for concurrent use.
type Manager struct {
	o       Options
	mu      sync.Mutex
	machine *Machine
	members map[string]Member
	created int64 // create revision of the own record
	own     bool  // the own watch is up
	waiting map[string]chan Action
	life    map[string]time.Duration // lifetime asked for, by attempt
	writes  chan pendingWrite
	leases  map[time.Duration]claimLease
	ctx     context.Context
	marked  map[uint64]time.Time // since when a key is marked here
	longest time.Duration        // lifetime asked for so far
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

// queueLimit bounds the writes that wait for the next group commit. When it is
// full a claim is refused: the platform can't take more, and waiting won't help.
const queueLimit = 1024

// NewBook returns a book. Run has to be called for it to do anything.
func NewManager(o Options) *Manager {
	return &Manager{
		o: o, machine: New(o.Member.ID), members: make(map[string]Member),
		waiting: make(map[string]chan Action), life: make(map[string]time.Duration),
		writes: make(chan pendingWrite, queueLimit), leases: make(map[time.Duration]claimLease),
		marked: make(map[uint64]time.Time), longest: recordLifetime,
	}
}

// HashKey returns the form in which a workspace's key is claimed. A collision of
// two keys only refuses the second.
func HashKey(workspace, service, key string) uint64 {
	return xxhash.Sum64String(workspace + "\x00" + service + "\x00" + key)
}

func claimKey(k uint64) string { return fmt.Sprintf("%s%016x", claimPrefix, k) }

// Run joins, follows the watch and writes claims until the context ends.
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
		_ = b.o.Clock.Sleep(ctx, followAgain)
	}
}

const (
	followAgain = 300 * time.Millisecond
	syncAgain   = 500 * time.Millisecond
)

// follow joins if that is still to do, reads members and claims at one revision
// and follows them from there.
func (b *Manager) follow(ctx context.Context) error {
	if err := b.join(ctx); err != nil {
		return err
	}
	r, err := b.o.KV.Range(ctx, prefix, store.PrefixEnd(prefix))
	if err != nil {
		return err
	}
	b.load(r)
	b.setPlatform(true)
	return b.o.KV.Watch(ctx, store.PrefixSpan(prefix, r.Revision+1), func(w store.WatchBatch) error {
		b.setPlatform(true)
		var list []Change
		for _, e := range w.Events {
			if c, ok := b.change(e.Pair, e.Deleted); ok {
				list = append(list, c)
			}
		}
		b.do(func(m *Machine) []Action { return m.Watch(list) })
		return nil
	})
}

// join writes the member record. Records of earlier processes on the same peer
// address go in the same transaction: two processes can't hold one address, so
// they are dead.
func (b *Manager) join(ctx context.Context) error {
	b.mu.Lock()
	joined := b.created != 0
	b.mu.Unlock()
	if joined {
		return nil
	}
	r, err := b.o.KV.Range(ctx, memberPrefix, store.PrefixEnd(memberPrefix))
	if err != nil {
		return err
	}
	v, err := json.Marshal(b.o.Member)
	if err != nil {
		return err
	}
	key := memberPrefix + b.o.Member.ID
	t := store.Txn{Then: []store.Op{{Kind: store.OpPut, Key: key, Value: v}}}
	for _, p := range r.Pairs {
		var m Member
		if json.Unmarshal(p.Value, &m) == nil && m.Address == b.o.Member.Address && m.ID != b.o.Member.ID {
			t.Then = append(t.Then, store.Op{Kind: store.OpDelete, Key: p.Key})
		}
	}
	_, err = b.o.KV.Txn(ctx, t)
	if err != nil && !errors.Is(err, store.ErrUnknown) {
		return err
	}
	r, err = b.o.KV.Range(ctx, key, "") // settles a lost answer, too
	if err != nil {
		return err
	}
	if len(r.Pairs) == 0 {
		return ErrNotMember
	}
	b.mu.Lock()
	b.created = r.Pairs[0].Created
	b.mu.Unlock()
	return nil
}

// load takes in a whole read: the first one joins the machine, a later one (after
// the watch broke) is turned into the changes that were missed.
func (b *Manager) load(r store.RangeResult) {
	var list []Change
	seen := make(map[string]bool)
	for _, p := range r.Pairs {
		if c, ok := b.change(p, false); ok {
			list = append(list, c)
			seen[c.Member] = true
		}
	}
	b.do(func(m *Machine) []Action {
		if !m.Joined() {
			return m.Join(list)
		}
		for _, id := range m.View() {
			if !seen[id] {
				list = append(list, Change{Member: id, Deleted: true, Revision: r.Revision})
			}
		}
		return append(m.Watch(list), m.DropClaims(list, r.Revision)...)
	})
}

func (b *Manager) change(p store.Pair, deleted bool) (Change, bool) {
	if id, ok := strings.CutPrefix(p.Key, memberPrefix); ok {
		c := Change{Member: id, Deleted: deleted, Revision: p.Modified}
		var m Member
		if !deleted && json.Unmarshal(p.Value, &m) == nil {
			c.Hall = m.Hall
			b.mu.Lock()
			b.members[id] = m
			b.mu.Unlock()
		}
		return c, true
	}
	s, ok := strings.CutPrefix(p.Key, claimPrefix)
	if !ok {
		return Change{}, false
	}
	c := Change{Deleted: deleted, Revision: p.Modified}
	if _, err := fmt.Sscanf(s, "%x", &c.Key); err != nil {
		return Change{}, false
	}
	var v Record
	if !deleted && json.Unmarshal(p.Value, &v) == nil {
		c.Attempt = v.Attempt
	}
	return c, true
}

// setPlatform notes whether the own watch is up, and tells whether that is news.
func (b *Manager) setPlatform(up bool) bool {
	b.mu.Lock()
	news := b.own != up
	b.own = up
	b.mu.Unlock()
	b.refreshPlatform()
	return news
}

// refreshPlatform tells the machine whether claims can be written, by this node or
// by a peer for it.
func (b *Manager) refreshPlatform() {
	peer := b.o.PeerUp != nil && b.o.PeerUp()
	b.mu.Lock()
	up := b.own || peer
	b.mu.Unlock()
	b.do(func(m *Machine) []Action { return m.SetPlatform(up) })
}

// do lets the machine take one step and carries out what it asks for.
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
		b.carryOut(a)
	}
}

func (b *Manager) carryOut(a Action) {
	switch a.Kind {
	case ActionSend:
		go b.send(a.Message)
	case ActionWrite:
		b.write(a)
	case ActionRecord:
		b.enqueue(pendingWrite{key: a.Key, attempt: a.Attempt, lifetime: recordLifetime, result: func(WriteResult, int64) {}})
	case ActionErase:
		go b.erase(a)
	case ActionRun, ActionRefuse:
		if a.Kind == ActionRefuse {
			b.o.Event("claim_refused", fmt.Sprintf("key %016x, attempt %s: %s", a.Key, a.Attempt, a.Reason))
		}
		b.mu.Lock()
		c := b.waiting[a.Attempt]
		delete(b.waiting, a.Attempt)
		delete(b.life, a.Attempt)
		b.mu.Unlock()
		if c != nil {
			c <- a
		}
	}
}

// recordLifetime is how long a promise of another node's is kept as a claim.
const recordLifetime = 24 * time.Hour

func (b *Manager) write(a Action) {
	b.mu.Lock()
	d := b.life[a.Attempt]
	b.mu.Unlock()
	b.enqueue(pendingWrite{key: a.Key, attempt: a.Attempt, lifetime: d, result: func(w WriteResult, revision int64) {
		b.do(func(m *Machine) []Action { return m.Wrote(a.Attempt, w, revision) })
	}})
}

func (b *Manager) enqueue(p pendingWrite) {
	select {
	case b.writes <- p:
	default:
		go p.result(WriteUnknown, 0)
	}
}

// A release that gets lost leaves a key marked at the peer, so it is repeated.
const (
	releaseTries = 5
	releaseAgain = 500 * time.Millisecond
)

func (b *Manager) syncLoop(ctx context.Context) {
	b.o.Clock.Every(ctx, syncAgain, func(time.Time) {
		b.do(func(m *Machine) []Action { return m.SyncAgain() })
	})
}

// Grant is the answer to Claim.
type Grant struct {
	Granted bool
	Reason  Reason
}

// Claim asks for the permission to run a key. A granted claim has to be ended with
// Finish.
func (b *Manager) Claim(ctx context.Context, key uint64, attempt string, lifetime time.Duration, promises bool) Grant {
	c := make(chan Action, 1)
	b.mu.Lock()
	b.waiting[attempt] = c
	b.life[attempt] = lifetime
	b.longest = max(b.longest, lifetime)
	b.mu.Unlock()
	b.refreshPlatform()
	b.do(func(m *Machine) []Action { return m.Begin(key, attempt, promises) })
	select {
	case a := <-c:
		return Grant{Granted: a.Kind == ActionRun, Reason: a.Reason}
	case <-ctx.Done():
	}
	// Both at once under the lock: a permission given after this look would otherwise
	// be held by nobody, and its key be taken for good.
	b.do(func(m *Machine) []Action { return m.GiveUp(attempt) })
	b.mu.Lock()
	delete(b.waiting, attempt)
	delete(b.life, attempt)
	b.mu.Unlock()
	return Grant{Reason: ReasonSilent}
}

// Finish ends a granted claim. ran is false only if the call certainly did not run
// and never will. The answer, if any, is recorded for later callers of the key.
func (b *Manager) Finish(attempt string, ran bool, answer *Record) {
	var key uint64
	b.do(func(m *Machine) []Action {
		if a := m.attempts[attempt]; a != nil {
			key = a.key
		}
		return m.Finish(attempt, ran)
	})
	if ran && answer != nil {
		go b.record(key, *answer)
	}
}

// Synced tells whether this node may claim.
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

// Leave stops claiming for good, tells every member, and deletes the own record
// once the promises held are recorded.
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
			b.carryOut(a)
		}
	}
	wait.Wait()
	if ok && created != 0 {
		_, _ = b.o.KV.Txn(ctx, store.Txn{Then: []store.Op{{Kind: store.OpDelete, Key: memberPrefix + b.o.Member.ID}}})
	}
}

// Retire deletes the record of a member whose VM, having been listed, is gone.
func (b *Manager) Retire(ctx context.Context, id string) error {
	_, err := b.o.KV.Txn(ctx, store.Txn{Then: []store.Op{{Kind: store.OpDelete, Key: memberPrefix + id}}})
	return err
}
