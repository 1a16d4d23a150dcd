package message

import (
	"math"

	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/wire"
)

// LevelsToWire converts the quotas' levels by workspace.
func LevelsToWire(m map[string]quota.Level) []*wire.QuotaLevel {
	r := make([]*wire.QuotaLevel, 0, len(m))
	for w, l := range m {
		r = append(r, &wire.QuotaLevel{Workspace: w, Tokens: l.Level})
	}
	return r
}

// LevelsFromWire is the inverse of LevelsToWire. Levels that are no numbers are left out: a bucket would admit everything.
func LevelsFromWire(l []*wire.QuotaLevel) map[string]quota.Level {
	r := make(map[string]quota.Level, len(l))
	for _, v := range l {
		if !math.IsNaN(v.Tokens) && !math.IsInf(v.Tokens, 0) {
			r[v.Workspace] = quota.Level{Level: v.Tokens}
		}
	}
	return r
}
