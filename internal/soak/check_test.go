package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var began = time.Unix(1_790_000_000, 0)

func atDay(d time.Duration) time.Time { return began.Add(d) }

// record is a day of three daemons with some faults.
func record(faults ...Fault) Record {
	return Record{Day: Day{Daemons: 3, Halls: 2, Engines: 2, Plain: 1, Traffic: usualTraffic, Faults: faults}, Began: began}
}

// reply is a good answer to a request that was sent at a time.
func reply(id string, route Route, at time.Duration) Reply {
	r := Reply{Call: Call{At: at, Route: route, Key: KeyWide}, ID: id, Sent: atDay(at), Wrote: true, WroteAt: atDay(at), Done: atDay(at + 50*time.Millisecond), Status: http.StatusOK, Signed: "u", Whole: true, Body: Body(id)}
	if r.stream() {
		r.Body = ""
		for n := 1; n <= Pieces(id); n++ {
			r.Body += Piece(id, n)
		}
	}
	return r
}

func event(what What, id, upstream, service string, at time.Duration) Event {
	return Event{At: atDay(at), What: what, Upstream: upstream, Service: service, ID: id, Tenant: "wide", Size: 10}
}

// assertChecks checks which promises a record is found to break.
func assertChecks(t *testing.T, r Record, want ...string) {
	t.Helper()
	got := make(map[string]bool)
	for _, f := range Check(r) {
		got[f.Check] = true
	}
	m := make(map[string]bool)
	for _, w := range want {
		m[w] = true
	}
	assert.Equal(t, m, got, "%v", Check(r))
}

func TestAnswers(t *testing.T) {
	for name, v := range map[string]struct {
		change func(r *Reply)
		route  Route
		broken bool
	}{
		"good":                   {func(*Reply) {}, RoutePlain, false},
		"a whole stream":         {func(*Reply) {}, RouteResume, false},
		"another's body":         {func(r *Reply) { r.Body = Body("other") }, RoutePlain, true},
		"no signature":           {func(r *Reply) { r.Signed = "" }, RouteAgain, true},
		"a refusal with one":     {func(r *Reply) { r.Status = 503 }, RouteAgain, true},
		"an upstream's failure":  {func(r *Reply) { r.Status = 500 }, RouteAgain, false},
		"a stream that is cut":   {func(r *Reply) { r.Whole, r.Body = false, Piece("a", 1) }, RouteResume, false},
		"a short one as whole":   {func(r *Reply) { r.Body = Piece("a", 1) }, RouteResume, true},
		"a gap":                  {func(r *Reply) { r.Whole, r.Body = false, Piece("a", 1)+Piece("a", 3) }, RouteResume, true},
		"a piece twice":          {func(r *Reply) { r.Whole, r.Body = false, Piece("a", 1)+Piece("a", 1) }, RouteResume, true},
		"a plain one that ended": {func(r *Reply) { r.Whole, r.Body = false, "ans" }, RoutePlain, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, r := reply("a", v.route, 0), record()
			v.change(&p)
			r.Replies = []Reply{p}
			if v.broken {
				assertChecks(t, r, "whole")
			} else {
				assertChecks(t, r)
			}
		})
	}
}

func TestRuns(t *testing.T) {
	runs := []Event{event(Began, "a", "upstream-0", ServicePlain, 0), event(Began, "a", "upstream-1", ServicePlain, time.Second)}
	t.Run("twice", func(t *testing.T) {
		r := record()
		r.Replies, r.Events = []Reply{reply("a", RoutePlain, 0)}, runs
		assertChecks(t, r, "once")
		r.Replies[0].Call.Route = RouteAgain
		assertChecks(t, r)
	})
	t.Run("refused, and run", func(t *testing.T) {
		p, r := reply("a", RoutePlain, 0), record()
		p.Status, p.Signed = 503, ""
		r.Replies, r.Events = []Reply{p}, runs[:1]
		assertChecks(t, r, "not-run")
	})
	t.Run("at too many upstreams", func(t *testing.T) {
		r := record()
		for _, id := range []string{"a", "b", "c", "d"} {
			r.Replies = append(r.Replies, reply(id, RouteAgain, 0))
			for range MaxAttempts + 1 {
				r.Events = append(r.Events, event(Began, id, "upstream-0", ServicePlain, 0))
			}
		}
		assertChecks(t, r, "attempts")
		r.Day.Faults = []Fault{{Kind: FaultCrash, On: OnUpstreams, Who: []int{0}}}
		assertChecks(t, r)
	})
}

func TestDrains(t *testing.T) {
	late := event(Arrived, "a", "upstream-0", ServiceEngine, 8*time.Second)
	for name, v := range map[string]struct {
		faults []Fault
		want   []string
	}{
		"late":                          {nil, []string{"drain"}},
		"while the store is frozen":     {[]Fault{{Kind: FaultFreeze, On: OnStore, At: 4 * time.Second}}, nil},
		"another daemon's trouble":      {[]Fault{{Kind: FaultStore, Who: []int{1}, At: 4 * time.Second}}, []string{"drain"}},
		"its daemon's trouble":          {[]Fault{{Kind: FaultStore, Who: []int{0}, At: 4 * time.Second}}, nil},
		"trouble that was over by then": {[]Fault{{Kind: FaultStore, Who: []int{0}, At: time.Second}}, []string{"drain"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := record(v.faults...)
			r.Replies, r.Events = []Reply{reply("a", RouteAgain, 7900*time.Millisecond)}, []Event{late}
			r.Drains = []Drain{{Upstream: "upstream-0", At: atDay(5 * time.Second), Ended: atDay(9 * time.Second)}}
			assertChecks(t, r, v.want...)
		})
	}
}

func TestConfigurations(t *testing.T) {
	changes := func(c Configuration) []Change {
		return []Change{{Configuration{Version: 1}, atDay(-time.Second)}, {c, atDay(2 * time.Second)}}
	}
	t.Run("where a route went before", func(t *testing.T) {
		r := record()
		r.Configs = changes(Configuration{Version: 2, Moved: true})
		r.Replies, r.Events = []Reply{reply("a", RouteMoving, 5*time.Second)}, []Event{event(Began, "a", "upstream-2", ServicePlain, 5*time.Second)}
		assertChecks(t, r, "config")
		r.Day.Faults = []Fault{{Kind: FaultStore, Who: []int{0}, At: 3 * time.Second}}
		assertChecks(t, r)
	})
	t.Run("back to it", func(t *testing.T) {
		r := record(Fault{Kind: FaultStore, Who: []int{0}, At: time.Second, For: 10 * time.Second})
		r.Configs = changes(Configuration{Version: 2, Moved: true})
		r.Replies = []Reply{reply("a", RouteMoving, 3*time.Second), reply("b", RouteMoving, 6*time.Second)}
		r.Events = []Event{event(Began, "a", "upstream-3", ServiceOther, 3*time.Second), event(Began, "b", "upstream-2", ServicePlain, 6*time.Second)}
		assertChecks(t, r, "config")
		r.Stops = []Stop{{Daemon: 0, At: atDay(4 * time.Second), Ended: atDay(5 * time.Second)}}
		assertChecks(t, r)
	})
	t.Run("a key that was withdrawn", func(t *testing.T) {
		r, p := record(), reply("a", RouteAgain, 5*time.Second)
		p.Call.Key = KeyWithdrawn
		r.Configs = changes(Configuration{Version: 2, Withdrawn: true})
		r.Replies, r.Events = []Reply{p}, []Event{event(Began, "a", "upstream-2", ServicePlain, 5*time.Second)}
		assertChecks(t, r, "keys")
	})
	t.Run("a key that is in force", func(t *testing.T) {
		r, p := record(), reply("a", RouteAgain, 0)
		p.Status, p.Signed = 401, ""
		r.Replies = []Reply{p}
		assertChecks(t, r, "keys")
	})
}

func TestBounds(t *testing.T) {
	t.Run("quota", func(t *testing.T) {
		r := record()
		for i := range 50 {
			e := event(Began, "a", "upstream-2", ServicePlain, time.Duration(i)*time.Millisecond)
			e.Tenant, e.Size = string(KeyNarrow), 100
			r.Events = append(r.Events, e)
		}
		assertChecks(t, r, "quota")
	})
	t.Run("repeats", func(t *testing.T) {
		r := record()
		r.Replies = []Reply{reply("a", RouteResume, 0)}
		for i := range 60 {
			r.Events = append(r.Events, event(Arrived, "a", "upstream-0", ServiceEngine, time.Duration(i)*time.Millisecond))
		}
		assertChecks(t, r, "repeats")
	})
	t.Run("limit", func(t *testing.T) {
		r := record(Fault{Kind: FaultLimit, On: OnUpstreams, Who: []int{0}, X: 1, At: time.Second, For: 9 * time.Second})
		r.Replies = []Reply{reply("a", RouteAgain, 5*time.Second)}
		r.Events = []Event{event(Named, "", "upstream-0", ServiceEngine, 2*time.Second)}
		for range 12 {
			r.Events = append(r.Events, event(Arrived, "a", "upstream-0", ServiceEngine, 6*time.Second))
		}
		assertChecks(t, r, "limit")
		r.Events = append(r.Events, event(Started, "", "upstream-0", ServiceEngine, 3*time.Second))
		assertChecks(t, r)
	})
	t.Run("time", func(t *testing.T) {
		r, p := record(), reply("a", RouteAgain, 0)
		p.Done = p.Sent.Add(callGiveUp)
		r.Replies = []Reply{p}
		assertChecks(t, r, "ends")
	})
	t.Run("a planned stop", func(t *testing.T) {
		r, p := record(Fault{Kind: FaultTerm, Who: []int{0}, At: 4 * time.Second}), reply("a", RouteAgain, 4*time.Second)
		p.Status, p.Signed, p.Whole, p.Error = 0, "", false, "reset"
		r.Replies, r.Events = []Reply{p}, []Event{event(Arrived, "a", "upstream-2", ServicePlain, 4*time.Second)}
		r.Stops = []Stop{{Daemon: 0, At: atDay(4 * time.Second), Ended: atDay(8 * time.Second)}}
		assertChecks(t, r, "stop")
	})
	t.Run("a planned stop beside lowered time-outs", func(t *testing.T) {
		const at = 4 * time.Second
		r := record(Fault{Kind: FaultTerm, Who: []int{0}, At: at}, Fault{Kind: FaultTimeout, At: at - time.Second, For: time.Second})
		p := reply("a", RouteResume, at)
		p.Whole, p.Body, p.Error, p.Done = false, Piece("a", 1), "reset", p.Sent.Add(HastyTimeout)
		r.Replies = []Reply{p}
		r.Events = []Event{event(Arrived, "a", "upstream-0", ServiceEngine, at), event(Began, "a", "upstream-0", ServiceEngine, at), event(Token, "a", "upstream-0", ServiceEngine, at)}
		r.Stops = []Stop{{Daemon: 0, At: atDay(at), Ended: atDay(at + 4*time.Second)}}
		assertChecks(t, r)
		t.Run("before they are over", func(t *testing.T) {
			v := r
			v.Replies = []Reply{p}
			v.Replies[0].Done = p.Sent.Add(HastyTimeout - time.Millisecond)
			assertChecks(t, v, "stop")
		})
		t.Run("once they are raised again", func(t *testing.T) {
			v := r
			v.Day.Faults = []Fault{{Kind: FaultTerm, Who: []int{0}, At: at}, {Kind: FaultTimeout, At: at - applyBound - 2*time.Second, For: time.Second}}
			assertChecks(t, v, "stop")
		})
	})
	t.Run("a planned stop that leaves a request lying", func(t *testing.T) {
		r, p := record(Fault{Kind: FaultPress, Who: []int{0}, At: 2 * time.Second, For: pressEnd}), reply("a", RoutePlain, 4*time.Second)
		p.Status, p.Signed, p.Whole, p.Body, p.Error = 0, "", false, "", "EOF"
		p.Done = p.WroteAt.Add(lossSlack + time.Millisecond)
		r.Replies = []Reply{p}
		r.Stops = []Stop{{Daemon: 0, At: atDay(2 * time.Second), Ended: atDay(6 * time.Second)}}
		assertChecks(t, r, "answered")
		r.Replies[0].Done = p.WroteAt.Add(lossSlack)
		assertChecks(t, r)
	})
	t.Run("a process that ended", func(t *testing.T) {
		r := record()
		r.Lost = []string{"daemon-0: exit status 2"}
		assertChecks(t, r, "process")
	})
}

func TestEndOfDay(t *testing.T) {
	whole := func() Record {
		r := record()
		r.Complete, r.Usage = true, make(map[int64][]map[string]int64)
		for w := r.Began.Unix(); w < r.Began.Unix()+20; w++ {
			r.Usage[w] = []map[string]int64{{}}
		}
		r.Before = map[string]Level{"daemon-0": {Bytes: 1 << 20, Descriptors: 10}}
		r.After = map[string]Level{"daemon-0": {Bytes: 2 << 20, Descriptors: 12}}
		return r
	}
	for name, v := range map[string]struct {
		change func(r *Record)
		want   []string
	}{
		"good":                 {func(*Record) {}, nil},
		"a window that lacks":  {func(r *Record) { delete(r.Usage, r.Began.Unix()+5) }, []string{"usage"}},
		"two counts":           {func(r *Record) { r.Usage[r.Began.Unix()+5] = []map[string]int64{{}, {"wide": 1}} }, []string{"usage"}},
		"a daemon that is off": {func(r *Record) { r.After = nil }, []string{"levels"}},
		"descriptors":          {func(r *Record) { r.After["daemon-0"] = Level{Descriptors: 10 + fdsMore + 1} }, []string{"levels"}},
		"memory":               {func(r *Record) { r.After["daemon-0"] = Level{Bytes: 1<<20 + bytesMore + 1} }, []string{"levels"}},
		"nobody is served": {func(r *Record) {
			p := reply("a", RouteAgain, r.Day.Traffic-time.Second)
			p.Status, p.Signed = 503, ""
			r.Replies = []Reply{p}
		}, []string{"served"}},
		"counts that are off": {func(r *Record) {
			for i := range 20 {
				id := string(rune('a' + i))
				r.Replies = append(r.Replies, reply(id, RouteAgain, 5100*time.Millisecond))
				r.Events = append(r.Events, event(Began, id, "upstream-2", ServicePlain, 5100*time.Millisecond))
			}
		}, []string{"usage"}},
		"streams of which the first event comes in the next window": {func(r *Record) {
			r.Usage[r.Began.Unix()+6] = []map[string]int64{{"wide": 20}}
			for i := range 20 {
				id := string(rune('a' + i))
				p := reply(id, RouteResume, 5900*time.Millisecond)
				p.Signed = "upstream-0"
				r.Replies = append(r.Replies, p)
				r.Events = append(r.Events, event(Began, id, "upstream-0", ServiceEngine, 5900*time.Millisecond), event(Token, id, "upstream-0", ServiceEngine, 6100*time.Millisecond))
			}
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := whole()
			v.change(&r)
			assertChecks(t, r, v.want...)
		})
	}
}
