// Package admin is the operators' interface of a node: the Admin service over
// connect-go (which also answers plain JSON), metrics, health and profiles.
//
// Whoever asks bears a token. The operators' tokens come with the node's settings,
// as hashes; a workspace's API key opens that workspace's jobs and status and
// nothing else.
package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"connectrpc.com/connect"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/node"
	"spurhall.example/spurhall/internal/request"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// Options sets the interface.
type Options struct {
	Node        *node.Node
	TokenHashes []string // of the operators' tokens; none: everybody is an operator
	Drain       func()   // starts a planned stop
}

// Handler returns the interface.
func Handler(o Options) http.Handler {
	m := http.NewServeMux()
	s := &service{o: o}
	m.Handle(wireconnect.NewAdminHandler(s, connect.WithInterceptors(s.authorize())))
	m.Handle("GET /debug/vars", s.operatorsOnly(expvar.Handler()))
	m.Handle("GET /debug/pprof/", s.operatorsOnly(http.HandlerFunc(pprof.Index)))
	m.Handle("GET /debug/pprof/profile", s.operatorsOnly(http.HandlerFunc(pprof.Profile)))
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if o.Node.State() != "ready" {
			http.Error(w, o.Node.State(), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	return m
}

type service struct{ o Options }

type scopeKey struct{}

// scope is what a caller may see: a workspace's name, or "" for an operator.
func scope(ctx context.Context) string {
	s, _ := ctx.Value(scopeKey{}).(string)
	return s
}

var errUnauthorized = errors.New("send an operator's token, or a workspace's API key, as Authorization: Bearer TOKEN")

func (s *service) scopeOf(header string) (string, bool) {
	if len(s.o.TokenHashes) == 0 {
		return "", true
	}
	t, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return "", false
	}
	h := config.HashKey(t)
	for _, v := range s.o.TokenHashes {
		if v == h {
			return "", true
		}
	}
	if w := s.o.Node.View().WorkspaceByKey(t); w != nil {
		return w.Name(), true
	}
	return "", false
}

// forWorkspaces are the calls that a workspace's key opens.
var forWorkspaces = map[string]bool{wireconnect.AdminJobsProcedure: true}

func (s *service) authorize() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			v, ok := s.scopeOf(r.Header().Get("Authorization"))
			if !ok {
				return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthorized)
			}
			if v != "" && !forWorkspaces[r.Spec().Procedure] {
				return nil, connect.NewError(connect.CodePermissionDenied, errors.New("this call needs an operator's token"))
			}
			return next(context.WithValue(ctx, scopeKey{}, v), r)
		}
	}
}

func (s *service) operatorsOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v, ok := s.scopeOf(r.Header.Get("Authorization")); !ok || v != "" {
			http.Error(w, errUnauthorized.Error(), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// fail gives an error the code that the command line turns into an exit code.
func fail(err error) error {
	code := connect.CodeInternal
	switch {
	case errors.Is(err, config.ErrInvalid):
		code = connect.CodeInvalidArgument
	case errors.Is(err, config.ErrConflict):
		code = connect.CodeFailedPrecondition
	case errors.Is(err, config.ErrNoRevision):
		code = connect.CodeNotFound
	case errors.Is(err, config.ErrUncertain):
		code = connect.CodeUnknown
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrBudget), errors.Is(err, store.ErrUnknown):
		code = connect.CodeUnavailable
	}
	return connect.NewError(code, err)
}

func changeID() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func author(h http.Header) string {
	if a := h.Get("Spurhall-Author"); a != "" {
		return a
	}
	return "operator"
}

// Apply writes documents as a new revision and puts it in force here at once.
func (s *service) Apply(ctx context.Context, r *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	c := config.Change{
		ID: changeID(), Base: r.Msg.Base, Author: author(r.Header()), Note: r.Msg.Note, At: s.o.Node.Clock().Now(),
	}
	for _, d := range r.Msg.Documents {
		list, err := config.Parse(d.Name, d.Body)
		if err != nil {
			return nil, fail(err)
		}
		c.Documents = append(c.Documents, list...)
	}
	if r.Msg.ForceBase {
		h, err := s.o.Node.Store().Head(ctx)
		if err != nil {
			return nil, fail(err)
		}
		c.Base = h.Revision
	}
	v, err := s.o.Node.Store().Apply(ctx, c)
	if err != nil {
		return nil, fail(err)
	}
	return s.applied(v), nil
}

func (s *service) applied(v config.Snapshot) *connect.Response[wire.ApplyResponse] {
	s.o.Node.Accept(v, "this node's operator")
	return connect.NewResponse(&wire.ApplyResponse{Revision: v.Revision})
}

// Get returns a revision; 0 asks for the one in force here.
func (s *service) Get(ctx context.Context, r *connect.Request[wire.GetRequest]) (*connect.Response[wire.GetResponse], error) {
	v := s.o.Node.View().Snapshot()
	if r.Msg.Revision != 0 && r.Msg.Revision != v.Revision {
		var err error
		if v, err = s.o.Node.Store().Get(ctx, r.Msg.Revision); err != nil {
			return nil, fail(err)
		}
	}
	return connect.NewResponse(&wire.GetResponse{Snapshot: node.SnapshotToWire(&v)}), nil
}

const maxHistory = 100

// History returns the newest revisions.
func (s *service) History(ctx context.Context, r *connect.Request[wire.HistoryRequest]) (*connect.Response[wire.HistoryResponse], error) {
	n := int(r.Msg.Limit)
	if n <= 0 || n > maxHistory {
		n = maxHistory
	}
	list, err := s.o.Node.Store().History(ctx, n)
	if err != nil {
		return nil, fail(err)
	}
	a := &wire.HistoryResponse{}
	for i := range list {
		a.Revisions = append(a.Revisions, node.SnapshotToWire(&list[i]))
	}
	return connect.NewResponse(a), nil
}

// Rollback writes a new revision with the content of an older one.
func (s *service) Rollback(ctx context.Context, r *connect.Request[wire.RollbackRequest]) (*connect.Response[wire.ApplyResponse], error) {
	c := config.Change{ID: changeID(), Base: r.Msg.Base, Author: author(r.Header()), At: s.o.Node.Clock().Now()}
	if c.Base == 0 {
		h, err := s.o.Node.Store().Head(ctx)
		if err != nil {
			return nil, fail(err)
		}
		c.Base = h.Revision
	}
	v, err := s.o.Node.Store().Rollback(ctx, c, r.Msg.To)
	if err != nil {
		return nil, fail(err)
	}
	return s.applied(v), nil
}

// Status returns this node's view.
func (s *service) Status(context.Context, *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	n := s.o.Node
	a := &wire.StatusResponse{
		Node: n.ID(), Hall: n.Hall(), State: n.State(), ConfigRevision: n.View().Revision(),
		PlatformUp: n.PlatformUp(), Synced: n.Claims().Synced(),
	}
	for _, f := range n.Table().Select(func(*member.Fact) bool { return true }) {
		a.Facts = append(a.Facts, f.Wire())
	}
	return connect.NewResponse(a), nil
}

// Jobs returns the requests held here, of one workspace if the caller is one.
func (s *service) Jobs(ctx context.Context, r *connect.Request[wire.JobsRequest]) (*connect.Response[wire.JobsResponse], error) {
	only := r.Msg.Workspace
	if v := scope(ctx); v != "" {
		only = v
	}
	a := &wire.JobsResponse{}
	list := s.o.Node.Registry().List(func(r *request.Request) bool { return only == "" || r.Workspace() == only })
	for _, v := range list {
		spec := v.Spec()
		w := spec.Wire()
		w.Body = nil
		a.Jobs = append(a.Jobs, w)
	}
	return connect.NewResponse(a), nil
}

// Timeline returns this node's events.
func (s *service) Timeline(_ context.Context, r *connect.Request[wire.TimelineRequest]) (*connect.Response[wire.TimelineResponse], error) {
	a := &wire.TimelineResponse{}
	for _, e := range s.o.Node.Timeline().Since(time.UnixMilli(r.Msg.SinceUnixMs)) {
		a.Events = append(a.Events, &wire.TimelineEvent{AtUnixUs: e.At.UnixMicro(), Node: e.Node, Event: e.Name, Detail: e.Detail, Request: e.Request})
	}
	return connect.NewResponse(a), nil
}

// Drain begins a planned stop.
func (s *service) Drain(context.Context, *connect.Request[wire.DrainRequest]) (*connect.Response[wire.DrainResponse], error) {
	s.o.Drain()
	return connect.NewResponse(&wire.DrainResponse{State: s.o.Node.State()}), nil
}
