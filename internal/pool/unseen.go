package pool

import "github.com/cespare/xxhash/v2"

// This file keeps nodes from all going where it was best a moment ago.
//
// What others have at an upstream is known some tenths of a second late, and where it comes
// through relays all nodes know the same. The upstream that looks best is then sent the
// requests of all of them until the next word. How much that may be is known on average:
// the others' requests that run, over the time that one lasts, come anew in that time. So
// each upstream is taken to have got a part of it that nobody knows, up to some times the
// average, drawn by the request and the upstream: requests spread over all that are about as
// good, and further the older the word is.
//
// The load that this answers: 95 nodes before engines that read for seven tenths of their
// time, with 222 requests a second. Their first events came in time for 0.77 and 0.80 of the
// long prompts, 0.63 and 0.64 of the chats without it, and for 0.91 and 0.93, 0.87 and 0.86
// with it (package model, two seeds; TestFreshFiguresDontHerd plays it).
//
// Weighed, in the same play: levelling the queues by what has come unseen before choosing.
// All nodes fill the same valleys: 0.65 of the long prompts where leaving it gave 0.68. Choosing
// the best of a few drawn at random, on paper only: it forgets where a prompt's parts are cached.

// unseenMost is the most that an upstream is taken to have got, in averages. From 2 to 16
// it makes no difference in the play above, 1 is less.
const unseenMost = 4

// unseen is what other nodes have sent to an upstream of a service since their last word on
// average, in milliseconds of its time. running is the others' requests there as they told,
// and age how old that is, on average, in milliseconds.
func (p *Pools) unseen(name string, running, age float64) float64 {
	s, members := p.service(name), p.services[name]
	if len(members) == 0 || s.lasts <= 0 {
		return 0
	}
	requests := running * age / s.lasts / float64(len(members))
	if s.reads > 0 {
		return s.engine.Read(requests * s.reads)
	}
	return requests * plainFull * s.answer / float64(max(members[0].entry.Slots, 1))
}

// luck is a number from 0 to 1 for a request at an upstream.
func luck(request, upstream string) float64 {
	return float64(xxhash.Sum64String(request+"\x00"+upstream)>>11) / (1 << 53)
}
