package pool

// This file looks upstreams up for purposes other than a request.

// ByAddress returns the entry of a listed upstream with an address.
func (p *Pools) ByAddress(address string) (Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if m.entry.Address == address {
			return m.entry, true
		}
	}
	return Entry{}, false
}

// Sample returns up to k of the listed upstreams that fit, at random.
func (p *Pools) Sample(k int, fits func(e Entry) bool) []Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r []Entry
	for _, m := range p.members { // in random order
		if len(r) == k {
			break
		}
		if fits(m.entry) {
			r = append(r, m.entry)
		}
	}
	return r
}
