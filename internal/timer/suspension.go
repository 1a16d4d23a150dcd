package timer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// This file counts the time in which the VM was suspended. Go's monotonic reading is
// CLOCK_MONOTONIC, which stands still meanwhile (clock_gettime(2)); CLOCK_BOOTTIME doesn't, and
// their difference grows by just that time. The time of day counts it, too, but steps.
//
// Where CLOCK_BOOTTIME can't be read, suspensions aren't counted, as if there were none.

// leastSuspension is what the difference has to grow by. Both clocks are read one after the
// other; what passes in between makes the difference too small, never too large.
const leastSuspension = time.Millisecond

// suspensions is how long the VM was suspended since the process began.
type suspensions struct {
	read  func(clock int32) (time.Duration, bool)
	start time.Duration // the difference then
	sum   atomic.Int64
}

func newSuspensions(read func(clock int32) (time.Duration, bool)) *suspensions {
	u := &suspensions{read: read}
	u.start, _ = u.difference()
	return u
}

func (u *suspensions) difference() (time.Duration, bool) {
	boot, ok := u.read(unix.CLOCK_BOOTTIME)
	if !ok {
		return 0, false
	}
	steady, ok := u.read(unix.CLOCK_MONOTONIC)
	return boot - steady, ok
}

// total returns the sum, which never falls.
func (u *suspensions) total() time.Duration {
	d, ok := u.difference()
	for old := u.sum.Load(); ok && d-u.start > time.Duration(old)+leastSuspension; old = u.sum.Load() {
		if u.sum.CompareAndSwap(old, int64(d-u.start)) {
			break
		}
	}
	return time.Duration(u.sum.Load())
}

func readClock(clock int32) (time.Duration, bool) {
	var t unix.Timespec
	err := unix.ClockGettime(clock, &t)
	return time.Duration(t.Nano()), err == nil
}
