package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/catalog"
	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/pool"
)

// This file plays requests and responses for which there is no room.

// newFullRig is a raceRig with so many bytes for requests, and as many for responses.
func newFullRig(t *testing.T, room int64, serve func(attempt int, w http.ResponseWriter, q *http.Request)) *raceRig {
	t.Helper()
	r := newRaceRig(t, serve)
	r.server.o.Memory = memory.New(r.clock.Service(), 2*room, nil)
	return r
}

// TestUpstreamIsBlamedForThisNodesMemory guards against sound upstreams that count as failed, and responses that are called too
// large, since this node had no room for two at once.
func TestUpstreamIsBlamedForThisNodesMemory(t *testing.T) {
	r := newFullRig(t, 1<<20, nil)
	s := r.server
	s.o.Memory.Observe("api", 1<<20)
	other := s.o.Memory.Hold(memory.Options{Kind: memory.KindResponse, Service: "api", End: func(error) {}})
	require.NoError(t, other.Take(context.Background(), 400<<10))
	q := &request{held: s.o.Memory.Scope(), line: s.o.Link.Begin()}
	use := s.o.Pools.Pick(pool.Request{ID: "1", Service: "api"})
	require.NotNil(t, use)
	waits := func() {
		go func() { _ = other.Take(context.Background(), 400<<10) }()
		time.Sleep(20 * time.Millisecond)
	}
	a := &attempt{use: use, head: &http.Response{ContentLength: -1, Body: io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", 200<<10)), &firstRead{Reader: strings.NewReader(strings.Repeat("x", 800<<10)), do: waits}))}}
	a.holdResponse(q)
	a.beginLine(q, false)
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	err := s.readPlain(a)
	require.ErrorIs(t, err, errNoRoom)
	require.Error(t, a.ctx.Err(), "it is ended")
	err = withCause(err, context.Cause(a.ctx))
	assert.ErrorIs(t, err, errIncompleteResponse)
	assert.Equal(t, pool.ResultInconclusive, s.resultOf(context.Background(), a, err))
	assert.NotContains(t, err.Error(), "larger")
	q.held.Release()
	other.Release()
}

// firstRead is a body that does something before it is read.
type firstRead struct {
	io.Reader
	do func()
}

// Read reads.
func (r *firstRead) Read(b []byte) (int, error) {
	if r.do != nil {
		r.do()
		r.do = nil
	}
	return r.Reader.Read(b)
}

// TestRefusedBodyKeepsItsRoom guards against room that a refused request holds for as long as its caller goes on sending.
func TestRefusedBodyKeepsItsRoom(t *testing.T) {
	const limit = 2 << 20
	k, err := catalog.New(catalog.Spec{Limits: catalog.Limits{MaxBodyBytes: limit}})
	require.NoError(t, err)
	for name, c := range map[string]struct{ status, size int }{
		"too long":  {http.StatusRequestEntityTooLarge, limit + 1},
		"no room":   {http.StatusServiceUnavailable, 1 << 20},
		"broke off": {http.StatusBadRequest, 0},
	} {
		t.Run(name, func(t *testing.T) {
			room := int64(3 * limit)
			if c.status == http.StatusServiceUnavailable {
				room = 512 << 10
			}
			r := newFullRig(t, room, nil)
			r.server.o.Catalog = func() *catalog.Catalog { return k }
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", max(c.size, 100<<10))), brokenReader{c.size > 0})
			q := &request{held: r.server.o.Memory.Scope(), http: httptest.NewRequest(http.MethodPost, plainPath, body)}
			q.http.ContentLength = -1
			var refused *rejection
			require.ErrorAs(t, r.server.readBody(httptest.NewRecorder(), q), &refused)
			assert.Equal(t, c.status, refused.status)
			assert.Zero(t, r.server.o.Memory.Used(memory.KindRequest))
		})
	}
}

// brokenReader ends a body, or breaks it off.
type brokenReader struct{ sound bool }

// Read returns no bytes.
func (r brokenReader) Read([]byte) (int, error) {
	if r.sound {
		return 0, io.EOF
	}
	return 0, io.ErrUnexpectedEOF
}

// TestUsualSizeIsLearnedFromFailures guards against garbage that is spared when memory is short, since an error response as large
// made it usual.
func TestUsualSizeIsLearnedFromFailures(t *testing.T) {
	const size = 1 << 20
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		r := newFullRig(t, 32<<20, func(_ int, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		})
		before := r.server.o.Memory.Usual("api")
		r.send(plainPath)
		w := r.answer()
		assert.Equal(t, status, w.Code)
		assert.Equal(t, size, w.Body.Len())
		if status == http.StatusOK {
			assert.EqualValues(t, size, r.server.o.Memory.Usual("api"))
			continue
		}
		assert.Equal(t, before, r.server.o.Memory.Usual("api"), "after %d", status)
	}
}
