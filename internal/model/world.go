package model

import (
	"container/heap"
	"time"
)

// World is the virtual clock and what is due on it.
type World struct {
	now    time.Duration
	due    events
	number int     // of the newest event: those of one moment keep their order
	read   float64 // prompt tokens that engines were given to read
	// preempted is the prompt tokens that were read for requests which lost their slot.
	preempted float64
	// wasted is the prompt tokens that were read for requests whose callers left without a first event.
	wasted float64
}

type event struct {
	at     time.Duration
	number int
	f      func()
}

type events []event

// Len is the number of events.
func (e events) Len() int { return len(e) }

// Less orders by time.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].number < e[j].number
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event at the end.
func (e *events) Push(v any) { *e = append(*e, v.(event)) }

// Pop takes the last event.
func (e *events) Pop() any {
	v := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return v
}

// after calls f when so much time has passed.
func (w *World) after(d time.Duration, f func()) {
	w.number++
	heap.Push(&w.due, event{w.now + d, w.number, f})
}

// run plays what is due up to a moment. advance is told of each step of the clock.
func (w *World) run(until time.Duration, advance func(d time.Duration)) {
	for len(w.due) > 0 && w.due[0].at <= until {
		v := heap.Pop(&w.due).(event)
		if v.at > w.now {
			advance(v.at - w.now)
			w.now = v.at
		}
		v.f()
	}
}
