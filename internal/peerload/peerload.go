// Package peerload measures what calls between nodes cost this one: how many there are, and how many bytes they carry.
//
// A node does work for others beside that for its callers: it serves followers as a watcher, and reports as a relay. The
// work moves from node to node, and may be more than a small VM can carry. The log has one line for each second in which
// there was much of it, with the calls that made up most.
//
// Bytes are those of bodies, as they are sent: compressed where they are. Heads and handshakes come on top.
package peerload

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/timer"
)

const (
	// interval is the time that a line is about.
	interval = time.Second
	// notedCalls and notedBytes are what a second has to have for a line: about a tenth of what a VM with 0.2 cores and a link
	// of 10 Mbit/s bears.
	notedCalls = 40
	notedBytes = 128 << 10
	// namedCalls is how many kinds of calls a line names.
	namedCalls = 4
)

// Figures are the calls of one kind, and the bytes of their bodies.
type Figures struct {
	Calls    int64
	Sent     int64
	Received int64
}

func (f *Figures) add(o Figures) {
	f.Calls += o.Calls
	f.Sent += o.Sent
	f.Received += o.Received
}

// Meter measures the calls of a node. It is safe for concurrent use.
type Meter struct {
	clock *timer.Service
	log   *zap.Logger
	// processor returns the processor time that this process has used.
	processor func() time.Duration

	mu    sync.Mutex
	kinds map[string]*Figures // in this interval
	used  time.Duration       // processor time at its beginning
}

// New returns a meter that has measured nothing.
func New(clock *timer.Service, log *zap.Logger) *Meter {
	return &Meter{clock: clock, log: log, processor: processorTime, kinds: make(map[string]*Figures)}
}

// Run writes the lines until the context ends.
func (m *Meter) Run(ctx context.Context) {
	m.mu.Lock()
	m.used = m.processor()
	m.mu.Unlock()
	m.clock.Every(ctx, interval, func(time.Time) { m.note() })
}

// Handler measures the calls that another handler serves.
func (m *Meter) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := path.Base(r.URL.Path)
		m.count(kind, Figures{Calls: 1, Received: max(0, r.ContentLength)})
		h.ServeHTTP(&writer{ResponseWriter: w, written: func(n int) { m.count(kind, Figures{Sent: int64(n)}) }}, r)
	})
}

// Transport measures the calls that go over another transport. Their kinds have the prefix "own".
func (m *Meter) Transport(t http.RoundTripper) http.RoundTripper {
	return roundTripper(func(r *http.Request) (*http.Response, error) {
		kind := "own" + path.Base(r.URL.Path)
		m.count(kind, Figures{Calls: 1, Sent: max(0, r.ContentLength)})
		a, err := t.RoundTrip(r)
		if err == nil {
			a.Body = &reader{ReadCloser: a.Body, read: func(n int) { m.count(kind, Figures{Received: int64(n)}) }}
		}
		return a, err
	})
}

func (m *Meter) count(kind string, f Figures) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.kinds[kind]
	if v == nil {
		v = new(Figures)
		m.kinds[kind] = v
	}
	v.add(f)
}

// note writes the line of the interval that ends, if there was much, and begins the next one.
func (m *Meter) note() {
	m.mu.Lock()
	kinds, before := m.kinds, m.used
	m.kinds, m.used = make(map[string]*Figures), m.processor()
	used := m.used - before
	m.mu.Unlock()
	var all Figures
	for _, f := range kinds {
		all.add(*f)
	}
	callsBetweenNodes.Add(all.Calls)
	bytesBetweenNodes.Add(all.Sent + all.Received)
	if all.Calls < notedCalls && all.Sent+all.Received < notedBytes {
		return
	}
	m.log.Info("peer_load", zap.Int64("calls", all.Calls), zap.Int64("sent_bytes", all.Sent), zap.Int64("received_bytes", all.Received),
		zap.Duration("processor", used), zap.String("most", describe(kinds)))
}

// describe names the kinds of calls with the most bytes, each with its calls and its bytes sent and received.
func describe(kinds map[string]*Figures) string {
	names := make([]string, 0, len(kinds))
	for k := range kinds {
		names = append(names, k)
	}
	size := func(k string) int64 { return kinds[k].Sent + kinds[k].Received }
	slices.SortFunc(names, func(a, b string) int {
		if size(a) != size(b) {
			return int(size(b) - size(a))
		}
		return strings.Compare(a, b)
	})
	var parts []string
	for _, k := range names[:min(len(names), namedCalls)] {
		f := kinds[k]
		parts = append(parts, fmt.Sprintf("%s:%d/%d/%d", k, f.Calls, f.Sent, f.Received))
	}
	return strings.Join(parts, ",")
}

type writer struct {
	http.ResponseWriter
	written func(n int)
}

func (w *writer) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.written(n)
	return n, err
}

// Unwrap returns the measured writer, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

type reader struct {
	io.ReadCloser
	read func(n int)
}

func (r *reader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	r.read(n)
	return n, err
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// processorTime returns the processor time that this process has used, 0 where the system doesn't say.
func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

var (
	callsBetweenNodes = expvar.NewInt("peer_calls")
	bytesBetweenNodes = expvar.NewInt("peer_bytes")
)
