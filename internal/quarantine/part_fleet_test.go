package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// This file simulates fleets whose callers send requests with parts of prompts, of which some crash each upstream that
// begins to answer, beside sound requests and waves of reclaims.

// soundAfterStart is how long after its first event a stream proves that its parts are sound.
const soundAfterStart = 500 * time.Millisecond

// partFlight is a request at an upstream.
type partFlight struct {
	node, upstream int
	q              partRequest
	starts, ends   time.Duration
	proved         bool
	sends          int  // by its node
	probe          bool // it isn't withdrawn
}

// partRequest is what a caller sends, the same at each attempt.
type partRequest struct {
	number    uint64
	workspace string
	parts     []uint64
	attempts  int // of its caller
}

// partPlay is a fleet, its upstreams and its callers.
type partPlay struct {
	simulation
	flights []*partFlight
	bad     map[uint64]bool
	number  uint64

	crashes  map[uint64][]time.Duration // by bad part
	reached  map[uint64][]time.Duration // by requests with a bad part
	sound    int
	refused  int // of the sound ones
	refusals map[time.Duration]int
}

func newPartPlay(seed int64, nodes, upstreams int, bad ...uint64) *partPlay {
	p := &partPlay{simulation: *newSimulation(seed, nodes, upstreams), bad: make(map[uint64]bool), crashes: make(map[uint64][]time.Duration), reached: make(map[uint64][]time.Duration), refusals: make(map[time.Duration]int)}
	for _, x := range bad {
		p.bad[x] = true
	}
	return p
}

func (q partRequest) prompt() Prompt { return NewPrompt("llm", q.workspace, q.parts) }

func (p *partPlay) badPart(q partRequest) (uint64, bool) {
	i := slices.IndexFunc(q.parts, func(x uint64) bool { return p.bad[x] })
	if i < 0 {
		return 0, false
	}
	return q.parts[i], true
}

// request sends a new request at any node.
func (p *partPlay) request(workspace string, parts ...uint64) {
	p.number++
	q := partRequest{number: p.number, workspace: workspace, parts: parts}
	if _, bad := p.badPart(q); !bad {
		p.sound++
	}
	p.arrive(q)
}

func (p *partPlay) arrive(q partRequest) {
	node := p.r.Intn(len(p.nodes))
	v := p.nodes[node].CheckParts(at(p.now), q.prompt(), node == 0)
	if v.Quarantined {
		if _, bad := p.badPart(q); !bad {
			p.refused++
		}
		return
	}
	p.begin(&partFlight{node: node, q: q, probe: v.Probe})
}

// begin sends a request to an upstream that is up.
func (p *partPlay) begin(f *partFlight) {
	var up []int
	for i, until := range p.down {
		if until <= p.now {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	f.upstream, f.sends = up[p.r.Intn(len(up))], f.sends+1
	f.starts = p.now + time.Duration(100+p.r.Intn(700))*time.Millisecond
	f.ends = f.starts + time.Duration(200+p.r.Intn(3000))*time.Millisecond
	if x, bad := p.badPart(f.q); bad {
		p.reached[x] = append(p.reached[x], p.now)
	}
	p.flights = append(p.flights, f)
}

// crash ends an upstream with all that runs there.
func (p *partPlay) crash(u int) {
	p.down[u] = p.now + restartTime
	var broken []*partFlight
	p.flights = slices.DeleteFunc(p.flights, func(f *partFlight) bool {
		if f.upstream == u {
			broken = append(broken, f)
		}
		return f.upstream == u
	})
	for _, f := range broken {
		if p.now < f.starts+soundAfterStart {
			p.nodes[f.node].ObservePartCrash(at(p.now), PartCrash{Prompt: f.q.prompt(), Request: f.q.number, Upstream: fmt.Sprint("u", u), Begun: p.now >= f.starts && p.now <= f.starts+tick, At: at(p.now)})
		}
	}
	for _, f := range broken {
		n := p.nodes[f.node]
		switch {
		case n.PartWait(at(p.now), f.q.prompt()) > 0:
		case f.sends < 2 && n.MayRetryParts(f.q.prompt(), f.q.number):
			p.begin(&partFlight{node: f.node, q: f.q, sends: f.sends})
		case f.q.attempts < 2:
			f.q.attempts++
			p.arrive(f.q)
		}
	}
}

// step starts, proves and ends requests, and withdraws those that wait and are refused by now.
func (p *partPlay) step() {
	p.flights = slices.DeleteFunc(p.flights, func(f *partFlight) bool {
		return f.starts > p.now && !f.probe && p.nodes[f.node].PartWait(at(p.now), f.q.prompt()) > 0
	})
	for _, f := range slices.Clone(p.flights) {
		x, bad := p.badPart(f.q)
		switch {
		case !slices.Contains(p.flights, f):
		case bad && f.starts <= p.now:
			p.crashes[x] = append(p.crashes[x], p.now)
			p.crash(f.upstream)
		case bad:
		case f.ends <= p.now || !f.proved && f.starts+soundAfterStart <= p.now:
			f.proved = true
			p.nodes[f.node].ObservePartAnswer(at(p.now), f.q.prompt())
		}
	}
	p.flights = slices.DeleteFunc(p.flights, func(f *partFlight) bool { return f.ends <= p.now })
	if p.now%roundInterval == 0 {
		p.exchange()
	}
}

// late returns how many requests with a part reached upstreams after the operators' bound.
func (p *partPlay) late(part uint64) int {
	if len(p.crashes[part]) < 5 {
		return 0
	}
	n := 0
	for _, at := range p.reached[part] {
		if at > p.crashes[part][4]+3*time.Second {
			n++
		}
	}
	return n
}

// wave stops six tenths of the upstreams within 0.4 s, each six seconds.
func (p *partPlay) wave() {
	const over = 400 * time.Millisecond
	if left := over - (p.now+3*time.Second)%(6*time.Second); left > 0 {
		for u := range p.down {
			if p.r.Int63n(int64(over/tick)*10) < 6 && p.down[u] <= p.now {
				p.crash(u)
			}
		}
	}
}

// partScenario is one row.
type partScenario struct {
	name       string
	nodes      int
	upstreams  int
	seconds    int
	every      time.Duration // between bad requests, from the third second on
	bad        func(i int) []uint64
	sound      func(i int) []uint64
	perTick    int // sound requests
	workspaces int
	waves      bool
	maxRefused float64 // share of the sound requests
	soundFrom  time.Duration
}

const (
	badPart, otherBadPart, thirdBadPart = 0xbad, 0xbad1, 0xbad2
	common                              = 0xa1
)

func (v partScenario) run(t *testing.T) {
	if v.nodes > 12 && raceEnabled {
		return
	}
	t.Run(v.name, func(t *testing.T) {
		seeds := int64(20)
		switch {
		case v.nodes > 12:
			seeds = 3
		case raceEnabled:
			seeds = 2
		}
		worst, late, sum, refused, sound := 0, 0, 0, 0, 0
		for seed := range seeds {
			p := newPartPlay(seed, v.nodes, v.upstreams, badPart, otherBadPart, thirdBadPart)
			v.play(p)
			for x := range p.bad {
				worst, sum, late = max(worst, len(p.crashes[x])), sum+len(p.crashes[x]), max(late, p.late(x))
			}
			refused, sound = refused+p.refused, sound+p.sound
		}
		t.Logf("upstreams crashed by one part: at most %d, in all %.1f a seed; late: at most %d; sound requests refused: %d of %d", worst, float64(sum)/float64(seeds), late, refused, sound)
		assert.LessOrEqual(t, late, 3)
		assert.LessOrEqual(t, float64(refused), v.maxRefused*float64(sound))
	})
}

func (v partScenario) play(p *partPlay) {
	bad, sound := 0, 0
	for ; p.now < time.Duration(v.seconds)*time.Second; p.now += tick {
		for range v.perTick {
			if p.now < v.soundFrom {
				break
			}
			sound++
			p.request(fmt.Sprint("w", sound%max(1, v.workspaces)), v.sound(sound)...)
		}
		if v.bad != nil && p.now >= 3*time.Second && p.now%v.every == 0 {
			bad++
			p.request(fmt.Sprint("w", bad%max(1, v.workspaces)), v.bad(bad)...)
		}
		if v.waves {
			p.wave()
		}
		p.step()
	}
}

// rare returns the id of one of n parts.
func rare(i, n int) uint64 { return uint64(0x1000 + i%n) }

// TestPartsThatCrashUpstreams bounds how many requests with a bad part reach upstreams after the operators' bound, and
// how many sound ones are refused.
func TestPartsThatCrashUpstreams(t *testing.T) {
	sharedSound := func(i int) []uint64 { return []uint64{common, rare(i, 7)} }
	between := func(int) []uint64 { return []uint64{common, badPart} }
	for _, v := range []partScenario{
		{"beside a part that all share", 3, 60, 90, 200 * time.Millisecond, between, sharedSound, 2, 1, false, 0, 0},
		{"at nine upstreams", 6, 9, 90, 350 * time.Millisecond, between, sharedSound, 2, 1, false, 0, 0},
		{"first", 3, 60, 40, 200 * time.Millisecond, func(int) []uint64 { return []uint64{badPart, common} }, sharedSound, 2, 1, false, 0, 0},
		{"its neighbours vary", 3, 60, 40, 200 * time.Millisecond, func(i int) []uint64 { return []uint64{common, rare(i, 7), badPart, rare(i, 5)} }, sharedSound, 2, 1, false, 0, 0},
		{"its neighbours are rare", 3, 60, 40, 200 * time.Millisecond, func(i int) []uint64 { return []uint64{common, rare(i, 40), badPart} }, func(i int) []uint64 { return []uint64{common, rare(i, 400)} }, 2, 1, false, 0.001, 0},
		{"with a part that hardly anybody else has", 3, 60, 60, 200 * time.Millisecond, func(int) []uint64 { return []uint64{common, 0x77, badPart} }, func(i int) []uint64 {
			if i%200 == 0 {
				return []uint64{common, 0x77}
			}
			return sharedSound(i)
		}, 2, 1, false, 0.001, 0},
		{"with parts that it leaves later on", 3, 60, 60, 200 * time.Millisecond, func(i int) []uint64 {
			return [][]uint64{{0x77, 0x78, badPart}, {0x77, badPart}, {badPart}}[min(2, i/50)]
		}, sharedSound, 2, 1, false, 0, 0},
		{"two at once", 3, 60, 40, 200 * time.Millisecond, func(i int) []uint64 { return []uint64{common, []uint64{badPart, otherBadPart}[i%2]} }, sharedSound, 2, 1, false, 0, 0},
		{"three at once at nine upstreams", 6, 9, 60, 200 * time.Millisecond, func(i int) []uint64 { return []uint64{common, []uint64{badPart, otherBadPart, thirdBadPart}[i%3]} }, sharedSound, 2, 1, false, 0.001, 0},
		{"slowly", 3, 20, 300, 7 * time.Second, between, sharedSound, 1, 1, false, 0, 0},
		{"of five workspaces", 3, 60, 40, 200 * time.Millisecond, between, sharedSound, 2, 5, false, 0, 0},
		{"amid waves", 12, 60, 40, 200 * time.Millisecond, between, func(i int) []uint64 { return []uint64{common, rare(i, 40)} }, 3, 1, true, 0.001, 0},
		{"before any sound request, faster than upstreams come back", 6, 9, 60, 150 * time.Millisecond, between, sharedSound, 1, 1, false, 0.5, 8 * time.Second},
		{"without any sound request", 6, 9, 30, 150 * time.Millisecond, between, sharedSound, 0, 1, false, 0, 0},
		{"before any sound request at 70 nodes", 70, 60, 40, 50 * time.Millisecond, between, sharedSound, 4, 1, false, 0.5, 8 * time.Second},
		{"at 70 nodes", 70, 60, 90, 200 * time.Millisecond, between, sharedSound, 8, 1, false, 0, 0},
		{"amid waves at 70 nodes", 70, 60, 40, 200 * time.Millisecond, between, func(i int) []uint64 { return []uint64{common, rare(i, 40)} }, 8, 1, true, 0.001, 0},
	} {
		v.run(t)
	}
}

// TestWavesCrashUpstreamsAndPartsAreServed bounds how many sound requests are refused since their parts were aboard when
// upstreams stopped by themselves.
func TestWavesCrashUpstreamsAndPartsAreServed(t *testing.T) {
	for _, n := range []int{1, 7, 40, 400, 4000} {
		partScenario{fmt.Sprintf("%d parts", n), 12, 24, 40, 0, nil, func(i int) []uint64 { return []uint64{common, rare(i, n)} }, 3, 1, true, 0.001, 0}.run(t)
	}
	partScenario{"400 parts at 70 nodes", 70, 60, 40, 0, nil, func(i int) []uint64 { return []uint64{common, rare(i, 400)} }, 8, 1, true, 0.001, 0}.run(t)
}

// TestPartsOfAServiceThatComesBackAreRefused bounds for how long sound requests are refused once upstreams that all crashed, time after
// time, with nothing answered in between, are back.
func TestPartsOfAServiceThatComesBackAreRefused(t *testing.T) {
	const over, back = 15 * time.Second, restartTime
	for _, nodes := range []int{3, 12} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			late := 0
			for seed := range int64(10) {
				p := newPartPlay(seed, nodes, 9)
				for i := 0; p.now < time.Minute; p.now += tick {
					i++
					if p.now == over+back+over {
						p.refused = 0
					}
					p.request("w", common, rare(i, 7))
					for u := range p.down {
						if p.now < over && p.down[u] <= p.now && p.now%time.Second == 0 {
							p.crash(u)
						}
					}
					p.step()
				}
				late += p.refused
			}
			assert.Zero(t, late, "refused later than the outage took once more")
		})
	}
}
