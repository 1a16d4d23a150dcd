package route

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func idle(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		id := fmt.Sprintf("u%d", i)
		list[i] = Candidate{ID: id, Hash: HashID(id), Slots: 8, Price: 1}
	}
	return list
}

func drawPrompt(t *rapid.T) *Prompt {
	return &Prompt{
		Shared: rapid.Uint64Range(0, 5).Draw(t, "shared"), SharedTokens: 200, Conversation: rapid.Uint64Min(1).Draw(t, "own"),
		ReusableTokens: 500, Tokens: 600, MaxTokens: 100,
	}
}

// TestOnlyItsOwnConversationsMove: when an upstream goes, only conversations move whose
// set it was in. The set's size is fixed, as it is while shares of work don't change.
func TestOnlyItsOwnConversationsMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Options{SetSize: 3})
		list := idle(8)
		p := drawPrompt(t)
		before := r.Pick(p, list).Index
		inSet := append([]bool(nil), r.inSet...)
		gone := rapid.IntRange(0, 7).Draw(t, "gone")
		list[gone].Excluded = true
		after := r.Pick(p, list).Index
		if !inSet[gone] {
			assert.Equal(t, before, after)
		}
		assert.NotEqual(t, gone, after)
	})
}

func TestNodesAgreeWithoutAWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPrompt(t)
		a, b := New(Options{SetSize: 3}), New(Options{SetSize: 3})
		list := idle(8)
		other := append(append([]Candidate(nil), list[4:]...), list[:4]...) // listed in another order
		assert.Equal(t, list[a.Pick(p, list).Index].ID, other[b.Pick(p, other).Index].ID)
	})
}

func TestExcludedIsNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{PolicyAffinity, PolicyRoundRobin, PolicyLeast, PolicyTwoChoices}).Draw(t, "policy")
		r := New(Options{Policy: policy})
		list := idle(rapid.IntRange(0, 6).Draw(t, "n"))
		left := 0
		for i := range list {
			list[i].Excluded = rapid.Bool().Draw(t, "excluded")
			list[i].Load = rapid.Int32Range(0, 20).Draw(t, "load")
			if !list[i].Excluded {
				left++
			}
		}
		for k := 0; k < 5; k++ {
			c := r.Pick(drawPrompt(t), list)
			assert.Equal(t, left == 0, c.Index < 0)
			if c.Index >= 0 {
				assert.False(t, list[c.Index].Excluded)
			}
		}
	})
}

func TestLoadedHomeSpills(t *testing.T) {
	r := New(Options{SetSize: 3})
	list := idle(8)
	p := &Prompt{Conversation: 7, ReusableTokens: 500, Tokens: 600, MaxTokens: 100}
	home := r.Pick(p, list)
	assert.Equal(t, ReasonHome, home.Reason)
	list[home.Index].Load = 40
	c := r.Pick(p, list)
	assert.Equal(t, ReasonSpill, c.Reason)
	assert.NotEqual(t, home.Index, c.Index)
}

func ExampleRank() {
	fmt.Println(Rank("request-1", []string{"n1", "n2", "n3"})[0] == Rank("request-1", []string{"n3", "n2", "n1"})[0])
	// Output: true
}
