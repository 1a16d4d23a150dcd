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
// The load that this answers: some hundred nodes before engines that read for most of their
// time (TestFreshFiguresDontHerd plays it).
//
// Weighed: levelling the queues by what has come unseen before choosing. All nodes fill the
// same valleys. Choosing
// the best of a few drawn at random, on paper only: it forgets where a prompt's parts are cached.

// unseenMost is the most that an upstream is taken to have got, in averages.
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
		return s.engine.PrefillTime(requests * s.reads)
	}
	return requests * plainFull * s.answer / float64(max(members[0].entry.Slots, 1))
}

// luck is a number from 0 to 1 for a request at an upstream.
func luck(request, upstream string) float64 {
	return float64(xxhash.Sum64String(request+"\x00"+upstream)>>11) / (1 << 53)
}
