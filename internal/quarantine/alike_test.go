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

// This file plays callers whose requests end upstreams and aren't quite the same, or come many at once,
// beside others of the same workspace. A caller sends the next one when the one before has an end.

// caller sends requests one after the other.
type caller struct {
	bodies []string
	gap    time.Duration // from the end of one to the next
	next   time.Duration
	flying string
}

// step sends the next request if it is time.
func (c *caller) step(p *play) {
	if c.flying != "" {
		if slices.ContainsFunc(p.flights, func(f *flight) bool { return f.body == c.flying && f.of == c }) {
			return
		}
		c.flying, c.next = "", p.now+c.gap
	}
	if len(c.bodies) == 0 || p.now < c.next {
		return
	}
	c.flying, c.bodies = c.bodies[0], c.bodies[1:]
	p.send(flight{node: p.r.Intn(len(p.nodes)), body: c.flying, tries: 1, of: c})
}

// rollingWave ends six tenths of the upstreams, each six seconds, one after the other within 0.4 s.
func (p *play) rollingWave() {
	const over = 400 * time.Millisecond
	if left := over - (p.now+3*time.Second)%(6*time.Second); left > 0 {
		for u := range p.down {
			if p.r.Int63n(int64(over/playTick)*10) < 6 && p.down[u] <= p.now {
				p.end(u)
			}
		}
	}
}

// harmlessDenied is how many harmless requests lost their second try.
func (p *play) harmlessDenied() int {
	n := 0
	for body := range p.denied {
		if !isDeadly(body) {
			n++
		}
	}
	return n
}

// sum is how many upstreams deadly requests ended in all.
func (p *play) sum() int {
	n := 0
	for _, v := range p.ended {
		n += v
	}
	return n
}

// alike is bodies that differ in a counter.
func alike(kind string, from, count int) []string {
	var list []string
	for i := range count {
		list = append(list, fmt.Sprintf("%s %06d", kind, from+i))
	}
	return list
}

// drawnID is an id of 8 to 36 characters, as callers make them: hexadecimal with dashes, letters and digits, or digits.
func drawnID(r *rand.Rand) string {
	const all = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	base := []string{all[:10], all[:16], all}[r.Intn(3)]
	b := make([]byte, 8+r.Intn(29))
	for i := range b {
		b[i] = base[r.Intn(len(base))]
	}
	b[r.Intn(len(b))] = base[r.Intn(10)] // one digit at least
	if len(b) == 36 {
		b[8], b[13], b[18], b[23] = '-', '-', '-', '-'
	}
	return string(b)
}

// varied is bodies of one text, which differ as a function says. They are long, as prompts are.
func varied(count int, differ func(r *rand.Rand, i int) string) []string {
	r := rand.New(rand.NewSource(int64(count)))
	list := make([]string, count)
	for i := range list {
		list[i] = differ(r, i)
	}
	return list
}

const text = " You are an assistant of a shop. Answer in short sentences, and say so where you don't know. "

// playAlike plays callers beside harmless requests, whose bodies rest gives, until all have sent theirs.
func playAlike(p *play, callers []*caller, rest func(i int) string, waves bool) {
	sent, nodes := 0, len(p.nodes)
	for p.now < 20*time.Second || slices.ContainsFunc(callers, func(c *caller) bool { return len(c.bodies) > 0 }) {
		for range max(1, nodes/4) {
			body := rest(sent)
			sent++
			p.innocent[body] = true
			p.send(flight{node: p.r.Intn(nodes), body: body})
		}
		for _, c := range callers {
			c.step(p)
		}
		if waves {
			p.rollingWave()
		}
		p.land()
		if p.now%playRound == 0 {
			p.tell()
			p.withdraw()
		}
		p.now += playTick
	}
}

// TestAlike: what requests that end upstreams, and are alike, cost in upstreams, and what it costs the
// harmless ones beside them.
func TestAlike(t *testing.T) {
	other := func(i int) string { return fmt.Sprintf("harmless %08d", i) } // of other lengths
	same := func(i int) string { return fmt.Sprintf("harml1 %05d", i) }    // as long as the deadly ones
	series := func(count int, gap time.Duration) func() []*caller {
		return func() []*caller { return []*caller{{bodies: alike("deadl", 0, count), gap: gap}} }
	}
	nobody := func() []*caller { return nil }
	atOnce := func() []*caller {
		var list []*caller
		for range 12 {
			list = append(list, &caller{bodies: slices.Repeat(alike("deadl", 0, 1), 5), gap: 200 * time.Millisecond})
		}
		return list
	}
	shapes := func(n int) func(int) string { // of so many shapes, each seldom
		return func(i int) string { return fmt.Sprintf("harmless %0*d", 9+i%n, i) }
	}
	for _, v := range []alikeRow{
		{"14 in series", 3, series(14, 0), other, false, 14},
		{"100 in series", 3, series(100, 0), other, false, 20},
		{"100 in series, more slowly", 3, series(100, 2*time.Second), other, false, 20},
		{"100 in series, more slowly, at 70 nodes", 70, series(100, 2*time.Second), other, false, 20},
		{"one body, 12 at once, five times each", 3, atOnce, other, false, 12},
		{"a counter that gains a digit", 3, inSeries(varied(14, func(_ *rand.Rand, i int) string { return fmt.Sprintf("d%s%d", text, i) })), otherQuestions, false, 14},
		{"a time", 3, inSeries(varied(14, func(_ *rand.Rand, i int) string {
			return fmt.Sprintf("d%sIt is %s.", text, time.Unix(1_790_000_000, 0).UTC().Add(time.Duration(i)*7777777*time.Millisecond).Format(time.RFC3339Nano))
		})), otherQuestions, false, 14},
		{"an id at the start", 3, inSeries(varied(14, func(r *rand.Rand, _ int) string { return "d " + drawnID(r) + text })), otherQuestions, false, 14},
		{"an id in the middle", 3, inSeries(varied(14, func(r *rand.Rand, _ int) string { return "d" + text + drawnID(r) + text })), otherQuestions, false, 14},
		{"an id at the end", 3, inSeries(varied(14, func(r *rand.Rand, _ int) string { return "d" + text + drawnID(r) })), otherQuestions, false, 14},
		{"14 in series, harmless ones alike", 3, series(14, 0), same, false, 14},
		{"14 in series, amid waves", 12, series(14, 0), shapes(40), true, 14},
		{"waves alone, one shape", 3, nobody, shapes(1), true, 0},
		{"waves alone, 40 shapes", 12, nobody, shapes(40), true, 0},
		{"waves alone, 400 shapes", 12, nobody, shapes(400), true, 0},
	} {
		v.play(t)
	}
}

// alikeRow is one play.
type alikeRow struct {
	name    string
	nodes   int
	callers func() []*caller
	rest    func(int) string
	waves   bool
	most    int // upstreams ended
}

func (v *alikeRow) play(t *testing.T) {
	if v.nodes > 12 && raceEnabled {
		return
	}
	t.Run(v.name, func(t *testing.T) {
		seeds := int64(20)
		if v.nodes > 12 {
			seeds = 4
		}
		worst, sum, refused, denied, ran := 0, 0, 0, 0, 0
		for seed := range seeds {
			p := newPlay(seed, v.nodes, 24)
			playAlike(p, v.callers(), v.rest, v.waves)
			worst, sum = max(worst, p.sum()), sum+p.sum()
			refused, denied, ran = refused+len(p.refused), denied+p.harmlessDenied(), ran+len(p.innocent)
		}
		t.Logf("upstreams ended: %d at most, %.1f on average; harmless requests refused: %d, not sent again: %d, of %d", worst, float64(sum)/float64(seeds), refused, denied, ran)
		assert.LessOrEqual(t, worst, v.most)
		assert.LessOrEqual(t, (refused+denied)*100, ran)
	})
}

// inSeries is one caller who sends bodies one after the other.
func inSeries(bodies []string) func() []*caller {
	return func() []*caller { return []*caller{{bodies: slices.Clone(bodies)}} }
}

// otherQuestions are harmless prompts of the same text.
func otherQuestions(i int) string {
	return fmt.Sprintf("h%sWhere is my parcel %d, and %s?", text, i, strings.Repeat("why so late ", 1+i%17))
}

// TestAlikeInWords: what differs by a name, or by a turn more of a chat, isn't known to be alike; nor are deadly requests held back
// together where harmless ones, which are answered in between, differ from them by a number alone.
func TestAlikeInWords(t *testing.T) {
	names := []string{"Anna", "Bo", "Christopher", "Dee", "Emilia", "Fatou", "Giovanna", "Hu", "Ingeborg", "Jan", "Katharina", "Li", "Maximilian", "Noor"}
	for _, v := range []alikeRow{
		{"a name", 3, inSeries(varied(14, func(_ *rand.Rand, i int) string { return "d" + text + "Write to " + names[i] + "." })), otherQuestions, false, 14},
		{"a chat that grows by a turn", 3, inSeries(varied(14, func(_ *rand.Rand, i int) string { return "d" + text + strings.Repeat("And then? ", i) })), otherQuestions, false, 14},
		{"harmless ones that differ by a number", 3, inSeries(varied(14, func(_ *rand.Rand, i int) string { return fmt.Sprintf("%d%s", 666000+i, text) })), func(i int) string { return fmt.Sprintf("%d%s", 100000+i, text) }, false, 14},
	} {
		v.play(t)
	}
}
