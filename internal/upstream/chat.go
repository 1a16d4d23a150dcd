package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"spurhall.example/spurhall/internal/fault"
)

// This file has the calls to model engines: streamed chat completions, and the calls that
// move a stream from one engine to another.

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Text returns the message's content as text; content in parts is returned as JSON.
func (m *Message) Text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

// ChatCall is one attempt at a chat completion.
type ChatCall struct {
	RequestID         string
	Address           string
	Body              map[string]json.RawMessage // as received from the caller
	MaxTokens         int
	Priority          int // lower goes first
	Offset            int // tokens that the caller has already received
	Text              string
	FirstTokenTimeout time.Duration // until the first token
	TokenTimeout      time.Duration // between two tokens
	// GiveUp is called after a time-out, and from then on while the engine is silent. It reports whether the attempt is to
	// end. nil: it ends.
	GiveUp      func() bool
	Traceparent string
	Check       func() error // called just before the first byte is written (DoChecked); nil: none
}

// Chunk is one token, or the end of the stream.
type Chunk struct {
	Offset       int
	Text         string
	FinishReason string
	Usage        Usage
}

// Usage is the engine's count of tokens.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Details    struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type resume struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

func (c *ChatCall) encode() ([]byte, error) {
	b := make(map[string]json.RawMessage, len(c.Body)+4)
	for k, v := range c.Body {
		b[k] = v
	}
	set := func(k string, v any) {
		j, _ := json.Marshal(v)
		b[k] = j
	}
	set("stream", true)
	set("max_tokens", c.MaxTokens)
	set("priority", c.Priority)
	delete(b, "resume")
	if c.Offset > 0 {
		set("resume", resume{Offset: c.Offset, Text: c.Text})
	}
	return json.Marshal(b)
}

// Chat sends one attempt and passes each chunk to f, in order and without gaps from the
// requested offset. It returns nil only if the engine has marked the response as complete.
func (c *Client) Chat(ctx context.Context, call *ChatCall, f func(Chunk) error) error {
	b, err := call.encode()
	if err != nil {
		return fault.Because(ErrNotSent, "%v", err)
	}
	x, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r, err := http.NewRequestWithContext(x, http.MethodPost, "http://"+call.Address+"/v1/chat/completions", bytes.NewReader(b))
	if err != nil {
		return fault.Because(ErrNotSent, "%v", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", call.RequestID)
	if call.Traceparent != "" {
		r.Header.Set("Traceparent", call.Traceparent)
	}
	stall := func() { cancel(ErrStalled) }
	stopWatch := c.watchSilence(x, call, call.FirstTokenTimeout, stall)
	a, err := c.DoChecked(r, false, call.Check)
	if err != nil {
		stopWatch()
		return stallError(x, err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		stopWatch()
		return statusError(a)
	}
	err = call.readStream(a.Body, func(k Chunk) error {
		stopWatch()
		stopWatch = c.watchSilence(x, call, call.TokenTimeout, stall)
		return f(k)
	})
	stopWatch()
	return stallError(x, err)
}

// giveUpInterval is how long an engine that has been silent for too long is waited for before GiveUp is called again: less
// than another engine takes to start, and far more than the call costs.
const giveUpInterval = time.Second

// watchSilence calls f once the engine has been silent for d and the attempt is to end.
func (c *Client) watchSilence(ctx context.Context, call *ChatCall, d time.Duration, f func()) (stop func()) {
	x, cancel := context.WithCancel(ctx)
	c.clock.Watchdog(x, d, func() {
		for call.GiveUp != nil && !call.GiveUp() {
			if c.clock.Sleep(x, giveUpInterval) != nil {
				return
			}
		}
		f()
	})
	return cancel
}

// stallError returns ErrStalled if a stall caused the error, else the error.
func stallError(x context.Context, err error) error {
	if err != nil && context.Cause(x) == ErrStalled { //nolint:errorlint // set by us, never wrapped
		return fault.Because(ErrStalled, "%v", err)
	}
	return err
}

// statusError returns the error for a status other than 200. An engine responds with 429 or
// 503 before it runs anything; any other status may come after it has started.
func statusError(a *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(a.Body, 512))
	if a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests {
		return Rejected(a, string(bytes.TrimSpace(b)))
	}
	return fault.Because(ErrMayHaveRun, "status %d: %s", a.StatusCode, bytes.TrimSpace(b))
}

type chunkJSON struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage Usage `json:"usage"`
}

// maxEventBytes bounds the length of one line of a stream.
const maxEventBytes = 1 << 20

// readStream reads server-sent events. The event's id is the offset; if an engine sends no
// ids, events are counted from the requested offset.
func (c *ChatCall) readStream(b io.Reader, f func(Chunk) error) error {
	s := bufio.NewScanner(b)
	s.Buffer(make([]byte, 0, 4096), maxEventBytes)
	next, offset, finished := c.Offset, -1, false
	for s.Scan() {
		line := s.Text()
		if v, ok := strings.CutPrefix(line, "id:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(v))
			if err != nil {
				return fault.Because(ErrOffset, "event id %q", v)
			}
			offset = n
			continue
		}
		v, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		v = strings.TrimSpace(v)
		if v == "[DONE]" {
			if !finished {
				return fault.Because(ErrMayHaveRun, "the stream ended without a finish reason")
			}
			return nil
		}
		k, err := c.parseChunk(v, offset, next)
		if err != nil {
			return err
		}
		offset = -1
		if finished {
			return fault.Because(ErrOffset, "the stream went on after its end")
		}
		finished = k.FinishReason != ""
		if k.Text != "" {
			next++
		}
		if err := f(k); err != nil {
			return err
		}
	}
	if err := s.Err(); err != nil {
		return sentError(err)
	}
	return fault.Because(ErrMayHaveRun, "the stream was cut at offset %d", next)
}

func (c *ChatCall) parseChunk(v string, offset, next int) (Chunk, error) {
	var j chunkJSON
	if err := json.Unmarshal([]byte(v), &j); err != nil {
		return Chunk{}, fault.Because(ErrMayHaveRun, "malformed event: %v", err)
	}
	if j.ID != "chatcmpl-"+c.RequestID {
		return Chunk{}, fault.Because(ErrRequestMismatch, "got %q", j.ID)
	}
	if offset < 0 {
		offset = next
	}
	if offset != next {
		return Chunk{}, fault.Because(ErrOffset, "want %d, got %d", next, offset)
	}
	k := Chunk{Offset: offset, Usage: j.Usage}
	if len(j.Choices) > 0 {
		k.Text, k.FinishReason = j.Choices[0].Delta.Content, j.Choices[0].Finish
	}
	return k, nil
}

// Export asks an engine to send the KV cache of a request to another engine.
func (c *Client) Export(ctx context.Context, address, request, to string) error {
	return c.post(ctx, address, "/v1/kv/export", map[string]string{"request": request, "to": to})
}

// Cancel tells an engine to stop generating for a request.
func (c *Client) Cancel(ctx context.Context, address, request string) error {
	return c.post(ctx, address, "/v1/cancel", map[string]string{"request": request})
}

func (c *Client) post(ctx context.Context, address, path string, in any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := c.Do(r, true)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode/100 != 2 {
		return fault.Because(ErrRejected, "%s: status %d", path, a.StatusCode)
	}
	return nil
}

// Load is the load that an engine reports.
type Load struct {
	Running int32 `json:"running"`
	Queued  int32 `json:"queued"`
	Slots   int32 `json:"slots"`
	Leaving bool  `json:"leaving"`
}

// Load asks an engine for its load.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/load", address), nil)
	if err != nil {
		return Load{}, err
	}
	a, err := c.Do(r, true)
	if err != nil {
		return Load{}, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return Load{}, fault.Because(ErrRejected, "load: status %d", a.StatusCode)
	}
	var l Load
	err = json.NewDecoder(a.Body).Decode(&l)
	return l, err
}
