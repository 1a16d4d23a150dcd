package config

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

func TestExamplesRender(t *testing.T) {
	for _, f := range []string{"../../examples/print-host.yaml", "../../examples/courier.yaml"} {
		b, err := os.ReadFile(f)
		require.NoError(t, err)
		docs, err := Parse(f, b)
		require.NoError(t, err)
		assert.NoError(t, checkAll(index(docs)))
	}
}

const head = "kind: template\nname: t\nparameters:\n  target: {type: duration, default: 1s}\n  n: {type: number, min: 0}\nservices:\n"

// TestMistakesAreNamed keeps the whole text of every refusal.
func TestMistakesAreNamed(t *testing.T) {
	cases := []struct{ name, template, workspace string }{
		{"unknown field", "  - {name: a, protocol: chat, pool: p, colour: red}\n", "n: 1"},
		{"bare number for a duration", "  - {name: a, protocol: chat, pool: p, timeout: 5}\n", "n: 1"},
		{"unknown protocol", "  - {name: a, protocol: tcp, pool: p}\n", "n: 1"},
		{"no pool", "  - {name: a, protocol: chat}\n", "n: 1"},
		{"undeclared parameter", "  - {name: a, protocol: chat, pool: p, timeout: \"${x}\"}\n", "n: 1"},
		{"missing parameter", "  - {name: a, protocol: chat, pool: p}\n", ""},
		{"wrong type", "  - {name: a, protocol: chat, pool: p}\n", "n: many"},
		{"out of bounds", "  - {name: a, protocol: chat, pool: p}\n", "n: -1"},
		{"wrong unit", "  - {name: a, protocol: chat, pool: p, latency_target: \"${target}\"}\n", "n: 1, target: 3 parsecs"},
		{"parameter of no template", "  - {name: a, protocol: chat, pool: p}\n", "n: 1, m: 2"},
		{"twice", "  - {name: a, protocol: chat, pool: p}\n  - {name: a, protocol: chat, pool: p}\n", "n: 1"},
		{"legacy without address", "  - {name: a, protocol: plain, pool: p, legacy: {percent: 10}}\n", "n: 1"},
		{"no services", "  []\n", "n: 1"},
		{"bad name", "  - {name: A b, protocol: chat, pool: p}\n", "n: 1"},
		{"not YAML", "  - {name: a\n", "n: 1"},
	}
	var out strings.Builder
	for _, c := range cases {
		text := head + c.template + "---\nkind: workspace\nname: w\ntemplate: t\nparameters: {" + c.workspace + "}\n"
		docs, err := Parse("shops.yaml", []byte(text))
		if err == nil {
			err = checkAll(index(docs))
		}
		require.ErrorIs(t, err, ErrInvalid, c.name)
		fmt.Fprintf(&out, "%s\n\t%v\n", c.name, err)
	}
	goldie.New(t).Assert(t, "mistakes", []byte(out.String()))
}

func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		var highest uint64
		for _, n := range rapid.SliceOf(rapid.Uint64Range(0, 6)).Draw(t, "revisions") {
			err := v.Apply(Snapshot{Revision: n})
			assert.Equal(t, n <= highest, IsStale(err))
			highest = max(highest, n)
			assert.Equal(t, highest, v.Revision())
		}
	})
}

func document(name string) Document {
	return Document{Name: name, Kind: KindTemplate, Body: "kind: template\nname: " + name + "\nservices:\n  - {name: a, protocol: chat, pool: p}\n"}
}

// patient is how long a call may take on a loaded machine: losses are the test's to bring about.
const patient = 30 * time.Second

// TestStoreUnderRaces: operators race, answers are lost after or before the effect,
// and each concludes from its own answer. Every change told as accepted is in the
// history exactly once, none told as a conflict is, and revisions have no gaps.
func TestStoreUnderRaces(t *testing.T) {
	s := httptest.NewServer(standin.NewPlatform(timer.Real()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, patient, timer.Real()).KV()
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		st := NewStore(kv)
		h, err := st.Head(ctx)
		require.NoError(t, err)
		told := make(map[string]error)
		first, base, rivals := h.Revision, h.Revision, 0
		for i := 0; i < 6; i++ {
			lossy := kv
			mode := rapid.IntRange(0, 3).Draw(t, "answer")
			lossy.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
				switch mode {
				case 1:
					return store.TxnResult{}, store.ErrUnknown // lost on the way there
				case 3: // somebody else is faster, between the look at the head and the write
					rivals++
					id := fmt.Sprintf("rival%d-%d", first, rivals)
					h, err := st.Head(ctx)
					require.NoError(t, err)
					v, err := st.Apply(ctx, Change{ID: id, Base: h.Revision, Author: id, Documents: []Document{document("t")}})
					told[id] = err
					if err == nil {
						base = v.Revision
					}
				}
				r, err := kv.Txn(ctx, x)
				if mode == 2 {
					return store.TxnResult{}, store.ErrUnknown // lost on the way back
				}
				return r, err
			}
			id := fmt.Sprintf("c%d-%d", first, i)
			b := base
			if rapid.Bool().Draw(t, "stale") && base > 0 {
				b--
			}
			v, err := NewStore(lossy).Apply(ctx, Change{ID: id, Base: b, Author: id, Documents: []Document{document("t")}})
			told[id] = err
			if err == nil {
				base = v.Revision
			}
		}
		list, err := st.History(ctx, 100)
		require.NoError(t, err)
		times := make(map[string]int)
		for i, v := range list {
			times[v.ChangeID]++
			if i > 0 {
				assert.Equal(t, list[i-1].Revision-1, v.Revision, "no gaps")
			}
		}
		for id, err := range told {
			switch {
			case err == nil:
				assert.Equal(t, 1, times[id], "told accepted")
			case errors.Is(err, ErrConflict):
				assert.Zero(t, times[id], "told conflict")
			default:
				assert.ErrorIs(t, err, ErrUncertain)
				assert.LessOrEqual(t, times[id], 1)
			}
		}
	})
}

func FuzzParseAndRender(f *testing.F) {
	b, _ := os.ReadFile("../../examples/print-host.yaml")
	f.Add(string(b))
	f.Add(head + "  - {name: a, protocol: chat, pool: p, timeout: ${target}}\n---\nkind: workspace\nname: w\ntemplate: t\nparameters: {n: 1}\n")
	f.Fuzz(func(t *testing.T, text string) {
		docs, err := Parse("f", []byte(text))
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("not ErrInvalid: %v", err)
			}
			return
		}
		err = checkAll(index(docs))
		if err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatalf("not ErrInvalid: %v", err)
		}
	})
}
