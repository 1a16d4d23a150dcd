// Package stream records the response to one request as it is generated, independently of
// the connection that sent the request. The current attempt writes the record. It is read
// by the caller's connection, and by later connections of the same caller after the first
// one or its entry VM failed.
//
// Attempts are numbered. Once a new attempt starts, chunks of older ones are rejected,
// however late they arrive, and a chunk is only appended at exactly the next offset. The
// text is therefore always one response without gaps or repeats, whichever upstreams
// generated its parts.
package stream

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/fault"
)

var errs = errorx.NewNamespace("stream")

var (
	// ErrOldAttempt reports that the chunk belongs to an attempt that was replaced.
	ErrOldAttempt = errs.NewType("old_attempt").New("the chunk belongs to an older attempt")
	// ErrGap reports that the chunk's offset is not the next one.
	ErrGap = errs.NewType("gap").New("the chunk is not at the next offset")
	// ErrEnded reports that the request has ended.
	ErrEnded = errs.NewType("ended").New("the request has ended")
)

// Outcome is how a request ended, or OutcomeOpen while it has not.
type Outcome string

// The outcomes, as callers see them in the Spurhall-Outcome header.
const (
	OutcomeOpen    Outcome = ""
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Record is the response to one request. It is safe for concurrent use.
type Record struct {
	mu             sync.Mutex
	id             string
	tokens         []string
	attempt        int
	outcome        Outcome
	failure        string
	retryAfter     time.Duration
	changed        chan struct{}
	finishedAt     time.Time
	usage          Usage
	readers        int
	lastReaderLeft time.Time
}

// Usage is the engine's count of prompt tokens, and of those that were cached.
type Usage struct {
	Prompt int
	Cached int
}

// SetUsage records the engine's token count.
func (r *Record) SetUsage(u Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage = u
}

// Usage returns the engine's token count, which is zero until the response is complete.
func (r *Record) Usage() Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usage
}

// NewRecord returns an empty record.
func NewRecord(id string) *Record { return &Record{id: id, changed: make(chan struct{})} }

// Restore returns a record that continues from tokens generated elsewhere.
func Restore(id string, tokens []string, attempt int) *Record {
	r := NewRecord(id)
	r.tokens, r.attempt = append([]string(nil), tokens...), attempt
	return r
}

// ID returns the request id.
func (r *Record) ID() string { return r.id }

// StartAttempt starts a new attempt and returns its number and the offset from which it
// continues.
func (r *Record) StartAttempt() (attempt, offset int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt++
	return r.attempt, len(r.tokens)
}

// Append appends the next token of an attempt.
func (r *Record) Append(attempt, offset int, text string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.outcome != OutcomeOpen:
		return ErrEnded
	case attempt != r.attempt:
		return fault.Because(ErrOldAttempt, "attempt %d, current %d", attempt, r.attempt)
	case offset != len(r.tokens):
		return fault.Because(ErrGap, "offset %d, next %d", offset, len(r.tokens))
	}
	r.tokens = append(r.tokens, text)
	r.notifyLocked()
	return nil
}

func (r *Record) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Finish ends the request. It returns false if the request had already ended.
func (r *Record) Finish(o Outcome, failure string, retryAfter time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finishLocked(o, failure, retryAfter, now)
}

func (r *Record) finishLocked(o Outcome, failure string, retryAfter time.Duration, now time.Time) bool {
	if r.outcome != OutcomeOpen {
		return false
	}
	r.outcome, r.failure, r.retryAfter, r.finishedAt = o, failure, retryAfter, now
	r.notifyLocked()
	return true
}

// FinishAttempt ends the request as done if the attempt is still the current one.
func (r *Record) FinishAttempt(attempt int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return attempt == r.attempt && r.finishLocked(OutcomeDone, "", 0, now)
}

// View is the state of a record for a reader.
type View struct {
	Tokens     []string // from the requested offset
	Outcome    Outcome
	Failure    string
	RetryAfter time.Duration
	FinishedAt time.Time
}

// Read returns the tokens available from an offset, without waiting.
func (r *Record) Read(from int) View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.viewLocked(from)
}

func (r *Record) viewLocked(from int) View {
	v := View{Outcome: r.outcome, Failure: r.failure, RetryAfter: r.retryAfter, FinishedAt: r.finishedAt}
	if from < len(r.tokens) {
		v.Tokens = append(v.Tokens, r.tokens[from:]...)
	}
	return v
}

// Wait blocks until tokens from an offset are available, the request has ended, or the
// context is done.
func (r *Record) Wait(ctx context.Context, from int) (View, error) {
	for {
		r.mu.Lock()
		v, c := r.viewLocked(from), r.changed
		r.mu.Unlock()
		if len(v.Tokens) > 0 || v.Outcome != OutcomeOpen {
			return v, nil
		}
		select {
		case <-c:
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

// Len returns the number of tokens so far.
func (r *Record) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tokens)
}

// Attempt returns the number of the current attempt.
func (r *Record) Attempt() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempt
}

// Text returns the text of the response so far.
func (r *Record) Text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.tokens, "")
}

// Tokens returns the tokens so far.
func (r *Record) Tokens() []string { return r.Read(0).Tokens }

// AddReader counts a reader and returns the function to call when it leaves.
func (r *Record) AddReader(now func() time.Time) func() {
	r.mu.Lock()
	r.readers++
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.readers--
		r.lastReaderLeft = now()
	}
}

// UnreadSince returns the time at which the last reader left. It returns false if there is
// a reader, or has never been one.
func (r *Record) UnreadSince() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReaderLeft, r.readers == 0 && !r.lastReaderLeft.IsZero()
}
