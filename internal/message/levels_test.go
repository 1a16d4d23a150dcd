package message

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/wire"
)

func TestLevels(t *testing.T) {
	want := map[string]quota.Level{"v": {Level: 12.5}, "w": {Level: -3}}
	assert.Equal(t, want, LevelsFromWire(LevelsToWire(want)))
	t.Run("what isn't a number is left out", func(t *testing.T) {
		l := []*wire.QuotaLevel{{Workspace: "v", Tokens: math.NaN()}, {Workspace: "w", Tokens: math.Inf(1)}, {Workspace: "x", Tokens: 1}}
		assert.Equal(t, map[string]quota.Level{"x": {Level: 1}}, LevelsFromWire(l))
	})
}
