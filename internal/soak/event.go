package soak

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

// What is what an event tells.
type What string

// The events. An upstream notes each before it acts on it, so that its own end hides none.
const (
	Arrived What = "arrived" // a request is at an upstream
	Began   What = "began"   // it runs; a stream is admitted
	Token   What = "token"   // a stream's first event is out: it counts as run in usage from then on
	Ended   What = "ended"   // its run came to its end
	Refused What = "refused" // it isn't run
	Named   What = "named"   // an answer names a rate
	Started What = "started" // an upstream's process
	Fell    What = "fell"    // an upstream that rejected too much falls over
	Crashed What = "crashed" // a run ends its upstream's process
	Slow    What = "slow"    // the event before took long to write: what followed from it came late
)

// Event is what an upstream saw.
type Event struct {
	At       time.Time `json:"at"`
	What     What      `json:"what"`
	Upstream string    `json:"upstream"`
	Service  string    `json:"service"`
	ID       string    `json:"id,omitempty"`
	Tenant   string    `json:"workspace,omitempty"`
	After    string    `json:"after,omitempty"` // the stream event after which it goes on
	Size     int       `json:"size,omitempty"`
	Rate     float64   `json:"rate,omitempty"`
	Version  string    `json:"version,omitempty"` // of the upstream's software
}

// Journal writes events as lines. It is safe for concurrent use.
type Journal struct {
	mu sync.Mutex
	f  *os.File
}

// OpenJournal appends to a file: a process that starts again goes on with the one before it.
func OpenJournal(path string) (*Journal, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &Journal{f: f}, err
}

// Note writes one event.
func (j *Journal) Note(e Event) error {
	b, err := json.Marshal(e)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, err = j.f.Write(append(b, '\n'))
	return err
}

// ReadJournal reads what has been written so far. A last line that is written halfway is left out.
func ReadJournal(path string) ([]Event, error) {
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil // nothing has come to it
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var list []Event
	r := bufio.NewReader(f)
	for {
		line, err := r.ReadBytes('\n')
		if err == io.EOF {
			return list, nil
		}
		if err != nil {
			return nil, err
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		list = append(list, e)
	}
}

// Reply is what a caller got.
type Reply struct {
	Call    Call      `json:"call"`
	ID      string    `json:"id"`
	Sent    time.Time `json:"sent"`
	Wrote   bool      `json:"wrote"` // the whole request was sent
	WroteAt time.Time `json:"wroteAt"`
	Done    time.Time `json:"done"`
	Status  int       `json:"status"` // 0: no answer
	Signed  string    `json:"signed,omitempty"`
	Whole   bool      `json:"whole"` // the answer came to its end
	Body    string    `json:"body,omitempty"`
	Retry   string    `json:"retry,omitempty"`
	Error   string    `json:"error,omitempty"`
}

// streamID is the id that a reply's stream goes by: of the attempt that brought its first event.
func (r *Reply) streamID() string { return cmp.Or(r.Call.Resumes, r.ID) }

// last is the last whole event of a stream that the caller has, of this attempt or one before.
func (r *Reply) last() int { return r.Call.After + strings.Count(r.Body, "\n\n") }

// brokeOff tells whether a stream that may be taken up has begun and isn't whole.
func (r *Reply) brokeOff() bool {
	return r.Call.Route == RouteResume && r.last() > 0 && r.last() < Pieces(r.streamID()) && !(r.good() && r.Whole)
}

// Pieces is how many events the stream of a request has.
func Pieces(id string) int {
	n := 0
	for _, c := range id {
		n += int(c)
	}
	return 4 + n%9
}

// Piece is one event of a request's stream.
func Piece(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// Body is a plain answer to a request.
func Body(id string) string { return "answer to " + id }
