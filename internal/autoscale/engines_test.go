package autoscale

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/capacity"
)

// engineModel models an engine: it reads prompts in pieces, one per step, and each step produces a token for each
// running request.
type engineModel struct {
	reading float64 // tokens read per millisecond
	step    float64 // milliseconds of a step without a piece to read
	slots   int
}

const piece = 1024.0 // tokens read in a step

// traffic is the total load on all engines.
type traffic struct {
	rate   float64 // requests a second
	prompt float64 // tokens to be read for each request
	output float64 // tokens produced for each request
}

// carries returns whether n engines carry the traffic, shared evenly: the time that steps leave beside reading
// has to be enough for the tokens, in no more slots than there are.
func (e engineModel) carries(n int, t traffic) bool {
	each := t.rate / float64(n) / 1000 // requests a millisecond
	free := 1 - each*t.prompt/e.reading
	if free <= 0 {
		return false
	}
	running := each * t.output * e.step / free
	return running <= float64(e.slots)
}

func (e engineModel) minEngines(t traffic) int {
	n := 1
	for !e.carries(n, t) {
		n++
	}
	return n
}

// learned returns what nodes learn of the engine while it is not under pressure.
func (e engineModel) learned() capacity.Engine {
	return capacity.Engine{Reading: piece / (piece/e.reading + e.step), First: e.step, Token: e.step, Samples: 100}
}

// TestPlanOverEngines plans on-demand upstreams for engines that differ by up to a factor of ten in each
// respect: they carry the traffic, and are at most twice the smallest number that does plus one in each hall.
func TestPlanOverEngines(t *testing.T) {
	const most = 2.0
	worst := 0.0
	s := MixSpec{Min: 1, Max: 1000}
	for _, reading := range []float64{20, 60, 200} {
		for _, step := range []float64{3, 6, 10} {
			for _, slots := range []int{12, 24, 128} {
				for _, c := range []traffic{{20, 600, 80}, {20, 6000, 300}, {150, 600, 300}, {150, 3000, 40}, {600, 2000, 100}} {
					e := engineModel{reading, step, slots}
					m, now := NewMixPlanner(DefaultMixOptions(boot)), time.Duration(0)
					work := e.learned().Work(c.prompt, c.output, capacity.Size{Slots: slots}).Scale(c.rate)
					halls := threeHalls(400, 0)
					for ; now < 20*time.Second; now += time.Second {
						m.Observe(now, work, halls)
					}
					n, _ := sums(m.Plan(now, s, halls))
					least := e.minEngines(c)
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
