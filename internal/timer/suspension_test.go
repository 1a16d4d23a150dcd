package timer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sys/unix"
)

// clocks is a VM's clocks, which a test sets.
type clocks struct {
	boot, steady time.Duration
	broken       bool
}

func (c *clocks) read(id int32) (time.Duration, bool) {
	if id == unix.CLOCK_BOOTTIME {
		return c.boot, !c.broken
	}
	return c.steady, true
}

func TestSuspensions(t *testing.T) {
	c := &clocks{boot: 7 * time.Second, steady: 5 * time.Second}
	u := newSuspensions(c.read)
	assert.Zero(t, u.total(), "what was before the process began")
	c.boot, c.steady = c.boot+4*time.Second, c.steady+time.Second
	assert.Equal(t, 3*time.Second, u.total())
	t.Run("a reading that lost time between the two clocks", func(t *testing.T) {
		c.steady += 50 * time.Millisecond
		assert.Equal(t, 3*time.Second, u.total())
	})
	t.Run("a second one", func(t *testing.T) {
		c.boot += 2*time.Second + 50*time.Millisecond
		assert.Equal(t, 5*time.Second, u.total())
	})
	t.Run("a clock that can't be read", func(t *testing.T) {
		c.broken = true
		assert.Equal(t, 5*time.Second, u.total())
		assert.Zero(t, newSuspensions(c.read).total())
	})
}

// TestTimeOfDay: after suspensions Now is ahead of the time of day, and what others read isn't.
func TestTimeOfDay(t *testing.T) {
	s := Real()
	inner := s.now
	s.now = func() time.Time { return inner().Add(time.Hour) } // suspended for so long
	assert.InDelta(t, 0, time.Until(s.WallOf(s.Now())).Seconds(), 0.5)
	assert.InDelta(t, 0, s.At(time.Now()).Sub(s.Now()).Seconds(), 0.5)
}

// TestManualSuspension: time passes for who looks, and who waits goes on waiting.
func TestManualSuspension(t *testing.T) {
	m := NewManual(time.Unix(1000, 0))
	s := m.Service()
	began := s.Now()
	c, stop := s.After(time.Second)
	defer stop()
	m.Suspend(5 * time.Second)
	assert.Equal(t, 5*time.Second, s.Since(began))
	assert.Equal(t, 5*time.Second, s.Suspended())
	select {
	case <-c:
		t.Error("fired")
	default:
	}
	m.Advance(time.Second)
	<-c
}

func BenchmarkNow(b *testing.B) {
	s := Real()
	for b.Loop() {
		_ = s.Now()
	}
}
