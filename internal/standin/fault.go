// Package standin holds the small stand-ins for what spurhall meets in
// production: the platform (key-value service, VM list, cloud), model engines and
// plain services. They are for tests and the local demo and never run on an entry
// VM. Each does the least that its published protocol asks for, and each can be
// told at run time to be slow, to lose answers after the effect, to freeze, or to
// refuse:
//
//	POST /standin/fault {"mode":"lose","path":"/v3/kv/txn","count":1}
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/timer"
)

// FaultMode is how a stand-in misbehaves.
type FaultMode string

// The faults.
const (
	FaultNone   FaultMode = ""
	FaultSlow   FaultMode = "slow"   // waits, then serves
	FaultLose   FaultMode = "lose"   // serves, then cuts the connection
	FaultFreeze FaultMode = "freeze" // answers nothing until cleared
	FaultRefuse FaultMode = "refuse" // 503 before any effect
	FaultCut    FaultMode = "cut"    // cuts the connection before any effect
	FaultLate   FaultMode = "late"   // cuts the connection, and serves after the delay
	FaultBusy   FaultMode = "busy"   // 429 before any effect
)

// Fault is one fault in force. Count 0 means until it is cleared.
type Fault struct {
	Mode  FaultMode `json:"mode"`
	Path  string    `json:"path"` // a prefix; empty: every path
	Delay int64     `json:"delay_ms"`
	Count int       `json:"count"`
}

// Faults is the switch in front of a stand-in's handler.
type Faults struct {
	mu    sync.Mutex
	clock *timer.Service
	now   Fault
	clear chan struct{}
}

// NewFaults returns a switch with no fault in force.
func NewFaults(clock *timer.Service) *Faults {
	return &Faults{clock: clock, clear: make(chan struct{})}
}

// Set puts a fault in force, and lets go what the one before held.
func (f *Faults) Set(v Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = v
	close(f.clear)
	f.clear = make(chan struct{})
}

func (f *Faults) take(path string) (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.now
	if v.Mode == FaultNone || !strings.HasPrefix(path, v.Path) {
		return Fault{}, nil
	}
	if v.Count > 0 {
		f.now.Count--
		if f.now.Count == 0 {
			f.now = Fault{}
		}
	}
	return v, f.clear
}

// Wrap puts the switch in front of a handler.
func (f *Faults) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/standin/fault" {
			f.serve(w, r)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/standin/") {
			h.ServeHTTP(w, r)
			return
		}
		v, clear := f.take(r.URL.Path)
		switch v.Mode {
		case FaultSlow:
			_ = f.clock.Sleep(r.Context(), time.Duration(v.Delay)*time.Millisecond)
		case FaultFreeze:
			select {
			case <-clear:
			case <-r.Context().Done():
				return
			}
		case FaultRefuse:
			http.Error(w, "stand-in refuses", http.StatusServiceUnavailable)
			return
		case FaultBusy:
			http.Error(w, "stand-in is busy", http.StatusTooManyRequests)
			return
		case FaultCut:
			panic(http.ErrAbortHandler)
		case FaultLate:
			f.late(h, r, time.Duration(v.Delay)*time.Millisecond)
			panic(http.ErrAbortHandler)
		case FaultLose:
			h.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// late serves a copy of the request once the delay is over; nobody sees the answer.
func (f *Faults) late(h http.Handler, r *http.Request, d time.Duration) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := r.Clone(context.WithoutCancel(r.Context()))
	c.Body = io.NopCloser(bytes.NewReader(b))
	f.clock.AfterFunc(d, func() { h.ServeHTTP(&discard{header: http.Header{}}, c) })
}

func (f *Faults) serve(w http.ResponseWriter, r *http.Request) {
	var v Fault
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(v)
	w.WriteHeader(http.StatusNoContent)
}

// discard is where a lost answer goes.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
