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
		assert.NoError(t, checkAll(documentsByKey(docs)))
	}
}

const head = "kind: template\nname: t\nparameters:\n  target: {type: duration, default: 1s}\n  n: {type: number, min: 0}\nservices:\n"

// TestErrorTexts compares the complete text of each validation error with a golden file.
func TestErrorTexts(t *testing.T) {
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
			err = checkAll(documentsByKey(docs))
		}
		require.ErrorIs(t, err, ErrInvalid, c.name)
		fmt.Fprintf(&out, "%s\n\t%v\n", c.name, err)
	}
	goldie.New(t).Assert(t, "mistakes", []byte(out.String()))
}

// renderText renders the workspace of a text that holds the template t and the workspace w.
func renderText(t *testing.T, text string) error {
	t.Helper()
	list, err := Parse("shops.yaml", []byte(text))
	require.NoError(t, err)
	docs := documentsByKey(list)
	template, workspace := docs["template/t"], docs["workspace/w"]
	_, err = Render(&template, &workspace)
	return err
}

// requireInvalid asserts that an error is ErrInvalid with the given position and reason.
func requireInvalid(t *testing.T, err error, text string) {
	t.Helper()
	require.ErrorIs(t, err, ErrInvalid)
	require.Equal(t, "config.invalid: invalid document: "+text, err.Error())
}

// TestUnknownParameters renders a workspace with several unknown parameters often: the error is always that of
// the first by name, wherever it stands.
func TestUnknownParameters(t *testing.T) {
	text := head + "  - {name: a, protocol: chat, pool: p}\n---\nkind: workspace\nname: w\ntemplate: t\nparameters:\n  n: 1\n  z: 1\n  b: 1\n  y: 1\n"
	for range 100 {
		requireInvalid(t, renderText(t, text), "shops.yaml:15: parameter b: template t has none of that name")
	}
}

func TestLimits(t *testing.T) {
	text := func(limit string, v int) string {
		return fmt.Sprintf("%s  - {name: a, protocol: chat, pool: p, limits: {%s: %d}}\n---\nkind: workspace\nname: w\ntemplate: t\nparameters: {n: 1}\n", head, limit, v)
	}
	for _, l := range []string{"requests_per_second", "in_flight", "queue", "body_bytes", "max_tokens"} {
		t.Run(l, func(t *testing.T) {
			requireInvalid(t, renderText(t, text(l, -1)), `shops.yaml:7: service "a": limits can't be negative (filled in for workspace w)`)
			assert.NoError(t, renderText(t, text(l, 0)))
			assert.NoError(t, renderText(t, text(l, 1)))
		})
	}
}

func TestViewNeverReverts(t *testing.T) {
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

// callTimeout is long enough for calls on a loaded machine not to time out: only the test's
// own lost responses may make a write uncertain.
const callTimeout = 30 * time.Second

// TestConcurrentChanges applies changes that race with others and whose requests or
// responses are lost. Each change that was reported as applied must be in the history
// exactly once, a change reported as a conflict must not be, and revisions have no gaps.
func TestConcurrentChanges(t *testing.T) {
	s := httptest.NewServer(standin.NewPlatform(timer.Real()).Handler())
	t.Cleanup(s.Close)
	kv := store.NewGateway(s.URL, callTimeout, timer.Real()).KV()
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		st := NewStore(kv)
		h, err := st.Head(ctx)
		require.NoError(t, err)
		results := make(map[string]error)
		first, base, concurrent := h.Revision, h.Revision, 0
		for i := 0; i < 6; i++ {
			faulty := kv
			mode := rapid.IntRange(0, 3).Draw(t, "mode")
			faulty.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
				switch mode {
				case 1:
					return store.TxnResult{}, store.ErrUnknown // the request is lost
				case 3: // another change is written between the read of the head and the write
					concurrent++
					id := fmt.Sprintf("concurrent%d-%d", first, concurrent)
					h, err := st.Head(ctx)
					require.NoError(t, err)
					v, err := st.Apply(ctx, Change{ID: id, Base: h.Revision, Author: id, Documents: []Document{document("t")}})
					results[id] = err
					if err == nil {
						base = v.Revision
					}
				}
				r, err := kv.Txn(ctx, x)
				if mode == 2 {
					return store.TxnResult{}, store.ErrUnknown // the response is lost
				}
				return r, err
			}
			id := fmt.Sprintf("c%d-%d", first, i)
			b := base
			if rapid.Bool().Draw(t, "stale") && base > 0 {
				b--
			}
			v, err := NewStore(faulty).Apply(ctx, Change{ID: id, Base: b, Author: id, Documents: []Document{document("t")}})
			results[id] = err
			if err == nil {
				base = v.Revision
			}
		}
		list, err := st.History(ctx, 100)
		require.NoError(t, err)
		occurrences := make(map[string]int)
		for i, v := range list {
			occurrences[v.ChangeID]++
			if i > 0 {
				assert.Equal(t, list[i-1].Revision-1, v.Revision, "no gaps")
			}
		}
		for id, err := range results {
			switch {
			case err == nil:
				assert.Equal(t, 1, occurrences[id], "reported as applied")
			case errors.Is(err, ErrConflict):
				assert.Zero(t, occurrences[id], "reported as conflict")
			default:
				assert.ErrorIs(t, err, ErrUncertain)
				assert.LessOrEqual(t, occurrences[id], 1)
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
		err = checkAll(documentsByKey(docs))
		if err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatalf("not ErrInvalid: %v", err)
		}
	})
}
