package edge

import (
	"cmp"
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/forward"
	"spurhall.example/spurhall/internal/metric"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// This file opens the listeners and stops the node.
//
// A planned stop takes the node out of the balancer first: readiness goes down, and each
// answer tells its caller to use another connection next. The listeners stay open
// meanwhile, since the balancer needs some failed questions to notice and callers hold
// connections; a request that still comes is served. Then idle connections are closed
// with the listener, and what still comes on a busy one is told to go elsewhere. The
// process ends when nothing is in progress, or shortly before it would be killed.

const (
	maxHeader   = 64 << 10
	readHeader  = 15 * time.Second  // callers keep to less
	idleCallers = 180 * time.Second // callers keep to less
	// stopTakes is how long after the stop signal requests are still begun: the balancer
	// needs two failed questions, a second apart, to send callers elsewhere.
	stopTakes    = 2500 * time.Millisecond
	stopMinimum  = 3 * time.Second
	stopMargin   = 600 * time.Millisecond // before the kill
	stopPoll     = 50 * time.Millisecond
	stopQuiet    = 300 * time.Millisecond
	peerDeadline = 5 * time.Second
)

// Listeners is the addresses that a node serves on, already open.
type Listeners struct {
	Front, Readiness, Peers, Metrics net.Listener // Metrics may be nil
}

// Listen opens the listeners. Other nodes are listened for at the address that they are told, unless another one is
// given. metricsPort 0 means no metrics.
func Listen(s *Settings, peers string, metricsPort int) (*Listeners, error) {
	peers = cmp.Or(peers, s.Peers)
	var l Listeners
	open := func(to *net.Listener, address string) error {
		v, err := net.Listen("tcp", address)
		*to = v
		return err
	}
	err := errors.Join(open(&l.Front, s.Front), open(&l.Readiness, s.Readiness), open(&l.Peers, peers))
	if err == nil && metricsPort != 0 {
		a, e := netip.ParseAddrPort(s.Front)
		if e != nil {
			return nil, e
		}
		err = open(&l.Metrics, net.JoinHostPort(a.Addr().String(), strconv.Itoa(metricsPort)))
	}
	if err != nil {
		return nil, err
	}
	return &l, nil
}

// traffic knows how many requests are in progress and when the last one came.
type traffic struct {
	mu   sync.Mutex
	busy int
	last time.Time
}

func (t *traffic) begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy++
	t.last = now
}

func (t *traffic) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

func (t *traffic) quiet(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy == 0 && now.Sub(t.last) > stopQuiet
}

// Run serves until the context ends, then stops without cutting a request off.
func (n *Node) Run(ctx context.Context, l *Listeners) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	var t traffic
	front := n.server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.begin(n.clock.Now())
		defer t.end()
		n.front.ServeHTTP(w, r)
	}))
	ready := n.server(http.HandlerFunc(n.serveReady))
	peers := n.server(n.peerHandler())
	go n.serve(front, n.watchFront(l.Front))
	go n.serve(ready, l.Readiness)
	go n.serve(peers, l.Peers)
	if l.Metrics != nil {
		go n.serve(n.server(http.HandlerFunc(n.serveMetrics)), l.Metrics)
	}
	var duties sync.WaitGroup
	for _, f := range []func(context.Context){n.watch, n.expire, n.rounds, n.relay, n.register, n.look, n.greet, n.recallLevels, n.recallCached, n.recallRollouts, n.recallHeld, n.duties} {
		duties.Add(1)
		go func() {
			defer duties.Done()
			f(work)
		}()
	}
	<-ctx.Done()
	n.stop(&t, front)
	cancel()
	duties.Wait()
	return errors.Join(front.Close(), ready.Close(), peers.Close())
}

func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: readHeader, IdleTimeout: idleCallers,
		ErrorLog: log.New(logWriter{n.log}, "", 0),
	}
}

// logWriter passes net/http's own lines on to the log.
type logWriter struct{ log *zap.Logger }

func (w logWriter) Write(b []byte) (int, error) {
	w.log.Info("http", zap.ByteString("text", b[:max(0, len(b)-1)]))
	return len(b), nil
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error("listener_failed", zap.String("address", l.Addr().String()), zap.String("cause", err.Error()))
	}
}

func (n *Node) stopPhase() forward.Phase { return forward.Phase(n.phase.Load()) }

func (n *Node) isLeaving() bool { return n.stopPhase() != forward.PhaseServing }

// ready tells whether this node should get callers: it knows the configuration and the
// upstreams, and isn't stopping.
func (n *Node) ready() bool {
	return n.current() != nil && n.listed.Load() && !n.isLeaving() && !n.takesNobody()
}

// watchFront notes when callers can't be taken.
func (n *Node) watchFront(l net.Listener) net.Listener {
	w := accept.New(l, n.clock, n.log, n.s.MaxDescriptors)
	n.callers.Store(w)
	return w
}

func (n *Node) takesNobody() bool {
	w := n.callers.Load()
	return w != nil && w.Failing(n.clock.Now())
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := metric.WriteText(w); err != nil {
		n.log.Debug("metrics_unread", zap.String("cause", err.Error()))
	}
}

func (n *Node) peerHandler() http.Handler {
	_, h := wireconnect.NewEdgeHandler(&edgeService{n})
	return h
}

// stop waits until the callers are gone, within the time there is.
func (n *Node) stop(t *traffic, front *http.Server) {
	n.phase.Store(int32(forward.PhaseLeaving))
	begun := n.clock.Now()
	n.log.Info("stopping")
	defer n.clock.AfterFunc(stopTakes, func() {
		n.phase.Store(int32(forward.PhaseClosed))
		// Callers whose connections are idle open others without losing a try.
		if err := front.Shutdown(context.Background()); err != nil {
			n.log.Info("shutdown_failed", zap.String("cause", err.Error()))
		}
	})()
	for {
		now := n.clock.Now()
		d := now.Sub(begun)
		if d >= n.s.StopTimeout-stopMargin || d >= stopMinimum && t.quiet(now) {
			n.log.Info("stopped", zap.Duration("after", d), zap.Bool("quiet", t.quiet(now)))
			return
		}
		_ = n.clock.Sleep(context.Background(), stopPoll)
	}
}
