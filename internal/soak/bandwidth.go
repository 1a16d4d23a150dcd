package soak

import (
	"context"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/timer"
)

// This file bounds what passes to and from a VM in a second, over all links that lead to it or from it together. What is held
// back passes later, in order.

// burst is how much may pass at once, as a time at the full rate.
const burst = 20 * time.Millisecond

// Bandwidth is what a VM's network connection carries, each way.
type Bandwidth struct{ in, out *bucket }

// NewBandwidth returns a bandwidth of some bytes a second each way.
func NewBandwidth(clock *timer.Service, rate float64) *Bandwidth {
	return &Bandwidth{&bucket{clock: clock, rate: rate}, &bucket{clock: clock, rate: rate}}
}

// bucket is one way. It is safe for concurrent use.
type bucket struct {
	clock *timer.Service
	rate  float64 // bytes a second

	mu   sync.Mutex
	free time.Time // when all that was taken has passed
	sum  int64     // bytes taken
}

// take takes some bytes' turn and returns how long it is until they have passed.
func (b *bucket) take(n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if least := now.Add(-burst); b.free.Before(least) {
		b.free = least
	}
	b.free = b.free.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))
	b.sum += int64(n)
	return b.free.Sub(now)
}

// taken returns how many bytes have been taken.
func (b *bucket) taken() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum
}

// Limit bounds what passes the link: by the bandwidth of the VM that it leads to, and by that of the VM that
// dials; nil: no bound.
func (l *Link) Limit(far, near *Bandwidth) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.far, l.near = far, near
}

// bandwidths returns those that bound what passes.
func (l *Link) bandwidths() []*Bandwidth {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*Bandwidth
	if l.far != nil {
		list = append(list, l.far)
	}
	if l.near != nil {
		list = append(list, &Bandwidth{in: l.near.out, out: l.near.in}) // what goes to the far end leaves this one
	}
	return list
}

// pace waits until some bytes have passed all that bounds a connection.
func (l *Link) pace(list []*Bandwidth, n int, back bool) {
	late := time.Duration(0)
	for _, v := range list {
		b := v.in
		if back {
			b = v.out
		}
		late = max(late, b.take(n))
	}
	if late > 0 {
		_ = l.clock.Sleep(context.Background(), late) // never ends early
	}
}
