package job

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/timer"
)

// lossy is a platform whose transactions can lose their answers after the effect, or be
// held back and have it later.
type lossy struct {
	store.KV
	mode string
	held []store.Txn
}

func newLossy(t *testing.T) *lossy {
	s := httptest.NewServer(standin.NewPlatform(timer.Real()).Handler())
	t.Cleanup(s.Close)
	l := &lossy{KV: store.NewGateway(s.URL, time.Second, timer.Real()).KV()}
	real := l.KV.Txn
	l.KV.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
		switch l.mode {
		case "after":
			_, _ = real(ctx, x)
			return store.TxnResult{}, store.ErrUnknown
		case "late":
			l.held = append(l.held, x)
			return store.TxnResult{}, store.ErrUnknown
		case "down":
			return store.TxnResult{}, store.ErrUnavailable
		}
		return real(ctx, x)
	}
	return l
}

func (l *lossy) deliver(t *testing.T) {
	l.mode = ""
	for _, x := range l.held {
		_, err := l.KV.Txn(context.Background(), x)
		require.NoError(t, err)
	}
}

func startJournal(t *testing.T, l *lossy) *Journal {
	j := New(l.KV, timer.Real(), time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go j.Run(ctx)
	return j
}

func TestAcceptSaysWhatIsCertain(t *testing.T) {
	ctx := context.Background()
	l := newLossy(t)
	j := startJournal(t, l)
	s := request.Spec{ID: "a", Owner: "n1"}
	l.mode = "after"
	assert.NoError(t, j.Accept(ctx, s), "read back")
	l.mode = "down"
	s.ID = "b"
	assert.ErrorIs(t, j.Accept(ctx, s), ErrNotWritten)
	l.mode = "late"
	s.ID = "c"
	assert.ErrorIs(t, j.Accept(ctx, s), ErrUncertain, "absent now says nothing of later")
	t.Run("withdrawn, the late write finds the key taken", func(t *testing.T) {
		l.mode = ""
		require.NoError(t, j.Withdraw(ctx, s))
		l.deliver(t)
		got, _, err := j.Get(ctx, "c")
		require.NoError(t, err)
		assert.Equal(t, stream.OutcomeNotRun, got.Outcome, "nobody takes it over and runs it")
	})
}

func TestOnlyOneAnswerStands(t *testing.T) {
	ctx := context.Background()
	l := newLossy(t)
	j := startJournal(t, l)
	s := request.Spec{ID: "a", Owner: "n1"}
	require.NoError(t, j.Accept(ctx, s))
	got, revision, err := j.Get(ctx, "a")
	require.NoError(t, err)
	require.NoError(t, j.TakeOver(ctx, got, revision, "n2"))
	assert.ErrorIs(t, j.TakeOver(ctx, got, revision, "n3"), ErrNotOwner, "one of two takes it")
	done := func(owner string, mode string) error {
		l.mode = mode
		v := request.Spec{ID: "a", Owner: owner, Outcome: stream.OutcomeDone, Tokens: []string{owner}}
		err := j.Finish(ctx, v, func(o string) bool { return o == owner })
		l.mode = ""
		return err
	}
	assert.ErrorIs(t, done("n1", ""), ErrNotOwner, "the old owner comes back late")
	assert.Error(t, done("n2", "after"), "its answer is lost")
	assert.NoError(t, done("n2", ""), "the same answer again is no other answer")
	got, _, err = j.Get(ctx, "a")
	require.NoError(t, err)
	assert.Equal(t, []string{"n2"}, got.Tokens)
}
