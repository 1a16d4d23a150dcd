package speed

import (
	"sort"

	"spurhall.example/spurhall/internal/retry"
)

// journal is the order in which upstreams last changed. A receiver that is sent the changes in this order, and
// continues after the last one, is sent each upstream once for its newest change.
type journal struct {
	entries []journalEntry // by version; those that were followed by a later one of their upstream are void
	newest  map[retry.Incarnation]uint64
	version uint64
}

type journalEntry struct {
	version uint64
	id      retry.Incarnation
}

func newJournal() journal { return journal{newest: make(map[retry.Incarnation]uint64)} }

// record records a change.
func (j *journal) record(id retry.Incarnation) {
	j.version++
	j.newest[id] = j.version
	j.entries = append(j.entries, journalEntry{j.version, id})
	if len(j.entries) > 2*len(j.newest)+maxFigures {
		j.compact()
	}
}

func (j *journal) forget(id retry.Incarnation) { delete(j.newest, id) }

func (j *journal) compact() {
	left := j.entries[:0]
	for _, e := range j.entries {
		if j.newest[e.id] == e.version {
			left = append(left, e)
		}
	}
	j.entries = left
}

// after returns up to n upstreams that changed after a version, and the version up to which that is all.
func (j *journal) after(version uint64, n int) (list []retry.Incarnation, upTo uint64) {
	from := sort.Search(len(j.entries), func(i int) bool { return j.entries[i].version > version })
	for _, e := range j.entries[from:] {
		if j.newest[e.id] != e.version {
			continue
		}
		if len(list) == n {
			return list, upTo
		}
		list, upTo = append(list, e.id), e.version
	}
	return list, j.version
}
