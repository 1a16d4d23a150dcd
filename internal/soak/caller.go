package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/timer"
)

// This file is the callers: each request goes out when the day says, whatever became of those before, over
// connections that are kept until the process at the other end is gone.

const (
	// callWait is how long a caller waits for an answer, as it says in its request, and callGiveUp when it closes
	// the connection whatever comes.
	callWait   = 4 * time.Second
	callGiveUp = callWait + 3*time.Second
	keptCalls  = 32 // connections to each daemon
)

// callers send a day's requests.
type callers struct {
	clock   *timer.Service
	world   World
	clients []*http.Client
	to      []string // by daemon

	mu      sync.Mutex
	replies []Reply
}

func newCallers(clock *timer.Service, w World, to []string) *callers {
	c := &callers{clock: clock, world: w, to: to}
	for range to {
		d := &net.Dialer{Timeout: dialTimeout}
		c.clients = append(c.clients, &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: keptCalls, DisableCompression: true}})
	}
	return c
}

// play sends all calls, or those until the context ends, and returns when each has ended.
func (c *callers) play(ctx context.Context, began time.Time, calls []Call, prefix string) {
	var w sync.WaitGroup
	for i, v := range calls {
		if c.clock.Sleep(ctx, began.Add(v.At).Sub(c.clock.Now())) != nil {
			break
		}
		w.Go(func() { c.callAndTakeUp(ctx, v, fmt.Sprintf("%s-%d", prefix, i)) })
	}
	w.Wait()
}

func (c *callers) note(r Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies = append(c.replies, r)
}

// known returns what has come so far.
func (c *callers) known() []Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Reply(nil), c.replies...)
}

const (
	takeUps    = 4                      // attempts at taking a stream up
	takeUpWait = 220 * time.Millisecond // between two of them, which is more than a refusal asks for
)

// callAndTakeUp sends a request, and takes its stream up at other daemons while it breaks off and there is time.
func (c *callers) callAndTakeUp(ctx context.Context, v Call, id string) {
	began := c.clock.Now()
	r := c.call(v, id, callWait)
	c.note(r)
	for i := 1; i <= takeUps && r.brokeOff() && ctx.Err() == nil; i++ {
		left := callWait - c.clock.Since(began)
		if left < takeUpWait {
			return
		}
		v.Resumes, v.After, v.Daemon = r.streamID(), r.last(), (v.Daemon+1)%len(c.to)
		r = c.call(v, fmt.Sprintf("%s-again-%d", id, i), left)
		c.note(r)
		if !r.good() && c.clock.Sleep(ctx, takeUpWait) != nil {
			return
		}
	}
}

func (c *callers) call(v Call, id string, wait time.Duration) Reply {
	r := Reply{Call: v, ID: id, Sent: c.clock.Wall()}
	ctx, cancel := context.WithTimeout(context.Background(), callGiveUp)
	defer cancel()
	var wrote sent
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { wrote.set(i.Err == nil, c.clock.Wall()) }})
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.to[v.Daemon]+"/"+string(v.Route)+"/x", io.NopCloser(strings.NewReader(v.body(id))))
	if err == nil {
		h.ContentLength = int64(len(v.body(id)))
		c.world.WriteCall(h, v, id, wait)
		err = c.exchange(h, v, &r)
	}
	if err != nil {
		r.Error = err.Error()
	}
	r.Done = c.clock.Wall()
	r.Wrote, r.WroteAt = wrote.get()
	return r
}

// body is what a call sends.
func (c Call) body(id string) string { return "ask " + id + strings.Repeat(" ", c.Upload) }

// sent is whether and when a request was sent whole; the transport says so on a goroutine of its own, at times after
// the answer has come.
type sent struct {
	mu    sync.Mutex
	whole bool
	at    time.Time
}

func (s *sent) set(whole bool, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole, s.at = whole, at
}

func (s *sent) get() (whole bool, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole, s.at
}

func (c *callers) exchange(h *http.Request, v Call, r *Reply) error {
	a, err := c.clients[v.Daemon].Do(h)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	r.Status, r.Signed, r.Retry = a.StatusCode, c.world.Signed(a.Header), a.Header.Get("Retry-After")
	b, err := io.ReadAll(a.Body)
	r.Body, r.Whole = string(b), err == nil
	return err
}
