package quota

import "time"

// This file preserves levels when all processes are lost. A process that starts does not know what was
// charged a moment ago, and starts with a part of the burst instead. If callers were well below their
// quotas and all retry at once after a second or two without service, that part rejects requests that the
// whole bucket would have admitted. So the levels are stored regularly, and a process that starts
// continues from there.

// Level is the stored state of a bucket.
type Level struct {
	Level float64 `json:"level"` // tokens
	Use   float64 `json:"use"`   // tokens per second, over all nodes
}

// maxRestoreAge is the age up to which stored levels are used. What other nodes have charged since then
// is only reported by those that still run.
const maxRestoreAge = 6 * time.Second

// staleLevels is the age from which on stored levels lack writes that failed: they say nothing of what was charged since.
const staleLevels = time.Second

// Levels returns the levels to store.
func (q *Quotas) Levels(now time.Time) map[string]Level {
	r := make(map[string]Level, len(q.buckets))
	for n, b := range q.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		q.refill(now, b)
		r[n] = Level{Level: b.level, Use: (b.recent + b.peersRecent) / recentUseTime.Seconds()}
	}
	return r
}

// restoredLevel is a level as it was at a time before this process started.
type restoredLevel struct {
	level float64
	at    time.Time
}

// Restore applies stored levels of the given age, which are stored at the interval every, and reports
// whether it did. Use is assumed to have continued for one such interval, after which the levels would
// have been stored again.
func (q *Quotas) Restore(now time.Time, age, every time.Duration, levels map[string]Level) bool {
	if q.startFull || q.adopted || age < 0 || age > maxRestoreAge {
		return false
	}
	q.stale = age > staleLevels
	q.restored = make(map[string]restoredLevel, len(levels))
	for n, l := range levels {
		q.restored[n] = restoredLevel{level: l.Level - l.Use*min(age, every).Seconds(), at: now.Add(-age)}
		if b := q.buckets[n]; b != nil && b.limit.Rate > 0 {
			q.refill(now, b)
			initial := q.initialLevel(b.createdAt, n, b.limit)
			b.level = min(b.limit.Burst, b.level+initial-b.initialLevel)
			b.initialLevel = initial
		}
	}
	return true
}

// Adopt continues from another node's levels as of now, and reports whether it did. They account for what silent and unnamed
// nodes may have charged, so that what was assumed here before no longer counts. What this process has charged itself that node
// may not know yet.
func (q *Quotas) Adopt(now time.Time, levels map[string]Level) bool {
	if !q.WantsLevels() || len(levels) == 0 {
		return false
	}
	q.adopted = true
	for n, l := range levels {
		if b := q.buckets[n]; b != nil && b.limit.Rate > 0 {
			q.refill(now, b)
			b.level = min(b.limit.Burst, l.Level-b.charged)
		}
	}
	for _, p := range q.peers {
		p.assumed = nil
	}
	for _, p := range q.unnamed {
		p.assumed = nil
	}
	return true
}

// WantsLevels reports whether this process's own levels rest on less than another node's: nothing of before, or levels that were
// stored some time before.
func (q *Quotas) WantsLevels() bool {
	return !q.adopted && (q.start() == StartPart || q.start() == StartStored && q.stale)
}

// initialLevel returns the level with which a bucket starts.
func (q *Quotas) initialLevel(now time.Time, workspace string, l Limit) float64 {
	if q.startFull {
		return l.Burst
	}
	r, ok := q.restored[workspace]
	if !ok {
		return restartLevel * l.Burst
	}
	return min(l.Burst, r.level+l.Rate*now.Sub(r.at).Seconds())
}
