package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSilenceEndsAnswers(t *testing.T) {
	silence := Fault{Kind: FaultSecond, On: OnUpstreams, Who: []int{0}, At: 4 * time.Second, For: time.Second}
	cut := func(p *Reply) { p.Whole, p.Body = false, Piece("a", 1) }
	status := func(code int) func(p *Reply) {
		return func(p *Reply) { p.Status, p.Signed, p.Body = code, "", "" }
	}
	closed := func(p *Reply) { p.Status, p.Signed, p.Whole, p.Body = 0, "", false, "" }
	for name, v := range map[string]struct {
		change func(p *Reply)
		faults []Fault
		ranAt  string
		broken bool
	}{
		"cut":                          {cut, nil, "upstream-0", true},
		"a 502":                        {status(http.StatusBadGateway), nil, "upstream-0", true},
		"a 504":                        {status(http.StatusGatewayTimeout), nil, "upstream-0", true},
		"no answer":                    {closed, nil, "upstream-0", true},
		"a 502 without a run":          {status(http.StatusBadGateway), nil, "", true},
		"beside a configuration":       {cut, []Fault{{Kind: FaultAims, At: 3 * time.Second}, {Kind: FaultConfig, At: 4 * time.Second}}, "upstream-0", true},
		"whole":                        {func(*Reply) {}, nil, "upstream-0", false},
		"refused as not run":           {status(http.StatusServiceUnavailable), nil, "", false},
		"at one that wasn't silent":    {cut, nil, "upstream-1", false},
		"its time was up":              {func(p *Reply) { cut(p); p.Call.At -= 3700 * time.Millisecond }, nil, "upstream-0", false},
		"before the silence":           {func(p *Reply) { cut(p); p.Sent, p.Done = atDay(time.Second), atDay(2*time.Second) }, nil, "upstream-0", false},
		"a crash beside":               {cut, []Fault{{Kind: FaultCrash, On: OnUpstreams, Who: []int{0}, At: 4 * time.Second}}, "upstream-0", false},
		"a daemon's stop beside":       {cut, []Fault{{Kind: FaultTerm, On: OnDaemons, Who: []int{0}, At: 4 * time.Second}}, "upstream-0", false},
		"another's planned end beside": {cut, []Fault{{Kind: FaultDrain, On: OnUpstreams, Who: []int{1}, At: 4 * time.Second}}, "upstream-0", true},
	} {
		t.Run(name, func(t *testing.T) {
			r, p := record(append(v.faults, silence)...), reply("a", RouteResume, 4200*time.Millisecond)
			p.Done = p.Sent.Add(400 * time.Millisecond)
			v.change(&p)
			r.Replies = []Reply{p}
			if v.ranAt != "" {
				r.Events = []Event{event(Began, "a", v.ranAt, ServiceEngine, 4200*time.Millisecond)}
			}
			if v.broken {
				assertChecks(t, r, "silence")
			} else {
				assertChecks(t, r)
			}
		})
	}
}

func TestDrawStill(t *testing.T) {
	days, alone := 0, 0
	for seed := range uint64(300) {
		d := Draw(seed, Options{})
		from := -1
		for i, f := range d.Faults {
			if f.Kind == FaultAims {
				from = i
			}
		}
		if from < 0 {
			continue
		}
		days++
		for _, f := range d.Faults[:from] {
			assert.LessOrEqual(t, f.passed()+lately, d.Faults[from].At, "seed %d: nothing else excuses an answer that is ended", seed)
		}
		changes := 0
		for _, f := range d.Faults[from+1:] {
			switch f.Kind {
			case FaultSecond:
				require.NotEmpty(t, f.Who)
				if len(f.Who) == 1 {
					alone++
					assert.Equal(t, newVersion, d.Version(f.Who[0]))
				} else {
					assert.Equal(t, d.servingAs(d.serviceOf(f.Who[0])), f.Who, "all upstreams of a service")
				}
			case FaultConfig, FaultKeys, FaultQuota:
				changes++
			default:
				assert.Equal(t, FaultDrain, f.Kind)
			}
		}
		assert.Equal(t, stillCount, changes)
	}
	assert.Greater(t, days, 30)
	assert.Greater(t, alone, 10)
}

// Guards against a group of faults that is drawn into the days of seeds which failed before the group was there.
func TestRegressionsKeepTheirDays(t *testing.T) {
	for seed, faults := range map[uint64]int{
		1796332068615036458: 9, 13: 9, 1796384216810810460: 15, 9024: 16, 9129: 8, 770034: 9, 9124: 14, 1796422237284269995: 6,
	} {
		d := Draw(seed, Options{})
		assert.Len(t, d.Faults, faults, "seed %d", seed)
		assert.Zero(t, d.Large, "seed %d", seed)
	}
}
