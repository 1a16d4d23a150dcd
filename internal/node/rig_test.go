package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

// rig is a set of nodes in this process with the stand-ins that they need, all on loopback.
type rig struct {
	t        testing.TB
	exchange time.Duration
	peers    http.RoundTripper
	options  func(o *Options)
	platform *standin.Platform
	server   *httptest.Server
	engines  map[string]*rigEngine
	plain    *standin.Plain
	nodes    []*rigNode
}

type rigEngine struct {
	*standin.Engine
	address string
	hall    string
}

type rigNode struct {
	*Node
	callers      string
	platformCut  atomic.Bool // the platform is unreachable for this node
	blockedPeers sync.Map    // peer addresses that this node cannot reach
	servers      []*httptest.Server
	stopped      sync.Once
}

const rigTemplate = `kind: template
name: t
services:
  - {name: chat, protocol: chat, pool: llm, latency_target: 5s, timeout: 30s}
  - {name: batch, protocol: chat, pool: llm, class: batch, timeout: 30s}
  - name: orders
    protocol: plain
    pool: orders
    latency_target: 2s
    timeout: 2s
    refusals: [503]
    calls:
      - {method: POST, path: /promise, repeatable: false, outage: promise}
      - {method: POST, path: /refuse, repeatable: false}
      - {method: POST, path: /again, repeatable: true}
---
kind: workspace
name: w
template: t
key_hashes: [%s]
`

const rigKey = "rig-key"

func newRig(t *testing.T, halls ...string) *rig {
	t.Helper()
	return newRigWith(t, func(*Options) {}, halls...)
}

func newRigWith(t testing.TB, edit func(o *Options), halls ...string) *rig {
	t.Helper()
	if p, ok := t.(*testing.T); ok {
		p.Parallel()
	}
	r := emptyRig(t)
	t.Cleanup(r.assertNoIllegalTransition)
	r.options = edit
	r.exchange = 100 * time.Millisecond
	r.plain = standin.NewPlain("orders", timer.Real(), time.Millisecond)
	r.register("o1", store.VM{Role: store.RoleUpstream, Service: "orders", Hall: "hall-a", Zone: "z0"}, r.plain.Handler())
	for i, h := range halls {
		r.addNode(fmt.Sprintf("n%d", i), h)
	}
	r.settle()
	r.configure()
	r.settle()
	return r
}

// configure applies the rig's documents. Nodes abandon a call after half a second, which a loaded machine may
// need, so it retries until the documents are the head revision.
func (r *rig) configure() {
	docs, err := config.Parse("rig", []byte(fmt.Sprintf(rigTemplate, config.HashKey(rigKey))))
	require.NoError(r.t, err)
	s := r.nodes[0].Store()
	r.eventually("the documents are applied", func() bool {
		v, err := s.Apply(context.Background(), config.Change{ID: "rig", Documents: docs})
		if err != nil {
			v, err = s.Head(context.Background())
		}
		if err != nil || v.Revision == 0 {
			return false
		}
		r.nodes[0].Accept(v, "rig")
		return true
	})
}

func emptyRig(t testing.TB) *rig {
	r := &rig{t: t, options: func(*Options) {}, platform: standin.NewPlatform(timer.Real()), engines: make(map[string]*rigEngine)}
	r.server = httptest.NewServer(r.platform.Handler())
	t.Cleanup(func() { r.platform.Fault(standin.Fault{}); r.server.CloseClientConnections(); r.server.Close() })
	return r
}

func (r *rig) register(id string, v store.VM, h http.Handler) string {
	s := httptest.NewServer(h)
	r.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	v.ID, v.Address, v.Incarnation = id, s.Listener.Addr().String(), 1
	r.platform.Register(v)
	return v.Address
}

func (r *rig) addEngine(id, hall, zone string, o standin.EngineOptions) *rigEngine {
	o.ID = id
	if o.Slots == 0 {
		o.Slots = 32
	}
	if o.Decode == 0 {
		o.Decode = 10 * time.Millisecond
	}
	o.CacheTokens = 100000
	e := &rigEngine{Engine: standin.NewEngine(timer.Real(), o), hall: hall}
	e.address = r.register(id, store.VM{Role: store.RoleUpstream, Service: "llm", Hall: hall, Zone: zone, Slots: o.Slots}, e.Handler())
	r.engines[id] = e
	return e
}

func (r *rig) addNode(vm, hall string) *rigNode {
	n := &rigNode{}
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	g := store.NewGateway(r.server.URL, 500*time.Millisecond, timer.Real())
	var seeds []string
	for _, o := range r.nodes[:min(len(r.nodes), 3)] {
		seeds = append(seeds, o.o.PeerAddress)
	}
	o := Options{
		VM: vm, Hall: hall, Zone: hall, PeerAddress: peer.Addr().String(), Seeds: seeds, Clock: timer.Real(), Log: zap.NewNop(),
		KV: n.cuttableKV(g.KV()), Cloud: n.cuttableCloud(store.NewCloud(r.server.URL, 500*time.Millisecond)),
		PlatformRate: 5000, ExchangeInterval: r.exchange, PeerTransport: r.peers, PeerScheme: "http",
		Blocked: func(a string) bool { _, ok := n.blockedPeers.Load(a); return ok },
	}
	r.options(&o)
	n.Node = New(o)
	p := httptest.NewUnstartedServer(n.PeerHandler())
	_ = p.Listener.Close()
	p.Listener = peer
	p.Start()
	c := httptest.NewServer(n.CallerHandler())
	n.servers, n.callers = []*httptest.Server{p, c}, c.Listener.Addr().String()
	n.Start()
	r.nodes = append(r.nodes, n)
	r.t.Cleanup(n.kill)
	return n
}

func (n *rigNode) cuttableKV(kv store.KV) store.KV {
	down := func() error {
		if n.platformCut.Load() {
			return store.ErrUnavailable
		}
		return nil
	}
	w := kv
	w.Range = func(ctx context.Context, k, e string) (store.RangeResult, error) {
		if err := down(); err != nil {
			return store.RangeResult{}, err
		}
		return kv.Range(ctx, k, e)
	}
	w.Txn = func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
		if err := down(); err != nil {
			return store.TxnResult{}, err
		}
		return kv.Txn(ctx, t)
	}
	w.Grant = func(ctx context.Context, d time.Duration) (int64, error) {
		if err := down(); err != nil {
			return 0, err
		}
		return kv.Grant(ctx, d)
	}
	w.Watch = func(ctx context.Context, s store.Span, f func(store.WatchBatch) error) error {
		if err := down(); err != nil {
			return err
		}
		return kv.Watch(ctx, s, func(b store.WatchBatch) error {
			if err := down(); err != nil {
				return err
			}
			return f(b)
		})
	}
	return w
}

func (n *rigNode) cuttableCloud(c store.Cloud) store.Cloud {
	w := c
	w.VMs = func(ctx context.Context) ([]store.VM, error) {
		if n.platformCut.Load() {
			return nil, store.ErrUnavailable
		}
		return c.VMs(ctx)
	}
	w.Notices = func(ctx context.Context, after int64) ([]store.Notice, error) {
		if n.platformCut.Load() {
			return nil, store.ErrUnavailable
		}
		return c.Notices(ctx, after)
	}
	return w
}

// kill stops a node like the loss of its VM: without any announcement.
func (n *rigNode) kill() {
	n.stopped.Do(func() {
		for _, s := range n.servers {
			s.CloseClientConnections()
		}
		n.Stop()
		for _, s := range n.servers {
			s.CloseClientConnections()
			s.Close()
		}
	})
}

// settle waits until every node is ready, synced, knows all the others and has the
// newest revision.
func (r *rig) settle() {
	r.t.Helper()
	r.eventually("the nodes settle", func() bool {
		var newest uint64
		for _, n := range r.nodes {
			newest = max(newest, n.View().Revision())
		}
		for _, n := range r.nodes {
			if n.State() != "ready" || !n.Claims().Synced() || len(n.liveNodes()) != len(r.nodes) ||
				len(n.Claims().View()) != len(r.nodes) || n.View().Revision() != newest || n.upstreams("orders") == 0 {
				return false
			}
		}
		return true
	})
}

func (n *rigNode) upstreams(service string) int {
	return len(n.table.Select(func(f *member.Fact) bool { return f.Service == service && f.Status == member.StatusLive }))
}

// waitEngines waits until every node knows k live engines.
func (r *rig) waitEngines(k int) {
	r.t.Helper()
	r.eventually("the engines are known", func() bool {
		for _, n := range r.nodes {
			if n.upstreams("llm") != k {
				return false
			}
		}
		return true
	})
}

func (r *rig) eventually(what string, ok func() bool) {
	r.t.Helper()
	defer func() {
		if r.t.Failed() {
			r.dump()
		}
	}()
	require.Eventually(r.t, ok, 30*time.Second, 10*time.Millisecond, what)
}

// dump logs the state and the timeline of every node.
func (r *rig) dump() {
	for _, n := range r.nodes {
		r.t.Logf("%s: %s, synced %v, live %d, members %d, revision %d", n.ID(), n.State(), n.Claims().Synced(), len(n.liveNodes()), len(n.Claims().View()), n.View().Revision())
		for _, e := range n.Timeline().Since(time.Time{}) {
			r.t.Log(e.At.Format("05.000"), e.Node, e.Name, e.Request, e.Detail)
		}
	}
}

// outage makes the platform unreachable for every node and waits until they have detected it.
func (r *rig) outage() {
	for _, n := range r.nodes {
		n.platformCut.Store(true)
	}
	r.eventually("the outage is detected", func() bool {
		for _, n := range r.nodes {
			if n.guard.Up() || n.peers.anyPeerHasPlatform() {
				return false
			}
		}
		return true
	})
}

func (r *rig) restore() {
	for _, n := range r.nodes {
		n.platformCut.Store(false)
	}
}

type response struct {
	status  int
	outcome string
	id      string
	header  http.Header
	body    string
	err     error
}

var rigClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (n *rigNode) call(method, path, body string, header ...string) response {
	q, err := http.NewRequest(method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	q.Header.Set("Authorization", "Bearer "+rigKey)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	a, err := rigClient.Do(q)
	if err != nil {
		return response{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	o := a.Header.Get("Spurhall-Outcome")
	if o == "" {
		o = a.Trailer.Get("Spurhall-Outcome")
	}
	return response{status: a.StatusCode, outcome: o, id: a.Header.Get("X-Request-Id"), header: a.Header, body: string(b), err: err}
}

func (n *rigNode) keyed(path, key string) response {
	return n.call(http.MethodPost, "/s/orders"+path, "{}", "Idempotency-Key", key)
}

// chat is the body of a chat request with its expected complete response.
type chat struct {
	body, want string
}

func newChat(model, prompt string, tokens int, stream bool) chat {
	m := []standin.ChatMessage{{Role: "user", Content: prompt}}
	b, _ := json.Marshal(map[string]any{"model": model, "stream": stream, "max_tokens": tokens, "messages": m})
	return chat{body: string(b), want: standin.Answer(standin.Prompt(m), tokens)}
}

// content joins the pieces of a streamed response.
func content(body string) string {
	var b strings.Builder
	standin.EachEvent(strings.NewReader(body), func(c string) { b.WriteString(c) })
	return b.String()
}

func (r *rig) chat(n *rigNode, c chat) response {
	return n.call(http.MethodPost, "/v1/chat/completions", c.body)
}

// assertComplete checks that a stream is the complete response to its own prompt.
func assertComplete(t *testing.T, c chat, a response) {
	t.Helper()
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status, a.body)
	require.Equal(t, c.want, content(a.body))
	require.Equal(t, "done", a.outcome)
}

// jobResult waits until a node reports a job as done, and returns the job's response.
func (r *rig) jobResult(n *rigNode, id string) string {
	r.t.Helper()
	var text string
	r.eventually("job "+id+" is done", func() bool {
		a := n.call(http.MethodGet, "/v1/jobs/"+id, "")
		var s struct {
			Status string
			Result struct {
				Choices []struct{ Message standin.ChatMessage }
			}
		}
		_ = json.Unmarshal([]byte(a.body), &s)
		if s.Status != "done" {
			return false
		}
		text = s.Result.Choices[0].Message.Content
		return true
	})
	return text
}

// assertNoIllegalTransition fails the test if any node attempted a transition that its state chart does not
// allow.
func (r *rig) assertNoIllegalTransition() {
	for _, n := range r.nodes {
		if n.hasEvent("transition_not_allowed") {
			r.t.Errorf("%s attempted a transition that its state chart does not allow", n.ID())
			r.dump()
		}
	}
}

func (n *rigNode) hasEvent(event string) bool {
	for _, e := range n.Timeline().Since(time.Time{}) {
		if e.Name == event {
			return true
		}
	}
	return false
}
