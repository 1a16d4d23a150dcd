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

// TestFingerprintDistinguishesRequests: fingerprints are equal exactly if all fields are, and so are
// shapes if the body has no numbers.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRequest(t), drawRequest(t)
		same := a.Method == b.Method && a.Host == b.Host && a.Target == b.Target && a.Workspace == b.Workspace
		assert.Equal(t, same && bytes.Equal(a.Body, b.Body), FingerprintOf(a) == FingerprintOf(b))
		assert.Equal(t, same && bytes.Equal(a.Body, b.Body), ShapeOf(a) == ShapeOf(b))
		assert.Equal(t, ShapeOf(a), FingerprintOf(a).Shape())
	})
}

// TestShapes covers which bodies are similar and which are distinct.
func TestShapes(t *testing.T) {
	of := func(body string) Shape { return ShapeOf(Request{Target: "/chat/", Body: []byte(body)}) }
	for name, v := range map[string][2]string{
		"a counter":              {"question 9 of all", "question 10 of all"},
		"a number with a point":  {"at 3.5 or 7", "at 31.25 or 8"},
		"a time":                 {"it is 2026-12-03T09:21:55Z.", "it is 2027-01-13T19:01:05Z."},
		"a hexadecimal id":       {`{"id":"5c1e07a291bd3f06"}`, `{"id":"0a2a6f0c"}`},
		"an id with dashes":      {"id f81d4fae-7dec-11d0-a765-00a0c91e6bf6 x", "id 0b1c2d3e-0000-4000-8000-000000000001 x"},
		"an id of other letters": {"trace Zx9qLm2Tt0", "trace 8aKKpw1zUvWx"},
		"at both ends":           {"7 is 12345678", "19 is 99999999999"},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, of(v[0]), of(v[1])) })
	}
	for name, v := range map[string][2]string{
		"another word":              {"where is my parcel", "where is my letter"},
		"a word of the same length": {"deadly 12", "deedly 12"},
		"a number instead of none":  {"question 9", "question"},
		"one more number":           {"question 9", "question 9 9"},
		"another unit":              {"5 ms", "5 kB"},
		"short words with digits":   {"a B2B shop", "a B2C shop"},
		"a mark in the text":        {"question 9", "question \x01\x01"},
		"long words":                {"preauthorisation", "acknowledgements"},
	} {
		t.Run(name+" is distinct", func(t *testing.T) { assert.NotEqual(t, of(v[0]), of(v[1])) })
	}
	t.Run("the route and the workspace are distinct, too", func(t *testing.T) {
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

// TestPrefixes: requests that begin alike share the shapes of their common prefixes, and no others.
func TestPrefixes(t *testing.T) {
	of := func(body string) []Shape {
		return FingerprintOf(Request{Target: "/chat/", Body: []byte(body)}).Prefixes()[1:]
	}
	common := func(a, b []Shape) (n int) {
		for n < min(len(a), len(b)) && a[n] == b[n] {
			n++
		}
		return n
	}
	const system = "You are an assistant of a shop. " // 32 bytes
	for name, v := range map[string]struct {
		a, b string
		want int // of 4, 8, 16, 32, ... bytes
	}{
		"a name at the end":        {system + "Write to Anna, please.", system + "Write to Bo, please.", 4},
		"a chat that grows":        {system + "And then? ", system + "And then? And then? And then? ", 4},
		"a number at the start":    {"666001" + system, "666002" + system, 1},
		"another number":           {"666001" + system, "100001" + system, 0},
		"shorter than the least":   {"abc", "abc", 0},
		"longer than the longest":  {strings.Repeat("x", 40_000) + "a", strings.Repeat("x", 40_000) + "b", prefixCount - 1},
		"another byte at the head": {"d" + system, "h" + system, 0},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, v.want, common(of(v.a), of(v.b))) })
	}
	t.Run("of another workspace", func(t *testing.T) {
		r := Request{Workspace: "v", Target: "/chat/", Body: []byte(system)}
		assert.Zero(t, common(of(system), FingerprintOf(r).Prefixes()[1:]))
	})
	t.Run("all shapes", func(t *testing.T) {
		r := Request{Target: "/chat/", Body: []byte(system)}
		assert.Equal(t, FingerprintOf(r).shapes(), ShapesOf(r))
		assert.Len(t, ShapesOf(r), 6, "the normalized body, the route, four prefixes")
	})
}

// TestPrefixesOfAnEarlierVersion: a node of an earlier version tells of requests without their prefixes.
func TestPrefixesOfAnEarlierVersion(t *testing.T) {
	r := Request{Target: "/chat/", Body: []byte("deadly and long")}
	p := FingerprintOf(r)
	v := NewTracker("a")
	now := at(time.Hour)
	m := Update{Crashes: []Crash{{Fingerprint: p, Upstream: "u", At: now}}}.ToWire(now)
	assert.Equal(t, p, UpdateFromWire(now, m).Crashes[0].Fingerprint)
	m.Ends[0].Prefixes = nil
	v.Merge(now, UpdateFromWire(now, m))
	assert.Equal(t, 1, v.CrashCount(p), "it is the same request")
	v.ObserveCrash(now, Crash{Fingerprint: p, Upstream: "w", At: now})
	assert.True(t, v.HasCrashes(func() []Shape { return p.Prefixes() }))
	v.BuildUpdate(now.Add(suspectTTL + time.Second))
	assert.Empty(t, v.shapes)
}

// TestPrefixesCountOnceOthersAreAnswered guards against the quarantine of all requests of a route, which begin alike.
func TestPrefixesCountOnceOthersAreAnswered(t *testing.T) {
	of := func(text string) Fingerprint { return FingerprintOf(Request{Target: "/chat/", Body: []byte(text)}) }
	const head = "The head that all have. "
	v, now := NewTracker("a"), at(time.Hour)
	crash := func(names ...string) {
		for _, n := range names {
			now = now.Add(time.Second)
			v.ObserveCrash(now, Crash{Fingerprint: of(head + "Write to " + n + "."), Upstream: n, At: now})
		}
	}
	crash("Anna", "Bo", "Christopher", "Dee", "Emilia")
	assert.False(t, v.Check(now, of(head+"Where is my parcel, please?")).Quarantined, "nothing tells it from the deadly ones")
	now = now.Add(time.Second)
	v.ObserveResponse(now, of(head+"Where is my parcel, please?"))
	crash("Fatou", "Giovanna", "Hu", "Ingeborg")
	assert.False(t, v.Check(now, of(head+"When do you close, please?")).Quarantined)
	assert.True(t, v.Check(now, of(head+"Write to Jan, at home.")).Quarantined)
}

func BenchmarkFingerprint(b *testing.B) {
	r := Request{Method: "POST", Host: "shop.example", Target: "/chat/1", Workspace: "w", Body: []byte(strings.Repeat("Where is parcel 4711 of 2026-12-01? ", 600)[:20_000])}
	b.Run("shape", func(b *testing.B) {
		for b.Loop() {
			_ = ShapeOf(r)
		}
	})
	b.Run("all shapes", func(b *testing.B) {
		for b.Loop() {
			_ = ShapesOf(r)
		}
	})
	b.Run("fingerprint", func(b *testing.B) {
		for b.Loop() {
			_ = FingerprintOf(r)
		}
	})
}

// FuzzWords: whatever another node sends, of another version or corrupt, is merged without a panic, and
// the updates sent on stay within their bounds.
func FuzzWords(f *testing.F) {
	p := FingerprintOf(Request{Body: []byte("x")})
	id := p.id[:]
	for _, m := range []*wire.Suspicions{
		{Ends: []*wire.End{{Print: id, Upstream: "u", AgeMs: -1 << 62}, {Print: []byte{1}, Upstream: "v"}}},
		{Ends: []*wire.End{{Print: id, Prefixes: []uint64{7, 7, 0, 7, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, Upstream: "u"}}},
		{Answers: []*wire.Answered{{Print: id, AgeMs: 1 << 62}}, Trials: []*wire.Answered{{Print: id, AgeMs: -5}}},
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
		assert.LessOrEqual(t, v.Check(now, p).Wait, maxQuarantine+probeSpread+probeTimeout)
		assert.LessOrEqual(t, len(v.BuildUpdate(now).Crashes), maxUpdateCrashes)
		assert.False(t, v.Check(now.Add(2*maxQuarantine), p).Quarantined, "no update quarantines a request forever")
	})
}
