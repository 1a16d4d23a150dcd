package quarantine

import (
	"bytes"
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

// TestPrintTellsRequestsApart: prints are equal just where all fields are, and so are shapes
// but for the body's content.
func TestPrintTellsRequestsApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRequest(t), drawRequest(t)
		same := a.Method == b.Method && a.Host == b.Host && a.Target == b.Target && a.Workspace == b.Workspace
		assert.Equal(t, same && bytes.Equal(a.Body, b.Body), PrintOf(a) == PrintOf(b))
		assert.Equal(t, same && len(a.Body) == len(b.Body), ShapeOf(a) == ShapeOf(b))
		assert.Equal(t, ShapeOf(a), PrintOf(a).Shape())
	})
}

func BenchmarkPrint(b *testing.B) {
	r := Request{Method: "POST", Host: "shop.example", Target: "/chat/1", Workspace: "w", Body: make([]byte, 20_000)}
	b.Run("shape", func(b *testing.B) {
		for b.Loop() {
			_ = ShapeOf(r)
		}
	})
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			_ = PrintOf(r)
		}
	})
}

// FuzzWords: whatever another node tells, of another version or broken, is heard without a panic, and the words told
// on are within their bounds.
func FuzzWords(f *testing.F) {
	p := PrintOf(Request{Body: []byte("x")})
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
		v := NewBook("a")
		now := at(time.Hour)
		v.Broke(now, End{Print: p, Upstream: "w", At: now})
		v.Hear(now, WordsFromWire(now, &m))
		assert.LessOrEqual(t, v.Check(now, p).Wait, holdLongest+spread+trialTakes)
		assert.LessOrEqual(t, len(v.Words(now).Ends), endsTold)
		assert.False(t, v.Check(now.Add(2*holdLongest), p).Held, "nothing that is heard holds back for good")
	})
}
