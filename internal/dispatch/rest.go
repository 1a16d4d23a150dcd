package dispatch

import "time"

// This file keeps the rest that upstreams ask for when they refuse: until it is over they get
// nothing from this node. Without it 12 of 20 chats were sent to an engine that had asked for 20 s.

// returnsAfter is when a caller is told to come back where nobody takes its request and no upstream
// has said when it will.
const returnsAfter = time.Second

// restLocked takes in that an upstream wants nothing for so long. The longer one of two words holds.
func (p *pool) restLocked(id string, d time.Duration) {
	now := p.d.now()
	for k, until := range p.rests {
		if until <= now {
			delete(p.rests, k)
		}
	}
	p.rests[id] = max(p.rests[id], now+d)
}

// restingLocked tells whether an upstream is to get nothing now.
func (p *pool) restingLocked(now time.Duration, id string) bool { return p.rests[id] > now }

// nobody is the refusal where no upstream can take a request, with the time to the end of the first
// one's rest where all of them rest.
func (p *pool) nobody() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, after := p.d.now(), time.Duration(0)
	for i := range p.list {
		d := p.rests[p.list[i].ID] - now
		if d <= 0 {
			after = 0
			break
		}
		if after == 0 || d < after {
			after = d
		}
	}
	if after == 0 {
		after = returnsAfter
	}
	return &Refusal{cause: errNobody.Error(), after: after, nobody: true}
}
