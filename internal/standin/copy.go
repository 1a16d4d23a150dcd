package standin

import (
	"maps"
	"slices"

	"spurhall.example/spurhall/internal/store"
)

// Copy is what a service held at a moment.
type Copy struct {
	revision  int64
	pairs     map[string]store.Pair
	log       []change
	compacted int64
	leases    map[int64]lease
	nextID    int64
}

// Copy returns what the service holds now.
func (k *Keys) Copy() *Copy {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	c := &Copy{revision: k.revision, pairs: maps.Clone(k.pairs), log: slices.Clone(k.log), compacted: k.compacted, leases: make(map[int64]lease), nextID: k.nextID}
	for id, l := range k.leases {
		c.leases[id] = *l
	}
	return c
}

// Return puts a copy in the place of what the service holds: what was written since is gone,
// leases too, and revisions and leases' ids are given out again. Leases of the copy run from now,
// as those of a service do that was away. The writes are done before anybody is answered.
func (k *Keys) Return(c *Copy, writes ...store.Op) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision, k.pairs, k.log, k.compacted, k.nextID = c.revision, maps.Clone(c.pairs), slices.Clone(c.log), c.compacted, c.nextID
	k.leases = make(map[int64]*lease)
	for id, l := range c.leases {
		l.expires = k.clock.Now().Add(l.ttl)
		k.leases[id] = &l
	}
	for _, w := range writes {
		_ = k.apply([]store.Op{w}) // it reads nothing
	}
	k.tell()
}
