package quarantine

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
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
