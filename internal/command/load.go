package command

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"
)

// This file is the load and experiment tool. It is open-loop: requests leave at
// their times whether or not earlier ones have been answered, so that a slow system
// isn't asked less and its queues show in the figures.

func (t *tool) loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send an open-loop load and report latencies",
		Description: "Sends many-turn chats (or plain calls with --path) at a fixed rate to the callers' listeners given, one after\n" +
			"the other. Times are in milliseconds, from the time a request was due.\n\n" +
			"Example: spurhall load --target 127.0.0.1:8080 --key KEY --model assistant --rate 20 --for 10s --svg report.svg",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Required: true, Usage: "callers' address of a node; may be repeated"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "workspace's API key"},
			&cli.StringFlag{Name: "model", Usage: "chat service"},
			&cli.StringFlag{Name: "path", Usage: "plain path, such as /s/orders/check, instead of chats"},
			&cli.StringFlag{Name: "method", Value: "GET", Usage: "method of plain calls"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "requests a second"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second},
			&cli.IntFlag{Name: "chats", Value: 50, Usage: "conversations that go on in turn"},
			&cli.IntFlag{Name: "shared", Value: 200, Usage: "words of the system prompt that chats share"},
			&cli.IntFlag{Name: "turn", Value: 40, Usage: "words of each turn"},
			&cli.IntFlag{Name: "max-tokens", Value: 20},
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "of the random choices"},
			&cli.StringFlag{Name: "svg", Usage: "write a plot of the latencies to this file"},
		},
		Action: action(t.load),
	}
}

// LoadReport is the result of a load. Times are in milliseconds.
type LoadReport struct {
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	First    Quantiles      `json:"first_token_ms"`
	Between  Quantiles      `json:"between_tokens_ms"`
	Whole    Quantiles      `json:"whole_ms"`
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	whole    *hdrhistogram.Histogram
	mu       sync.Mutex
}

// Quantiles are of one latency.
type Quantiles struct {
	P50, P95, P99, Max float64
	Count              int64
}

const (
	highestMicros = 120_000_000
	digits        = 3
)

func newReport() *LoadReport {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }
	return &LoadReport{Outcomes: make(map[string]int), first: h(), between: h(), whole: h()}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	v := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: v(50), P95: v(95), P99: v(99), Max: float64(h.Max()) / 1000, Count: h.TotalCount()}
}

func (r *LoadReport) finish() {
	r.First, r.Between, r.Whole = quantiles(r.first), quantiles(r.between), quantiles(r.whole)
}

type loader struct {
	t      *tool
	c      *cli.Command
	r      *LoadReport
	client *http.Client
	shared string
	mu     sync.Mutex
	turns  []string // each conversation's messages so far, as JSON without the brackets
}

func (t *tool) load(ctx context.Context, c *cli.Command) error {
	if c.Float("rate") <= 0 || c.Int("chats") < 1 {
		return cli.Exit("--rate and --chats: use more than 0", ExitInvalid)
	}
	l := &loader{
		t: t, c: c, r: newReport(), turns: make([]string, c.Int("chats")), shared: words(rand.New(rand.NewSource(7)), c.Int("shared")),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	l.run(ctx)
	l.r.finish()
	if f := c.String("svg"); f != "" {
		if err := os.WriteFile(f, []byte(l.r.SVG()), 0o644); err != nil {
			return err
		}
	}
	return t.print(c, l.r, func(w io.Writer) { l.r.text(w) })
}

func words(r *rand.Rand, n int) string {
	var b strings.Builder
	for i := 0; i < n; i++ {
		fmt.Fprintf(&b, "x%d ", r.Intn(5000))
	}
	return b.String()
}

func (l *loader) run(ctx context.Context) {
	r := rand.New(rand.NewSource(int64(l.c.Int("seed"))))
	start := l.t.clock.Now()
	var wait sync.WaitGroup
	targets := l.c.StringSlice("target")
	n := int(l.c.Float("rate") * l.c.Duration("for").Seconds())
	for i := 0; i < n; i++ {
		due := start.Add(time.Duration(float64(i) / l.c.Float("rate") * float64(time.Second)))
		if d := due.Sub(l.t.clock.Now()); d > 0 && l.t.clock.Sleep(ctx, d) != nil {
			break
		}
		chat, text, target := r.Intn(len(l.turns)), words(r, l.c.Int("turn")), targets[r.Intn(len(targets))]
		l.r.Sent++
		wait.Add(1)
		go func() {
			defer wait.Done()
			l.one(ctx, due, target, chat, text)
		}()
	}
	wait.Wait()
}

func (l *loader) one(ctx context.Context, due time.Time, target string, chat int, text string) {
	q, err := l.request(ctx, target, chat, text)
	if err != nil {
		l.outcome("error")
		return
	}
	a, err := l.client.Do(q)
	if err != nil {
		l.outcome("error")
		return
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, a.Body)
		l.outcome(fmt.Sprintf("%d %s", a.StatusCode, a.Header.Get("Spurhall-Outcome")))
		return
	}
	answer, whole := l.read(a.Body, due)
	o := a.Header.Get("Spurhall-Outcome")
	if o == "" {
		o = a.Trailer.Get("Spurhall-Outcome")
	}
	if !whole {
		o = "broken"
	}
	l.outcome(o)
	l.remember(chat, text, answer)
}

func (l *loader) request(ctx context.Context, target string, chat int, text string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(nil)
	if p := l.c.String("path"); p != "" {
		method, path = l.c.String("method"), p
	} else {
		l.mu.Lock()
		before := l.turns[chat]
		l.mu.Unlock()
		body = []byte(fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"system","content":%q}%s,{"role":"user","content":%q}]}`,
			l.c.String("model"), l.c.Int("max-tokens"), l.shared, before, text))
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+l.c.String("key"))
	return q, nil
}

// read takes the times of the tokens, and tells whether the answer was whole.
func (l *loader) read(b io.Reader, due time.Time) (string, bool) {
	if l.c.String("path") != "" {
		_, err := io.Copy(io.Discard, b)
		l.record(l.r.whole, l.t.clock.Since(due))
		return "", err == nil
	}
	var answer strings.Builder
	last, done := due, false
	s := bufio.NewScanner(b)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		v, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if v == "[DONE]" {
			done = true
			break
		}
		var k struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(v), &k) != nil || len(k.Choices) == 0 || k.Choices[0].Delta.Content == "" {
			continue
		}
		now := l.t.clock.Now()
		h := l.r.between
		if answer.Len() == 0 {
			h = l.r.first
		}
		l.record(h, now.Sub(last))
		last = now
		answer.WriteString(k.Choices[0].Delta.Content)
	}
	_, _ = io.Copy(io.Discard, b)
	l.record(l.r.whole, l.t.clock.Since(due))
	return answer.String(), done
}

func (l *loader) record(h *hdrhistogram.Histogram, d time.Duration) {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

func (l *loader) outcome(o string) {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	l.r.Outcomes[o]++
}

// longestChat is when a conversation ends and the next begins in its place.
const longestChat = 8000

func (l *loader) remember(chat int, text, answer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turns[chat] += fmt.Sprintf(`,{"role":"user","content":%q},{"role":"assistant","content":%q}`, text, answer)
	if len(l.turns[chat]) > longestChat {
		l.turns[chat] = ""
	}
}

func (r *LoadReport) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "sent\t%d\n", r.Sent)
	for o, n := range r.Outcomes {
		_, _ = fmt.Fprintf(w, "%s\t%d\n", o, n)
	}
	_, _ = fmt.Fprintln(w, "ms\tP50\tP95\tP99\tMAX\tCOUNT")
	for _, v := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.First}, {"between tokens", r.Between}, {"whole", r.Whole}} {
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%d\n", v.name, v.q.P50, v.q.P95, v.q.P99, v.q.Max, v.q.Count)
	}
	_, _ = fmt.Fprintf(w, "\nwhole answer, by quantile:\n")
	for q := 10.0; q <= 100; q += 10 {
		v := float64(r.whole.ValueAtQuantile(q)) / 1000
		n := 0
		if r.Whole.Max > 0 {
			n = int(50 * v / r.Whole.Max)
		}
		_, _ = fmt.Fprintf(w, "%3.0f%%\t%s %.1f\n", q, strings.Repeat("#", n), v)
	}
}

// SVG draws the three latencies by quantile, each on its own scale.
func (r *LoadReport) SVG() string {
	var b strings.Builder
	b.WriteString(`<svg xmlns="http://www.w3.org/2000/svg" width="640" height="400" font-family="sans-serif" font-size="12">`)
	b.WriteString(`<rect width="640" height="400" fill="white"/>`)
	for i, v := range []struct {
		name, colour string
		h            *hdrhistogram.Histogram
	}{{"first token", "#0a5", r.first}, {"between tokens", "#05a", r.between}, {"whole", "#a50", r.whole}} {
		top := float64(max(v.h.Max(), 1))
		fmt.Fprintf(&b, `<text x="50" y="%d" fill="%s">%s: highest %.1f ms</text><polyline fill="none" stroke="%s" points="`, 20+16*i, v.colour, v.name, top/1000, v.colour)
		for q := 1.0; q <= 100; q++ {
			fmt.Fprintf(&b, "%.0f,%.0f ", 40+5.8*q, 380-300*float64(v.h.ValueAtQuantile(q))/top)
		}
		b.WriteString(`"/>`)
	}
	b.WriteString(`<text x="40" y="396">quantile, 0 to 100 %</text></svg>`)
	return b.String()
}
