package pool

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/capacity"
)

func candidates(n int) []Candidate {
	l := make([]Candidate, n)
	for i := range l {
		l[i] = Candidate{ID: fmt.Sprint("u", i), Slots: 8, SameHall: true, Memory: 100_000, Slowness: 1}
	}
	return l
}

var prompt = Request{ID: "r", Engine: true, Prompt: 5000, Output: 100, Parts: []call.Part{{ID: 1, Tokens: 4000}, {ID: 2, Tokens: 1000}}}

// learned is a service whose engines read 30 tokens a millisecond.
var learned = Service{Engine: capacity.Engine{Reading: 30, First: 60, Token: 10, Samples: 100}, ResponseMs: 15}

// assertPicks changes the candidates so that one of them should be chosen, or left.
func assertPicks(t *testing.T, n Request, change func(l []Candidate), want func(i int) bool) {
	t.Helper()
	l := candidates(4)
	change(l)
	assert.True(t, want(Pick(n, learned, l)), "picked %d", Pick(n, learned, l))
}

func is(k int) func(int) bool  { return func(i int) bool { return i == k } }
func not(k int) func(int) bool { return func(i int) bool { return i != k && i >= 0 } }

func TestPick(t *testing.T) {
	home := Pick(prompt, learned, candidates(4))
	t.Run("where the prompt is cached", func(t *testing.T) {
		assertPicks(t, prompt, func(l []Candidate) { l[(home+1)%4].Cached = 4000 }, is((home+1)%4))
	})
	t.Run("not behind a queue longer than what is cached", func(t *testing.T) {
		assertPicks(t, prompt, func(l []Candidate) { l[0].Cached, l[0].Queued = 4000, 9000 }, not(0))
	})
	for name, change := range map[string]func(c *Candidate){
		"full": func(c *Candidate) { c.Running = 8 }, "refused": func(c *Candidate) { c.Full = true }, "failing": func(c *Candidate) { c.Failures = 0.5 },
		"slow": func(c *Candidate) { c.Slowness = 3 }, "unreachable": func(c *Candidate) { c.Unreachable = true }, "cold": func(c *Candidate) { c.Cold = true }, "out of memory": func(c *Candidate) { c.Reserved = 98_000 },
	} {
		t.Run("not one that is "+name, func(t *testing.T) {
			assertPicks(t, prompt, func(l []Candidate) { change(&l[home]) }, not(home))
		})
	}
	t.Run("one that is full, if there is no other", func(t *testing.T) {
		l := candidates(1)
		l[0].Running = 8
		assert.Equal(t, 0, Pick(prompt, learned, l))
	})
	t.Run("nobody, if all were tried", func(t *testing.T) {
		n := prompt
		n.Excluded = map[string]bool{"u0": true}
		assert.Equal(t, -1, Pick(n, learned, candidates(1)))
	})
	t.Run("a plain request goes where slots are free", func(t *testing.T) {
		n := Request{ID: "p"}
		h := Pick(n, learned, candidates(4))
		assertPicks(t, n, func(l []Candidate) { l[h].Running = 4 }, not(h))
	})
}

// TestPickIsTheSameOnEveryNode shuffles the candidates: the order in which a node knows
// them decides nothing.
func TestPickIsTheSameOnEveryNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := candidates(6)
		for i := range l {
			l[i].Queued = float64(rapid.IntRange(0, 20_000).Draw(t, "queued"))
			l[i].Cached = float64(rapid.IntRange(0, 5_000).Draw(t, "cached"))
			l[i].Running = float64(rapid.IntRange(0, 10).Draw(t, "running"))
		}
		want := l[Pick(prompt, learned, l)].ID
		other := rapid.Permutation(l).Draw(t, "order")
		assert.Equal(t, want, other[Pick(prompt, learned, other)].ID)
	})
}

func TestChain(t *testing.T) {
	a := PrefixHashes([]call.Part{{ID: 1}, {ID: 2}, {ID: 3}})
	b := PrefixHashes([]call.Part{{ID: 1}, {ID: 2}, {ID: 4}})
	c := PrefixHashes([]call.Part{{ID: 2}, {ID: 1}, {ID: 3}})
	assert.Equal(t, a[:2], b[:2])
	assert.NotEqual(t, a[2], b[2])
	assert.NotEqual(t, a[2], c[2], "a part counts only behind the same parts")
}
