package autoscale

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/capacity"
)

// trueEngine is an engine as it works: it reads prompts in pieces, one a step, and each step
// puts out a token of each request that runs.
type trueEngine struct {
	reading float64 // tokens a millisecond, of a piece
	step    float64 // milliseconds without a piece to read
	slots   int
}

const piece = 1024.0 // tokens read in a step

// traffic is what comes, in all.
type traffic struct {
	rate   float64 // requests a second
	prompt float64 // tokens to be read of each
	output float64 // tokens put out by each
}

// carries tells whether so many engines carry the traffic, shared evenly: the time that steps
// leave beside reading has to be enough for the tokens, in no more slots than there are.
func (e trueEngine) carries(n int, t traffic) bool {
	each := t.rate / float64(n) / 1000 // requests a millisecond
	free := 1 - each*t.prompt/e.reading
	if free <= 0 {
		return false
	}
	running := each * t.output * e.step / free
	return running <= float64(e.slots)
}

func (e trueEngine) least(t traffic) int {
	n := 1
	for !e.carries(n, t) {
		n++
	}
	return n
}

// learned is what nodes learn of it where it isn't pressed.
func (e trueEngine) learned() capacity.Engine {
	return capacity.Engine{Reading: piece / (piece/e.reading + e.step), First: e.step, Token: e.step, Samples: 100}
}

// TestPlanOverEngines plans on-demand upstreams for engines that differ by a factor of ten in
// each respect: they carry the traffic, and aren't more than twice the least that do and one
// in each hall.
func TestPlanOverEngines(t *testing.T) {
	const most = 2.0
	worst := 0.0
	s := MixSpec{Min: 1, Max: 1000}
	for _, reading := range []float64{20, 60, 200} {
		for _, step := range []float64{3, 6, 10} {
			for _, slots := range []int{12, 24, 128} {
				for _, c := range []traffic{{20, 600, 80}, {20, 6000, 300}, {150, 600, 300}, {150, 3000, 40}, {600, 2000, 100}} {
					e := trueEngine{reading, step, slots}
					m, now := NewMixPlanner(DefaultMixOptions(boot)), time.Duration(0)
					work := e.learned().Work(c.prompt, c.output, capacity.Size{Slots: slots}).Scale(c.rate)
					halls := threeHalls(400, 0)
					for ; now < 20*time.Second; now += time.Second {
						m.Observe(now, work, halls)
					}
					n, _ := sums(m.Plan(now, s, halls))
					least := e.least(c)
					name := fmt.Sprintf("%+v under %+v: %d, least %d", e, c, n, least)
					assert.True(t, e.carries(n, c), name)
					assert.LessOrEqual(t, float64(n), math.Max(3, most*float64(least)+3), name)
					if least > 3 {
						worst = math.Max(worst, float64(n)/float64(least))
					}
				}
			}
		}
	}
	t.Logf("at most %.2f times the least, where more than three are needed", worst)
}
