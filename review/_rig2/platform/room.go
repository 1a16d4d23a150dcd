package main

import (
	"fmt"
	"sync"
	"time"
)

// room is that of a worker of a plain service: slots, and a queue behind them.
type room struct {
	mu       sync.Mutex
	free     *sync.Cond
	running  int
	waiting  int
	queue    int // how many may wait
	brittle  int // rejections in a second that it bears, which it says; 0: any
	rejected []time.Time
	falls    int
}

// queueLength is how many requests may wait at a worker that isn't brittle.
const queueLength = 24

type verdict int

const (
	taken verdict = iota
	rejected
	falls
)

// enter waits for a slot.
func (k *worker) enter() verdict {
	r := &k.plain
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.free == nil {
		r.free = sync.NewCond(&r.mu)
	}
	if r.running >= k.slots && r.waiting >= r.queue {
		return r.reject()
	}
	r.waiting++
	for r.running >= k.slots {
		r.free.Wait()
	}
	r.waiting--
	r.running++
	return taken
}

// reject counts a rejection for want of room. The worker falls over when there are more in a second than it bears.
func (r *room) reject() verdict {
	now := time.Now()
	for len(r.rejected) > 0 && now.Sub(r.rejected[0]) > time.Second {
		r.rejected = r.rejected[1:]
	}
	r.rejected = append(r.rejected, now)
	if r.brittle == 0 || len(r.rejected) <= r.brittle {
		return rejected
	}
	r.rejected = nil
	r.falls++
	return falls
}

func (k *worker) exit() {
	r := &k.plain
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.free.Signal()
}

// saysBrittle returns the header of a brittle worker's answers.
func (k *worker) saysBrittle() string {
	r := &k.plain
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.brittle == 0 {
		return ""
	}
	return fmt.Sprintf("Server-Brittle: %d\r\n", r.brittle)
}

// set sets how many rejections in a second the worker bears, and how many requests may wait.
func (k *worker) set(brittle, queue int) {
	r := &k.plain
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brittle, r.queue = brittle, queue
}

func (k *worker) fallen() int {
	r := &k.plain
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.falls
}
