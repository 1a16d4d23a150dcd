package dispatch

import (
	"errors"

	"spurhall.example/spurhall/internal/chart"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/upstream"
)

var requestChart = chart.Load("request")

// progress is the position of a request in the request chart. The outcome reported to the caller is the chart's
// final state, not the result of the last attempt.
type progress struct {
	chart *chart.Life
	id    string
	event func(name, request, detail string)
}

func (d *Dispatcher) beginProgress(id string) *progress {
	return &progress{chart: requestChart.Begin(), id: id, event: d.o.Event}
}

// fire applies an event to the chart. An event that the chart does not allow is a bug in this package; it is
// logged and changes nothing.
func (v *progress) fire(event string) {
	if err := v.chart.Fire(event); err != nil {
		v.event("transition_not_allowed", v.id, err.Error())
	}
}

// attemptFailed records how an attempt failed.
func (v *progress) attemptFailed(err error) {
	if errors.Is(err, upstream.ErrNotSent) || errors.Is(err, upstream.ErrRejected) {
		v.fire("refused")
		return
	}
	v.fire("lost")
}

// giveUp ends the request and returns its outcome.
func (v *progress) giveUp() stream.Outcome {
	v.fire("give-up")
	if v.chart.Is("not-run") {
		return stream.OutcomeNotRun
	}
	return stream.OutcomeUnknown
}
