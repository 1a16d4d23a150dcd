package standin

import (
	"github.com/cespare/xxhash/v2"
)

// This file is the engine's prefix cache.

// blockTokens is the grain of the prefix cache.
const blockTokens = 16

// prefixCache keeps blocks of prompt prefixes, least recently used out first.
type prefixCache struct {
	limit int
	tick  int
	used  map[uint64]int
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{limit: tokens / blockTokens, used: make(map[uint64]int)}
}

func blocks(words []string) []uint64 {
	d := xxhash.New()
	var r []uint64
	for i, w := range words {
		_, _ = d.WriteString(w)
		_, _ = d.WriteString(" ")
		if (i+1)%blockTokens == 0 {
			r = append(r, d.Sum64())
		}
	}
	return r
}

func (c *prefixCache) lookup(words []string) int {
	n := 0
	for _, b := range blocks(words) {
		if _, ok := c.used[b]; !ok {
			break
		}
		n += blockTokens
	}
	return n
}

func (c *prefixCache) insert(words []string) []uint64 {
	for _, b := range blocks(words) {
		c.tick++
		c.used[b] = c.tick
	}
	var evicted []uint64
	for len(c.used) > c.limit {
		oldest, at := uint64(0), c.tick+1
		for b, t := range c.used {
			if t < at {
				oldest, at = b, t
			}
		}
		delete(c.used, oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}
