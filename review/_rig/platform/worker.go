package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a worker began to run.
type run struct {
	id, worker, version, tenant, after string
	at                                 time.Time
}

// worker is a worker of one service. It serves one request at a time on a channel, as the pages say.
type worker struct {
	r                          *rig
	id, service, zone, version string
	host                       string
	slots                      int
	pace                       time.Duration // between two events of a stream
	events                     int           // of a stream
	work                       time.Duration // of a plain request
	server                     *http.Server
	serve                      func(w *worker, o http.ResponseWriter, q *http.Request) bool // nil or false: as usual

	mu       sync.Mutex
	state    string
	sequence int
	born     int64
	listed   bool
	arrived  []run
	began    []run
	stopBeat chan struct{}
	down     bool
	beatAt   time.Time
	listener net.Listener
	conns    map[net.Conn]bool
}

var hosts atomic.Int64

// startWorker starts a worker, which lists itself.
func (r *rig) startWorker(id, service, zone, version string, change func(w *worker)) *worker {
	w := &worker{r: r, id: id, service: service, zone: zone, version: version, host: fmt.Sprintf("%s%d:%d", r.base, 100+hosts.Add(1), r.ports.worker), slots: 128, pace: 130 * time.Millisecond, events: 78, work: 15 * time.Millisecond, state: "ready", born: time.Now().UnixMilli(), listed: true, stopBeat: make(chan struct{}), conns: make(map[net.Conn]bool)}
	if service == "storefront-api" {
		w.slots = 6
	}
	if change != nil {
		change(w)
	}
	w.listen()
	w.beat()
	go func() {
		for {
			select {
			case <-w.stopBeat:
				return
			case <-time.After(beatTime):
				w.beat()
			}
		}
	}()
	r.note("worker %s of %s, version %s, serves at %s", id, service, version, w.host)
	return w
}

func (w *worker) listen() {
	l, err := net.Listen("tcp", w.host)
	w.r.must(err)
	s := &http.Server{Handler: http.HandlerFunc(w.handle), ConnState: func(c net.Conn, s http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if s == http.StateNew {
			w.conns[c] = true
		}
		if s == http.StateClosed {
			delete(w.conns, c)
		}
	}}
	w.mu.Lock()
	w.server, w.listener = s, l
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.listed || w.down {
		return
	}
	w.sequence++
	w.beatAt = time.Now()
	err := w.r.put("servers/"+w.id, map[string]any{
		"service": w.service, "address": w.host, "zone": w.zone, "version": w.version, "slots": w.slots, "state": w.state, "cold_remaining_ms": 0, "stage": "both",
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": w.sequence, "born": w.born,
	})
	if err != nil {
		w.r.note("worker %s: beat failed: %v", w.id, err)
	}
}

// unlist removes the worker's entry; it serves on.
func (w *worker) unlist() {
	w.mu.Lock()
	w.listed = false
	w.mu.Unlock()
	close(w.stopBeat)
	if err := w.r.remove("servers/" + w.id); err != nil {
		w.r.note("worker %s: %v", w.id, err)
	}
	w.r.note("worker %s has left the list, and serves on", w.id)
}

// crash ends the worker: its channels are reset and its address refuses new ones.
func (w *worker) crash() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	w.mu.Unlock()
	w.ended()
	w.r.note("worker %s has ended", w.id)
}

func (w *worker) ended() {
	w.mu.Lock()
	list := make([]net.Conn, 0, len(w.conns))
	for c := range w.conns {
		list = append(list, c)
	}
	s := w.server
	w.mu.Unlock()
	_ = w.listener.Close()
	for _, c := range list {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = s.Close()
}

// crashFor ends the worker; it starts again under its id. Its entry goes after three beats without a write.
func (w *worker) crashFor(d time.Duration) {
	w.mu.Lock()
	again := w.down
	lapses := time.Until(w.beatAt.Add(3 * beatTime))
	w.mu.Unlock()
	if again {
		return
	}
	w.crash()
	if lapses < d {
		time.AfterFunc(lapses, func() {
			if err := w.r.remove("servers/" + w.id); err != nil {
				w.r.note("worker %s: %v", w.id, err)
			}
		})
	}
	time.AfterFunc(d, w.restart)
}

// restart starts the worker again under its id.
func (w *worker) restart() {
	w.listen()
	w.mu.Lock()
	w.down, w.born, w.sequence = false, time.Now().UnixMilli(), 0
	w.mu.Unlock()
	w.beat()
	w.r.note("worker %s is back", w.id)
}

func (w *worker) handle(o http.ResponseWriter, q *http.Request) {
	h := q.Header
	switch {
	case q.URL.Path == "/health":
		o.Header().Set("Spurhall-Instance-Id", w.id)
		return
	case q.URL.Path == "/-/report":
		o.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(o, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":264479,"handles":0}`)
		return
	case q.URL.Path == "/-/kv-list":
		o.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(o, `{"epoch":"`+w.id+`","next_token":1,"held":[]}`)
		return
	}
	_, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if want := h.Get("Spurhall-Expect-Instance"); want != "" && want != w.id {
		o.Header().Set("Spurhall-Instance-Id", w.id)
		o.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	v := run{id: h.Get("Spurhall-Request-Id"), worker: w.id, version: w.version, tenant: h.Get("Spurhall-Tenant"), after: h.Get("Last-Event-Id"), at: time.Now()}
	w.mu.Lock()
	w.arrived = append(w.arrived, v)
	w.mu.Unlock()
	w.r.note("worker %s: %s arrives from %s, after event %q", w.id, v.id, q.RemoteAddr, v.after)
	o.Header().Set("Spurhall-Request-Id", v.id)
	if w.serve != nil && w.serve(w, o, q) {
		return
	}
	w.runs(v)
	o.Header().Set("Spurhall-Response-Signature", "sig."+w.id+"."+v.id)
	if strings.HasPrefix(w.service, "llm-") {
		w.stream(o, q, v)
		return
	}
	select {
	case <-time.After(w.work):
	case <-q.Context().Done():
		return
	}
	_, _ = io.WriteString(o, "body of "+v.id)
}

func (w *worker) runs(v run) {
	w.mu.Lock()
	w.began = append(w.began, v)
	w.mu.Unlock()
	w.r.note("worker %s runs %s", w.id, v.id)
}

func (w *worker) stream(o http.ResponseWriter, q *http.Request, v run) {
	o.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(v.after)
	f := http.NewResponseController(o)
	for n := after + 1; n <= w.events; n++ {
		select {
		case <-time.After(w.pace):
		case <-q.Context().Done():
			w.r.note("worker %s: the channel of %s has closed", w.id, v.id)
			return
		}
		if _, err := fmt.Fprintf(o, "id: %d\ndata: %s %s %d\n\n", n, w.version, w.id, n); err != nil || f.Flush() != nil {
			return
		}
	}
}

func (w *worker) runsBegun() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.began...)
}
