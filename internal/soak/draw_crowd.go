package soak

import (
	"math/rand/v2"
	"time"
)

// This file draws days on which crowds of callers that don't behave come to daemons on small VMs, and stay open.

const crowdSequence = 0xc40d

// Of a crowd: how many callers come to a daemon, which has fewer places, and for how long they stay.
const (
	crowdCallers = 320
	leastCrowd   = 4 * time.Second
	mostCrowd    = 7 * time.Second
)

// What the callers of a crowd send before they stop.
const (
	CrowdFields = "fields" // a head of many small fields, without its end
	CrowdHead   = "head"   // a head of one long field, without its end
	CrowdLines  = "lines"  // empty lines
	CrowdBody   = "body"   // a large body, short of its end
	CrowdChunks = "chunks" // a body in chunks of one byte, short of its end
	// At the listener for other nodes:
	CrowdMessages = "messages" // a large message, short of its end
	CrowdExpand   = "expand"   // a small message that expands to a large one
)

// atNodes tells whether a crowd comes to the listener for other nodes.
func atNodes(how string) bool { return how == CrowdMessages || how == CrowdExpand }

var crowdHows = []string{CrowdFields, CrowdHead, CrowdLines, CrowdBody, CrowdChunks}

var nodeHows = []string{CrowdMessages, CrowdExpand}

// drawCrowd draws one crowd of many small fields, two others, and one at the listener for other nodes, on a small VM.
func (d *Day) drawCrowd(r *rand.Rand, last time.Duration) []Fault {
	d.Memory = smallMemory
	var list []Fault
	hows := append([]string{CrowdFields}, crowdHows[r.IntN(len(crowdHows))], crowdHows[r.IntN(len(crowdHows))], nodeHows[r.IntN(len(nodeHows))])
	for _, how := range hows {
		f := Fault{Kind: FaultCrowd, On: OnDaemons, How: how, Who: d.some(r, OnDaemons), X: crowdCallers}
		f.Who = f.Who[:1]
		f.For = leastCrowd + time.Duration(r.Int64N(int64(mostCrowd-leastCrowd)))
		f.At = quietBefore + time.Duration(r.Int64N(int64(max(1, last-quietBefore-f.For))))
		list = append(list, f)
	}
	return list
}
