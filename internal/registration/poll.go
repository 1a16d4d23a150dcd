package registration

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/follow"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// This file reads the registry for a node, unless a watcher sends it.

const (
	// ReadInterval is how often the registry is read, at the price of a stale read.
	ReadInterval = 2 * time.Second
	// turnPoll is how often a node of a system that starts for the first time checks whether it has been sent the registry.
	turnPoll = 20 * time.Millisecond
	// maxWait is how long a starting node waits for the registry, which takes 2 s if a thousand nodes read it at once.
	maxWait = 3 * time.Second
	// firstStartDelay is how long after its start a node reads it when the whole system starts: until then the others have
	// registered.
	firstStartDelay = 800 * time.Millisecond
)

// Poller reads the registry for one node.
type Poller struct {
	Clock      *timer.Service
	Log        *zap.Logger
	KV         func() store.KV
	Node       string
	StartedAt  time.Time
	FirstStart bool
	Known      func() bool      // the registry has been read, or was sent
	HoldsSeat  func() bool      // this node reads it for its hall, when the whole system starts
	SentAt     func() time.Time // when a watcher last sent or confirmed it
	Apply      func(list []roster.Member)

	tried atomic.Bool
}

// Tried reports whether the registry has been read, or couldn't be.
func (p *Poller) Tried() bool { return p.tried.Load() }

// Sent records that a watcher has sent the registry.
func (p *Poller) Sent() { p.tried.Store(true) }

// Await waits until this node has tried to read the registry, or was sent it, for a limited time.
func (p *Poller) Await(ctx context.Context) {
	for !p.Tried() && p.Clock.Since(p.StartedAt) < maxWait {
		if p.Clock.Sleep(ctx, turnPoll) != nil {
			return
		}
	}
}

// Run reads the registry until the context ends. The first read is exact, not stale: a starting node needs the other nodes at
// once.
func (p *Poller) Run(ctx context.Context) {
	exact := func(ctx context.Context, prefix string) (store.RangeResult, error) {
		return p.KV().Range(ctx, prefix, store.PrefixEnd(prefix))
	}
	if p.FirstStart {
		p.awaitTurn(ctx)
	}
	for !p.Known() && p.read(ctx, exact) != nil {
		if p.Clock.Sleep(ctx, follow.RetryPause) != nil {
			return
		}
	}
	p.Clock.Every(ctx, ReadInterval, func(now time.Time) {
		if now.Sub(p.SentAt()) < ReadInterval {
			return
		}
		if err := p.read(ctx, p.KV().StaleRange); err != nil {
			p.Log.Debug("registry_unread", zap.String("cause", err.Error()))
		}
	})
}

// awaitTurn waits, when the whole system starts, until it is this node's turn to read the registry: at once if
// it reads for its hall, and otherwise only if nobody has sent it.
func (p *Poller) awaitTurn(ctx context.Context) {
	turn := roster.StartPatience + time.Duration(xxhash.Sum64String(p.Node)%uint64(roster.StartPatience))
	for !p.Known() {
		age := p.Clock.Since(p.StartedAt)
		if age >= turn || p.HoldsSeat() && age >= firstStartDelay || p.Clock.Sleep(ctx, turnPoll) != nil {
			return
		}
	}
}

func (p *Poller) read(ctx context.Context, read func(ctx context.Context, prefix string) (store.RangeResult, error)) error {
	list, err := Read(ctx, p.Log, read)
	p.tried.Store(true)
	if err == nil {
		p.Apply(list)
	}
	return err
}
