package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"spurhall.example/spurhall/internal/timer"
)

// Demo is the callers of the local demo: it sends what the two example users would,
// takes an engine away in the middle of a stream, and checks what came of it.
type Demo struct {
	Platform string   // address of the stand-in
	Nodes    []string // callers' addresses
	Engines  map[string]string
	Plain    string // address of the plain service
	Out      io.Writer
	Clock    *timer.Service
	client   http.Client
	failed   bool
}

const (
	printKey   = "print-demo-key"
	courierKey = "courier-demo-key"
)

var errDemo = errors.New("the demo failed")

// Run sends everything and returns an error if anything wasn't as promised.
func (d *Demo) Run(ctx context.Context) error {
	d.client.Timeout = 30 * time.Second
	d.plainRead(ctx)
	d.keyedTwice(ctx)
	id := d.job(ctx)
	d.reclaimedStream(ctx)
	d.jobDone(ctx, id)
	if d.failed {
		return errDemo
	}
	_, _ = fmt.Fprintln(d.Out, "demo: all as promised")
	return nil
}

func (d *Demo) report(ok bool, name, format string, a ...any) {
	w := "ok    "
	if !ok {
		w, d.failed = "FAILED", true
	}
	_, _ = fmt.Fprintf(d.Out, "%s  %-28s %s\n", w, name, fmt.Sprintf(format, a...))
}

type demoAnswer struct {
	status int
	header http.Header
	body   string
}

func (d *Demo) do(ctx context.Context, method, url, key, body string, header map[string]string) demoAnswer {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+url, strings.NewReader(body))
	if err != nil {
		return demoAnswer{body: err.Error()}
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	a, err := d.client.Do(r)
	if err != nil {
		return demoAnswer{body: err.Error()}
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	return demoAnswer{status: a.StatusCode, header: a.Header, body: string(b)}
}

func (d *Demo) plainRead(ctx context.Context) {
	a := d.do(ctx, http.MethodGet, d.Nodes[0]+"/s/orders/check/17", printKey, "", nil)
	d.report(a.status == http.StatusOK && a.header.Get("Spurhall-Outcome") == "done", "plain read", "status %d, outcome %s", a.status, a.header.Get("Spurhall-Outcome"))
}

func (d *Demo) keyedTwice(ctx context.Context) {
	h := map[string]string{"Idempotency-Key": "check-in-4711"}
	a := d.do(ctx, http.MethodPost, d.Nodes[0]+"/s/dispatch/checkin", courierKey, "{}", h)
	_ = d.Clock.Sleep(ctx, 200*time.Millisecond)
	b := d.do(ctx, http.MethodPost, d.Nodes[3]+"/s/dispatch/checkin", courierKey, "{}", h)
	var runs map[string]int
	_ = json.Unmarshal([]byte(d.do(ctx, http.MethodGet, d.Plain+"/standin/runs", "", "", nil).body), &runs)
	n := runs["check-in-4711"]
	d.report(a.status == http.StatusOK && n == 1, "keyed call through two nodes", "first %d, second %d (replayed: %s), runs %d", a.status, b.status, b.header.Get("Idempotent-Replayed"), n)
}

func chatBody(model, prompt string, tokens int, stream bool) (body, text string) {
	b, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": tokens, "messages": []ChatMessage{{Role: "user", Content: prompt}},
	})
	return string(b), Answer(Prompt([]ChatMessage{{Role: "user", Content: prompt}}), tokens)
}

func (d *Demo) job(ctx context.Context) string {
	b, _ := chatBody("catalogue", "Write listing copy for forty mugs", 150, false)
	a := d.do(ctx, http.MethodPost, d.Nodes[1]+"/v1/chat/completions", printKey, b, map[string]string{"Prefer": "respond-async"})
	id := a.header.Get("X-Request-Id")
	d.report(a.status == http.StatusAccepted && id != "", "job accepted", "status %d, held by %s, id %s", a.status, a.header.Get("Spurhall-Held"), id)
	return id
}

func (d *Demo) jobDone(ctx context.Context, id string) {
	_, want := chatBody("catalogue", "Write listing copy for forty mugs", 150, false)
	var s struct {
		Status string `json:"status"`
		Result struct {
			Choices []struct {
				Message ChatMessage `json:"message"`
			} `json:"choices"`
		} `json:"result"`
	}
	for i := 0; i < 100 && s.Status != "done"; i++ {
		a := d.do(ctx, http.MethodGet, d.Nodes[2]+"/v1/jobs/"+id, printKey, "", nil)
		_ = json.Unmarshal([]byte(a.body), &s)
		_ = d.Clock.Sleep(ctx, 100*time.Millisecond)
	}
	whole := len(s.Result.Choices) == 1 && s.Result.Choices[0].Message.Content == want
	d.report(s.Status == "done" && whole, "job done, asked elsewhere", "status %s, whole %v", s.Status, whole)
}

// reclaimedStream takes the engine that serves a stream away in its middle.
func (d *Demo) reclaimedStream(ctx context.Context) {
	body, want := chatBody("riders", "Where do I drop parcel 9 off when the shop is closed", 200, true)
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Nodes[1]+"/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+courierKey)
	a, err := d.client.Do(r)
	if err != nil {
		d.report(false, "streamed chat", "%v", err)
		return
	}
	defer a.Body.Close()
	got, taken := d.readStream(ctx, a)
	d.report(got == want && taken != "", "stream over a reclaim", "engine %s taken at token 50, whole answer %v, outcome %s", taken, got == want, a.Trailer.Get("Spurhall-Outcome"))
}

func (d *Demo) readStream(ctx context.Context, a *http.Response) (text, taken string) {
	var b strings.Builder
	n := 0
	EachEvent(a.Body, func(content string) {
		b.WriteString(content)
		n++
		if n == 50 {
			taken = d.reclaim(ctx, a.Header.Get("X-Request-Id"))
		}
	})
	return b.String(), taken
}

// reclaim gives notice to the engine that runs a request, and kills it when the notice is over.
func (d *Demo) reclaim(ctx context.Context, request string) string {
	for id, address := range d.Engines {
		var s EngineStats
		_ = json.Unmarshal([]byte(d.do(ctx, http.MethodGet, address+"/standin/stats", "", "", nil).body), &s)
		if s.Runs[request] == 0 {
			continue
		}
		const notice = time.Second
		d.do(ctx, http.MethodPost, address+"/standin/leave", "", "", nil)
		b, _ := json.Marshal(map[string]any{"vm": id, "within_ns": notice})
		d.do(ctx, http.MethodPost, d.Platform+"/standin/notice", "", string(b), nil)
		go func() {
			_ = d.Clock.Sleep(ctx, notice)
			d.do(ctx, http.MethodPost, address+"/standin/die", "", "", nil)
		}()
		return id
	}
	return ""
}

// EachEvent calls f with the content of each chunk of a chat completion's stream.
func EachEvent(r io.Reader, f func(content string)) {
	b, left := make([]byte, 4096), []byte(nil)
	for {
		n, err := r.Read(b)
		left = append(left, b[:n]...)
		for {
			i := bytes.Index(left, []byte("\n\n"))
			if i < 0 {
				break
			}
			if c := eventContent(string(left[:i])); c != "" {
				f(c)
			}
			left = left[i+2:]
		}
		if err != nil {
			return
		}
	}
}

func eventContent(event string) string {
	for _, l := range strings.Split(event, "\n") {
		v, ok := strings.CutPrefix(l, "data: ")
		if !ok {
			continue
		}
		var k struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(v), &k) == nil && len(k.Choices) > 0 {
			return k.Choices[0].Delta.Content
		}
	}
	return ""
}
