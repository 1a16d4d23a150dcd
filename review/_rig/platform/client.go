package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what one client attempt got.
type answer struct {
	id     string
	status int
	signed string
	body   string
	events []event
	retry  time.Duration
	whole  bool
	err    error
	took   time.Duration
}

type event struct {
	id      int
	version string
	worker  string
}

// request is one client attempt.
type request struct {
	id, path, key, resumes string
	after                  int
	tokens                 string
	wait                   time.Duration
	method, body           string
	parts                  string // of the prompt; empty: a usual one
}

// attempt sends a request to a machine over a new channel.
func (r *rig) attempt(m *machine, q request) answer {
	began := time.Now()
	a := answer{id: q.id}
	ctx, cancel := context.WithTimeout(context.Background(), q.wait+500*time.Millisecond)
	defer cancel()
	d := net.Dialer{Timeout: time.Second}
	t := &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	if q.method == "" {
		q.method = http.MethodPost
	}
	h, err := http.NewRequestWithContext(ctx, q.method, "http://"+m.front()+q.path, strings.NewReader(q.body))
	r.must(err)
	h.Host = "shop.example"
	h.Header.Set("Spurhall-Request-Id", q.id)
	h.Header.Set("Spurhall-Deadline-Ms", strconv.FormatInt(q.wait.Milliseconds(), 10))
	h.Header.Set("Spurhall-Credential", q.key)
	h.Header["User-Agent"] = nil
	if q.tokens != "" {
		h.Header.Set("Spurhall-Model", "m")
		h.Header.Set("Spurhall-Token-Usage", q.tokens)
		if q.parts == "" {
			q.parts = "5c1e07a2:100," + fmt.Sprintf("%x", hash(q.id)) + ":200"
		}
		h.Header.Set("Spurhall-Prompt-Prefix", q.parts)
	}
	if q.after > 0 {
		h.Header.Set("Last-Event-Id", strconv.Itoa(q.after))
		h.Header.Set("Resumes", q.resumes)
	}
	r.note("client: sends %s to %s, %s, after event %d", q.id, m.name, q.path, q.after)
	o, err := t.RoundTrip(h)
	if err == nil {
		a.status, a.signed = o.StatusCode, o.Header.Get("Spurhall-Response-Signature")
		if s, e := strconv.ParseFloat(o.Header.Get("Retry-After"), 64); e == nil {
			a.retry = time.Duration(s * float64(time.Second))
		}
		if o.StatusCode == http.StatusOK && strings.HasPrefix(o.Header.Get("Content-Type"), "text/event-stream") {
			a.events, err = readEvents(o.Body)
		} else {
			var b []byte
			b, err = io.ReadAll(o.Body)
			a.body = string(b)
		}
		o.Body.Close()
	}
	a.whole, a.err, a.took = err == nil, err, time.Since(began)
	last := ""
	if n := len(a.events); n > 0 {
		last = fmt.Sprintf(", events %d to %d of version %s", a.events[0].id, a.events[n-1].id, versionsOf(a.events))
	}
	if a.body != "" {
		last = fmt.Sprintf(", body %.80q", a.body)
	}
	r.note("client: %s got %d%s, complete %v, error %v", q.id, a.status, last, a.whole, a.err)
	return a
}

func versionsOf(list []event) string {
	seen, names := map[string]bool{}, []string{}
	for _, e := range list {
		if !seen[e.version] {
			seen[e.version] = true
			names = append(names, e.version)
		}
	}
	return strings.Join(names, " and ")
}

// readEvents reads events until the stream ends. A part of an event doesn't count.
func readEvents(from io.Reader) ([]event, error) {
	var list []event
	b := bufio.NewReader(from)
	var v event
	for {
		line, err := b.ReadString('\n')
		if err == io.EOF && line == "" {
			return list, nil
		}
		if err != nil {
			return list, err
		}
		line = strings.TrimSpace(line)
		if s, ok := strings.CutPrefix(line, "id: "); ok {
			v.id, _ = strconv.Atoi(s)
		}
		if s, ok := strings.CutPrefix(line, "data: "); ok {
			f := strings.Fields(s)
			v.version, v.worker = f[0], f[1]
		}
		if line == "" {
			list = append(list, v)
			v = event{}
		}
	}
}

func hash(s string) uint32 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return h
}
