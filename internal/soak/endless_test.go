package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/timer"
)

func TestDrawEndless(t *testing.T) {
	days, alone, limited := 0, 0, 0
	hows := make(map[string]bool)
	for seed := range uint64(600) {
		d := Draw(seed, Options{})
		if d.Memory == 0 {
			assert.NotContains(t, kindsOf(d), FaultEndless, "seed %d", seed)
			assert.Zero(t, d.Rate, "seed %d", seed)
			continue
		}
		days++
		assert.Zero(t, d.Large, "seed %d: shares of the processor are of other days", seed)
		endless := 0
		for _, f := range d.Faults {
			if f.Kind != FaultEndless {
				continue
			}
			endless++
			hows[f.How] = true
			require.Len(t, f.Who, 1)
			if f.How == EndlessFirstEvent || f.How == EndlessLaterEvent {
				assert.Equal(t, ServiceEngine, d.serviceOf(f.Who[0]), "seed %d", seed)
			}
		}
		assert.Contains(t, []int{1, 2}, endless, "seed %d", seed)
		alone += map[bool]int{true: 1}[len(d.Faults) == endless]
		limited += map[bool]int{true: 1}[d.rate(0) == smallRate]
		assert.Positive(t, d.rate(0), "seed %d", seed)
	}
	assert.Greater(t, days, 40)
	assert.Greater(t, alone, days/4)
	assert.Greater(t, limited, days/5)
	assert.Len(t, hows, len(endlessHows))
	for seed := range uint64(20) {
		assert.Contains(t, kindsOf(Draw(seed, Options{Endless: true})), FaultEndless)
	}
}

func kindsOf(d Day) []Kind {
	var list []Kind
	for _, f := range d.Faults {
		list = append(list, f.Kind)
	}
	return list
}

func TestEndlessCalls(t *testing.T) {
	for seed := range uint64(50) {
		d := Draw(seed, Options{Endless: true})
		at := make(map[time.Duration]int) // calls at the same moment
		for _, c := range d.Calls() {
			at[c.At]++
		}
		for _, f := range d.Faults {
			if f.Kind != FaultEndless {
				continue
			}
			n := at[f.At+burstFirst]
			assert.GreaterOrEqual(t, n, leastBurst, "seed %d", seed)
			assert.LessOrEqual(t, n, mostBurst, "seed %d", seed)
		}
	}
}

func TestMemory(t *testing.T) {
	for name, v := range map[string]struct {
		memory, peak int // MB
		broken       bool
	}{
		"as much as a small VM has":  {smallMemory, smallMemory, false},
		"more":                       {smallMemory, smallMemory + 1, true},
		"as much as the usual":       {0, usualMemory, false},
		"more than the usual":        {0, usualMemory + 1, true},
		"of a small VM on a usual's": {0, smallMemory + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := record()
			r.Day.Memory, r.Peaks = v.memory, map[string]int64{"daemon-0": 1 << 20, "daemon-1": int64(v.peak) << 20}
			if v.broken {
				assertChecks(t, r, "memory")
				return
			}
			assertChecks(t, r)
		})
	}
}

func TestLevelsAfterEndlessResponses(t *testing.T) {
	const before = 30 << 20
	for name, v := range map[string]struct {
		memory, descriptors int
		more                int64 // bytes
		broken              bool
	}{
		"garbage that isn't collected yet":   {smallMemory, 20, bytesMore + smallMemory<<20/messageParts, false},
		"more than messages may take":        {smallMemory, 20, bytesMore + smallMemory<<20/messageParts + 1, true},
		"descriptors that stay open":         {smallMemory, 20 + fdsMore + 1, 0, true},
		"as much on days without a small VM": {0, 20, bytesMore, false},
		"more on days without a small VM":    {0, 20, bytesMore + 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := record()
			r.Day.Memory = v.memory
			r.Before = map[string]Level{"daemon-0": {Bytes: before, Descriptors: 20}}
			r.After = map[string]Level{"daemon-0": {Bytes: before + v.more, Descriptors: v.descriptors}}
			assert.Equal(t, v.broken, len(checkLevels(newView(r))) > 0)
		})
	}
}

func TestPeak(t *testing.T) {
	p := &Process{clock: timer.Real(), cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}
	before, err := p.Peak()
	require.NoError(t, err)
	const size = 64 << 20
	b := make([]byte, size)
	for i := range b {
		b[i] = 1
	}
	after, err := p.Peak()
	require.NoError(t, err)
	assert.Greater(t, after-before, int64(size/2))
	assert.EqualValues(t, 1, b[size-1])
	_, err = peakIn("Name:\tx\n")
	assert.Error(t, err)
}

func TestSound(t *testing.T) {
	endless := Fault{Kind: FaultEndless, On: OnUpstreams, Who: []int{0}, At: 4 * time.Second, For: 4 * time.Second, How: EndlessBody}
	late := func(r *Reply) { r.Done = r.Sent.Add(callWait + time.Millisecond) }
	for name, v := range map[string]struct {
		change func(r *Reply) // every fifth reply
		faults []Fault
		came   string // the upstream that they reached
		broken bool
	}{
		"served":                   {func(*Reply) {}, nil, "upstream-1", false},
		"refused":                  {func(r *Reply) { r.Status, r.Signed = http.StatusServiceUnavailable, "" }, nil, "", true},
		"given up":                 {func(r *Reply) { r.Status, r.Signed = http.StatusGatewayTimeout, "" }, nil, "upstream-1", true},
		"cut":                      {func(r *Reply) { r.Whole = false }, nil, "upstream-1", true},
		"late":                     {late, nil, "upstream-1", true},
		"of the upstream itself":   {func(r *Reply) { r.Status, r.Signed = http.StatusBadGateway, "" }, nil, "upstream-0", false},
		"of a narrow workspace":    {func(r *Reply) { r.Status, r.Signed, r.Call.Key = http.StatusTooManyRequests, "", KeyNarrow }, nil, "", false},
		"before":                   {func(r *Reply) { r.Status, r.Signed, r.Sent = http.StatusGatewayTimeout, "", atDay(time.Second) }, nil, "", false},
		"another fault beside":     {late, []Fault{{Kind: FaultKillAll, At: 5 * time.Second}}, "upstream-1", false},
		"a change of config":       {late, []Fault{{Kind: FaultConfig, At: 5 * time.Second}}, "upstream-1", true},
		"of a VM that stalls":      {late, nil, "upstream-1", false},
		"a planned end of another": {late, []Fault{{Kind: FaultDrain, On: OnUpstreams, Who: []int{1}, At: 5 * time.Second}}, "upstream-1", true},
	} {
		t.Run(name, func(t *testing.T) {
			r := record(append([]Fault{endless}, v.faults...)...)
			if name == "of a VM that stalls" {
				r.Stalls = []Stall{{atDay(7 * time.Second), atDay(7500 * time.Millisecond)}}
			}
			for i := range 100 {
				p := reply(fmt.Sprint("r", i), RouteAgain, 5*time.Second)
				if i%5 == 0 {
					v.change(&p)
					if v.came != "" {
						r.Events = append(r.Events, event(Arrived, p.ID, v.came, ServicePlain, 5*time.Second))
					}
				}
				r.Replies = append(r.Replies, p)
			}
			assert.Equal(t, v.broken, len(checkSound(newView(r))) > 0, "%v", checkSound(newView(r)))
		})
	}
}

func TestGarbageThatLooksWhole(t *testing.T) {
	for name, v := range map[string]struct {
		status int
		whole  bool
		ended  bool // the upstream, under it
		broken bool
	}{
		"a failure that breaks off":     {http.StatusInternalServerError, false, false, false},
		"a failure that ends":           {http.StatusInternalServerError, true, false, true},
		"a success that ends":           {http.StatusOK, true, false, true},
		"a success that breaks off":     {http.StatusOK, false, false, false},
		"one of the daemon that ends":   {http.StatusBadGateway, true, false, true},
		"a success whose upstream ends": {http.StatusOK, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := reply("a", RouteAgain, 5*time.Second)
			p.Status, p.Whole, p.Body = v.status, v.whole, EndlessPiece+EndlessPiece
			if v.status == http.StatusBadGateway {
				p.Signed = ""
			}
			r := record(Fault{Kind: FaultEndless, On: OnUpstreams, Who: []int{0}, At: 4 * time.Second, For: 4 * time.Second})
			r.Replies = []Reply{p}
			if v.ended {
				r.Events = []Event{event(Began, "a", "upstream-0", ServicePlain, 5*time.Second), event(Started, "", "upstream-0", ServicePlain, 6*time.Second)}
			}
			assert.Equal(t, v.broken, len(checkWhole(newView(r))) > 0)
		})
	}
}
