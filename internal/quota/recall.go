package quota

import "time"

// This file carries levels over a loss of all processes. A process that starts knows
// nothing of what was charged a moment ago, and a part of the burst has to stand for it.
// Where callers were well below their quotas, and all come back at once after a second or
// two without service, that part refuses what the whole bucket would have let in.
// So the levels are written down
// every so often, and a process that starts goes on from there.

// Level is a bucket as it was written down.
type Level struct {
	Level float64 `json:"level"` // tokens
	Use   float64 `json:"use"`   // tokens a second, of all nodes
}

// recallLimit is the age up to which levels are gone by. What others have charged since is
// heard from them only if they still run.
const recallLimit = 6 * time.Second

// Levels returns what there is to write down.
func (q *Quotas) Levels(now time.Time) map[string]Level {
	r := make(map[string]Level, len(q.buckets))
	for n, b := range q.buckets {
		if b.limit.Rate <= 0 {
			continue
		}
		q.refill(now, b)
		r[n] = Level{Level: b.level, Use: (b.recent + q.peersRecent(b)) / useHalf.Seconds()}
	}
	return r
}

// recalled is a level that was written down, as of then.
type recalled struct {
	level float64
	at    time.Time
}

// Recall takes in levels that were written down so long ago, as they are so often, and tells
// whether it did. Until they would have been written down again, use went on as it was.
func (q *Quotas) Restore(now time.Time, age, every time.Duration, levels map[string]Level) bool {
	if q.full || age < 0 || age > recallLimit {
		return false
	}
	q.recalled = make(map[string]recalled, len(levels))
	for n, l := range levels {
		q.recalled[n] = recalled{level: l.Level - l.Use*min(age, every).Seconds(), at: now.Add(-age)}
		if b := q.buckets[n]; b != nil && b.limit.Rate > 0 {
			q.refill(now, b)
			first := q.first(b.began, n, b.limit)
			b.level = min(b.limit.Burst, b.level+first-b.first)
			b.first = first
		}
	}
	return true
}

// first is the level that a bucket begins with.
func (q *Quotas) first(now time.Time, workspace string, l Limit) float64 {
	if q.full {
		return l.Burst
	}
	r, ok := q.recalled[workspace]
	if !ok {
		return restartLevel * l.Burst
	}
	return min(l.Burst, r.level+l.Rate*now.Sub(r.at).Seconds())
}
