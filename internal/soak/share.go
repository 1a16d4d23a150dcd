package soak

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"spurhall.example/spurhall/internal/timer"
)

// This file gives daemons a share of the processor, as a VM of that size has it: a process that has used up its part of a period
// isn't run until the next one.
//
// Weighed: control groups, which not everybody may set up.

const (
	sharePeriod = 100 * time.Millisecond
	sharePoll   = 2 * time.Millisecond
)

// share is a daemon's part of the processor.
type share struct {
	p       *Process
	cores   float64
	pid     int
	used    time.Duration // processor time of the process when last looked at
	left    time.Duration // of this period; negative: of the ones before, too much
	stopped bool
}

// shares returns the parts of all daemons.
func (s *Stage) shares() []*share {
	list := make([]*share, len(s.daemons))
	for i, p := range s.daemons {
		list[i] = &share{p: p, cores: s.day.Cores(i)}
	}
	return list
}

// shareOut keeps processes within their shares until the context ends.
func shareOut(ctx context.Context, clock *timer.Service, list []*share) {
	for began := clock.Now(); clock.Sleep(ctx, sharePoll) == nil; {
		if lasted := clock.Since(began); lasted >= sharePeriod {
			began = clock.Now()
			for _, v := range list {
				v.begin(lasted)
			}
		}
		for _, v := range list {
			v.look()
		}
	}
	for _, v := range list {
		v.run()
	}
}

// begin begins a period, after one that lasted for some time. What was used beyond the periods before counts as one of them at most: where
// the soak itself wasn't run, it may be much.
func (v *share) begin(lasted time.Duration) {
	part := time.Duration(v.cores * float64(sharePeriod))
	v.left = min(part, max(v.left, -part)+time.Duration(v.cores*float64(lasted)))
	if v.left >= 0 {
		v.run()
	}
}

func (v *share) run() {
	if v.stopped {
		v.stopped = false
		v.p.Signal(syscall.SIGCONT)
	}
}

// look stops the process if it has used up its part.
func (v *share) look() {
	pid := v.p.pid()
	used, ok := processorTime(pid)
	if !ok {
		return // it has ended
	}
	if pid != v.pid {
		v.pid, v.used, v.left, v.stopped = pid, used, time.Duration(v.cores*float64(sharePeriod)), true
		v.run() // the signal for the process before may have reached this one
	}
	v.left -= used - v.used
	v.used = used
	if v.left <= 0 && !v.stopped {
		v.stopped = true
		v.p.Signal(syscall.SIGSTOP)
	}
}

// processorTime returns the processor time that a process has used, by the clock that the kernel keeps for it
// (clock_getcpuclockid(3)).
func processorTime(pid int) (time.Duration, bool) {
	const sched = 2 // the clock of what the process used
	var t unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|sched), &t) != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
