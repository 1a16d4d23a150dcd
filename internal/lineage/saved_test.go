package lineage

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurhall.example/spurhall/internal/timer"
)

// memoryStore is what keepers have stored, by node.
type memoryStore struct {
	mu     sync.Mutex
	values map[string][]Record
	writes int
	down   bool
	// unreadable says that reads fail, and writes don't.
	unreadable bool
	calm       bool // services have one version each
}

func (m *memoryStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *memoryStore) writeCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

// writers returns how many nodes have stored streams.
func (m *memoryStore) writers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.values)
}

func (m *memoryStore) of(node string) Saved {
	return Saved{
		Load: func(context.Context) ([]Record, error) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.down || m.unreadable {
				return nil, errSilent
			}
			return m.values[node], nil
		},
		Save: func(_ context.Context, list []Record) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.down {
				return errSilent
			}
			m.values[node] = list
			m.writes++
			return nil
		},
		Interval: func() time.Duration { return MinSaveInterval },
		Needed: func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return !m.calm
		},
	}
}

// newStoringFleet is newKeeperFleet with a store.
func newStoringFleet(t *testing.T, halls, perHall int) (*keeperFleet, *memoryStore) {
	m := &memoryStore{values: make(map[string][]Record)}
	f := newKeeperFleet(t, halls, perHall)
	f.store = m
	f.restartAll(t)
	return f, m
}

// restartAll replaces all nodes by new processes.
func (f *keeperFleet) restartAll(t *testing.T) {
	for _, n := range f.nodes {
		f.start(t, n.Name)
	}
}

// TestStreamsAreForgottenWithAllProcesses guards against streams that nobody knows of after a loss of all nodes.
func TestStreamsAreForgottenWithAllProcesses(t *testing.T) {
	f, m := newStoringFleet(t, 3, 2)
	const streams = 40
	for i := range streams {
		f.begin(t, "n0-0", KeyOf("w", fmt.Sprint(i)))
	}
	time.Sleep(2 * MinSaveInterval)
	t.Run("once", func(t *testing.T) {
		f.restartAll(t)
		for i := range streams {
			f.assertFound(t, true, f.nodes[i%len(f.nodes)].Name, KeyOf("w", fmt.Sprint(i)))
		}
	})
	t.Run("twice in a row, before anything is stored again", func(t *testing.T) {
		f.restartAll(t)
		f.restartAll(t)
		for i := range streams {
			f.assertFound(t, true, f.nodes[i%len(f.nodes)].Name, KeyOf("w", fmt.Sprint(i)))
		}
	})
	t.Run("while the store is away for a moment", func(t *testing.T) {
		m.setDown(true)
		f.restartAll(t)
		_, _, err := f.keeper("n0-0").Answer(KeyOf("w", "0"))
		require.ErrorIs(t, err, ErrNotRestored, "it may know yet")
		time.AfterFunc(400*time.Millisecond, func() { m.setDown(false) })
		for i := range streams {
			f.assertFound(t, true, f.nodes[i%len(f.nodes)].Name, KeyOf("w", fmt.Sprint(i)))
		}
	})
}

// TestEachNodeOfALargeFleetStoresStreams guards against writes to the store that grow with the fleet, and against streams
// that nobody knows of after a loss of all its nodes.
func TestEachNodeOfALargeFleetStoresStreams(t *testing.T) {
	f, m := newStoringFleet(t, 3, 26)
	const streams = 150
	for i := range streams {
		f.keeper(f.nodes[i%len(f.nodes)].Name).Tell(Record{KeyOf("w", fmt.Sprint(i)), "v1.1", 15 * time.Second})
		time.Sleep(MinSaveInterval / 50)
	}
	time.Sleep(2 * MinSaveInterval)
	assert.LessOrEqual(t, m.writers(), 3*3, "a tenth of the nodes of each hall")
	f.restartAll(t)
	for i := range streams {
		f.assertFound(t, true, f.nodes[(7*i+1)%len(f.nodes)].Name, KeyOf("w", fmt.Sprint(i)))
	}
}

// TestStreamsOfABuildWithoutCandidatesAreLost guards against refusals, at nodes of this build, of what one tells that
// chooses keepers among all nodes.
func TestStreamsOfABuildWithoutCandidatesAreLost(t *testing.T) {
	f := newKeeperFleet(t, 3, 26)
	for i := range 40 {
		k := KeyOf("w", fmt.Sprint(i))
		for _, n := range Told(k, f.nodes) {
			f.keeper(n).Hear([]Record{{k, "v1.1", 15 * time.Second}})
		}
		f.assertFound(t, true, f.nodes[i].Name, k)
	}
}

// TestStreamsAreNotFoundWithoutAnEnd guards against callers who wait, or come back at once, though nobody will ever know.
func TestStreamsAreNotFoundWithoutAnEnd(t *testing.T) {
	f, m := newStoringFleet(t, 2, 2)
	k := KeyOf("w", "unknown")
	require.True(t, f.keeper("n0-0").AwaitRestored(t.Context()))
	time.Sleep(2 * loadRetryPause)
	t.Run("all answer", func(t *testing.T) {
		began := time.Now()
		assert.Equal(t, Found{Lost: true, Denied: true}, f.keeper("n0-0").Find(t.Context(), k, "s"))
		assert.Less(t, time.Since(began), findTimeout/2)
	})
	t.Run("some may know yet", func(t *testing.T) {
		m.setDown(true)
		f.restartAll(t)
		assert.False(t, f.keeper("n0-0").AwaitRestored(t.Context()))
		assert.Equal(t, Found{}, f.keeper("n0-0").Find(t.Context(), k, "s"))
	})
}

// TestSavesHaveABound guards against a write to the store for each stream, and against writes while nothing changes.
func TestSavesHaveABound(t *testing.T) {
	f, m := newStoringFleet(t, 1, 1)
	assert.Zero(t, m.writeCount(), "there is nothing to store")
	const lasts = 5
	for i := range 100 * lasts {
		f.keeper("n0-0").Tell(Record{KeyOf("w", fmt.Sprint(i)), "v1", time.Minute})
		time.Sleep(MinSaveInterval / 100)
	}
	time.Sleep(2 * MinSaveInterval)
	n := m.writeCount()
	assert.LessOrEqual(t, n, 2*lasts+2)
	time.Sleep(2 * MinSaveInterval)
	assert.Equal(t, n, m.writeCount(), "nothing has changed")
	f.keeper("n0-0").SaveAgain()
	time.Sleep(2 * MinSaveInterval)
	assert.Equal(t, n+1, m.writeCount(), "the store has lost it")
	assert.Len(t, m.values["n0-0"], 100*lasts)
}

// startSaving has a node store what it remembers, if the fleet has a store.
func (f *keeperFleet) startSaving(t *testing.T, k *Keeper) {
	if f.store != nil {
		go k.RunSaved(t.Context())
	}
}

func (f *keeperFleet) saved(name string) Saved {
	if f.store == nil {
		return Saved{}
	}
	return f.store.of(name)
}

// TestStoredStreamsAreReplacedBeforeTheyAreRead guards against a process that stops, or stores, without what the one before knew.
func TestStoredStreamsAreReplacedBeforeTheyAreRead(t *testing.T) {
	f, m := newStoringFleet(t, 1, 1)
	f.keeper("n0-0").Tell(Record{KeyOf("w", "before"), "v1.1", time.Minute})
	time.Sleep(2 * MinSaveInterval)
	m.setDown(true)
	f.restartAll(t)
	k := f.keeper("n0-0")
	k.Tell(Record{KeyOf("w", "since"), "v1.1", time.Minute})
	time.Sleep(loadRetryPause / 4)
	m.mu.Lock()
	m.down, m.unreadable = false, true
	m.mu.Unlock()
	k.Save(t.Context())
	assert.Len(t, m.stored("n0-0"), 1, "what was stored isn't read yet")
	m.mu.Lock()
	m.unreadable = false
	m.mu.Unlock()
	time.Sleep(2*loadRetryPause + 2*MinSaveInterval)
	assert.Len(t, m.stored("n0-0"), 2, "both are stored once it is")
}

// TestStreamsAreStoredWhileOneVersionServes guards against writes to the store in calm times.
func TestStreamsAreStoredWhileOneVersionServes(t *testing.T) {
	f, m := newStoringFleet(t, 1, 1)
	k := f.keeper("n0-0")
	require.True(t, k.AwaitRestored(t.Context()))
	m.setCalm(true)
	k.Tell(Record{KeyOf("w", "calm"), "v1.1", time.Minute})
	time.Sleep(2 * MinSaveInterval)
	k.Save(t.Context())
	assert.Zero(t, m.writeCount())
	m.setCalm(false)
	k.SaveSoon()
	time.Sleep(2 * MinSaveInterval)
	assert.Len(t, m.stored("n0-0"), 1, "a second version serves")
}

func (m *memoryStore) setCalm(calm bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calm = calm
}

func (m *memoryStore) stored(node string) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[node]
}

// TestSaveThatIsLateIsNotSaid guards against records that wait for long to be stored without a line.
func TestSaveThatIsLateIsNotSaid(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	m := &memoryStore{values: make(map[string][]Record)}
	k := NewKeeper(Options{Clock: timer.Real(), Log: zap.New(core), Node: "n", InStep: func() bool { return true }, Saved: m.of("n")})
	close(k.restored)
	hear := func(id string) { k.Hear([]Record{{KeyOf("w", id), "v1", time.Minute}}) }
	hear("a")
	k.Save(t.Context())
	assert.Zero(t, logs.FilterMessage("streams_saved_late").Len(), "at once")
	hear("b")
	time.Sleep(lateSave)
	m.setDown(true)
	k.Save(t.Context())
	m.setDown(false)
	k.Save(t.Context())
	require.Equal(t, 1, logs.FilterMessage("streams_saved_late").Len())
	assert.GreaterOrEqual(t, logs.FilterMessage("streams_saved_late").All()[0].ContextMap()["waited"], lateSave)
}
