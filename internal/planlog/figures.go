package planlog

import (
	"expvar"

	"spurhall.example/spurhall/internal/autoscale"
	"spurhall.example/spurhall/internal/capacity"
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
