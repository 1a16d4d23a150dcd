package lineage

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

// keeperFleet is a fleet of keepers that call each other directly.
type keeperFleet struct {
	mu      sync.Mutex
	nodes   []Node
	keepers map[string]*Keeper
	store   *memoryStore    // nil: none
	longest int             // most streams that one message had
	silent  map[string]bool // nodes that don't answer, or are of a build that knows no such call
	behind  map[string]bool // nodes that are out of step
}

var errSilent = errors.New("no answer")

func newKeeperFleet(t *testing.T, halls, perHall int) *keeperFleet {
	f := &keeperFleet{nodes: fleet(halls, perHall), keepers: make(map[string]*Keeper), silent: make(map[string]bool), behind: make(map[string]bool)}
	for _, n := range f.nodes {
		f.start(t, n.Name)
	}
	return f
}

// start starts a node that remembers nothing.
func (f *keeperFleet) start(t *testing.T, name string) {
	k := NewKeeper(Options{
		Clock: timer.Real(), Log: zap.NewNop(), Node: name, Nodes: f.present, InStep: func() bool { return !f.isBehind(name) },
		Tell: func(_ context.Context, node string, list []Record) error {
			if f.isSilent(node) {
				return errSilent
			}
			f.mu.Lock()
			f.longest = max(f.longest, len(list))
			f.mu.Unlock()
			f.keeper(node).Hear(list)
			return nil
		},
		Ask: func(_ context.Context, node string, x Key, _ string) (string, bool, error) {
			if f.isSilent(node) {
				return "", false, errSilent
			}
			return f.keeper(node).Answer(x)
		},
		Saved: f.saved(name),
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers[name] = k
	go k.Run(t.Context())
	f.startSaving(t, k)
}

func (f *keeperFleet) keeper(name string) *Keeper {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keepers[name]
}

func (f *keeperFleet) present() []Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

func (f *keeperFleet) setBehind(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behind[name] = true
}

func (f *keeperFleet) isBehind(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behind[name]
}

func (f *keeperFleet) isSilent(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[name]
}

func (f *keeperFleet) setSilent(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range names {
		f.silent[n] = true
	}
}

// keepersOf returns the nodes that are told of a stream.
func (f *keeperFleet) keepersOf(k Key) []string { return Told(k, Candidates(f.present())) }

// begin lets a node begin a stream, and waits until it is told.
func (f *keeperFleet) begin(t *testing.T, node string, k Key) {
	t.Helper()
	f.keeper(node).Tell(Record{k, "v1.1", 15 * time.Second})
	assert.Eventually(t, func() bool {
		for _, n := range f.keepersOf(k) {
			if _, known := f.keeper(n).Version(k); !known && !f.isSilent(n) {
				return false
			}
		}
		return true
	}, 10*time.Second, time.Millisecond)
}

// assertFound checks what a node finds of a stream.
func (f *keeperFleet) assertFound(t *testing.T, want bool, node string, k Key) {
	t.Helper()
	began, late := time.Now(), measureLateness()
	v := f.keeper(node).Find(t.Context(), k, "s")
	took := time.Since(began)
	assert.Equal(t, want, v.Known)
	if v.Known {
		assert.Equal(t, "v1.1", v.Version)
	}
	assert.Less(t, took-late(), 2*time.Second, "callers wait for it")
}

func TestStreamsAreFound(t *testing.T) {
	k := KeyOf("w", "r")
	other := func(f *keeperFleet, not ...string) string {
		for _, n := range f.nodes {
			if n.Name != "n0-0" && !contains(not, n.Name) {
				return n.Name
			}
		}
		return ""
	}
	t.Run("at any node", func(t *testing.T) {
		f := newKeeperFleet(t, 3, 4)
		f.begin(t, "n0-0", k)
		for _, n := range f.nodes {
			f.assertFound(t, true, n.Name, k)
		}
	})
	t.Run("after the node that began it and a keeper have ended", func(t *testing.T) {
		f := newKeeperFleet(t, 3, 4)
		f.begin(t, "n0-0", k)
		f.setSilent("n0-0", f.keepersOf(k)[0])
		f.assertFound(t, true, other(f, f.keepersOf(k)...), k)
	})
	t.Run("by a node that has just started, and after a keeper has", func(t *testing.T) {
		f := newKeeperFleet(t, 3, 4)
		f.begin(t, "n0-0", k)
		f.start(t, f.keepersOf(k)[0])
		f.start(t, other(f, f.keepersOf(k)...))
		f.assertFound(t, true, other(f, f.keepersOf(k)...), k)
	})
	t.Run("not by a node that is cut off from all others", func(t *testing.T) {
		f := newKeeperFleet(t, 3, 4)
		f.begin(t, "n0-0", k)
		n := other(f, f.keepersOf(k)...)
		for _, o := range f.nodes {
			if o.Name != n {
				f.setSilent(o.Name)
			}
		}
		f.assertFound(t, false, n, k)
	})
	t.Run("not after both keepers have started anew", func(t *testing.T) {
		f := newKeeperFleet(t, 3, 4)
		f.begin(t, "n0-0", k)
		for _, n := range f.keepersOf(k) {
			f.start(t, n)
		}
		f.setSilent("n0-0")
		f.assertFound(t, false, other(f, f.keepersOf(k)...), k)
	})
	t.Run("unless it is of another build that knows no such call", func(t *testing.T) {
		f := newKeeperFleet(t, 2, 1)
		f.setSilent("n1-0")
		f.keeper("n0-0").Tell(Record{k, "v1.1", time.Second})
		f.assertFound(t, true, "n0-0", k)
		f.assertFound(t, false, "n0-0", KeyOf("w", "begun by the other build"))
	})
	t.Run("a node that is out of step can't deny that it knows a stream", func(t *testing.T) {
		f := newKeeperFleet(t, 2, 1)
		k := KeyOf("w", "unknown")
		assert.Equal(t, Found{Lost: true, Denied: true}, f.keeper("n0-0").Find(t.Context(), k, "s"))
		f.setBehind("n0-0")
		assert.Equal(t, Found{Lost: true, Denied: true}, f.keeper("n0-0").Find(t.Context(), k, "s"), "the one that asks may be")
		f.setBehind("n1-0")
		assert.Equal(t, Found{}, f.keeper("n0-0").Find(t.Context(), k, "s"))
		f.keeper("n1-0").Hear([]Record{{Key: k, Version: "v1.1", Left: time.Minute}})
		f.assertFound(t, true, "n0-0", k)
	})
	t.Run("nobody denies a stream who isn't asked", func(t *testing.T) {
		f := newKeeperFleet(t, 1, 1)
		assert.Equal(t, Found{Lost: true}, f.keeper("n0-0").Find(t.Context(), KeyOf("w", "unknown"), "s"))
	})
	t.Run("a caller that leaves ends the search", func(t *testing.T) {
		f := newKeeperFleet(t, 2, 1)
		c, cancel := context.WithCancel(t.Context())
		cancel()
		assert.False(t, f.keeper("n0-0").Find(c, KeyOf("w", "x"), "s").Known)
	})
}

func contains(list []string, s string) bool { return len(common(list, []string{s})) > 0 }
