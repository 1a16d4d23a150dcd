// Package ingress is the callers' side: model requests as OpenAI-style chat
// completions, plain services under /s/{service}/, jobs, and requests that are
// taken up again at an offset.
//
// Each path is a go-kit endpoint: a decoder that refuses what is malformed before
// anything else sees it, the endpoint behind its middleware (ready, workspace), and
// an encoder. Every answer bears a request id and Spurhall-Outcome.
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
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/stream"
	"spurhall.example/spurhall/internal/timer"
)

// The headers of every answer.
const (
	HeaderOutcome = "Spurhall-Outcome"
	HeaderRequest = "X-Request-Id"
	HeaderHeld    = "Spurhall-Held"
	headerReplay  = "Idempotent-Replayed"
	headerIdempotencyKey     = "Idempotency-Key"
	headerCaller  = "X-Caller-Id"
)

// Outcomes counts the final answers by outcome: each request accepted is in it
// once.
var Outcomes = expvar.NewMap("request_outcomes")

// Options sets a server. The functions are what the node does for it.
type Options struct {
	Node       string
	Clock      *timer.Service
	View       *config.View
	Dispatcher *dispatch.Dispatcher
	Registry   *request.Registry
	Claims     *claim.Manager
	Ready      func() bool
	// Start runs a request into its record.
	Start func(r *request.Request)
	// AcceptJob holds a job in two fault domains and says where.
	AcceptJob func(ctx context.Context, r *request.Request) (string, error)
	// Find looks for a request at the other nodes and in the journal. It returns nil
	// if there is none.
	Find func(ctx context.Context, id, workspace string) *request.Request
}

// Server serves callers.
type Server struct {
	o      Options
	serial atomic.Uint64
	prefix string
	inFlight   atomic.Int64
}

// New returns a server.
func New(o Options) *Server {
	b := make([]byte, 3)
	_, _ = rand.Read(b)
	return &Server{o: o, prefix: o.Node + "." + hex.EncodeToString(b) + "."}
}

// Open returns the number of callers' requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func (s *Server) newID() string {
	return s.prefix + strconv.FormatUint(s.serial.Add(1), 36)
}

// OwnerOf returns the node that gave a request its id.
func OwnerOf(id string) string {
	n, _, _ := strings.Cut(id, ".")
	return n
}

// Handler returns the HTTP interface.
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

// aboutAnother takes the outcome out of the mistakes in a question about an earlier
// request: "not-run" would be read as being about that one, which may well have run.
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

// ready refuses new work on a node that is starting or leaving.
func (s *Server) ready(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, in any) (any, error) {
		if !s.o.Ready() {
			return nil, &Failure{Status: http.StatusServiceUnavailable, Outcome: stream.OutcomeNotRun, Message: "this node takes no new requests; ask again, the balancer will choose another", RetryAfter: time.Second}
		}
		return next(ctx, in)
	}
}

// Failure is an answer that isn't the upstream's.
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

// workspace finds the workspace by its API key.
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

// response is what an endpoint gives to the encoder: a function that writes it.
type response func(ctx context.Context, w http.ResponseWriter) error

func (s *Server) encode(ctx context.Context, w http.ResponseWriter, v any) error {
	return v.(response)(ctx, w)
}
