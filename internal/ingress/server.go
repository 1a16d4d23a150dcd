// Package ingress is the HTTP interface for callers: model requests as OpenAI-style
// chat completions, plain services under /s/{service}/, jobs, and streams that are
// resumed at an offset.
//
// Each path is a go-kit endpoint: a decoder that rejects malformed requests first, the
// endpoint behind its middleware (ready, workspace), and an encoder. Every response has
// a request id and Spurhall-Outcome.
package ingress

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"spurhall.example/spurhall/internal/claim"
	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/dispatch"
	"spurhall.example/spurhall/internal/memory"
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/timer"
)

// The headers of requests and responses.
const (
	HeaderOutcome        = "Spurhall-Outcome"
	HeaderRequest        = "X-Request-Id"
	HeaderHeld           = "Spurhall-Held"
	headerReplay         = "Idempotent-Replayed"
	headerIdempotencyKey = "Idempotency-Key"
	headerCaller         = "X-Caller-Id"
)

// Outcomes counts the final responses by outcome: each accepted request is counted once.
var Outcomes = expvar.NewMap("request_outcomes")

// Options configures a Server. Its functions are provided by the node.
type Options struct {
	Node       string
	Clock      *timer.Service
	View       *config.View
	Dispatcher *dispatch.Dispatcher
	Registry   *request.Registry
	Claims     *claim.Manager
	Memory     *memory.Budget // of callers' requests
	Ready      func() bool
	// Start starts a request, whose output goes to its record.
	Start func(r *request.Request)
	// AcceptJob stores a job in two fault domains and returns their names.
	AcceptJob func(ctx context.Context, r *request.Request) (string, error)
	// Find searches the other nodes and the journal for a request. It returns nil if there
	// is none.
	Find func(ctx context.Context, id, workspace string) *request.Request
}

// Server handles the requests of callers.
type Server struct {
	o        Options
	serial   atomic.Uint64
	prefix   string
	inFlight atomic.Int64
}

// New returns a server.
func New(o Options) *Server {
	b := make([]byte, 3)
	_, _ = rand.Read(b)
	return &Server{o: o, prefix: o.Node + "." + hex.EncodeToString(b) + "."}
}

// InFlight returns the number of callers' requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func (s *Server) newID() string {
	return s.prefix + strconv.FormatUint(s.serial.Add(1), 36)
}

// OwnerOf returns the node that assigned a request's id.
func OwnerOf(id string) string {
	n, _, _ := strings.Cut(id, ".")
	return n
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.Handle("POST /v1/chat/completions", s.endpoint(s.decodeChat, s.ready(s.chat)))
	m.Handle("GET /v1/requests/{id}", s.endpoint(withoutOutcome(s.decodeResume), s.resume))
	m.Handle("GET /v1/jobs/{id}", s.endpoint(withoutOutcome(s.decodeResume), s.jobStatus))
	m.Handle("/s/{service}/", s.endpoint(s.decodePlain, s.ready(s.plain)))
	m.HandleFunc("GET /readyz", s.readyz)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	m.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeFailure(w, &Failure{Status: http.StatusNotFound, Outcome: stream.OutcomeNotRun, Message: "no such path; use /v1/chat/completions, /v1/requests/{id}, /v1/jobs/{id} or /s/{service}/"})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		m.ServeHTTP(w, r)
	})
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.o.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

func (s *Server) endpoint(d kithttp.DecodeRequestFunc, e endpoint.Endpoint) http.Handler {
	return kithttp.NewServer(e, d, s.encode,
		kithttp.ServerErrorEncoder(func(_ context.Context, err error, w http.ResponseWriter) { s.fail(w, err) }),
	)
}

// withoutOutcome removes the outcome from the decoder's failures for queries about an earlier
// request: "not-run" would be read as that request's outcome, although it may have run.
func withoutOutcome(next kithttp.DecodeRequestFunc) kithttp.DecodeRequestFunc {
	return func(ctx context.Context, r *http.Request) (any, error) {
		v, err := next(ctx, r)
		var f *Failure
		if errors.As(err, &f) {
			f.Outcome = stream.OutcomeOpen
		}
		return v, err
	}
}

// ready rejects new requests on a node that is starting or leaving.
func (s *Server) ready(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, in any) (any, error) {
		if !s.o.Ready() {
			return nil, &Failure{Status: http.StatusServiceUnavailable, Outcome: stream.OutcomeNotRun, Message: "this node takes no new requests; ask again, the balancer will choose another", RetryAfter: time.Second}
		}
		return next(ctx, in)
	}
}

// Failure is an error response that this node generates, as opposed to an upstream's response.
type Failure struct {
	Status     int
	Outcome    stream.Outcome
	Message    string
	RetryAfter time.Duration
	ID         string
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message }

func badRequest(format string, a ...any) *Failure {
	return &Failure{Status: http.StatusBadRequest, Outcome: stream.OutcomeNotRun, Message: fmt.Sprintf(format, a...)}
}

func (s *Server) fail(w http.ResponseWriter, err error) {
	var f *Failure
	if !errors.As(err, &f) {
		f = badRequest("%v", err)
	}
	if f.Outcome != stream.OutcomeOpen {
		Outcomes.Add(string(f.Outcome), 1)
	}
	writeFailure(w, f)
}

type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Outcome string `json:"outcome,omitempty"`
	} `json:"error"`
}

func errorJSON(message string, status int, o stream.Outcome) []byte {
	var b errorBody
	b.Error.Message, b.Error.Outcome = message, string(o)
	b.Error.Type = "server_error"
	if status/100 == 4 {
		b.Error.Type = "invalid_request_error"
	}
	j, _ := json.Marshal(b)
	return j
}

func writeFailure(w http.ResponseWriter, f *Failure) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.Outcome != stream.OutcomeOpen {
		h.Set(HeaderOutcome, string(f.Outcome))
	}
	if f.ID != "" {
		h.Set(HeaderRequest, f.ID)
	}
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write(append(errorJSON(f.Message, f.Status, f.Outcome), '\n'))
}

// workspace returns the workspace of the request's API key.
func (s *Server) workspace(r *http.Request) (*config.RenderedWorkspace, error) {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || k == "" {
		return nil, &Failure{Status: http.StatusUnauthorized, Outcome: stream.OutcomeNotRun, Message: "send the workspace's API key as Authorization: Bearer KEY"}
	}
	w := s.o.View.WorkspaceByKey(k)
	if w != nil {
		return w, nil
	}
	if s.o.View.Revision() == 0 {
		return nil, &Failure{Status: http.StatusServiceUnavailable, Outcome: stream.OutcomeNotRun, Message: "this node has no configuration yet", RetryAfter: time.Second}
	}
	return nil, &Failure{Status: http.StatusUnauthorized, Outcome: stream.OutcomeNotRun, Message: "no workspace has this API key"}
}

// response is an endpoint's result: a function by which the encoder writes it.
type response func(ctx context.Context, w http.ResponseWriter) error

func (s *Server) encode(ctx context.Context, w http.ResponseWriter, v any) error {
	return v.(response)(ctx, w)
}
