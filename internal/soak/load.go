package soak

import (
	"context"
	"time"
)

// This file notes what daemons use of what they have, on days on which that is bounded.

// loadEvery is the time that a note is about.
const loadEvery = time.Second

// Load is what a daemon used in a second.
type Load struct {
	At        time.Time     `json:"at"` // its end
	Daemon    int           `json:"daemon"`
	In        int64         `json:"in"` // bytes
	Out       int64         `json:"out"`
	Processor time.Duration `json:"processor"`
}

// noteLoads notes the loads until the context ends. A second in which a process is started has no processor time.
func (s *Stage) noteLoads(ctx context.Context) {
	before, pids := make([]Load, len(s.daemons)), make([]int, len(s.daemons))
	for s.clock.Sleep(ctx, loadEvery) == nil {
		for i, p := range s.daemons {
			pid := p.pid()
			used, _ := processorTime(pid) // 0: it has ended
			now := Load{At: s.clock.Wall(), Daemon: i, In: s.bandwidths[i].in.taken(), Out: s.bandwidths[i].out.taken(), Processor: used}
			l := Load{At: now.At, Daemon: i, In: now.In - before[i].In, Out: now.Out - before[i].Out}
			if pid == pids[i] && used > 0 {
				l.Processor = used - before[i].Processor
			}
			before[i], pids[i] = now, pid
			s.mu.Lock()
			s.record.Loads = append(s.record.Loads, l)
			s.mu.Unlock()
		}
	}
}
