package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// This file is what the engine takes beside chats: cancels, moves of a stream's memory,
// orders, and its reports.

type requestName struct {
	Request string `json:"request"`
	To      string `json:"to"`
	Tokens  int    `json:"tokens"`
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var in requestName
	if !decode(w, r, &in) {
		return
	}
	e.mu.Lock()
	s := e.streams[in.Request]
	e.mu.Unlock()
	if s != nil {
		s.once.Do(func() { close(s.cancel) })
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var in requestName
	if !decode(w, r, &in) {
		return
	}
	e.mu.Lock()
	s := e.streams[in.Request]
	n := 0
	if s != nil {
		n = s.tokens
	}
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	_ = e.clock.Sleep(r.Context(), time.Duration(n)*e.o.Transfer)
	b, _ := json.Marshal(requestName{Request: in.Request, Tokens: n})
	a, err := e.client.Post("http://"+in.To+"/v1/kv/import", "application/json", bytes.NewReader(b))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	_ = a.Body.Close()
	w.WriteHeader(a.StatusCode)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var in requestName
	if !decode(w, r, &in) {
		return
	}
	e.mu.Lock()
	e.imports[in.Request] = in.Tokens
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// handleOrder takes a fenced order: one with a lower token than the highest seen
// is refused.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Fence int64  `json:"fence"`
		Model string `json:"model"`
	}
	if !decode(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if in.Fence < e.fence {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	e.fence, e.model = in.Fence, in.Model
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := LoadReport{Slots: int32(e.o.Slots)}
	at := e.clock.Now().Add(-e.o.LoadLag)
	for _, l := range e.loads {
		if !l.At.After(at) {
			v = l
		}
	}
	v.Leaving = e.leaving
	reply(w, v)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	var after int
	_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []CacheEvent{}
	if after >= 0 && after < len(e.events) {
		list = append(list, e.events[after:]...)
	}
	reply(w, list)
}
