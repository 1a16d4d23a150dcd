package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/retry"
	"spurhall.example/spurhall/internal/route"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/upstream"
)

// Chat is one chat completion, whose response is written to a record.
type Chat struct {
	Record      *stream.Record
	Workspace   string
	Service     *config.Service
	Body        map[string]json.RawMessage
	Prompt      route.Prompt
	MaxTokens   int
	Deadline    time.Time
	Traceparent string
	// RetryUntilDeadline is set for a job: since it has been accepted, it is retried after rejections until its
	// deadline.
	RetryUntilDeadline bool
	// TakenOver reports whether another node continues the request, so that its record must not be finished here;
	// nil if that cannot happen.
	TakenOver func() bool
}

// Silences after which a successor of an engine is looked for. The first token waits for a slot and the prefill;
// between tokens an engine is rarely silent for long.
const (
	firstByteLimit    = 20 * time.Second
	batchByteLimit    = 2 * time.Minute // batch work may wait in the engine's own queue
	betweenBytesLimit = 3 * time.Second
)

// retryInterval is how long a job waits after a rejection.
const retryInterval = 500 * time.Millisecond

// Chat runs a chat completion until its record is finished.
func (d *Dispatcher) Chat(ctx context.Context, c *Chat) {
	x, cancel := context.WithTimeout(ctx, c.Deadline.Sub(d.o.Clock.Now()))
	defer cancel()
	l := d.beginProgress(c.Record.ID())
	if c.Record.Attempt() > 0 {
		l.fire("taken") // from another node, where it may have run
	}
	for {
		err := d.chatOnce(x, c, l)
		if err == nil {
			return
		}
		if c.TakenOver != nil && c.TakenOver() {
			return
		}
		if !c.RetryUntilDeadline || x.Err() != nil {
			d.fail(c, l, err)
			return
		}
		_ = d.o.Clock.Sleep(x, retryInterval)
	}
}

func (d *Dispatcher) fail(c *Chat, l *progress, err error) {
	a := finalResponse(l.giveUp(), err)
	c.Record.Finish(a.Outcome, a.Failure, a.RetryAfter, d.o.Clock.Now())
	d.o.Event("request_failed", c.Record.ID(), string(a.Outcome)+": "+a.Failure)
}

// chatOnce admits the request and makes attempts until the response is complete or no retry is allowed.
func (d *Dispatcher) chatOnce(ctx context.Context, c *Chat, l *progress) error {
	if r := d.checkQuarantine(c.identity); r != nil {
		return r
	}
	p := d.pool(c.Service.Pool)
	size := float64(c.Prompt.Tokens)/1000 + float64(c.MaxTokens)/100
	leave, err := p.enter(ctx, admission(d, c.Record.ID(), c.Workspace, c.Service, size, c.Deadline))
	if err != nil {
		return err
	}
	defer leave()
	if !l.chart.Is("routed") { // a job that was rejected before is admitted again
		l.fire("admit")
	}
	tried := newAttempts()
	defer func() { p.release(tried.next) }()
	prefer := ""
	for {
		next, err := p.attempt(ctx, c, l, tried, prefer)
		if err == nil {
			p.mu.Lock()
			p.totals.requests++
			p.mu.Unlock()
			return nil
		}
		prefer = ""
		if r := d.recheckQuarantine(c.identity); r != nil {
			return r
		}
		if errors.Is(err, errMoved) {
			// The upstream is leaving: this is not a failure and not charged to the retry budget.
			prefer = next
			continue
		}
		if d.crashedElsewhere(c.identity, tried) {
			return err
		}
		if tried.next != nil && ctx.Err() == nil {
			d.o.Event("retry", c.Record.ID(), err.Error())
			continue
		}
		a := retry.Attempt{Repeatable: true, MayHaveRun: !errors.Is(err, upstream.ErrRejected), TimeLeft: c.Deadline.Sub(d.o.Clock.Now())}
		if ctx.Err() != nil || errors.Is(err, errNoUpstream) || !p.mayRetry(tried, a) {
			return err
		}
		d.o.Event("retry", c.Record.ID(), err.Error())
	}
}

var (
	errNoUpstream = errs.NewType("nobody").New("no upstream can take the request now")
	errMoved      = errs.NewType("moved").New("the stream was taken off a leaving upstream")
)

// attempt runs one attempt. If the stream was moved, it returns the address of the upstream that received
// the KV cache.
func (p *pool) attempt(ctx context.Context, c *Chat, l *progress, tried *attempts, prefer string) (string, error) {
	t, ok := p.choose(c, tried, prefer)
	if !ok {
		return "", p.rejectNoUpstream(c.Record.ID())
	}
	l.fire("route")
	number, offset := c.Record.StartAttempt()
	x, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m := p.track(c, t.fact.ID, cancel)
	if offset > 0 {
		p.mu.Lock()
		p.totals.resumed++
		p.mu.Unlock()
		p.d.o.Event("stream_resumed", c.Record.ID(), fmt.Sprintf("at offset %d on %s", offset, t.fact.ID))
	}
	priority, first := 0, firstByteLimit
	if c.Service.Class == config.ClassBatch {
		priority, first = 1, batchByteLimit
	}
	w := &silence{p: p, request: c, t: t, tried: tried}
	call := &upstream.ChatCall{
		RequestID: c.Record.ID(), Address: t.fact.Address, Body: c.Body, MaxTokens: c.MaxTokens,
		Priority: priority, Offset: offset, Text: c.Record.Text(), FirstTokenTimeout: first,
		TokenTimeout: betweenBytesLimit, GiveUp: w.giveUp, Traceparent: c.Traceparent, Check: func() error { return p.d.mayWrite(x, t.fact.ID) },
	}
	l.fire("send")
	startedAt := p.d.o.Clock.Now()
	err := p.d.o.Client.Chat(x, call, func(k upstream.Chunk) error {
		if k.FinishReason != "" {
			p.usage(&k.Usage)
			c.Record.SetUsage(stream.Usage{Prompt: k.Usage.Prompt, Cached: k.Usage.Details.Cached})
		}
		if k.Text == "" {
			return nil
		}
		if k.Offset == offset {
			l.fire("answer")
		}
		return c.Record.Append(number, k.Offset, k.Text)
	})
	tried.next = w.end()
	next, moved := p.untrack(c.Record.ID(), m)
	if err != nil && moved {
		p.recordOutcome(t.fact.ID, err, false)
		l.fire("lost")
		return next, errMoved
	}
	p.recordOutcome(t.fact.ID, err, ctx.Err() == nil && !errors.Is(err, upstream.ErrRejected) && !errors.Is(err, upstream.ErrWithheld))
	if err == nil {
		l.fire("finish")
		p.recordDuration(t.fact.ID, p.d.o.Clock.Since(startedAt), c.Record.Len()-offset)
		p.d.recordComplete(c.identity)
		c.Record.FinishAttempt(number, p.d.o.Clock.Now())
		return "", nil
	}
	tried.record(t.fact.ID, err, p.d.o.Clock.Since(startedAt))
	if errors.Is(err, upstream.ErrRejected) {
		go p.d.checkLeaving(t.fact.ID, t.fact.Address)
	}
	l.attemptFailed(err)
	p.d.recordSevered(ctx, err, c.identity, &t.fact)
	return "", err
}

func (p *pool) usage(u *upstream.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.totals.tokens += int64(u.Prompt)
	p.totals.cached += int64(u.Details.Cached)
}

// choose returns the upstream that received the KV cache, if there is one and it is still usable, or the one that was
// reserved while the upstream before was silent, and asks the router otherwise.
func (p *pool) choose(c *Chat, tried *attempts, prefer string) (target, bool) {
	next := tried.next
	tried.next = nil
	if prefer == "" && next != nil {
		return *next, true
	}
	p.release(next)
	if prefer == "" {
		return p.pick(c.Service, &c.Prompt, tried)
	}
	p.mu.Lock()
	p.refreshLocked()
	for i := range p.list {
		if p.list[i].Address == prefer {
			f := p.list[i].Fact
			p.countLocked(&f)
			p.mu.Unlock()
			return target{fact: f}, true
		}
	}
	p.mu.Unlock()
	return p.pick(c.Service, &c.Prompt, tried)
}
