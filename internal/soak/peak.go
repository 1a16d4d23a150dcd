package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// This file notes the most memory that daemons have had, as the kernel keeps it for each process.

// peakEvery is how often it is looked at: what a process reaches just before it ends may be missed.
const peakEvery = 250 * time.Millisecond

// Peak returns the most resident memory that the process has had since its start, in bytes.
func (p *Process) Peak() (int64, error) {
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.pid()), "status"))
	if err != nil {
		return 0, err
	}
	return peakIn(string(b))
}

// peakIn returns the peak in a process's status (proc(5)), in bytes.
func peakIn(status string) (int64, error) {
	_, after, found := strings.Cut(status, "VmHWM:")
	f := strings.Fields(after)
	if !found || len(f) == 0 {
		return 0, fmt.Errorf("no peak of resident memory in %q", status)
	}
	kB, err := strconv.ParseInt(f[0], 10, 64)
	return kB << 10, err
}

// notePeaks notes the peaks until the context ends.
func (s *Stage) notePeaks(ctx context.Context) {
	for s.clock.Sleep(ctx, peakEvery) == nil {
		s.lookAtPeaks()
	}
}

// lookAtPeaks notes the peaks of the daemons that run, where they are higher than of their lives before.
func (s *Stage) lookAtPeaks() {
	for _, p := range s.daemons {
		n, err := p.Peak()
		if err != nil {
			continue // it has ended
		}
		s.mu.Lock()
		s.record.Peaks[p.name] = max(s.record.Peaks[p.name], n)
		s.mu.Unlock()
	}
}
