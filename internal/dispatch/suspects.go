package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/upstream"
	"spurhall.example/spurhall/internal/wire"
)

// This file keeps requests that end upstreams from reaching more of them (package quarantine).
// A job is the worst of these: it is tried until its deadline, by one node after the other.

func (c *Chat) identity() quarantine.Request {
	b, _ := json.Marshal(c.Body) // came as JSON
	return quarantine.Request{Method: "chat", Target: c.Service.Name, Workspace: c.Workspace, Body: b}
}

func (c *Call) identity() quarantine.Request {
	return quarantine.Request{Method: c.Method, Host: c.Service.Name, Target: c.Path, Workspace: c.Workspace, Body: c.Body}
}

// print returns the print of a request, if upstreams have ended under some like it.
func (d *Dispatcher) print(of func() quarantine.Request) (quarantine.Fingerprint, bool) {
	if !d.suspects.HasCrashes(func() quarantine.Shape { return quarantine.ShapeOf(of()) }) {
		return quarantine.Fingerprint{}, false
	}
	return quarantine.FingerprintOf(of()), true
}

const heldCause = "requests like this end the upstreams that run them"

// withheld refuses a request that is held back when it comes; nil: it isn't.
func (d *Dispatcher) withheld(of func() quarantine.Request) *Rejection {
	p, ok := d.print(of)
	if !ok {
		return nil
	}
	v := d.suspects.Check(d.o.Clock.Now(), p)
	if !v.Quarantined {
		return nil
	}
	return &Rejection{cause: heldCause, after: v.Wait}
}

// held is withheld for a request that has been sent.
func (d *Dispatcher) held(of func() quarantine.Request) *Rejection {
	p, ok := d.print(of)
	if !ok {
		return nil
	}
	if w := d.suspects.Remaining(d.o.Clock.Now(), p); w > 0 {
		return &Rejection{cause: heldCause, after: w}
	}
	return nil
}

// endedElsewhere tells whether copies of a request that has reached an upstream have ended others: it isn't
// sent once more then.
func (d *Dispatcher) endedElsewhere(of func() quarantine.Request, tried *tries) bool {
	if !tried.reachedAny() {
		return false
	}
	p, ok := d.print(of)
	return ok && !d.suspects.MayRetry(p, tried.reached)
}

// broke takes in that an attempt failed, if its upstream ended under it: it broke the
// connection, hadn't announced that it leaves, and doesn't listen any more, though the way to
// its hall is open.
func (d *Dispatcher) broke(ctx context.Context, err error, of func() quarantine.Request, f *member.Fact) {
	if ctx.Err() != nil || !errors.Is(err, upstream.ErrSevered) {
		return
	}
	if v, ok := d.o.Table.Get(f.ID); !ok || v.Status != member.StatusLive {
		return
	}
	if !d.o.Client.RefusesConnections(ctx, f.Address) || !d.o.HallReachable(ctx, f.Hall) {
		return
	}
	now := d.o.Clock.Now()
	p := quarantine.FingerprintOf(of())
	d.o.Event("upstream_ended", "", f.ID+" under "+p.String())
	d.changed(d.suspects.ObserveCrash(now, quarantine.Crash{Fingerprint: p, Upstream: f.ID, At: now}))
	d.o.ExchangeSoon()
}

// answered takes in that a request was answered whole.
func (d *Dispatcher) answered(of func() quarantine.Request) {
	if p, ok := d.print(of); ok {
		d.changed(d.suspects.ObserveResponse(d.o.Clock.Now(), p))
	}
}

func (d *Dispatcher) changed(list []quarantine.Change) {
	for _, c := range list {
		if c.ByShape {
			d.o.Event(map[bool]string{true: "shape_held", false: "shape_released"}[c.Quarantined], "", fmt.Sprintf("shape %d, %s", c.Fingerprint.Shape(), strings.Join(c.Upstreams, " ")))
			continue
		}
		if c.Quarantined {
			d.o.Event("request_held", "", c.Fingerprint.String()+" ended "+strings.Join(c.Upstreams, " "))
		} else {
			d.o.Event("request_released", "", c.Fingerprint.String())
		}
	}
}

// Suspicions is what this node tells others of requests that end upstreams; nil: nothing.
func (d *Dispatcher) Suspicions() *wire.Suspicions {
	now := d.o.Clock.Now()
	return d.suspects.BuildUpdate(now).ToWire(now)
}

// Hear takes in what another node told of them.
func (d *Dispatcher) ApplySuspicions(m *wire.Suspicions) {
	now := d.o.Clock.Now()
	d.changed(d.suspects.Merge(now, quarantine.UpdateFromWire(now, m)))
}

// lost is what a failure to read an answer's body means.
func lost(err error) error {
	if upstream.Severed(err) {
		return upstream.ErrSevered
	}
	return upstream.ErrMayHaveRun
}
