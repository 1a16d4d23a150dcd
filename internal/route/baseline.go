package route

import (
	"github.com/cespare/xxhash/v2"
)

// This file is the baselines that the affinity policy is measured against, and the ranking
// that names a holder without asking anybody.

func (r *Router) roundRobin(list []Candidate) Choice {
	for n := 0; n < len(list); n++ {
		r.offset++
		i := r.offset % len(list)
		if !list[i].Excluded {
			return Choice{Index: i, Reason: ReasonBaseline}
		}
	}
	return Choice{Index: -1, Reason: ReasonNone}
}

func inFlight(c *Candidate) int32 { return max(c.Load+c.SinceReport, c.InFlight) }

func (r *Router) leastInFlight(list []Candidate) Choice {
	best := Choice{Index: -1, Reason: ReasonNone}
	for n := range list {
		i := (n + r.offset) % len(list)
		if list[i].Excluded {
			continue
		}
		if best.Index < 0 || inFlight(&list[i]) < inFlight(&list[best.Index]) {
			best.Index, best.Reason = i, ReasonBaseline
		}
	}
	r.offset++
	return best
}

// next is a small pseudo-random generator (xorshift), so that choices depend on
// nothing outside.
func (r *Router) next(n int) int {
	r.state ^= r.state << 13
	r.state ^= r.state >> 7
	r.state ^= r.state << 17
	return int(r.state>>1) % n
}

func (r *Router) twoChoices(list []Candidate) Choice {
	best := Choice{Index: -1, Reason: ReasonNone}
	if len(list) == 0 {
		return best
	}
	for n, found := 0, 0; n < 4*len(list) && found < 2; n++ {
		i := r.next(len(list))
		if list[i].Excluded {
			continue
		}
		found++
		if best.Index < 0 || inFlight(&list[i]) < inFlight(&list[best.Index]) {
			best.Index, best.Reason = i, ReasonBaseline
		}
	}
	if best.Index < 0 {
		return r.roundRobin(list)
	}
	return best
}

// Rank orders members by rendezvous weight for a key, best first: used to name
// who holds a request, or who reports an upstream's load, without asking anybody.
func Rank(key string, members []string) []string {
	k := xxhash.Sum64String(key)
	r := append([]string(nil), members...)
	for i := 1; i < len(r); i++ {
		for j := i; j > 0 && weight(k, HashID(r[j])) > weight(k, HashID(r[j-1])); j-- {
			r[j], r[j-1] = r[j-1], r[j]
		}
	}
	return r
}
