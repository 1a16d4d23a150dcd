package node

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
)

// TestHallLeaderOrdersVMs: a queue builds up, the hall's leader orders VMs, goes round
// a zone that refuses, and after it is lost the next leader orders with a higher token.
func TestHallLeaderOrdersVMs(t *testing.T) {
	r := newRigWith(t, func(o *Options) { o.Autoscale = true }, "hall-a", "hall-a")
	r.addEngine("e1", "hall-a", "z1", standin.EngineOptions{Slots: 1, Decode: 100 * time.Millisecond})
	r.waitEngines(1)
	offer := func(zone string, price float64) store.Offer {
		return store.Offer{Service: "llm", Hall: "hall-a", Zone: zone, Class: "c", Reclaimable: true, Price: price, Slots: 1}
	}
	r.platform.SetOffers(map[string]bool{"z2": true}, offer("z2", 1), offer("z3", 2))
	for i := 0; i < 12; i++ {
		go r.nodes[i%2].call("POST", "/v1/chat/completions", newChat("batch", "x", 200, false).body)
	}
	r.eventually("VMs are ordered", func() bool { return len(r.platform.Ordered()) > 0 })
	list := r.platform.Ordered()
	for _, o := range list {
		assert.Equal(t, "z3", o.Zone, "the other zone refuses")
	}
	// The order is at the platform before the leader has its answer and says so.
	leader := -1
	r.eventually("the leader says so", func() bool {
		leader = slices.IndexFunc(r.nodes, func(n *rigNode) bool { return n.hasEvent("vm_start_ordered") })
		return leader >= 0
	})
	r.nodes[leader].kill()
	r.nodes = append(r.nodes[:leader:leader], r.nodes[leader+1:]...)
	r.platform.SetOffers(nil, offer("z4", 1))
	r.eventually("the next leader orders", func() bool {
		l := r.platform.Ordered()
		return l[len(l)-1].Fence > list[0].Fence
	})
}
