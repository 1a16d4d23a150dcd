// Package timeline keeps the last events of this process, so that the command
// line can merge them over all processes into one story. An event is one thing
// that an operator would tell another: a notice came, a stream moved, a claim
// was refused. It is also written to the log, one line each.
package timeline

import (
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

// Size is the number of events kept. The ring drops the oldest on overflow:
// a reader wants the newest, and a writer must never wait.
const Size = 4096

// Event is one entry.
type Event struct {
	At      time.Time
	Node    string
	Name    string
	Detail  string
	Request string
}

// Log is the ring of events. It is safe for concurrent use.
type Log struct {
	mu    sync.Mutex
	node  string
	clock *timer.Service
	log   *zap.Logger
	ring  []Event
	next  int
}

// New returns an empty ring that also writes to log.
func New(node string, clock *timer.Service, log *zap.Logger) *Log {
	return &Log{node: node, clock: clock, log: log, ring: make([]Event, 0, 64)}
}

// Add records an event. Detail is free text; request may be empty.
func (l *Log) Add(name, request, detail string) {
	e := Event{At: l.clock.Now(), Node: l.node, Name: name, Detail: detail, Request: request}
	l.mu.Lock()
	if len(l.ring) < Size {
		l.ring = append(l.ring, e)
	} else {
		l.ring[l.next] = e
		l.next = (l.next + 1) % Size
	}
	l.mu.Unlock()
	l.log.Info(name, zap.String("request", request), zap.String("detail", detail))
}

// Since returns the events from t on, oldest first.
func (l *Log) Since(t time.Time) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := make([]Event, 0, len(l.ring))
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if !e.At.Before(t) {
			r = append(r, e)
		}
	}
	return r
}

// Merge puts the events of several processes into one order.
func Merge(lists ...[]Event) []Event {
	var r []Event
	for _, l := range lists {
		r = append(r, l...)
	}
	sort.SliceStable(r, func(i, j int) bool { return r[i].At.Before(r[j].At) })
	return r
}
