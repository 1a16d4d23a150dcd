package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/call"
	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/lineage"
	"spurhall.example/spurhall/internal/link"
	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/quarantine"
	"spurhall.example/spurhall/internal/quota"
	"spurhall.example/spurhall/internal/rollout"
	"spurhall.example/spurhall/internal/timer"
)

// This file plays the race between a silent attempt and its backup, by a clock that the test moves.

// raceRig is a server before two upstreams, a plain route and a route of streams.
type raceRig struct {
	t       *testing.T
	server  *Server
	clock   *timer.Manual
	arrived atomic.Int64 // attempts
	counted atomic.Int64 // requests in the usage
	tokens  atomic.Int64 // of the retry budget
	late    atomic.Int64 // how late the process runs, in nanoseconds
	allowed func()       // called when it has given one; nil: nothing is
	done    chan *httptest.ResponseRecorder
}

const (
	raceTarget   = 150 * time.Millisecond
	raceDeadline = 30 * time.Second
	plainPath    = "http://plain.example/a"
	streamPath   = "http://stream.example/a"
)

// newRaceRig returns a rig whose upstreams serve by the number of the attempt, from 1 on.
func newRaceRig(t *testing.T, serve func(attempt int, w http.ResponseWriter, q *http.Request)) *raceRig {
	t.Helper()
	r := &raceRig{t: t, clock: timer.NewManual(time.Unix(1000, 0)), done: make(chan *httptest.ResponseRecorder, 1)}
	r.tokens.Store(1)
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { serve(int(r.arrived.Add(1)), w, q) }))
	t.Cleanup(u.Close)
	to := []catalog.WeightedService{{Service: "api", Weight: 1}}
	c, err := catalog.New(catalog.Spec{
		Services:   []catalog.ServiceSpec{{Name: "api"}},
		Workspaces: []catalog.WorkspaceSpec{{Name: "w", Keys: []string{"key"}}},
		Routes: []catalog.RouteSpec{
			{Name: "p", Host: "plain.example", Prefix: "/", Kind: catalog.KindRepeatable, MaxAttempts: 2, LatencyTarget: raceTarget, Timeout: raceDeadline, Services: to},
			{Name: "s", Host: "stream.example", Prefix: "/", Kind: catalog.KindStream, MaxAttempts: 2, LatencyTarget: raceTarget, MaxEventGap: raceTarget, Timeout: raceDeadline, Resumable: true, Services: to},
		},
	})
	require.NoError(t, err)
	clock := r.clock.Service()
	pools := pool.New(clock, "n", "hall")
	pools.Update(func(l *pool.List) {
		var list []pool.Item
		for _, id := range []string{"a", "b"} {
			list = append(list, pool.Item{Revision: 1, Entry: pool.Entry{ID: id, Service: "api", Address: u.Listener.Addr().String(), Hall: "hall", Slots: 8, Version: "v1"}})
		}
		l.Replace(clock.Now(), 1, list)
	})
	ready := make(chan struct{})
	close(ready)
	r.server = NewServer(Options{
		Memory: memory.New(clock, 64<<20, nil),
		Link:   link.New(clock, 0, nil),
		Clock:  clock, Log: zap.NewNop(), Pools: pools, Connections: NewConnections(clock, nil), Ready: ready, Quarantine: quarantine.NewTracker("n"),
		Catalog: func() *catalog.Catalog { return c }, Phase: func() Phase { return PhaseServing },
		ListAge: func() (time.Duration, bool) { return 0, true }, Place: func(context.Context, pool.Request) string { return "" },
		Charge: func(string, float64) quota.Verdict { return quota.Verdict{Allowed: true} }, Refund: func(string, float64) {},
		RecordFirstAttempt: func(string) {}, AllowRetry: r.allowRetry, ReturnRetry: func(string) { r.tokens.Add(1) },
		Late:            func() time.Duration { return time.Duration(r.late.Load()) },
		CountStarted:    func(string) { r.counted.Add(1) },
		ObserveResponse: func(pool.Entry, call.Response, time.Time) {},
		MayProbe:        func() bool { return false }, HallReachable: func(context.Context, string) bool { return true },
		Trials: Trials{
			Offer: func(string, string) bool { return false }, Return: func(string, string) {}, Record: func(string, string, int, rollout.Response) {},
			Overtaken: func(string, rollout.Silence) {},
		},
		Lineage: Lineage{Tell: func(lineage.Record) {}, Sight: func() lineage.Sight { return lineage.Sight{InStep: true, Steady: true, Whole: true} }},
		Dialect: call.Dialect{
			ReadMeta:   func(http.Header) call.Meta { return call.Meta{ID: "1", Credential: "key"} },
			WriteOrder: func(h http.Header, o call.Order) { h.Set("Last-Event-Id", o.LastEvent) },
			ReadResponse: func(h *http.Response) call.Response {
				if h.Header.Get("Fault") != "" {
					panic("a fault of this node's own code")
				}
				return call.Response{RequestID: "1", Signed: true, NotRun: h.Header.Get("Not-Run") != ""}
			},
			WriteRetryAfter: func(h http.Header, _ time.Duration) { h.Set("Retry-After", "soon") },
		},
	})
	return r
}

func (r *raceRig) allowRetry(string) bool {
	if r.tokens.Add(-1) < 0 {
		r.tokens.Add(1)
		return false
	}
	if r.allowed != nil {
		r.allowed()
	}
	return true
}

// send sends a request.
func (r *raceRig) send(path string) {
	go func() {
		w := httptest.NewRecorder()
		defer func() {
			_ = recover() // the handler aborts where an answer is cut
			r.done <- w
		}()
		r.server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
	}()
}

// until moves time on until a condition holds.
func (r *raceRig) until(what string, is func() bool) {
	r.t.Helper()
	for range 2000 {
		if is() {
			return
		}
		r.clock.Advance(5 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
	require.Fail(r.t, "it didn't come", what)
}

// race sends a request and waits until its backup runs, too.
func (r *raceRig) race(path string) {
	r.t.Helper()
	r.send(path)
	r.until("the backup runs", func() bool { return r.arrived.Load() == 2 })
}

// answer returns what the caller gets.
func (r *raceRig) answer() *httptest.ResponseRecorder {
	r.t.Helper()
	select {
	case w := <-r.done:
		return w
	case <-time.After(5 * time.Second):
		require.Fail(r.t, "no answer")
		return nil
	}
}

func (r *raceRig) running() int {
	n := 0
	for _, s := range r.server.o.Pools.States("api") {
		n += s.Running
	}
	return n
}

func event123(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // 0: from the start
	for i := after + 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: e\n\n", i)
	}
}

const allEvents = "id: 1\ndata: e\n\nid: 2\ndata: e\n\nid: 3\ndata: e\n\n"

// silentAfter returns upstreams that are silent until go is closed, before an answer or, of streams, after the first event.
func silentAfter(release <-chan struct{}) func(attempt int, w http.ResponseWriter, q *http.Request) {
	return func(attempt int, w http.ResponseWriter, q *http.Request) {
		stream := q.Host == "stream.example"
		if stream && attempt == 1 {
			_, _ = io.WriteString(w, "id: 1\ndata: e\n\n")
			_ = http.NewResponseController(w).Flush()
			q.Header.Set("Last-Event-Id", "1")
		}
		select {
		case <-release:
		case <-q.Context().Done():
			return
		}
		if stream {
			event123(w, q)
			return
		}
		_, _ = io.WriteString(w, "ok")
	}
}

// TestClockOrSuspensionEndsARace guards against answers that are lost since the time of day stepped, or the VM was suspended,
// while an attempt and its backup were both silent.
func TestClockOrSuspensionEndsARace(t *testing.T) {
	for name, happens := range map[string]func(m *timer.Manual){
		"a step forward":                      func(m *timer.Manual) { m.Step(time.Hour) },
		"a step back":                         func(m *timer.Manual) { m.Step(-time.Hour) },
		"a suspension":                        func(m *timer.Manual) { m.Suspend(5 * time.Second) },
		"a suspension of almost all the time": func(m *timer.Manual) { m.Suspend(raceDeadline - 2*time.Second) },
		"a suspension beyond the deadline":    func(m *timer.Manual) { m.Suspend(time.Hour) },
	} {
		for path, body := range map[string]string{plainPath: "ok", streamPath: allEvents} {
			t.Run(name+", "+path, func(t *testing.T) {
				release := make(chan struct{})
				r := newRaceRig(t, silentAfter(release))
				r.race(path)
				happens(r.clock)
				r.clock.Advance(time.Second)
				close(release)
				w := r.answer()
				assert.Equal(t, http.StatusOK, w.Code)
				assert.Equal(t, body, w.Body.String())
				assert.Equal(t, int64(2), r.arrived.Load())
				assert.Zero(t, r.running())
			})
		}
	}
}

// TestSuspensionIsTakenForSilence guards against backups for an upstream that was silent while this VM was suspended.
func TestSuspensionIsTakenForSilence(t *testing.T) {
	release := make(chan struct{})
	r := newRaceRig(t, silentAfter(release))
	r.send(plainPath)
	require.Eventually(t, func() bool { return r.arrived.Load() == 1 }, 5*time.Second, time.Millisecond)
	r.clock.Suspend(5 * time.Second)
	r.clock.Advance(raceTarget)
	time.Sleep(50 * time.Millisecond)
	close(release)
	assert.Equal(t, "ok", r.answer().Body.String())
	assert.Equal(t, int64(1), r.arrived.Load())
}

// TestBackupThatRanIsMissingInTheUsage guards against a request that ran and isn't counted since its first attempt was
// rejected and its backup, which had run, broke off.
func TestBackupThatRanIsMissingInTheUsage(t *testing.T) {
	release := make(chan struct{})
	r := newRaceRig(t, func(attempt int, w http.ResponseWriter, _ *http.Request) {
		if attempt == 2 {
			panic(http.ErrAbortHandler)
		}
		<-release
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r.race(plainPath)
	time.Sleep(50 * time.Millisecond)
	close(release)
	assert.Equal(t, http.StatusBadGateway, r.answer().Code, "it may have run")
	assert.Equal(t, int64(1), r.counted.Load())
	assert.Zero(t, r.running())
}

// TestTokenOfABackupThatIsNotSentIsSpent guards against a retry budget that is used up by backups of which nothing was sent.
func TestTokenOfABackupThatIsNotSentIsSpent(t *testing.T) {
	release := make(chan struct{})
	r := newRaceRig(t, silentAfter(release))
	r.allowed = func() {
		close(release)
		time.Sleep(50 * time.Millisecond) // the first attempt goes on
	}
	r.send(plainPath)
	r.until("the answer", func() bool { return len(r.done) > 0 })
	assert.Equal(t, "ok", r.answer().Body.String())
	assert.Equal(t, int64(1), r.arrived.Load())
	assert.Equal(t, int64(1), r.tokens.Load())
}

// TestFaultOfOwnCodeKeepsAPlaceInThePool guards against upstreams that count as busy for ever since this node's code failed
// under a request.
func TestFaultOfOwnCodeKeepsAPlaceInThePool(t *testing.T) {
	fail := func(w http.ResponseWriter) {
		w.Header().Set("Fault", "1")
		_, _ = io.WriteString(w, "x")
	}
	t.Run("in the only attempt", func(t *testing.T) {
		r := newRaceRig(t, func(_ int, w http.ResponseWriter, _ *http.Request) { fail(w) })
		r.send(plainPath)
		assert.Equal(t, http.StatusBadGateway, r.answer().Code)
		assert.Zero(t, r.running())
	})
	for name, faulty := range map[string]int{"in the first of two": 1, "in its backup": 2} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			r := newRaceRig(t, func(attempt int, w http.ResponseWriter, q *http.Request) {
				if attempt == faulty {
					<-release
					fail(w)
					return
				}
				if attempt == 1 {
					sleepAfter(q, release)
					_, _ = io.WriteString(w, "ok")
					return
				}
				<-q.Context().Done()
			})
			r.race(plainPath)
			close(release)
			want := http.StatusOK
			if faulty == 1 {
				want = http.StatusBadGateway
			}
			assert.Equal(t, want, r.answer().Code)
			assert.Zero(t, r.running())
		})
	}
}

// sleepAfter waits for a moment after a channel is closed, or until the caller leaves.
func sleepAfter(q *http.Request, c <-chan struct{}) {
	<-c
	select {
	case <-time.After(50 * time.Millisecond):
	case <-q.Context().Done():
	}
}

// TestOwnLatenessIsTakenForSilence guards against backups at upstreams that may have answered a node which runs late.
func TestOwnLatenessIsTakenForSilence(t *testing.T) {
	const late = 400 * time.Millisecond
	limit := map[string]time.Duration{plainPath: attemptWaitTargets * raceTarget, streamPath: stallPauses * raceTarget}
	for path, body := range map[string]string{plainPath: "ok", streamPath: allEvents} {
		t.Run(path, func(t *testing.T) {
			release := make(chan struct{})
			r := newRaceRig(t, silentAfter(release))
			r.late.Store(int64(late))
			r.send(path)
			require.Eventually(t, func() bool { return r.arrived.Load() == 1 }, 5*time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond) // a stream's first event has been passed on
			r.clock.Advance(limit[path] + late - 50*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, int64(1), r.arrived.Load(), "what it could have seen is no silence yet")
			close(release)
			assert.Equal(t, body, r.answer().Body.String())
		})
		t.Run(path+", silent for longer", func(t *testing.T) {
			release := make(chan struct{})
			r := newRaceRig(t, silentAfter(release))
			r.late.Store(int64(late))
			r.race(path)
			close(release)
			assert.Equal(t, body, r.answer().Body.String())
		})
	}
}
