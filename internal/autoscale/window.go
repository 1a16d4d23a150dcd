package autoscale

import "time"

// sample is a value at a time.
type sample struct {
	at    time.Duration
	value float64
}

// window is the highest of the last values. Its zero value is empty.
type window struct {
	list []sample // falling: each is the highest from its time on
}

// add adds a value, and returns the highest of a period up to now.
func (w *window) add(now, period time.Duration, value float64) float64 {
	n := len(w.list)
	for n > 0 && w.list[n-1].value <= value {
		n--
	}
	w.list = append(w.list[:n], sample{now, value})
	return w.highest(now, period)
}

// highest returns the highest of a period up to now, 0 if there is none.
func (w *window) highest(now, period time.Duration) float64 {
	old := 0
	for old < len(w.list) && now-w.list[old].at > period {
		old++
	}
	w.list = w.list[old:]
	if len(w.list) == 0 {
		return 0
	}
	return w.list[0].value
}
