package lineage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/wire"
)

// TestCostInFleets plays some seconds of streams in fleets of three sizes, and takes a tenth of them up at any node. What a
// node sends, gets and remembers must not grow with the fleet.
func TestCostInFleets(t *testing.T) {
	const (
		perNode = 2 // streams a second
		seconds = 18
		lasts   = 15 * time.Second
	)
	type cost struct{ told, bytes, asked, heldMost, after float64 }
	play := func(size int) cost {
		r := rand.New(rand.NewPCG(1, uint64(size)))
		nodes := make([]lineage.Node, size)
		books := make(map[string]*lineage.Book, size)
		for i := range nodes {
			nodes[i] = lineage.Node{Name: fmt.Sprint("n", i), Hall: fmt.Sprint("h", i%5)}
			books[nodes[i].Name] = lineage.NewBook()
		}
		candidates := lineage.Candidates(nodes)
		var c cost
		now := time.Unix(1000, 0)
		for s := range seconds {
			now = now.Add(time.Second)
			for i := range size * perNode {
				rec := lineage.Record{Key: lineage.KeyOf("w", fmt.Sprint(s, "/", i)), Version: "v1.1", Left: lasts}
				size := proto.Size(&wire.TellStreamsRequest{Streams: message.StreamsToWire([]lineage.Record{rec})})
				for _, name := range lineage.Told(rec.Key, candidates) {
					books[name].Add(now, rec)
					c.told++
					c.bytes += float64(size)
				}
				if r.IntN(10) == 0 {
					known := 0
					for _, name := range lineage.Asked(rec.Key, candidates) {
						c.asked++
						if _, ok := books[name].Version(now, rec.Key); ok {
							known++
						}
					}
					assert.Positive(t, known)
				}
			}
			for _, b := range books {
				c.heldMost = max(c.heldMost, float64(b.Len()))
			}
		}
		for _, b := range books { // the next record finds the others over
			b.Add(now.Add(lasts+time.Second), lineage.Record{Key: 1, Version: "v1", Left: time.Second})
			c.after = max(c.after, float64(b.Len()))
		}
		each := float64(size * seconds)
		c.told, c.bytes, c.asked = c.told/each, c.bytes/each, c.asked/each
		t.Logf("%d nodes: a node tells %.1f calls (%.0f bytes) and asks %.2f a second, remembers at most %.0f streams, %.0f once they are over", size, c.told, c.bytes, c.asked, c.heldMost, c.after)
		return c
	}
	small, large := play(79), play(985)
	assert.InDelta(t, small.told, large.told, 0.01)
	assert.InDelta(t, small.asked, large.asked, 0.1)
	assert.LessOrEqual(t, large.heldMost, 1.5*small.heldMost)
	assert.LessOrEqual(t, large.after, 1.0, "a record ends with its stream")
}
