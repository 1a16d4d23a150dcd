package edge

import (
	"cmp"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/link"
	"spurhall.example/spurhall/internal/memory"
)

// This file bounds what requests and responses take of the VM's memory (package memory), and of its link (package link).

// unknownMemory is assumed of a VM whose settings don't name its memory, in bytes.
const unknownMemory = 256 << 20

// newBudget returns the budget of requests and responses.
func (n *Node) newBudget() *memory.Budget {
	b := memory.New(n.clock, int64(memory.Share*float64(n.memoryBytes())), n.logResponseEnded)
	b.OnShort(n.makeRoomForBodies)
	return b
}

// makeRoomForBodies has a caller give way whose body has been coming for long, since others wait for room.
func (n *Node) makeRoomForBodies() {
	if l := n.frontListener.Load(); l != nil {
		l.MakeRoom()
	}
}

// memoryBytes returns the VM's memory in bytes.
func (n *Node) memoryBytes() int64 { return cmp.Or(n.settings.MemoryBytes, unknownMemory) }

// logResponseEnded logs that a response was ended so that others got room.
func (n *Node) logResponseEnded(v memory.Ended) {
	n.log.Info("response_ended", zap.String("service", v.Service), zap.String("upstream", v.Upstream), zap.Int64("bytes", v.Bytes), zap.Int64("usual", v.Usual),
		zap.Int64("used", v.Used), zap.Int64("limit", v.Limit), zap.Duration("untaken", v.Untaken))
}

// newLink returns the VM's link.
func (n *Node) newLink() *link.Link {
	return link.New(n.clock, n.settings.LinkRate, n.logResponsePaced)
}

// logResponsePaced logs that a response is slowed for others.
func (n *Node) logResponsePaced(v link.Paced) {
	n.log.Info("response_paced", zap.String("request", v.Request), zap.String("service", v.Service), zap.String("upstream", v.Upstream), zap.Int64("bytes", v.Bytes), zap.Int64("usual", v.Usual))
}
