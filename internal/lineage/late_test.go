package lineage

import "time"

// latenessTick is how often the tests' process is due to run.
const latenessTick = 10 * time.Millisecond

// measureLateness returns a function that tells by how much the process has run late since, in sum: where the machine is short of
// processor time, what is due waits that long, whatever the code does.
func measureLateness() (sum func() time.Duration) {
	stop, late := make(chan struct{}), make(chan time.Duration)
	go func() {
		var d time.Duration
		for {
			at := time.Now()
			select {
			case <-stop:
				late <- d
				return
			case <-time.After(latenessTick):
				d += time.Since(at) - latenessTick
			}
		}
	}()
	return func() time.Duration { close(stop); return <-late }
}
