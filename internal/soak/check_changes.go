package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// This file is the promises on what changes: upstreams that leave, configurations, keys.

// checkDrains: an upstream that leaves gets nothing new.
func checkDrains(v *view) []Failure {
	var list []Failure
	for _, d := range v.Drains {
		for _, e := range v.Events {
			r := v.replies[e.ID]
			if e.What != Arrived || e.Upstream != d.Upstream || r == nil || e.At.Sub(d.At) <= drainBound || e.At.After(d.Ended) {
				continue
			}
			if v.calm(d.At, e.At, v.disturbs(r.Call.Daemon)) {
				list = append(list, Failure{"drain", e.ID, fmt.Sprintf("reached %s %v after it said that it leaves", e.Upstream, e.At.Sub(d.At))})
			}
		}
	}
	return list
}

// changed returns when a configuration with a property was first in force.
func (v *view) changed(has func(c Configuration) bool) (time.Time, bool) {
	for _, c := range v.Configs {
		if has(c.Configuration) {
			return c.At, true
		}
	}
	return time.Time{}, false
}

// checkConfig: what the operators moved goes to the new place in time, and never back.
func checkConfig(v *view) []Failure {
	at, ok := v.changed(func(c Configuration) bool { return c.Moved })
	if !ok {
		return nil
	}
	first := make(map[int]time.Time) // a daemon's first send to the new place, in its present life
	replies := slices.Clone(v.Replies)
	slices.SortFunc(replies, func(a, b Reply) int { return a.Sent.Compare(b.Sent) })
	var list []Failure
	for i := range replies {
		r := &replies[i]
		if r.Call.Route != RouteMoving {
			continue
		}
		for _, e := range v.runs[r.ID] {
			since, used := first[r.Call.Daemon]
			switch {
			case e.Service == ServiceOther:
				if !used {
					first[r.Call.Daemon] = e.At
				}
			case r.Sent.Sub(at) > applyBound && v.calm(r.Sent, e.At, v.touches(r.Call.Daemon)):
				list = append(list, Failure{"config", r.ID, fmt.Sprintf("ran where the route went before, sent %v after the change", r.Sent.Sub(at))})
			case used && r.Sent.Sub(since) > backBound && v.oneLife(r.Call.Daemon, since, e.At):
				list = append(list, Failure{"config", r.ID, fmt.Sprintf("%s went back, %v after it had gone to the new place", daemonName(r.Call.Daemon), r.Sent.Sub(since))})
			}
		}
	}
	return list
}

// oneLife tells whether a daemon's process was neither stopped nor killed in a span.
func (v *view) oneLife(daemon int, from, to time.Time) bool {
	return !slices.ContainsFunc(v.Stops, func(s Stop) bool {
		return s.Daemon == daemon && !s.At.After(to) && (s.Ended.IsZero() || s.Ended.After(from))
	})
}

// checkKeys: a key that was withdrawn opens nothing, and one that is in force is never turned away.
func checkKeys(v *view) []Failure {
	at, withdrawn := v.changed(func(c Configuration) bool { return c.Withdrawn })
	return v.eachReply("keys", func(r *Reply) string {
		gone := withdrawn && r.Call.Key == KeyWithdrawn
		runs := v.runs[r.ID]
		if gone && len(runs) > 0 && r.Sent.Sub(at) > applyBound && v.calm(r.Sent, runs[0].At, v.touches(r.Call.Daemon)) {
			return fmt.Sprintf("ran with a key that was withdrawn %v before", r.Sent.Sub(at))
		}
		denied := r.Status == http.StatusUnauthorized || r.Status == http.StatusForbidden || r.Status == http.StatusNotFound
		if denied && !(gone && r.Done.After(at.Add(-time.Second))) {
			return fmt.Sprintf("status %d for a request that every configuration allows", r.Status)
		}
		return ""
	})
}
