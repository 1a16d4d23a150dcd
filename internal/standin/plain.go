package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/timer"
)

// Plain is a plain service that counts each run by its key.
type Plain struct {
	mu     sync.Mutex
	clock  *timer.Service
	faults *Faults
	runs   map[string]int
	work   time.Duration
	name   string
}

// NewPlain returns a plain service whose calls take that long.
func NewPlain(name string, clock *timer.Service, work time.Duration) *Plain {
	return &Plain{name: name, clock: clock, faults: NewFaults(clock), runs: make(map[string]int), work: work}
}

// Fault puts a fault in force.
func (p *Plain) Fault(f Fault) { p.faults.Set(f) }

// Runs returns how often each key ran. A call without a key counts under its
// request id.
func (p *Plain) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := make(map[string]int, len(p.runs))
	for k, n := range p.runs {
		r[k] = n
	}
	return r
}

// Handler returns the service's HTTP interface.
func (p *Plain) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, p.Runs()) })
	m.HandleFunc("/", p.run)
	return p.faults.Wrap(m)
}

func (p *Plain) run(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return // the call didn't arrive whole, so it doesn't run
	}
	k := r.Header.Get("Idempotency-Key")
	if k == "" {
		k = r.Header.Get("X-Request-Id")
	}
	p.mu.Lock()
	p.runs[k]++
	n := p.runs[k]
	p.mu.Unlock()
	_ = p.clock.Sleep(r.Context(), p.work)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	reply(w, map[string]any{"service": p.name, "method": r.Method, "path": r.URL.Path, "key": k, "run": n, "bytes": len(b)})
}
