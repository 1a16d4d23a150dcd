// Package lag measures how late a process runs: how long what is due in it waits until it is scheduled. On a VM whose
// processor time is used up, news that has arrived waits that long, too, and so does what the process decides by it.
//
// A goroutine sleeps for a fixed time and notes by how much it wakes up late. A wake-up that is overdue counts as well,
// so that the measure is not late itself.
//
// Alternatives considered: the kernel's figures of the process (schedstat), which leave out the wait in the Go
// scheduler's own queue.
package lag

import (
	"context"
	"expvar"
	"sync"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

const (
	// tick is the time between two wake-ups.
	tick = 100 * time.Millisecond
	// memory is how long a late wake-up counts: what was late then may still be on its way.
	memory = time.Second
	// noted is the lateness from which on it is logged, and logPause the shortest time between two such lines.
	noted    = 250 * time.Millisecond
	logPause = time.Second
)

// Monitor measures the lateness of a process. It is safe for concurrent use.
type Monitor struct {
	clock *timer.Service
	log   *zap.Logger

	mu       sync.Mutex
	due      time.Time // of the next wake-up; zero: it hasn't begun
	worst    time.Duration
	worstAt  time.Time // when that was noted
	loggedAt time.Time
}

// New returns a monitor that measures nothing until it runs.
func New(clock *timer.Service, log *zap.Logger) *Monitor { return &Monitor{clock: clock, log: log} }

// Run measures until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		m.await()
		if m.clock.Sleep(ctx, tick) != nil {
			return
		}
		m.wake()
	}
}

// await records that the next wake-up is due after a tick.
func (m *Monitor) await() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.due = m.clock.Now().Add(tick)
}

// wake records a wake-up.
func (m *Monitor) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	late := max(0, now.Sub(m.due))
	lateness.Set(late.Milliseconds())
	if late >= m.worst || now.Sub(m.worstAt) > memory {
		m.worst, m.worstAt = late, now
	}
	if late >= noted && now.Sub(m.loggedAt) >= logPause {
		m.loggedAt = now
		m.log.Info("running_late", zap.Duration("late", late))
	}
}

// Late returns how late the process has been running of late.
func (m *Monitor) Late() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.due.IsZero() {
		return 0
	}
	now := m.clock.Now()
	late := max(0, now.Sub(m.due))
	if now.Sub(m.worstAt) <= memory {
		late = max(late, m.worst)
	}
	return late
}

var lateness = expvar.NewInt("running_late_ms") // of the last wake-up
