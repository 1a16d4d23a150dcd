// Package planlog explains the plans of upstreams to operators: a line for each changed plan, and metrics of what
// plans rest on. No decision depends on it.
package planlog

import (
	"expvar"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/timer"
)

// minPlanInterval is the shortest time between two lines on the plans of one service.
const minPlanInterval = time.Second

// loggedPlan is the plan of a service's last line.
type loggedPlan struct {
	plan autoscale.Planned
	at   time.Time
}

// Log logs changed plans, and exports all.
type Log struct {
	clock *timer.Service
	log   *zap.Logger
	last  map[string]loggedPlan // by service
}

// New returns a log.
func New(clock *timer.Service, log *zap.Logger) Log {
	return Log{clock: clock, log: log, last: make(map[string]loggedPlan)}
}

// Record logs a service's plan if it has changed, and exports it.
func (l *Log) Record(service string, p autoscale.Planned) {
	publishPlan(service, p)
	old, ok := l.last[service]
	if ok && (!p.Changed(old.plan) || l.clock.Since(old.at) < minPlanInterval) {
		return
	}
	l.last[service] = loggedPlan{p, l.clock.Now()}
	l.log.Info("room_planned", zap.String("service", service), zap.String("reason", string(p.Reason)),
		logging.Hundredths("need", p.Need), logging.Hundredths("ahead", p.Ahead), logging.Hundredths("survives", p.Survives),
		zap.Int("on_demand", p.OnDemand), zap.Int("reclaimable", p.Reclaimable), zap.Int("spares", p.Spares), zap.Int("kept", p.Kept),
		zap.Bool("small", p.Small), zap.Bool("wave", p.Wave), zap.Duration("hold", p.Hold))
}

// Clear removes the plans' metrics: only the process that gives orders has any.
func (l *Log) Clear() {
	if len(l.last) == 0 {
		return
	}
	clear(l.last)
	roomFigures.Init()
}

// roomFigures holds the plans of the process that gives orders, by service.
var roomFigures = expvar.NewMap("room")

// publishPlan exports a plan as metrics.
func publishPlan(service string, p autoscale.Planned) {
	v, ok := roomFigures.Get(service).(*expvar.Map)
	if !ok {
		v = new(expvar.Map)
		roomFigures.Set(service, v)
	}
	wave := 0.0
	if p.Wave {
		wave = 1
	}
	for name, x := range map[string]float64{
		"need": p.Need, "ahead": p.Ahead, "survives": p.Survives, "on_demand": float64(p.OnDemand), "reclaimable": float64(p.Reclaimable),
		"spares": float64(p.Spares), "kept": float64(p.Kept), "wave": wave, "hold_s": p.Hold.Seconds(),
	} {
		setFloat(v, name, x)
	}
}

// setFloat sets a metric of a map.
func setFloat(v *expvar.Map, name string, x float64) {
	f, ok := v.Get(name).(*expvar.Float)
	if !ok {
		f = new(expvar.Float)
		v.Set(name, f)
	}
	f.Set(x)
}
