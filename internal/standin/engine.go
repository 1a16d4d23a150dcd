package standin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurhall.example/spurhall/internal/timer"
)

// Engine is a model engine: chat completions with server-sent events, continuous
// batching with priorities, a bounded prefix cache, KV export and import, resume
// at an offset, fenced orders and lagged load. A token is a word. The answer to a
// prompt is a fixed function of the prompt, so that a test can tell a whole
// answer from a mixed one without having seen it before.
type Engine struct {
	mu      sync.Mutex
	clock   *timer.Service
	faults  *Faults
	o       EngineOptions
	client  *http.Client
	running int
	waiting []*ticket
	cache   *prefixCache
	imports map[string]int // request id to tokens whose KV was imported
	streams map[string]*stream
	leaving bool
	stats   EngineStats
	fence   int64
	loads   []LoadReport
	model   string
	events  []CacheEvent
	die     chan struct{}
}

// EngineOptions sets an engine.
type EngineOptions struct {
	ID          string
	Slots       int
	Prefill     time.Duration // per uncached prompt token
	Decode      time.Duration // between tokens
	CacheTokens int
	Transfer    time.Duration // per token of an exported KV cache
	LoadLag     time.Duration
	EchoID      string // answers with this id instead of the request's, if set
}

// EngineStats counts what the engine did.
type EngineStats struct {
	Requests   int            `json:"requests"`
	Prefilled  int            `json:"prefilled_tokens"`
	Cached     int            `json:"cached_tokens"`
	Recomputed int            `json:"recomputed_tokens"`
	Generated  int            `json:"generated_tokens"`
	Cancelled  int            `json:"cancelled"`
	Runs       map[string]int `json:"runs"`
}

// LoadReport is what the engine says of its load.
type LoadReport struct {
	At      time.Time `json:"at"`
	Running int32     `json:"running"`
	Queued  int32     `json:"queued"`
	Slots   int32     `json:"slots"`
	Leaving bool      `json:"leaving"`
}

// CacheEvent is one change of the prefix cache. Sequence numbers may have gaps.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   uint64 `json:"prefix,string"`
	Evicted  bool   `json:"evicted"`
}

type ticket struct {
	priority int
	ready    chan struct{}
}

type stream struct {
	tokens int
	cancel chan struct{}
	once   sync.Once
}

// NewEngine returns an idle engine.
func NewEngine(clock *timer.Service, o EngineOptions) *Engine {
	return &Engine{
		clock: clock, faults: NewFaults(clock), o: o, client: &http.Client{Timeout: 30 * time.Second},
		cache: newPrefixCache(o.CacheTokens), imports: make(map[string]int), streams: make(map[string]*stream),
		stats: EngineStats{Runs: make(map[string]int)}, die: make(chan struct{}),
	}
}

// Fault puts a fault in force.
func (e *Engine) Fault(f Fault) { e.faults.Set(f) }

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Runs = make(map[string]int, len(e.stats.Runs))
	for k, n := range e.stats.Runs {
		s.Runs[k] = n
	}
	return s
}

// Leave makes the engine refuse new work; what runs goes on.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Die cuts every stream and refuses everything from now on.
func (e *Engine) Die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.die:
	default:
		close(e.die)
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.handleChat)
	m.HandleFunc("POST /v1/cancel", e.handleCancel)
	m.HandleFunc("POST /v1/kv/export", e.handleExport)
	m.HandleFunc("POST /v1/kv/import", e.handleImport)
	m.HandleFunc("POST /v1/orders", e.handleOrder)
	m.HandleFunc("GET /v1/load", e.handleLoad)
	m.HandleFunc("GET /v1/cache/events", e.handleEvents)
	m.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.Stats()) })
	m.HandleFunc("POST /standin/leave", func(w http.ResponseWriter, _ *http.Request) { e.Leave(); w.WriteHeader(http.StatusNoContent) })
	m.HandleFunc("POST /standin/die", func(w http.ResponseWriter, _ *http.Request) { e.Die(); w.WriteHeader(http.StatusNoContent) })
	return e.faults.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-e.die:
			if !strings.HasPrefix(r.URL.Path, "/standin/") {
				panic(http.ErrAbortHandler)
			}
		default:
		}
		m.ServeHTTP(w, r)
	}))
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Priority  int           `json:"priority"`
	Resume    *struct {
		Offset int    `json:"offset"`
		Text   string `json:"text"`
	} `json:"resume"`
}

// Prompt returns a chat's text, as the engine sees it.
func Prompt(list []ChatMessage) string {
	var b strings.Builder
	for _, m := range list {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Token returns the engine's i-th token of the answer to a prompt.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%d %s", i, prompt))
	return fmt.Sprintf("w%03d ", h%1000)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := 0; i < tokens; i++ {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var in chatRequest
	if !decode(w, r, &in) {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if !e.admit(w, r, in.Priority, id) {
		return
	}
	defer e.release()
	e.serve(w, r, id, &in)
}

// admit waits for a slot, live work first.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request, priority int, id string) bool {
	e.mu.Lock()
	if e.leaving {
		e.mu.Unlock()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return false
	}
	e.stats.Runs[id]++
	e.stats.Requests++
	if e.running < e.o.Slots {
		e.running++
		e.noteLoadLocked()
		e.mu.Unlock()
		return true
	}
	t := &ticket{priority: priority, ready: make(chan struct{})}
	e.waiting = append(e.waiting, t)
	e.noteLoadLocked()
	e.mu.Unlock()
	select {
	case <-t.ready:
		return true
	case <-e.die:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, o := range e.waiting {
		if o == t {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return false
		}
	}
	e.releaseLocked() // the slot came while the caller left
	return false
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked()
}

func (e *Engine) releaseLocked() {
	best := -1
	for i, t := range e.waiting {
		if best < 0 || t.priority < e.waiting[best].priority {
			best = i
		}
	}
	if best < 0 {
		e.running--
		e.noteLoadLocked()
		return
	}
	t := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	close(t.ready)
	e.noteLoadLocked()
}

func (e *Engine) noteLoadLocked() {
	e.loads = append(e.loads, LoadReport{
		At: e.clock.Now(), Running: int32(e.running), Queued: int32(len(e.waiting)), Slots: int32(e.o.Slots),
	})
	if len(e.loads) > 1000 {
		e.loads = append([]LoadReport(nil), e.loads[500:]...)
	}
}

// prefill returns how many tokens have to be computed, and notes the counts.
func (e *Engine) prefill(id, prompt string, in *chatRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	words := strings.Fields(prompt)
	total, offset := len(words), 0
	if in.Resume != nil {
		offset = in.Resume.Offset
		total += offset
	}
	have := e.cache.lookup(words)
	if n, ok := e.imports[id]; ok {
		have = max(have, n)
		delete(e.imports, id)
	}
	have = min(have, total)
	evicted := e.cache.insert(words)
	for _, p := range evicted {
		e.eventLocked(p, true)
	}
	e.eventLocked(xxhash.Sum64String(strings.Join(words[:min(len(words), blockTokens)], " ")), false)
	e.stats.Prefilled += total - have
	e.stats.Cached += have
	if in.Resume != nil {
		e.stats.Recomputed += total - have
	}
	return total - have
}

func (e *Engine) eventLocked(prefix uint64, evicted bool) {
	e.events = append(e.events, CacheEvent{Sequence: len(e.events) + 1, Prefix: prefix, Evicted: evicted})
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, id string, in *chatRequest) {
	prompt := Prompt(in.Messages)
	cost := e.prefill(id, prompt, in)
	s := &stream{cancel: make(chan struct{}), tokens: len(strings.Fields(prompt))}
	e.mu.Lock()
	e.streams[id] = s
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.streams[id] == s {
			delete(e.streams, id)
		}
		e.mu.Unlock()
	}()
	f, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	if !e.wait(r, s, time.Duration(cost)*e.o.Prefill) {
		return
	}
	start := 0
	if in.Resume != nil {
		start = in.Resume.Offset
	}
	echo := id
	if e.o.EchoID != "" {
		echo = e.o.EchoID
	}
	for i := start; i < in.MaxTokens; i++ {
		if !e.wait(r, s, e.o.Decode) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", i, echo, Token(prompt, i))
		f.Flush()
		e.mu.Lock()
		e.stats.Generated++
		s.tokens++
		e.mu.Unlock()
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n",
		in.MaxTokens, echo, len(strings.Fields(prompt)), in.MaxTokens, len(strings.Fields(prompt))-min(cost, len(strings.Fields(prompt))))
	f.Flush()
}

func (e *Engine) wait(r *http.Request, s *stream, d time.Duration) bool {
	c, stop := e.clock.After(d)
	defer stop()
	select {
	case <-c:
		return true
	case <-s.cancel:
		e.mu.Lock()
		e.stats.Cancelled++
		e.mu.Unlock()
	case <-r.Context().Done():
	case <-e.die:
	}
	panic(http.ErrAbortHandler)
}
