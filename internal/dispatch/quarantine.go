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

// This file keeps requests that crash upstreams from reaching more of them (package quarantine). Jobs do the
// most damage: they are retried until their deadline, by one node after another.

func (c *Chat) identity() quarantine.Request {
	b, _ := json.Marshal(c.Body) // was decoded from JSON
	return quarantine.Request{Method: "chat", Target: c.Service.Name, Workspace: c.Workspace, Body: b}
}

func (c *Call) identity() quarantine.Request {
	return quarantine.Request{Method: c.Method, Host: c.Service.Name, Target: c.Path, Workspace: c.Workspace, Body: c.Body}
}

// fingerprint returns the fingerprint of a request, if upstreams have crashed under similar ones.
func (d *Dispatcher) fingerprint(of func() quarantine.Request) (quarantine.Fingerprint, bool) {
	if !d.quarantine.HasCrashes(func() []quarantine.Shape { return quarantine.ShapesOf(of()) }) {
		return quarantine.Fingerprint{}, false
	}
	return quarantine.FingerprintOf(of()), true
}

const quarantineCause = "requests like this end the upstreams that run them"

// checkQuarantine returns the rejection of an arriving request that is quarantined, or nil.
func (d *Dispatcher) checkQuarantine(of func() quarantine.Request) *Rejection {
	p, ok := d.fingerprint(of)
	if !ok {
		return nil
	}
	v := d.quarantine.Check(d.o.Clock.Now(), p)
	if !v.Quarantined {
		return nil
	}
	return &Rejection{cause: quarantineCause, after: v.Wait}
}

// recheckQuarantine returns the rejection of a request in progress that has been quarantined, or nil.
func (d *Dispatcher) recheckQuarantine(of func() quarantine.Request) *Rejection {
	p, ok := d.fingerprint(of)
	if !ok {
		return nil
	}
	if w := d.quarantine.Remaining(d.o.Clock.Now(), p); w > 0 {
		return &Rejection{cause: quarantineCause, after: w}
	}
	return nil
}

// crashedElsewhere reports whether copies of a request that has reached an upstream have crashed others; it is
// not sent again then.
func (d *Dispatcher) crashedElsewhere(of func() quarantine.Request, tried *attempts) bool {
	if !tried.reachedAny() {
		return false
	}
	p, ok := d.fingerprint(of)
	return ok && !d.quarantine.MayRetry(p, tried.reached)
}

// recordSevered records a failed attempt as a crash if the upstream broke the connection, had not announced that it
// is leaving, and does not listen any more although its hall is reachable.
func (d *Dispatcher) recordSevered(ctx context.Context, err error, of func() quarantine.Request, f *member.Fact) {
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
	d.logChanges(d.quarantine.ObserveCrash(now, quarantine.Crash{Fingerprint: p, Upstream: f.ID, At: now}))
	d.o.ExchangeSoon()
}

// recordComplete records that a request received a complete response.
func (d *Dispatcher) recordComplete(of func() quarantine.Request) {
	if p, ok := d.fingerprint(of); ok {
		d.logChanges(d.quarantine.ObserveResponse(d.o.Clock.Now(), p))
	}
}

func (d *Dispatcher) logChanges(list []quarantine.Change) {
	for _, c := range list {
		if c.Parts != nil {
			d.o.Event(map[bool]string{true: "part_held", false: "part_released"}[c.Quarantined], "", fmt.Sprintf("parts %x ended %s", c.Parts, strings.Join(c.Upstreams, " ")))
			continue
		}
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

// Suspicions returns what this node reports to others about requests that crash upstreams; nil if nothing.
func (d *Dispatcher) Suspicions() *wire.Suspicions {
	now := d.o.Clock.Now()
	return d.quarantine.BuildUpdate(now).ToWire(now)
}

// ApplySuspicions merges another node's suspicions.
func (d *Dispatcher) ApplySuspicions(m *wire.Suspicions) {
	now := d.o.Clock.Now()
	d.logChanges(d.quarantine.Merge(now, quarantine.UpdateFromWire(now, m)))
}

// readError classifies a failure to read a response's body.
func readError(err error) error {
	if upstream.Severed(err) {
		return upstream.ErrSevered
	}
	return upstream.ErrMayHaveRun
}
