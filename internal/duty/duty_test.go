package duty

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// desk is a platform that takes reports, and what the nodes know.
type fixture struct {
	t     *testing.T
	clock *timer.Manual
	kv    store.KV
	reports map[int64][]map[string]int64
	token int64
	held  bool
	err   error // of the next report of the newest window
	tally Tally

	doubted bool
}

// lose takes away how a window was settled.
func (d *fixture) loseReport(w int64) {
	d.t.Helper()
	_, err := d.kv.Txn(context.Background(), store.Txn{Then: []store.Op{{Kind: store.OpDelete, Key: key(w)}}})
	assert.NoError(d.t, err)
}

// newest is the window that has ended when a desk opens.
const newest = 199

func newFixture(t *testing.T) *fixture {
	t.Helper()
	d := &fixture{t: t, clock: timer.NewManual(time.Unix(1000, 0)), reports: map[int64][]map[string]int64{}, token: 1, held: true}
	s := httptest.NewServer(standin.NewPlatform(d.clock.Service()).Handler())
	t.Cleanup(s.Close)
	d.kv = store.NewGateway(s.URL, 5*time.Second, timer.Real()).KV()
	return d
}

func (d *fixture) reporter() *Reporter {
	c := d.clock.Service()
	return NewReporter(Options{
		Clock: c, Log: zap.NewNop(), KV: d.kv, Deadline: 10 * time.Second,
		Cloud: Cloud{Report: func(_ context.Context, _ int64, r Report) error {
			d.reports[r.Window] = append(d.reports[r.Window], r.Counts)
			if r.Window != newest {
				return nil
			}
			err := d.err
			d.err = nil
			return err
		}},
		Token: func() (int64, bool) { return d.token, d.held }, Resign: func() { d.held = false },
		Window: func(t time.Time) int64 { return t.Unix() / 5 },
		WindowEnd:    func(w int64) time.Time { return time.Unix(5*(w+1), 0) },
		Counts: func(int64) Tally { return d.tally }, MaybeReported: func(int64) bool { return d.doubted },
	})
}

// assertReported checks the reports of the newest window.
func (d *fixture) assertReported(counts ...map[string]int64) {
	d.t.Helper()
	assert.Equal(d.t, counts, d.reports[newest])
}

func TestReporter(t *testing.T) {
	ctx := context.Background()
	one := map[string]int64{"w": 1}
	t.Run("waits until all nodes have been heard", func(t *testing.T) {
		d := newFixture(t)
		r := d.reporter()
		d.tally = Tally{Counts: one}
		d.clock.Advance(completeDelay)
		r.Step(ctx)
		assert.Empty(t, d.reports[newest])
		d.tally.Complete = true
		r.Step(ctx)
		r.Step(ctx)
		d.assertReported(one)
	})
	t.Run("but not for longer than the report may", func(t *testing.T) {
		d := newFixture(t)
		r := d.reporter()
		d.tally = Tally{Counts: one}
		d.clock.Advance(6 * time.Second)
		r.Step(ctx)
		d.assertReported(one)
	})
	t.Run("a report without an answer is repeated to the letter", func(t *testing.T) {
		d := newFixture(t)
		r := d.reporter()
		d.tally, d.err = Tally{Counts: one, Complete: true}, store.ErrUnknown
		d.clock.Advance(completeDelay)
		r.Step(ctx)
		d.tally.Counts = map[string]int64{"w": 2}
		d.clock.Advance(time.Millisecond)
		r.Step(ctx)
		assert.Equal(t, one, d.reports[newest][len(d.reports[newest])-1])
	})
	t.Run("so it is by a successor that counted otherwise", func(t *testing.T) {
		d := newFixture(t)
		d.tally = Tally{Counts: one, Complete: true}
		d.clock.Advance(completeDelay)
		d.reporter().Step(ctx)
		d.tally.Counts, d.token = map[string]int64{"w": 9}, 2
		d.reporter().Step(ctx)
		d.assertReported(one, one)
	})
	t.Run("who settled a window writes it again as it was when the store has lost it", func(t *testing.T) {
		d := newFixture(t)
		r := d.reporter()
		d.tally = Tally{Counts: one, Complete: true}
		d.clock.Advance(completeDelay)
		r.Step(ctx)
		d.loseReport(newest)
		d.tally.Counts, d.token, d.doubted = map[string]int64{"w": 9}, 2, true
		r.Step(ctx)
		d.assertReported(one, one)
	})
	t.Run("who has read it, too", func(t *testing.T) {
		d := newFixture(t)
		d.tally = Tally{Counts: one, Complete: true}
		d.clock.Advance(completeDelay)
		d.reporter().Step(ctx)
		r := d.reporter()
		d.tally.Counts = map[string]int64{"w": 9}
		r.Step(ctx)
		d.loseReport(newest)
		d.token, d.doubted = 2, true
		r.Step(ctx)
		d.assertReported(one, one, one)
	})
	t.Run("another reports none that may have been", func(t *testing.T) {
		d := newFixture(t)
		d.tally = Tally{Counts: one, Complete: true}
		d.clock.Advance(completeDelay)
		d.reporter().Step(ctx)
		d.loseReport(newest)
		d.tally.Counts, d.token, d.doubted = map[string]int64{"w": 9}, 2, true
		d.reporter().Step(ctx)
		d.assertReported(one)
	})
	t.Run("a refused token ends the term", func(t *testing.T) {
		d := newFixture(t)
		d.tally, d.err = Tally{Counts: one, Complete: true}, ErrFenced
		d.clock.Advance(completeDelay)
		r := d.reporter()
		r.Step(ctx)
		assert.False(t, d.held)
		before := len(d.reports)
		r.Step(ctx)
		assert.Len(t, d.reports, before, "who doesn't hold the lease reports nothing")
	})
}
