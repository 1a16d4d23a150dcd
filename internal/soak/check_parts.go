package soak

import (
	"fmt"
	"time"
)

// This file checks what is promised where requests with one part in their prompts crash the engines that begin to answer
// them.

const (
	partCrashes = 5 // after which the time runs in which daemons hear of each other
	lateParts   = 3 // requests with the part that may reach engines later than that
)

// checkParts: few requests with a part that crashes engines reach engines once daemons in touch know of it.
func checkParts(v *view) []Failure {
	var list []Failure
	for _, f := range v.Day.Faults {
		if f.Kind != FaultPart {
			continue
		}
		fifth, ok := v.crashAt(f, partCrashes)
		if !ok {
			continue
		}
		late := 0
		for _, e := range v.Events {
			r := v.replies[e.ID]
			if e.What == Arrived && r != nil && r.Call.bad() && e.At.Sub(fifth) > lately && v.calm(fifth, e.At, v.touches(r.Call.Daemon)) {
				late++
			}
		}
		if late > lateParts {
			list = append(list, Failure{"part", "", fmt.Sprintf("%d requests with a part that crashes engines reached engines more than %v after the fifth crash", late, lately)})
		}
	}
	return list
}

// crashAt returns when an engine crashed under requests with a bad part for the n-th time.
func (v *view) crashAt(f Fault, n int) (time.Time, bool) {
	for _, e := range v.Events {
		if e.What != Crashed || v.at(e.At) < f.At {
			continue
		}
		if n--; n == 0 {
			return e.At, true
		}
	}
	return time.Time{}, false
}
