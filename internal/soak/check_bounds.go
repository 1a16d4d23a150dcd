package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// This file is the bounds over all daemons together: quotas, repeats, limits; and the whole day.

// checkQuota: what runs of the narrow workspace keeps to its quota, over all daemons, however many of them start.
func checkQuota(v *view) []Failure {
	allowed := (NarrowRate*quotaSpan.Seconds()+NarrowBurst)*quotaShare + quotaSlack
	var list []Failure
	sum, first := 0.0, 0
	var runs []Event
	for _, e := range v.Events {
		if e.What != Began || e.Tenant != string(KeyNarrow) || e.After != "" {
			continue
		}
		runs = append(runs, e)
		sum += float64(e.Size)
		for e.At.Sub(runs[first].At) >= quotaSpan {
			sum -= float64(runs[first].Size)
			first++
		}
		if sum > allowed {
			return append(list, Failure{"quota", e.ID, fmt.Sprintf("%.0f tokens ran in %v, %.0f are allowed", sum, quotaSpan, allowed)})
		}
	}
	return list
}

// serviceNow is where a reply's request belongs; the moving route belongs to two.
func (r *Reply) service() string {
	if r.stream() {
		return ServiceEngine
	}
	return ServicePlain
}

// checkRepeats: what arrives beyond the first of each request keeps to the budget.
func checkRepeats(v *view) []Failure {
	var asked, repeats []time.Time
	for i := range v.Replies {
		if r := &v.Replies[i]; r.service() == ServiceEngine {
			asked = append(asked, r.Sent)
			for _, e := range v.came[r.ID][min(1, len(v.came[r.ID])):] {
				repeats = append(repeats, e.At)
			}
		}
	}
	slices.SortFunc(repeats, time.Time.Compare)
	within := func(list []time.Time, from, to time.Time) int {
		n := 0
		for _, t := range list {
			if t.After(from) && !t.After(to) {
				n++
			}
		}
		return n
	}
	for _, t := range repeats {
		n := within(repeats, t.Add(-retryWindow), t)
		most := max(within(asked, t.Add(-retryWindow), t), within(asked, t.Add(-2*retryWindow), t.Add(-retryWindow)))
		if allowed := retryRatio*float64(most) + retryExtra; float64(n) > allowed {
			return []Failure{{"repeats", "", fmt.Sprintf("%d in %v for %d requests, %.0f are allowed", n, retryWindow, most, allowed)}}
		}
	}
	return nil
}

// checkLimits: an upstream that names a rate gets no more from daemons in touch.
func checkLimits(v *view) []Failure {
	var list []Failure
	for _, f := range v.Day.Faults {
		if f.Kind != FaultLimit {
			continue
		}
		name, named := upstreamName(f.Who[0]), time.Time{}
		var came []time.Time
		for _, e := range v.Events {
			switch {
			case e.Upstream != name || v.at(e.At) < f.At || v.at(e.At) > f.End():
			case e.What == Started:
				named, came = time.Time{}, nil // the next life names none
			case e.What == Named && named.IsZero():
				named = e.At
			case e.What == Arrived && !named.IsZero() && e.At.Sub(named) >= lately:
				if r := v.replies[e.ID]; r != nil && v.calm(e.At.Add(-lately), e.At, v.touches(r.Call.Daemon)) {
					came = append(came, e.At)
				}
			}
		}
		list = append(list, overLimit(name, f.X, came)...)
	}
	return list
}

func overLimit(name string, rate float64, came []time.Time) []Failure {
	allowed, first := limitTimes*rate*limitSpan.Seconds()+limitExtra, 0
	for i, t := range came {
		for t.Sub(came[first]) >= limitSpan {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			return []Failure{{"limit", "", fmt.Sprintf("%s got %d in %v, having named %.2f a second", name, n, limitSpan, rate)}}
		}
	}
	return nil
}

// checkServed: once the faults are over, requests are served again.
func checkServed(v *view) []Failure {
	asked, served := 0, 0
	byStatus := make(map[int]int)
	for i := range v.Replies {
		r := &v.Replies[i]
		if r.Call.At < v.Day.Traffic-lastPart || r.Call.Key != KeyWide {
			continue
		}
		asked++
		if r.good() && r.Whole {
			served++
		} else {
			byStatus[r.Status]++
		}
	}
	last := v.Began.Add(v.Day.Traffic)
	if float64(served) < servedShare*float64(asked) && !v.stalled(last.Add(-2*lastPart), last) {
		return []Failure{{"served", "", fmt.Sprintf("%d of %d in the last %v; others by status: %v", served, asked, lastPart, byStatus)}}
	}
	return nil
}

// checkUsage: a window has one count, and the right one where nothing was wrong around it. A window that was settled
// while the store came back from a copy may be missing.
func checkUsage(v *view) []Failure {
	var list []Failure
	first := v.Began.UnixMilli()/usageWindow.Milliseconds() + 1
	for w := first; w < first+int64(v.Day.Traffic/usageWindow)-1; w++ {
		from := time.UnixMilli(w * usageWindow.Milliseconds())
		calm := v.calm(from.Add(-2*usageWindow), from.Add(usageWindow+usageLate), anything)
		switch counts := v.Usage[w]; {
		case len(counts) > 1:
			list = append(list, Failure{"usage", "", fmt.Sprintf("window %d was reported with %d different counts", w, len(counts))})
		case calm && len(counts) == 0:
			list = append(list, Failure{"usage", "", fmt.Sprintf("window %d wasn't reported", w)})
		case calm:
			list = append(list, v.compareUsage(w, v.begunIn(from), counts[0])...)
		}
	}
	return list
}

// begunIn counts the requests that began to run in a window, by workspace. A stream begins with its first event.
func (v *view) begunIn(from time.Time) map[string]int64 {
	n := make(map[string]int64)
	for id, e := range v.counted {
		if v.replies[id] != nil && !e.At.Before(from) && e.At.Before(from.Add(usageWindow)) {
			n[e.Tenant]++
		}
	}
	return n
}

func (v *view) compareUsage(w int64, want, got map[string]int64) []Failure {
	var list []Failure
	for t, n := range want {
		if float64(max(got[t]-n, n-got[t])) > usageShare*float64(n)+usageLeast {
			list = append(list, Failure{"usage", "", fmt.Sprintf("window %d: %d of %s began, %d were reported", w, n, t, got[t])})
		}
	}
	slices.SortFunc(list, func(a, b Failure) int { return cmp.Compare(a.What, b.What) })
	return list
}

// checkLevels: what daemons hold is back where it was. Garbage of messages stays resident until the next collection, which a
// daemon that is asked for little reaches late: where messages took much, as much as they may take together may be left of them.
func checkLevels(v *view) []Failure {
	var list []Failure
	most := int64(bytesMore)
	if v.Day.Memory > 0 {
		most += int64(v.Day.Memory) << 20 / messageParts
	}
	for name, b := range v.Before {
		a, ok := v.After[name]
		if !ok {
			list = append(list, Failure{"levels", "", name + " isn't there at the end"})
			continue
		}
		if a.Descriptors > b.Descriptors+fdsMore {
			list = append(list, Failure{"levels", "", fmt.Sprintf("%s has %d descriptors, %d before", name, a.Descriptors, b.Descriptors)})
		}
		if a.Bytes > b.Bytes+most {
			list = append(list, Failure{"levels", "", fmt.Sprintf("%s has %d MB, %d before", name, a.Bytes>>20, b.Bytes>>20)})
		}
	}
	slices.SortFunc(list, func(a, b Failure) int { return cmp.Compare(a.What, b.What) })
	return list
}
