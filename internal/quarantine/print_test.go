package quarantine

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"spurhall.example/spurhall/internal/wire"
)

func drawRequest(t *rapid.T) Request {
	s := rapid.SampledFrom([]string{"", "a", "b", "ab", "ba"})
	return Request{
		Method: s.Draw(t, "method"), Host: s.Draw(t, "host"), Target: s.Draw(t, "target"), Workspace: s.Draw(t, "workspace"),
		Body: []byte(s.Draw(t, "body")),
	}
}

// TestPrintTellsRequestsApart: prints are equal just where all fields are, and so are shapes where the body has no
// numbers.
func TestPrintTellsRequestsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRequest(t), drawRequest(t)
		same := a.Method == b.Method && a.Host == b.Host && a.Target == b.Target && a.Workspace == b.Workspace
		assert.Equal(t, same && bytes.Equal(a.Body, b.Body), FingerprintOf(a) == FingerprintOf(b))
		assert.Equal(t, same && bytes.Equal(a.Body, b.Body), ShapeOf(a) == ShapeOf(b))
		assert.Equal(t, ShapeOf(a), FingerprintOf(a).Shape())
	})
}

// TestShapes: what is alike, and what isn't.
func TestShapes(t *testing.T) {
	of := func(body string) Shape { return ShapeOf(Request{Target: "/chat/", Body: []byte(body)}) }
	for name, v := range map[string][2]string{
		"a counter":              {"question 9 of all", "question 10 of all"},
		"a number with a point":  {"at 3.5 or 7", "at 31.25 or 8"},
		"a time":                 {"it is 2026-12-03T09:21:55Z.", "it is 2027-01-13T19:01:05Z."},
		"a hexadecimal id":       {`{"id":"5c1e07a291bd3f06"}`, `{"id":"0a2a6f0c"}`},
		"an id with dashes":      {"id f81d4fae-7dec-11d0-a765-00a0c91e6bf6 x", "id 0b1c2d3e-0000-4000-8000-000000000001 x"},
		"an id of other letters": {"trace Zx9qLm2Tt0", "trace 8aKKpw1zUvWx"},
		"at the ends":            {"7 is 12345678", "19 is 99999999999"},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, of(v[0]), of(v[1])) })
	}
	for name, v := range map[string][2]string{
		"another word":              {"where is my parcel", "where is my letter"},
		"a word of the same length": {"deadly 12", "deedly 12"},
		"a number where none was":   {"question 9", "question"},
		"a number more":             {"question 9", "question 9 9"},
		"another unit":              {"5 ms", "5 kB"},
		"short words with digits":   {"a B2B shop", "a B2C shop"},
		"a mark in the text":        {"question 9", "question \x01\x01"},
		"long words":                {"preauthorisation", "acknowledgements"},
	} {
		t.Run(name+" tells apart", func(t *testing.T) { assert.NotEqual(t, of(v[0]), of(v[1])) })
	}
	t.Run("the route and the workspace do, too", func(t *testing.T) {
		r := Request{Method: "POST", Host: "h", Target: "/chat/", Workspace: "w", Body: []byte("question 9")}
		for _, f := range []func(v *Request){
			func(v *Request) { v.Method = "PUT" }, func(v *Request) { v.Host = "g" }, func(v *Request) { v.Target = "/chat/2" }, func(v *Request) { v.Workspace = "x" },
		} {
			v := r
			f(&v)
			assert.NotEqual(t, ShapeOf(r), ShapeOf(v))
		}
	})
}

func BenchmarkPrint(b *testing.B) {
	r := Request{Method: "POST", Host: "shop.example", Target: "/chat/1", Workspace: "w", Body: []byte(strings.Repeat("Where is parcel 4711 of 2026-12-01? ", 600)[:20_000])}
	b.Run("shape", func(b *testing.B) {
		for b.Loop() {
			_ = ShapeOf(r)
		}
	})
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			_ = FingerprintOf(r)
		}
	})
}

// FuzzWords: whatever another node tells, of another version or broken, is heard without a panic, and the words told
// on are within their bounds.
func FuzzWords(f *testing.F) {
	p := FingerprintOf(Request{Body: []byte("x")})
	for _, m := range []*wire.Suspicions{
		{Ends: []*wire.End{{Print: p[:], Upstream: "u", AgeMs: -1 << 62}, {Print: []byte{1}, Upstream: "v"}}},
		{Answers: []*wire.Answered{{Print: p[:], AgeMs: 1 << 62}}, Trials: []*wire.Answered{{Print: p[:], AgeMs: -5}}},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m wire.Suspicions
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		v := NewTracker("a")
		now := at(time.Hour)
		v.ObserveCrash(now, Crash{Fingerprint: p, Upstream: "w", At: now})
		v.Merge(now, UpdateFromWire(now, &m))
		assert.LessOrEqual(t, v.Check(now, p).Wait, holdLongest+spread+trialTakes)
		assert.LessOrEqual(t, len(v.BuildUpdate(now).Crashes), endsTold)
		assert.False(t, v.Check(now.Add(2*holdLongest), p).Quarantined, "nothing that is heard holds back for good")
	})
}
