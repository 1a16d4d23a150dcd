// Package timer is the one place that reads the clock. Every other package
// gets a *Service and subscribes to it, for two reasons: a test can own time
// (Manual), and a reader can find every duty that wakes up by itself by looking
// for subscriptions.
//
// Passing time.Now around as a function was tried on paper and refused: it
// covers reading the clock, but not waiting on it, and the waits are what make
// tests slow.
package timer

import (
	"context"
	"sync"
	"time"
)

// Service tells the time and wakes its subscribers.
type Service struct {
	now       func() time.Time
	wall      func() time.Time
	suspended func() time.Duration
	after     func(d time.Duration) (<-chan time.Time, func())
	afterFunc func(d time.Duration, f func()) (stop func())
}

// Real returns the service that follows the machine's clock.
func Real() *Service {
	u := newSuspensions(readClock)
	return &Service{now: func() time.Time { return time.Now().Add(u.total()) }, wall: time.Now, suspended: u.total, after: realAfter, afterFunc: realAfterFunc}
}

func realAfterFunc(d time.Duration, f func()) func() {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}

func realAfter(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}

// Now returns the present time for differences. It carries a monotonic reading that counts
// the time in which the VM was suspended, too, so differences are safe to use for leases: a
// lease that lapsed meanwhile is over when the process goes on. What of it lies ahead of the
// time of day is the suspensions since the start; use Wall, WallOf and At where others read it.
func (s *Service) Now() time.Time { return s.now() }

// Suspended returns for how long the VM has been suspended since the service began.
func (s *Service) Suspended() time.Duration { return s.suspended() }

// Wall returns the time of day, which may step.
func (s *Service) Wall() time.Time { return s.wall() }

// WallOf returns the time of day at a time that Now told.
func (s *Service) WallOf(t time.Time) time.Time { return s.wall().Add(t.Sub(s.now())) }

// At is the inverse of WallOf.
func (s *Service) At(wall time.Time) time.Time { return s.now().Add(wall.Sub(s.wall())) }

// Since returns the time passed since t.
func (s *Service) Since(t time.Time) time.Duration { return s.now().Sub(t) }

// After returns a channel that fires once, and a function that gives it up.
func (s *Service) After(d time.Duration) (<-chan time.Time, func()) { return s.after(d) }

// AfterFunc calls f in a goroutine of its own after d, unless it is stopped before.
func (s *Service) AfterFunc(d time.Duration, f func()) (stop func()) { return s.afterFunc(d, f) }

// Sleep waits for d, or until the context ends, whose error it then returns.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	c, stop := s.after(d)
	defer stop()
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls f each d until the context ends. A call that takes longer than d
// delays the next one; calls are never stacked.
func (s *Service) Every(ctx context.Context, d time.Duration, f func(now time.Time)) {
	for s.Sleep(ctx, d) == nil {
		f(s.now())
	}
}

// While runs tasks for as long as a condition holds, which it checks each d, and returns when they have ended. They are to
// end with their context.
func (s *Service) While(ctx context.Context, d time.Duration, holds func() bool, tasks ...func(context.Context)) {
	c, cancel := context.WithCancel(ctx)
	var w sync.WaitGroup
	for _, f := range tasks {
		w.Go(func() { f(c) })
	}
	for holds() && s.Sleep(c, d) == nil {
	}
	cancel()
	w.Wait()
}

// Watchdog calls a function unless it is fed in time.
type Watchdog struct {
	feed chan struct{}
	stop context.CancelFunc
}

// Watchdog starts one: f is called once, after a silence of d.
func (s *Service) Watchdog(ctx context.Context, d time.Duration, f func()) *Watchdog {
	c, cancel := context.WithCancel(ctx)
	w := &Watchdog{feed: make(chan struct{}, 1), stop: cancel}
	go s.watch(c, w, d, f)
	return w
}

func (s *Service) watch(ctx context.Context, w *Watchdog, d time.Duration, f func()) {
	for {
		c, stop := s.after(d)
		select {
		case <-c:
			f()
			return
		case <-w.feed:
			stop()
		case <-ctx.Done():
			stop()
			return
		}
	}
}

// Feed tells that there was a sign of life.
func (w *Watchdog) Feed() {
	select {
	case w.feed <- struct{}{}:
	default: // one waiting sign is enough
	}
}

// Stop ends the watchdog; its function won't be called afterwards, unless it
// is being called already.
func (w *Watchdog) Stop() { w.stop() }

// Manual is a clock that only a test moves.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	paused  time.Duration
	stepped time.Duration // of the time of day
	waiting []*waiter
}

type waiter struct {
	at time.Time
	c  chan time.Time
}

// NewManual returns a clock that stands still at t.
func NewManual(t time.Time) *Manual { return &Manual{now: t} }

// Service returns the service that follows this clock.
func (m *Manual) Service() *Service {
	return &Service{now: m.read, wall: m.readWall, suspended: m.suspensions, after: m.after, afterFunc: m.afterFunc}
}

func (m *Manual) afterFunc(d time.Duration, f func()) func() {
	c, forget := m.after(d)
	done := make(chan struct{})
	go func() {
		select {
		case <-c:
			f()
		case <-done:
		}
	}()
	return func() {
		forget()
		close(done)
	}
}

func (m *Manual) read() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *Manual) readWall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now.Add(m.stepped)
}

// Step sets the time of day forward or back. No time passes.
func (m *Manual) Step(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stepped += d
}

func (m *Manual) suspensions() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.paused
}

// Suspend moves time on as a suspension of the VM does: it has passed for whoever looks, and
// what waits goes on waiting as long as before.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now, m.paused = m.now.Add(d), m.paused+d
	for _, w := range m.waiting {
		w.at = w.at.Add(d)
	}
}

func (m *Manual) after(d time.Duration) (<-chan time.Time, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &waiter{at: m.now.Add(d), c: make(chan time.Time, 1)}
	if d <= 0 {
		w.c <- m.now
		return w.c, func() {}
	}
	m.waiting = append(m.waiting, w)
	return w.c, func() { m.forget(w) }
}

func (m *Manual) forget(w *waiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, o := range m.waiting {
		if o == w {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			return
		}
	}
}

// Advance moves the clock and fires what has become due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	left := m.waiting[:0]
	for _, w := range m.waiting {
		if w.at.After(m.now) {
			left = append(left, w)
			continue
		}
		w.c <- m.now
	}
	m.waiting = left
}
