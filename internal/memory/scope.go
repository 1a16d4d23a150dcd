package memory

import "sync"

// Scope is the holds of one request and of its responses, which end with it at the latest. It is safe for concurrent use.
type Scope struct {
	b     *Budget
	mu    sync.Mutex
	holds []*Hold
}

// Scope begins a scope without holds.
func (b *Budget) Scope() *Scope { return &Scope{b: b} }

// Hold begins a hold of no bytes.
func (s *Scope) Hold(o Options) *Hold {
	h := s.b.Hold(o)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds = append(s.holds, h)
	return h
}

// Release releases all holds.
func (s *Scope) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holds {
		h.Release()
	}
}
