package pool

// This file prevents all nodes from choosing the upstream that was best a moment ago.
//
// The load of other nodes at an upstream is known some tenths of a second late, and if it comes through
// relays, all nodes have the same figures. The upstream that looks best would then get the requests of all
// of them until the next figures arrive. The average number of these requests is known: in the duration of
// a request, as many start anew as the other nodes have in progress. Each upstream is therefore assumed to
// have received a share of them that is not reported yet, up to a few times the average, drawn
// pseudo-randomly from the request's and the upstream's id. Requests thereby spread over all upstreams
// that are about as good, and further as the figures age.
//
// It was designed for a few hundred nodes whose engines read prompts most of the time
// (TestFreshFiguresDontHerd simulates that load).
//
// Alternatives considered: levelling the queues by the unreported work before the choice, where all nodes
// fill the same gaps; and choosing the best of a few randomly drawn upstreams (on paper only), which
// ignores where a prompt's parts are cached.

// maxUnreportedFactor is the maximum of the unreported work that is assumed for an upstream, in averages.
const maxUnreportedFactor = 4

// unreported returns the work that other nodes have sent to an upstream of a service since their last
// reports on average, in milliseconds. running is the number of requests in the reports, and age their
// average age in milliseconds.
func (p *Pools) unreported(name string, running, age float64) float64 {
	s, members := p.service(name), p.services[name]
	if len(members) == 0 || s.durationMs <= 0 {
		return 0
	}
	requests := running * age / s.durationMs / float64(len(members))
	if s.uncachedTokens > 0 {
		return s.engine.PrefillTime(requests * s.uncachedTokens)
	}
	return requests * plainFullFactor * s.responseMs / float64(max(members[0].entry.Slots, 1))
}

// randomFraction returns a pseudo-random number from 0 to 1 for a request at an upstream. The request is given
// with a zero byte at its end.
func randomFraction(request, upstream string) float64 {
	return float64(hashStrings(request, upstream)>>11) / (1 << 53)
}
