package dispatch

import (
	"errors"

	"spurhall.example/spurhall/internal/chart"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/upstream"
)

var requestChart = chart.Load("request")

// life is one request on its way through the request chart. What the caller is told in
// the end is the state that the chart ends in, not what the last attempt happened to
// say.
type life struct {
	l     *chart.Life
	id    string
	event func(name, request, detail string)
}

func (d *Dispatcher) begin(id string) *life {
	return &life{l: requestChart.Begin(), id: id, event: d.o.Event}
}

// fire moves on. An event that the chart doesn't allow is a fault of this package; it
// is told, and changes nothing.
func (v *life) fire(event string) {
	if err := v.l.Fire(event); err != nil {
		v.event("transition_not_allowed", v.id, err.Error())
	}
}

// failed takes in how an attempt failed.
func (v *life) failed(err error) {
	if errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrRejected) {
		v.fire("refused")
		return
	}
	v.fire("lost")
}

// giveUp ends the request and returns what may be told of it.
func (v *life) giveUp() stream.Outcome {
	v.fire("give-up")
	if v.l.Is("not-run") {
		return stream.OutcomeNotRun
	}
	return stream.OutcomeUnknown
}
