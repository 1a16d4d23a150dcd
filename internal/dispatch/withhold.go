package dispatch

import (
	"context"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/member"
)

// This file looks at an upstream again just before the first byte of a request is written to it: it may have said since
// its choice that it leaves.

// errLeft means that an upstream began to leave after its choice.
var errLeft = errs.NewType("left").New("the upstream leaves")

// mayWrite returns nil if a request may be sent to an upstream now, or else the reason for which it may not.
func (d *Dispatcher) mayWrite(ctx context.Context, id string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if f, known := d.o.Table.Get(id); known && f.Status != member.StatusLive {
		return fault.Because(errLeft, "%s is %s", id, f.Status)
	}
	return nil
}
