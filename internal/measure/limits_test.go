package measure

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/admit"
	"spurhall.example/spurhall/internal/reclaim"
	"spurhall.example/spurhall/internal/retry"
)

// overload is one pool of 20 slots and a mean service of one second under a load of
// so many times its capacity. A live caller's answer is good if it began within the
// target. A caller that is refused comes back when it is told to, three times at
// most; one that hears nothing gives up after two targets and asks again at once.
type overload struct {
	factor  float64
	o       admit.Options
	trigger [2]float64 // between these seconds the load is five times as high
	flood   bool       // one workspace sends nine tenths of the load
	seconds float64
}

type served struct {
	live, batch      float64 // good answers a second
	liveShare        float64 // of live callers, those with a good answer
	small            float64 // the same, of the workspace that doesn't flood
	after            float64 // good answers a second after the trigger
	offered, largest int
}

const (
	poolSlots  = 20
	liveTarget = time.Second
	callerTry  = 3
)

type caller struct {
	id    int
	batch bool
	space string
	tries int
	began float64 // of this try
	done  bool
	size  float64
}

type arrival struct {
	at   float64
	c    *caller
	kind int // 0 asks, 1 has been served, 2 gives up
	key  string
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	o := *a
	x := o[len(o)-1]
	*a = o[:len(o)-1]
	return x
}

func dur(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// overloadRun is one replay under way.
type overloadRun struct {
	overload
	r                                           *rand.Rand
	c                                           *admit.Controller
	q                                           arrivals
	waiting                                     map[string]*caller
	serial                                      int
	out                                         served
	live, liveGood, small, smallGood, afterGood float64
}

func (o overload) run(seed int64) served {
	v := &overloadRun{overload: o, r: rand.New(rand.NewSource(seed)), c: admit.New(o.o), waiting: make(map[string]*caller)}
	v.c.SetSlots(0, poolSlots)
	v.arrive()
	for v.q.Len() > 0 {
		a := heap.Pop(&v.q).(arrival)
		switch {
		case a.kind == 1:
			v.start(a.at, v.c.Done(dur(a.at), a.key))
		case a.kind == 2 && !v.givesUp(&a):
		default:
			v.ask(&a)
		}
	}
	v.out.live, v.out.batch = v.liveGood/o.seconds, v.out.batch/o.seconds
	v.out.liveShare, v.out.small = v.liveGood/v.live, v.smallGood/max(v.small, 1)
	v.out.after = v.afterGood / max(o.seconds-o.trigger[1]-5, 1)
	return v.out
}

func (v *overloadRun) arrive() {
	for at := 0.0; at < v.seconds; {
		rate := v.factor * poolSlots
		if at >= v.trigger[0] && at < v.trigger[1] {
			rate *= 5
		}
		at += v.r.ExpFloat64() / rate
		v.out.offered++
		c := &caller{id: v.out.offered, batch: v.r.Intn(10) < 4, space: fmt.Sprintf("w%d", v.r.Intn(5)), size: v.r.ExpFloat64()}
		if v.flood && v.r.Intn(10) > 0 {
			c.space = "flood"
		}
		heap.Push(&v.q, arrival{at: at, c: c})
	}
}

// start gives slots to requests, and counts those that somebody still waits for.
func (v *overloadRun) start(now float64, keys []string) {
	for _, k := range keys {
		c := v.waiting[k]
		delete(v.waiting, k)
		heap.Push(&v.q, arrival{at: now + c.size, c: c, kind: 1, key: k})
		if c.done || !c.batch && now-c.began > liveTarget.Seconds() {
			continue
		}
		c.done = true
		if now < v.seconds {
			v.count(now, c)
		}
	}
}

func (v *overloadRun) count(now float64, c *caller) {
	if now > v.trigger[1]+5 {
		v.afterGood++
	}
	if c.batch {
		v.out.batch++
		return
	}
	v.liveGood++
	if c.space != "flood" {
		v.smallGood++
	}
}

// givesUp tells whether a caller that still waits leaves its place and asks again.
func (v *overloadRun) givesUp(a *arrival) bool {
	if _, still := v.waiting[a.key]; !still || a.c.done {
		return false
	}
	if !v.o.FIFO {
		v.c.Cancel(a.key)
		delete(v.waiting, a.key)
	}
	return true
}

func (v *overloadRun) ask(a *arrival) {
	if a.c.tries == 0 && !a.c.batch {
		v.live++
		if a.c.space != "flood" {
			v.small++
		}
	}
	if a.c.tries > callerTry || a.at > v.seconds {
		return
	}
	a.c.tries++
	a.c.began = a.at
	v.serial++
	key := fmt.Sprint(v.serial)
	q := admit.Request{ID: key, Workspace: a.c.space, Cost: 1, MaxWait: liveTarget, Limits: admit.Limits{Weight: 1}}
	if a.c.batch {
		q.Class, q.MaxWait = admit.ClassBatch, time.Minute
	}
	d := v.c.Offer(dur(a.at), q)
	v.out.largest = max(v.out.largest, v.c.Waiting())
	v.waiting[key] = a.c
	switch {
	case d.Decision == admit.DecisionRun:
		v.start(a.at, []string{key})
	case d.Decision == admit.DecisionReject:
		delete(v.waiting, key)
		heap.Push(&v.q, arrival{at: a.at + d.RetryAfter.Seconds()*(1+v.r.Float64()), c: a.c})
	case !a.c.batch:
		giveUp := liveTarget // the node tells it so
		if v.o.FIFO {
			giveUp *= 2 // it gives up by itself
		}
		heap.Push(&v.q, arrival{at: a.at + giveUp.Seconds(), c: a.c, kind: 2, key: key})
	}
}

var (
	withLimits = admit.Options{BatchReserve: 0.25, ServiceTime: time.Second}
	oneQueue   = admit.Options{ServiceTime: time.Second, FIFO: true}
)

func TestGoodputUnderOverload(t *testing.T) {
	best := 0.0
	for _, f := range []float64{1, 2, 5} {
		v := overload{factor: f, o: withLimits, seconds: 120}.run(1)
		good := v.live + v.batch
		best = max(best, good)
		assert.Greater(t, good, 0.9*best, "goodput at %v times the capacity", f)
		assert.Less(t, v.largest, 20*poolSlots*60, "the queue is bounded")
	}
	v := overload{factor: 2, o: withLimits, seconds: 120}.run(1)
	assert.Greater(t, v.live, 4*v.batch, "batch is shed first")
}

func TestNoWorkspaceStarvesAnother(t *testing.T) {
	fair := overload{factor: 5, o: withLimits, flood: true, seconds: 120}.run(1)
	queue := overload{factor: 5, o: oneQueue, flood: true, seconds: 120}.run(1)
	assert.Greater(t, fair.small, 0.9, "the small workspaces hardly notice the flood")
	assert.Less(t, queue.small, 0.5, "with one queue they do")
}

func TestGoodputReturnsAfterTheTrigger(t *testing.T) {
	v := overload{factor: 0.8, o: withLimits, trigger: [2]float64{20, 40}, seconds: 120}.run(1)
	assert.Greater(t, v.after, 0.9*0.8*poolSlots, "five seconds after the load is back to normal, so is goodput")
}

func BenchmarkLimits(b *testing.B) {
	for _, f := range []float64{0.8, 1, 2, 5} {
		for _, c := range []struct {
			name string
			o    admit.Options
		}{{"with-limits", withLimits}, {"one-queue", oneQueue}} {
			b.Run(fmt.Sprintf("load=%gx/%s", f, c.name), func(b *testing.B) {
				var v served
				for i := 0; i < b.N; i++ {
					v = overload{factor: f, o: c.o, seconds: 120}.run(1)
				}
				flood := overload{factor: f, o: c.o, flood: true, seconds: 120}.run(1)
				trigger := overload{factor: min(f, 0.8), o: c.o, trigger: [2]float64{20, 40}, seconds: 120}.run(1)
				b.ReportMetric(v.live, "live_good/s")
				b.ReportMetric(v.batch, "batch_good/s")
				b.ReportMetric(100*v.liveShare, "live_in_target_%")
				b.ReportMetric(100*flood.small, "small_in_target_%")
				b.ReportMetric(trigger.after, "after_trigger/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkRetries: a fifth of all attempts fail for a while; what load the retries
// add, with the budget and without.
func BenchmarkRetries(b *testing.B) {
	for _, c := range []struct {
		name  string
		share float64
	}{{"budget", 0.1}, {"without", 100}} {
		for _, failing := range []float64{0.02, 0.2, 0.9} {
			b.Run(fmt.Sprintf("%s/failing=%g", c.name, failing), func(b *testing.B) {
				attempts, good := 0.0, 0.0
				const requests = 20000
				for i := 0; i < b.N; i++ {
					attempts, good = 0, 0
					r := rand.New(rand.NewSource(1))
					v := retry.NewBudget(c.share, 2)
					for k := 0; k < requests; k++ {
						now := time.Duration(k) * time.Millisecond
						for n := 1; ; n++ {
							attempts++
							if r.Float64() >= failing {
								v.Success()
								good++
								break
							}
							a := retry.Attempt{Repeatable: true, MayHaveRun: true, Sent: n, MaxSent: 4, TimeLeft: time.Minute}
							if d, _ := retry.Decide(a, func() bool { return v.Take(now) }); d != retry.VerdictRetry {
								break
							}
						}
					}
				}
				b.ReportMetric(attempts/requests, "attempts/request")
				b.ReportMetric(100*good/requests, "good_%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkReclaim: the streams of an engine with so much notice; tokens computed
// again under the plan, first come first exported, and no exports.
func BenchmarkReclaim(b *testing.B) {
	for _, notice := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second, 5 * time.Second} {
		for _, c := range []struct {
			name string
			o    reclaim.Options
		}{{"plan", reclaim.Options{}}, {"first-come", reclaim.Options{FirstCome: true}}, {"no-exports", reclaim.Options{NoExports: true}}} {
			b.Run(fmt.Sprintf("notice=%v/%s", notice, c.name), func(b *testing.B) {
				var again, weighted, live float64
				for i := 0; i < b.N; i++ {
					again, weighted, live = 0, 0, 0
					r := rand.New(rand.NewSource(1))
					list := make([]reclaim.Stream, 64)
					for k := range list {
						list[k] = reclaim.Stream{
							Live: r.Intn(3) > 0, Tokens: 100 + r.Intn(1000)*(1+r.Intn(5)), MaxRemaining: 50 + r.Intn(2000),
							TokenTime: 30 * time.Millisecond, Weight: []float64{1.05, 1.5}[r.Intn(2)],
						}
					}
					o := c.o
					o.Notice = notice
					for _, s := range reclaim.Plan(list, o) {
						if s.Action == reclaim.ActionResume {
							v := list[s.Index]
							again += float64(v.Tokens)
							weighted += v.Weight * float64(v.Tokens)
							if v.Live {
								live += float64(v.Tokens)
							}
						}
					}
				}
				b.ReportMetric(again, "recomputed_tokens")
				b.ReportMetric(weighted, "weighted")
				b.ReportMetric(live, "live_recomputed")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
