package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/upstream"
)

const (
	streamTokens = 4
	settleTime   = 100 * time.Millisecond // for goroutines to notice a clock that was moved
)

// quietEngine streams tokens, and is silent before one of them until it is told to go on.
type quietEngine struct {
	pauseAt int // token; streamTokens: none
	paused  chan struct{}
	goOn    chan struct{}
	runs    atomic.Int32
}

func newQuietEngine(pauseAt int) *quietEngine {
	return &quietEngine{pauseAt: pauseAt, paused: make(chan struct{}, 9), goOn: make(chan struct{})}
}

func (e *quietEngine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	e.runs.Add(1)
	var b struct{ Resume struct{ Offset int } }
	_ = json.NewDecoder(q.Body).Decode(&b)
	id := "chatcmpl-" + q.Header.Get("X-Request-Id")
	for i := b.Resume.Offset; i < streamTokens; i++ {
		if i == e.pauseAt {
			e.paused <- struct{}{}
			select {
			case <-e.goOn:
			case <-q.Context().Done():
				return
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i, id, i)
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
}

// quietRig is a dispatcher whose clock a test moves.
type quietRig struct {
	t      *testing.T
	clock  *timer.Manual
	table  *member.Table
	d      *Dispatcher
	record *stream.Record
	done   chan struct{}

	mu     sync.Mutex
	events map[string]int
}

func newQuietRig(t *testing.T) *quietRig {
	g := &quietRig{t: t, clock: timer.NewManual(time.Now()), table: member.NewTable(nil), record: stream.NewRecord("r"), done: make(chan struct{}), events: make(map[string]int)}
	s := g.clock.Service()
	g.d = New(Options{
		Clock: s, Client: upstream.NewClient(s, upstream.Options{ConnectTimeout: time.Second}), Table: g.table, Nodes: func() int { return 1 },
		Event: func(name, _, _ string) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.events[name]++
		},
		HallReachable: func(context.Context, string) bool { return true }, ExchangeSoon: func() {},
	})
	return g
}

func (g *quietRig) add(id string, e *quietEngine, running int32, incarnation uint64) {
	s := httptest.NewServer(e)
	g.t.Cleanup(s.Close)
	g.table.Observe(g.clock.Service().Now(), member.Fact{
		ID: id, Kind: member.KindUpstream, Service: "p", Address: s.Listener.Addr().String(), Incarnation: incarnation, Status: member.StatusLive, Slots: 4, Running: running,
	})
}

// begin starts a stream and waits until its engine is silent.
func (g *quietRig) begin(e *quietEngine) {
	c := &Chat{
		Record: g.record, Workspace: "w", MaxTokens: streamTokens, Deadline: g.clock.Service().Now().Add(time.Minute), Body: map[string]json.RawMessage{},
		Service: &config.Service{Name: "s", Pool: "p", LatencyTarget: config.Duration(time.Second)},
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(g.done)
		g.d.Chat(ctx, c)
	}()
	g.t.Cleanup(func() {
		cancel()
		<-g.done
	})
	select {
	case <-e.paused:
	case <-time.After(5 * time.Second):
		require.Fail(g.t, "the engine has not got the request")
	}
	time.Sleep(settleTime)
}

// pass lets time pass, a second at a time.
func (g *quietRig) pass(d time.Duration) {
	for ; d > 0; d -= time.Second {
		g.clock.Advance(time.Second)
		time.Sleep(settleTime / 5)
	}
	time.Sleep(settleTime)
}

func (g *quietRig) assertWhole() {
	g.t.Helper()
	select {
	case <-g.done:
	case <-time.After(5 * time.Second):
		assert.Fail(g.t, "the stream has not ended")
	}
	v := g.record.Read(0)
	assert.Equal(g.t, stream.OutcomeDone, v.Outcome, v.Failure)
	assert.Len(g.t, v.Tokens, streamTokens)
}

func (g *quietRig) event(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.events[name]
}

func TestSilentEngineIsGivenUpThoughNoOtherCanServe(t *testing.T) {
	for name, v := range map[string]struct {
		pauseAt int
		limit   time.Duration
	}{"before the first token": {0, firstByteLimit}, "between tokens": {2, betweenBytesLimit}} {
		for _, other := range []string{"alone", "beside a full one"} {
			t.Run(name+", "+other, func(t *testing.T) {
				t.Parallel()
				e, g := newQuietEngine(v.pauseAt), newQuietRig(t)
				g.add("a", e, 0, 1)
				g.begin(e)
				full := newQuietEngine(streamTokens)
				if other != "alone" {
					g.add("b", full, 4, 1)
				}
				g.pass(v.limit + 4*time.Second)
				close(e.goOn)
				g.assertWhole()
				assert.EqualValues(t, 1, e.runs.Load())
				assert.Zero(t, full.runs.Load())
				assert.Equal(t, 1, g.event("silence_borne"))
				assert.Zero(t, g.event("upstream_ejected"), "silence is not a failure")
			})
		}
	}
}

// Guards against a caller that waits for an engine that never goes on.
func TestEngineThatStaysSilentHoldsUpItsStream(t *testing.T) {
	t.Run("another engine goes on", func(t *testing.T) {
		t.Parallel()
		e, next, g := newQuietEngine(2), newQuietEngine(streamTokens), newQuietRig(t)
		g.add("a", e, 0, 1)
		g.begin(e)
		g.add("b", next, 0, 1)
		g.pass(betweenBytesLimit + time.Second)
		g.assertWhole()
		assert.EqualValues(t, 1, next.runs.Load())
		assert.Zero(t, g.d.pool("p").inFlight["b"].running, "nothing stays reserved")
	})
	t.Run("one that comes later goes on", func(t *testing.T) {
		t.Parallel()
		e, next, g := newQuietEngine(2), newQuietEngine(streamTokens), newQuietRig(t)
		g.add("a", e, 0, 1)
		g.begin(e)
		g.pass(10 * time.Second)
		g.add("b", next, 0, 1)
		g.pass(3 * time.Second)
		g.assertWhole()
		assert.EqualValues(t, 1, next.runs.Load())
	})
	t.Run("the attempt ends once its process is known to have ended", func(t *testing.T) {
		t.Parallel()
		e, g := newQuietEngine(2), newQuietRig(t)
		g.add("a", e, 0, 1)
		g.begin(e)
		g.add("a", newQuietEngine(streamTokens), 0, 2)
		g.pass(betweenBytesLimit + time.Second)
		select {
		case <-g.done:
		case <-time.After(time.Second):
			assert.Fail(t, "the stream still waits")
		}
	})
	t.Run("the caller's deadline ends it", func(t *testing.T) {
		t.Parallel()
		e, g := newQuietEngine(2), newQuietRig(t)
		g.add("a", e, 0, 1)
		c, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		g.d.Chat(c, &Chat{Record: g.record, Workspace: "w", MaxTokens: streamTokens, Deadline: g.clock.Service().Now().Add(time.Minute), Body: map[string]json.RawMessage{}, Service: &config.Service{Name: "s", Pool: "p"}})
		assert.Equal(t, stream.OutcomeUnknown, g.record.Read(0).Outcome)
	})
}
