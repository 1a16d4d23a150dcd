package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// drawFact draws facts of few VMs and incarnations, so that they collide often.
func drawFact(t *rapid.T) Fact {
	return Fact{
		Address:     "127.0.0.1:1",
		ID:          rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"),
		Kind:        KindUpstream,
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Status:      Status(rapid.Int32Range(1, 3).Draw(t, "status")),
		Sequence:    rapid.Uint64Range(0, 3).Draw(t, "sequence"),
		Running:     rapid.Int32Range(0, 2).Draw(t, "running"),
		LeavesAt:    rapid.Int64Range(0, 2).Draw(t, "leaves at"),
	}
}

func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawFact(t), drawFact(t), drawFact(t)
		a.ID, b.ID, c.ID = "x", "x", "x"
		assert.Equal(t, Merge(a, b), Merge(b, a), "commutative")
		assert.Equal(t, Merge(a, Merge(b, c)), Merge(Merge(a, b), c), "associative")
		assert.Equal(t, a, Merge(a, a), "idempotent")
	})
}

func TestLeavingNeverTurnsToLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		high := make(map[string]Fact)
		table := NewTable(nil)
		facts := rapid.SliceOf(rapid.Custom(drawFact)).Draw(t, "facts")
		for _, f := range facts {
			table.Observe(time.Time{}, f)
			now, _ := table.Get(f.ID)
			old, ok := high[f.ID]
			if ok && now.Incarnation == old.Incarnation {
				assert.GreaterOrEqual(t, now.Status, old.Status, "status fell within an incarnation")
			}
			if ok {
				assert.GreaterOrEqual(t, now.Incarnation, old.Incarnation, "incarnation fell")
			}
			high[f.ID] = now.Fact
		}
	})
}

func TestAnyOrderAndRepetitionGivesOneTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(drawFact), 1, 12).Draw(t, "facts")
		mixed := append(rapid.Permutation(facts).Draw(t, "order"), facts...)
		a, b := NewTable(nil), NewTable(nil)
		a.Observe(time.Time{}, facts...)
		b.Observe(time.Time{}, mixed...)
		all := func(*Fact) bool { return true }
		assert.Equal(t, a.Select(all), b.Select(all))
	})
}

func samePeer(sent uint64) Peer { return Peer{ID: "p", Sent: sent} }

func TestSinceSendsEachChangeOnce(t *testing.T) {
	table := NewTable(nil)
	table.Observe(time.Time{}, Fact{ID: "a", Address: "x", Incarnation: 1, Status: StatusLive}, Fact{ID: "b", Address: "y", Incarnation: 1, Status: StatusLive})
	first, next := table.Since(samePeer(0), 1)
	assert.Len(t, first, 1, "a long list is sent in parts")
	second, next := table.Since(samePeer(next), 10)
	assert.Len(t, second, 1)
	none, _ := table.Since(samePeer(next), 10)
	assert.Empty(t, none)
	table.Mark(time.Time{}, "a", StatusLeaving, time.Time{})
	again, _ := table.Since(samePeer(next), 10)
	assert.Equal(t, StatusLeaving, again[0].Status)
	assert.Empty(t, again[0].Address, "the peer has the fixed part")
	whole, _ := table.Since(samePeer(0), 10)
	assert.NotEmpty(t, whole[0].Address, "another peer doesn't")
	table.Receive(time.Time{}, "p", Fact{ID: "c", Address: "z", Incarnation: 1, Status: StatusLive})
	back, _ := table.Since(samePeer(next), 10)
	assert.Len(t, back, 1, "what came from the peer isn't sent back to it")
}

// A node that was silent for long is forgotten. When it is back, a peer that thinks we
// know it sends the short form, and has to be asked for everything.
func TestForgottenNodeComesBack(t *testing.T) {
	start := time.Unix(1000, 0)
	n := Fact{ID: "n", Kind: KindNode, Address: "x", Incarnation: 1, Status: StatusLive}
	ours, peer := NewTable(nil), NewTable(nil)
	peer.Observe(start, n)
	facts, position := peer.Since(samePeer(0), 10)
	ours.Receive(start, "peer", facts...)
	assert.Equal(t, 1, ours.Forget(start.Add(time.Hour)))
	n.Sequence = 1
	peer.Observe(start.Add(time.Hour), n)
	facts, _ = peer.Since(samePeer(position), 10)
	_, missing := ours.Receive(start.Add(time.Hour), "peer", facts...)
	assert.True(t, missing)
	facts, _ = peer.Since(samePeer(0), 10)
	_, missing = ours.Receive(start.Add(time.Hour), "peer", facts...)
	assert.False(t, missing)
	_, known := ours.Get("n")
	assert.True(t, known)
}

// TestOtherHallsGetStatusAtOnceAndLoadsSlowly: what a far peer gets.
func TestOtherHallsGetStatusAtOnceAndLoadsSlowly(t *testing.T) {
	table := NewTable(nil)
	start := time.Unix(1000, 0)
	f := Fact{ID: "a", Address: "x", Incarnation: 1, Status: StatusLive}
	table.Observe(start, f)
	_, next := table.Since(Peer{ID: "p", OtherHall: true}, 10)
	far := func() []Fact {
		l, n := table.Since(Peer{ID: "p", OtherHall: true, Sent: next}, 10)
		next = n
		return l
	}
	f.Sequence, f.Running = 1, 5
	table.Observe(start.Add(time.Second), f)
	assert.Empty(t, far(), "a load alone waits")
	f.Sequence, f.Running = 2, 6
	table.Observe(start.Add(defaultSlowInterval), f)
	assert.Len(t, far(), 1)
	f.Status = StatusLeaving
	table.Observe(start.Add(defaultSlowInterval+time.Second), f)
	assert.Equal(t, StatusLeaving, far()[0].Status)
}

// TestShortFactsConverge: two tables that exchange only what Since gives end alike,
// whatever was observed where and whichever exchanges were lost.
func TestShortFactsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(nil), NewTable(nil)}
		var sent [2]uint64
		exchange := func(from, to int) {
			l, n := tables[from].Since(Peer{ID: string(rune('0' + to)), Sent: sent[from]}, 2)
			if rapid.Bool().Draw(t, "lost") {
				return
			}
			tables[to].Receive(time.Time{}, string(rune('0'+from)), l...)
			sent[from] = n
		}
		for i := 0; i < 30; i++ {
			k := rapid.IntRange(0, 1).Draw(t, "table")
			if rapid.Bool().Draw(t, "observe") {
				tables[k].Observe(time.Time{}, drawFact(t))
			} else {
				exchange(k, 1-k)
			}
		}
		for i := 0; i < 40; i++ {
			for k, table := range tables {
				l, n := table.Since(Peer{ID: string(rune('0' + 1 - k)), Sent: sent[k]}, 10)
				tables[1-k].Receive(time.Time{}, string(rune('0'+k)), l...)
				sent[k] = n
			}
		}
		all := func(*Fact) bool { return true }
		assert.Equal(t, tables[0].Select(all), tables[1].Select(all))
	})
}
