package message

import (
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/wire"
)

// StateToWire converts what a node believes of an upstream, as operators are shown it.
func StateToWire(v pool.State) *wire.UpstreamState {
	e := v.Entry
	m := &wire.UpstreamState{
		Id: e.ID, Service: e.Service, Hall: e.Hall, Born: e.Born, Leaving: e.Leaving, Declared: e.Declared, Misplaced: v.Misplaced, RestMs: v.Cooldown.Milliseconds(),
		Limited: v.Limited, Rate: v.Rate, LimitAgeMs: v.LimitAge.Milliseconds(), Share: v.Share, Slowness: v.Slowness, Speed: v.Speed, SpeedEvidence: v.SpeedEvidence, UnreachedMs: -1, Running: int64(v.Running),
	}
	if v.UnreachableAge >= 0 {
		m.UnreachedMs = v.UnreachableAge.Milliseconds()
	}
	return m
}
