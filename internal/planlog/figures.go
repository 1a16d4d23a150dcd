package planlog

import (
	"expvar"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/capacity"
	"spurhall.example/spurhall/internal/pool"
)

// This file exports what plans rest on: the engines' figures, the load, and the halls' mean speeds.

// engineFigures holds the engine figures and the load, by service.
var engineFigures = expvar.NewMap("engine")

// PublishFigures exports the inputs of an order as metrics.
func PublishFigures(service string, e capacity.Engine, load capacity.Work) {
	v, ok := engineFigures.Get(service).(*expvar.Map)
	if !ok {
		v = new(expvar.Map)
		engineFigures.Set(service, v)
	}
	for name, x := range map[string]float64{
		"reading": e.Reading, "first_ms": e.First, "token_ms": e.Token, "samples": float64(e.Samples),
		"load_reading": load.Prefill, "load_slots": load.Slots, "load_memory": load.Memory,
	} {
		setFloat(v, name, x)
	}
}

// hallSpeed is the number of a hall's ready upstreams, and the sum of their relative speeds.
type hallSpeed struct {
	count int
	sum   float64
}

// HallSpeeds holds the speeds of one service's ready upstreams by hall.
type HallSpeeds map[string]hallSpeed

// Add adds a group of upstreams, unless they are leaving.
func (h HallSpeeds) Add(g pool.GroupCount) {
	if g.Leaving {
		return
	}
	v := h[g.Hall]
	v.count += g.Count - g.Lost
	v.sum += g.Speed
	h[g.Hall] = v
}

// Mean returns the mean relative speed of a hall's ready upstreams; 1 if it has none.
func (h HallSpeeds) Mean(hall string) float64 {
	v := h[hall]
	if v.count <= 0 {
		return 1
	}
	return v.sum / float64(v.count)
}

// hallMeans holds the mean speeds of the halls' ready upstreams, by service and hall.
var hallMeans = expvar.NewMap("hall_speeds")

// AddMeans adds the mean speeds of the halls' ready upstreams of a service, by the names of their metrics.
func AddMeans(means map[string]float64, service string, halls []autoscale.HallState) {
	for _, h := range halls {
		means[service+"_"+h.Hall] = h.Speed
	}
}

// PublishMeans exports the mean speeds as metrics, and removes those of other services and halls: only the node that
// orders upstreams has any.
func PublishMeans(means map[string]float64) {
	var old []string
	hallMeans.Do(func(v expvar.KeyValue) {
		if _, ok := means[v.Key]; !ok {
			old = append(old, v.Key)
		}
	})
	for _, name := range old {
		hallMeans.Delete(name)
	}
	for name, mean := range means {
		setFloat(hallMeans, name, mean)
	}
}
