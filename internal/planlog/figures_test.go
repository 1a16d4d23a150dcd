package planlog

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/autoscale"
)

// TestHallSpeedsAreOfTheHolder: the metrics of halls' mean speeds are those that were published last.
func TestHallSpeedsAreOfTheHolder(t *testing.T) {
	means := make(map[string]float64)
	AddMeans(means, "s", []autoscale.HallState{{Hall: "a", Speed: 0.8}, {Hall: "b", Speed: 1.2}})
	PublishMeans(means)
	assert.Equal(t, "0.8", hallMeans.Get("s_a").String())
	assert.Equal(t, "1.2", hallMeans.Get("s_b").String())
	delete(means, "s_b")
	PublishMeans(means)
	assert.Equal(t, "0.8", hallMeans.Get("s_a").String())
	assert.Nil(t, hallMeans.Get("s_b"))
	PublishMeans(nil)
	assert.Nil(t, hallMeans.Get("s_a"))
}
