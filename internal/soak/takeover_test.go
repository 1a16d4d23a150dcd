package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDrawTakeover(t *testing.T) {
	days, big, alone := 0, 0, 0
	for seed := range uint64(300) {
		d := Draw(seed, Options{})
		i := slices.IndexFunc(d.Faults, func(f Fault) bool { return f.Kind == FaultTakeover })
		assert.Equal(t, d.Large > 0, i >= 0, "seed %d", seed)
		if i < 0 {
			continue
		}
		days++
		if d.Daemons >= leastFleet {
			big++
		}
		f, changes, released := d.Faults[i], 0, false
		require.NotEmpty(t, f.Who)
		for n := range d.Daemons {
			assert.Equal(t, d.HallOf(n) == f.Hall && d.isLarge(n), slices.Contains(f.Who, n), "seed %d: all large daemons of one hall", seed)
		}
		for _, o := range d.Faults {
			changes += map[bool]int{true: 1}[o.Kind == FaultConfig && o.At > f.At]
			released = released || o.Kind == FaultRelease
			assert.False(t, o.Kind == FaultFreeze && o.On == OnDaemons || o.Kind == FaultPress || o.Kind == FaultStarve, "seed %d: shares run daemons", seed)
		}
		assert.GreaterOrEqual(t, changes, leastStorm)
		assert.True(t, released)
		if len(d.Faults) == changes+2 {
			alone++
		}
	}
	assert.Greater(t, days, 30)
	assert.Greater(t, big, days/2)
	assert.Greater(t, alone, days/4)
	for seed := range uint64(20) {
		assert.Positive(t, Draw(seed, Options{Takeover: true}).Large)
	}
}

func TestTakeover(t *testing.T) {
	f := Fault{Kind: FaultTakeover, At: 5 * time.Second, On: OnDaemons, Who: []int{0}}
	storm := Fault{Kind: FaultConfig, At: 5500 * time.Millisecond}
	for name, v := range map[string]struct {
		change func(r *Reply)
		beside []Fault
		broken bool
	}{
		"answered":                {func(*Reply) {}, nil, false},
		"refused":                 {func(r *Reply) { r.Status, r.Signed = http.StatusServiceUnavailable, "" }, nil, false},
		"no answer":               {func(r *Reply) { r.Status, r.Signed, r.Whole = 0, "", false }, nil, true},
		"of a daemon that stops":  {func(r *Reply) { r.Status, r.Signed, r.Whole, r.Call.Daemon = 0, "", false, 0 }, nil, false},
		"before":                  {func(r *Reply) { r.Status, r.Signed, r.Whole, r.Sent = 0, "", false, atDay(4*time.Second) }, nil, false},
		"cut":                     {func(r *Reply) { r.Whole = false }, nil, true},
		"given up":                {func(r *Reply) { r.Status, r.Signed = http.StatusGatewayTimeout, "" }, nil, true},
		"late":                    {func(r *Reply) { r.Done = atDay(6*time.Second + callWait + 2*lossSlack) }, nil, true},
		"something else is wrong": {func(r *Reply) { r.Status, r.Signed, r.Whole = 0, "", false }, []Fault{{Kind: FaultKillAll, At: 5 * time.Second}}, false},
		"an odd entry beside":     {func(r *Reply) { r.Status, r.Signed, r.Whole = 0, "", false }, []Fault{{Kind: FaultOdd, At: 5 * time.Second}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := reply("a", RoutePlain, 6*time.Second)
			r.Call.Daemon = 1
			v.change(&r)
			c := record(append([]Fault{f, storm}, v.beside...)...)
			c.Replies = []Reply{r}
			want := 0
			if v.broken {
				want = 1
			}
			assert.Len(t, checkTakeover(newView(c)), want)
		})
	}
}
