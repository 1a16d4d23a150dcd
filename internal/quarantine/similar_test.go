package quarantine

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// This file simulates callers that send requests which crash upstreams and are similar, or come many at
// once, beside others of the same workspace. A caller sends its next request when the one before has
// ended.

// caller sends requests one after the other.
type caller struct {
	bodies   []string
	gap      time.Duration // between the end of a request and the next one
	next     time.Duration
	inFlight string
}

// step sends the next request if it is due.
func (c *caller) step(p *simulation) {
	if c.inFlight != "" {
		if slices.ContainsFunc(p.flights, func(f *flight) bool { return f.body == c.inFlight && f.caller == c }) {
			return
		}
		c.inFlight, c.next = "", p.now+c.gap
	}
	if len(c.bodies) == 0 || p.now < c.next {
		return
	}
	c.inFlight, c.bodies = c.bodies[0], c.bodies[1:]
	p.send(flight{node: p.r.Intn(len(p.nodes)), body: c.inFlight, callerAttempts: 1, caller: c})
}

// rollingWave crashes 60 % of the upstreams every six seconds, one after the other within 0.4 s.
func (p *simulation) rollingWave() {
	const over = 400 * time.Millisecond
	if left := over - (p.now+3*time.Second)%(6*time.Second); left > 0 {
		for u := range p.down {
			if p.r.Int63n(int64(over/tick)*10) < 6 && p.down[u] <= p.now {
				p.crash(u)
			}
		}
	}
}

// harmlessWithoutRetry returns how many harmless requests were denied their retry.
func (p *simulation) harmlessWithoutRetry() int {
	n := 0
	for body := range p.deniedRetries {
		if !isDeadly(body) {
			n++
		}
	}
	return n
}

// totalCrashes returns how many upstreams deadly requests crashed in all.
func (p *simulation) totalCrashes() int {
	n := 0
	for _, v := range p.crashed {
		n += v
	}
	return n
}

// numbered returns bodies that differ in a counter.
func numbered(kind string, from, count int) []string {
	var list []string
	for i := range count {
		list = append(list, fmt.Sprintf("%s %06d", kind, from+i))
	}
	return list
}

// randomID returns an ID of 8 to 36 characters as callers generate them: hexadecimal with dashes, letters
// and digits, or digits only.
func randomID(r *rand.Rand) string {
	const all = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	base := []string{all[:10], all[:16], all}[r.Intn(3)]
	b := make([]byte, 8+r.Intn(29))
	for i := range b {
		b[i] = base[r.Intn(len(base))]
	}
	b[r.Intn(len(b))] = base[r.Intn(10)] // at least one digit
	if len(b) == 36 {
		b[8], b[13], b[18], b[23] = '-', '-', '-', '-'
	}
	return string(b)
}

// varied returns bodies that differ as the function says. They are as long as prompts.
func varied(count int, differ func(r *rand.Rand, i int) string) []string {
	r := rand.New(rand.NewSource(int64(count)))
	list := make([]string, count)
	for i := range list {
		list[i] = differ(r, i)
	}
	return list
}

const text = " You are an assistant of a shop. Answer in short sentences, and say so where you don't know. "

// playCallers simulates callers beside harmless requests, until all callers have sent their requests.
func playCallers(p *simulation, callers []*caller, harmless func(i int) string, waves bool) {
	sent, nodes := 0, len(p.nodes)
	for p.now < 20*time.Second || slices.ContainsFunc(callers, func(c *caller) bool { return len(c.bodies) > 0 }) {
		for range max(1, nodes/4) {
			body := harmless(sent)
			sent++
			p.harmless[body] = true
			p.send(flight{node: p.r.Intn(nodes), body: body})
		}
		for _, c := range callers {
			c.step(p)
		}
		if waves {
			p.rollingWave()
		}
		p.finish()
		if p.now%roundInterval == 0 {
			p.exchange()
			p.cancelQuarantined()
		}
		p.now += tick
	}
}

// TestSimilarRequests bounds how many upstreams similar requests crash, and how many harmless requests
// beside them are rejected or not retried.
func TestSimilarRequests(t *testing.T) {
	other := func(i int) string { return fmt.Sprintf("harmless %08d", i) } // of other lengths
	same := func(i int) string { return fmt.Sprintf("harml1 %05d", i) }    // as long as the deadly ones
	series := func(count int, gap time.Duration) func() []*caller {
		return func() []*caller { return []*caller{{bodies: numbered("deadl", 0, count), gap: gap}} }
	}
	noCallers := func() []*caller { return nil }
	atOnce := func() []*caller {
		var list []*caller
		for range 12 {
			list = append(list, &caller{bodies: slices.Repeat(numbered("deadl", 0, 1), 5), gap: 200 * time.Millisecond})
		}
		return list
	}
	shapes := func(n int) func(int) string { // of n shapes, each of them rare
		return func(i int) string { return fmt.Sprintf("harmless %0*d", 9+i%n, i) }
	}
	for _, v := range []scenario{
		{"14 in series", 3, series(14, 0), other, false, 14},
		{"100 in series", 3, series(100, 0), other, false, 20},
		{"100 in series, more slowly", 3, series(100, 2*time.Second), other, false, 20},
		{"100 in series, more slowly, at 70 nodes", 70, series(100, 2*time.Second), other, false, 20},
		{"one body, 12 at once, 5 times each", 3, atOnce, other, false, 12},
		{"a counter that gains a digit", 3, inSeries(varied(14, func(_ *rand.Rand, i int) string { return fmt.Sprintf("d%s%d", text, i) })), otherQuestions, false, 14},
		{"a time", 3, inSeries(varied(14, func(_ *rand.Rand, i int) string {
			return fmt.Sprintf("d%sIt is %s.", text, time.Unix(1_790_000_000, 0).UTC().Add(time.Duration(i)*7777777*time.Millisecond).Format(time.RFC3339Nano))
		})), otherQuestions, false, 14},
		{"an id at the start", 3, inSeries(varied(14, func(r *rand.Rand, _ int) string { return "d " + randomID(r) + text })), otherQuestions, false, 14},
		{"an id in the middle", 3, inSeries(varied(14, func(r *rand.Rand, _ int) string { return "d" + text + randomID(r) + text })), otherQuestions, false, 14},
		{"an id at the end", 3, inSeries(varied(14, func(r *rand.Rand, _ int) string { return "d" + text + randomID(r) })), otherQuestions, false, 14},
		{"14 in series, harmless ones similar", 3, series(14, 0), same, false, 14},
		{"14 in series, with waves", 12, series(14, 0), shapes(40), true, 14},
		{"only waves, one shape", 3, noCallers, shapes(1), true, 0},
		{"only waves, 40 shapes", 12, noCallers, shapes(40), true, 0},
		{"only waves, 400 shapes", 12, noCallers, shapes(400), true, 0},
	} {
		v.run(t)
	}
}

// scenario is one row of the tests.
type scenario struct {
	name       string
	nodes      int
	callers    func() []*caller
	harmless   func(int) string
	waves      bool
	maxCrashed int // upstreams
}

func (v *scenario) run(t *testing.T) {
	if v.nodes > 12 && raceEnabled {
		return
	}
	t.Run(v.name, func(t *testing.T) {
		seeds := int64(20)
		if v.nodes > 12 {
			seeds = 4
		}
		worst, sum, rejected, denied, ran := 0, 0, 0, 0, 0
		for seed := range seeds {
			p := newSimulation(seed, v.nodes, 24)
			playCallers(p, v.callers(), v.harmless, v.waves)
			worst, sum = max(worst, p.totalCrashes()), sum+p.totalCrashes()
			rejected, denied, ran = rejected+len(p.rejected), denied+p.harmlessWithoutRetry(), ran+len(p.harmless)
		}
		t.Logf("upstreams crashed: at most %d, %.1f on average; harmless requests rejected: %d, not retried: %d, of %d", worst, float64(sum)/float64(seeds), rejected, denied, ran)
		assert.LessOrEqual(t, worst, v.maxCrashed)
		assert.LessOrEqual(t, (rejected+denied)*100, ran)
	})
}

// inSeries returns one caller that sends the bodies one after the other.
func inSeries(bodies []string) func() []*caller {
	return func() []*caller { return []*caller{{bodies: slices.Clone(bodies)}} }
}

// otherQuestions returns harmless prompts with the same text.
func otherQuestions(i int) string {
	return fmt.Sprintf("h%sWhere is my parcel %d, and %s?", text, i, strings.Repeat("why so late ", 1+i%17))
}

// TestSimilarRequestsInWords guards against series of deadly requests that no normalized body has in common, or that
// harmless ones, which get responses in between, have in common with them.
func TestSimilarRequestsInWords(t *testing.T) {
	names := []string{"Anna", "Bo", "Christopher", "Dee", "Emilia", "Fatou", "Giovanna", "Hu", "Ingeborg", "Jan", "Katharina", "Li", "Maximilian", "Noor"}
	for _, v := range []scenario{
		{"a name", 3, inSeries(varied(14, func(_ *rand.Rand, i int) string { return "d" + text + "Write to " + names[i] + "." })), otherQuestions, false, 14},
		{"a chat that grows by a turn", 3, inSeries(varied(14, func(_ *rand.Rand, i int) string { return "d" + text + strings.Repeat("And then? ", i) })), otherQuestions, false, 14},
		{"harmless ones that differ by a number", 3, inSeries(varied(14, func(_ *rand.Rand, i int) string { return fmt.Sprintf("%d%s", 666000+i, text) })), func(i int) string { return fmt.Sprintf("%d%s", 100000+i, text) }, false, 14},
	} {
		v.run(t)
	}
}
