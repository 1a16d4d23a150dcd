package message

import (
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/speed"
	"spurhall.example/spurhall/internal/wire"
)

// SeenSpeedsToWire converts what one node has seen of upstreams' speeds.
func SeenSpeedsToWire(list []speed.Seen) []*wire.SeenSpeed {
	r := make([]*wire.SeenSpeed, len(list))
	for i, v := range list {
		r[i] = &wire.SeenSpeed{Upstream: v.Upstream.ID, Born: v.Upstream.Born}
		r[i].Steps, r[i].Counts = v.Ratios.Counts()
	}
	return r
}

// SeenSpeedsFromWire is the inverse of SeenSpeedsToWire.
func SeenSpeedsFromWire(list []*wire.SeenSpeed) []speed.Seen {
	r := make([]speed.Seen, len(list))
	for i, v := range list {
		r[i] = speed.Seen{Upstream: retry.Incarnation{ID: v.Upstream, Born: v.Born}, Ratios: speed.HistogramOf(v.Steps, v.Counts)}
	}
	return r
}

// SpeedPartsToWire converts what a relay's nodes have seen of upstreams' speeds.
func SpeedPartsToWire(list []speed.Part) []*wire.SpeedPart {
	r := make([]*wire.SpeedPart, len(list))
	for i, v := range list {
		r[i] = &wire.SpeedPart{Upstream: v.Upstream.ID, Born: v.Upstream.Born, Nodes: uint32(v.Nodes)}
		r[i].Log, r[i].Spread, r[i].Weight = float32(v.Log), float32(v.Spread), float32(v.Weight)
	}
	return r
}

// SpeedPartsFromWire is the inverse of SpeedPartsToWire. Package speed ignores impossible values.
func SpeedPartsFromWire(list []*wire.SpeedPart) []speed.Part {
	r := make([]speed.Part, len(list))
	for i, v := range list {
		r[i] = speed.Part{Upstream: retry.Incarnation{ID: v.Upstream, Born: v.Born}, Nodes: int(v.Nodes)}
		r[i].Log, r[i].Spread, r[i].Weight = float64(v.Log), float64(v.Spread), float64(v.Weight)
	}
	return r
}

// SpeedsToWire converts the speeds of upstreams.
func SpeedsToWire(list []speed.Figure) []*wire.Speed {
	r := make([]*wire.Speed, len(list))
	for i, v := range list {
		r[i] = &wire.Speed{Upstream: v.Upstream.ID, Born: v.Upstream.Born, Speed: float32(v.Speed), Weight: float32(v.Weight)}
	}
	return r
}

// SpeedsFromWire is the inverse of SpeedsToWire. Values are clamped to possible ones.
func SpeedsFromWire(list []*wire.Speed) []speed.Figure {
	r := make([]speed.Figure, len(list))
	for i, v := range list {
		r[i] = speed.Figure{Upstream: retry.Incarnation{ID: v.Upstream, Born: v.Born}, Speed: float64(v.Speed), Weight: float64(v.Weight)}.Valid()
	}
	return r
}
