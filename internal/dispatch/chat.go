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

// Chat is one chat completion to be run into a record.
type Chat struct {
	Record      *stream.Record
	Workspace   string
	Service     *config.Service
	Body        map[string]json.RawMessage
	Prompt      route.Prompt
	MaxTokens   int
	Deadline    time.Time
	Traceparent string
	// Patient is set for a job: it waits out refusals until its deadline, since it
	// was accepted.
	RetryUntilDeadline bool
	// Moved tells whether the request goes on at another node, so that its record
	// must not end here; nil if it never does.
	TakenOver func() bool
}

// Silences after which an engine counts as stalled. The first token waits for a
// slot and the prefill; between tokens an engine is never silent for long.
const (
	firstByteLimit = 20 * time.Second
	batchByteLimit = 2 * time.Minute // batch work may wait in the engine's own queue
	betweenLimit   = 3 * time.Second
)

// patience is how long a job waits after a refusal.
const patience = 500 * time.Millisecond

// Chat runs a chat completion until its record has ended.
func (d *Dispatcher) Chat(ctx context.Context, c *Chat) {
	x, cancel := context.WithTimeout(ctx, c.Deadline.Sub(d.o.Clock.Now()))
	defer cancel()
	l := d.begin(c.Record.ID())
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
		_ = d.o.Clock.Sleep(x, patience)
	}
}

func (d *Dispatcher) fail(c *Chat, l *life, err error) {
	a := givenUp(l.giveUp(), err)
	c.Record.Finish(a.Outcome, a.Failure, a.RetryAfter, d.o.Clock.Now())
	d.o.Event("request_failed", c.Record.ID(), string(a.Outcome)+": "+a.Failure)
}

// chatOnce admits and attempts until the answer is whole or no retry is allowed.
func (d *Dispatcher) chatOnce(ctx context.Context, c *Chat, l *life) error {
	if r := d.withheld(c.identity); r != nil {
		return r
	}
	p := d.pool(c.Service.Pool)
	size := float64(c.Prompt.Tokens)/1000 + float64(c.MaxTokens)/100
	leave, err := p.enter(ctx, admission(d, c.Record.ID(), c.Workspace, c.Service, size, c.Deadline))
	if err != nil {
		return err
	}
	defer leave()
	if !l.l.Is("routed") { // a job that was refused before is admitted again
		l.fire("admit")
	}
	tried := newTries()
	prefer := ""
	for {
		next, err := p.attempt(ctx, c, l, tried, prefer)
		if err == nil {
			p.mu.Lock()
			p.spent.requests++
			p.mu.Unlock()
			return nil
		}
		prefer = ""
		if r := d.held(c.identity); r != nil {
			return r
		}
		if errors.Is(err, errMoved) {
			// The upstream leaves: not a failure, and not paid from the retry budget.
			prefer = next
			continue
		}
		if d.endedElsewhere(c.identity, tried) {
			return err
		}
		a := retry.Attempt{Repeatable: true, MayHaveRun: !errors.Is(err, upstream.ErrRejected), TimeLeft: c.Deadline.Sub(d.o.Clock.Now())}
		if ctx.Err() != nil || errors.Is(err, errNobody) || !p.again(tried, a) {
			return err
		}
		d.o.Event("retry", c.Record.ID(), err.Error())
	}
}

var (
	errNobody = errs.NewType("nobody").New("no upstream can take the request now")
	errMoved  = errs.NewType("moved").New("the stream was taken off a leaving upstream")
)

// attempt runs one attempt. After a move it returns the address that the stream's
// KV cache went to.
func (p *pool) attempt(ctx context.Context, c *Chat, l *life, tried *tries, prefer string) (string, error) {
	t, ok := p.choose(c, tried, prefer)
	if !ok {
		return "", p.nobody(c.Record.ID())
	}
	l.fire("route")
	number, offset := c.Record.StartAttempt()
	x, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m := p.track(c, t.fact.ID, cancel)
	if offset > 0 {
		p.mu.Lock()
		p.spent.resumed++
		p.mu.Unlock()
		p.d.o.Event("stream_resumed", c.Record.ID(), fmt.Sprintf("at offset %d on %s", offset, t.fact.ID))
	}
	priority, first := 0, firstByteLimit
	if c.Service.Class == config.ClassBatch {
		priority, first = 1, batchByteLimit
	}
	call := &upstream.ChatCall{
		RequestID: c.Record.ID(), Address: t.fact.Address, Body: c.Body, MaxTokens: c.MaxTokens,
		Priority: priority, Offset: offset, Text: c.Record.Text(), FirstTokenTimeout: first,
		TokenTimeout: betweenLimit, Traceparent: c.Traceparent,
	}
	l.fire("send")
	begun := p.d.o.Clock.Now()
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
	next, moved := p.untrack(c.Record.ID(), m)
	if err != nil && moved {
		p.landed(t.fact.ID, err, false)
		l.fire("lost")
		return next, errMoved
	}
	p.landed(t.fact.ID, err, ctx.Err() == nil && !errors.Is(err, upstream.ErrRejected))
	if err == nil {
		l.fire("finish")
		p.measured(t.fact.ID, p.d.o.Clock.Since(begun), c.Record.Len()-offset)
		p.d.answered(c.identity)
		c.Record.FinishAttempt(number, p.d.o.Clock.Now())
		return "", nil
	}
	tried.note(t.fact.ID, err, p.d.o.Clock.Since(begun))
	if errors.Is(err, upstream.ErrRejected) {
		go p.d.checkLeaving(t.fact.ID, t.fact.Address)
	}
	l.failed(err)
	p.d.broke(ctx, err, c.identity, &t.fact)
	return "", err
}

func (p *pool) usage(u *upstream.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spent.tokens += int64(u.Prompt)
	p.spent.cached += int64(u.Details.Cached)
}

// choose takes the upstream that the KV cache went to, if there is one and it is
// still usable, and asks the router otherwise.
func (p *pool) choose(c *Chat, tried *tries, prefer string) (target, bool) {
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
