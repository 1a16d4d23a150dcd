package edge

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/accept"
	"spurhall.example/spurhall/internal/logging"
	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/metric"
	"spurhall.example/spurhall/internal/uplink"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// This file opens the listeners and serves them.

const (
	maxHeaderBytes    = 64 << 10
	peerHeaderBytes   = 4 << 10           // of other nodes, whose heads have some hundred bytes
	readHeaderTimeout = 15 * time.Second  // callers use shorter time-outs
	idleTimeout       = 180 * time.Second // callers use shorter time-outs
)

// Listeners holds the open listeners of a node.
type Listeners struct {
	Front, Readiness, Peers, Metrics net.Listener // Metrics may be nil
}

// Listen opens the listeners. The peers' listener uses the address that is advertised to other nodes, unless
// peers gives another one. metricsPort 0 disables metrics.
func Listen(s *Settings, peers string, metricsPort int) (*Listeners, error) {
	peers = cmp.Or(peers, s.Peers)
	front, err := netip.ParseAddrPort(s.Front)
	if err != nil {
		return nil, err
	}
	var l Listeners
	var open []net.Listener
	listen := func(to *net.Listener, address string) error {
		v, err := net.Listen("tcp", address)
		if err == nil {
			*to = v
			open = append(open, v)
		}
		return err
	}
	err = errors.Join(listen(&l.Front, s.Front), listen(&l.Readiness, s.Readiness), listen(&l.Peers, peers))
	if err == nil && metricsPort != 0 {
		err = listen(&l.Metrics, net.JoinHostPort(front.Addr().String(), strconv.Itoa(metricsPort)))
	}
	if err != nil {
		for _, v := range open {
			err = errors.Join(err, v.Close())
		}
		return nil, err
	}
	return &l, nil
}

// Run serves until the context ends, then stops without interrupting requests.
func (n *Node) Run(ctx context.Context, l *Listeners) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := n.monitorFront(l.Front)
	front := n.serverOn(callers, n.front)
	nodes := accept.NewForNodes(l.Peers, n.clock, n.log, uplink.MaxTunnels(n.settings.MaxDescriptors), n.memoryBytes())
	peers := n.serverOn(nodes, n.peerHandler())
	peers.MaxHeaderBytes = peerHeaderBytes
	go n.serve(front, callers)
	ready := n.serveBounded(l.Readiness, n.serveReady)
	go n.serve(peers, nodes)
	if l.Metrics != nil {
		n.serveBounded(l.Metrics, n.serveMetrics)
	}
	var duties sync.WaitGroup
	for _, f := range []func(context.Context){n.lag.Run, n.load.Run, n.streams.Run, n.streams.RunSaved, n.followStore, n.expireMissing, n.runRounds, n.runRelay, n.register, n.registryPoller.Run, n.contactSeeds, n.restoreLevels, n.restoreCachedParts, n.restoreRollouts, n.restoreQuarantine, n.uplink.Probe, n.runDuties} {
		duties.Add(1)
		go func() {
			defer duties.Done()
			f(work)
		}()
	}
	<-ctx.Done()
	n.stop(callers)
	var last sync.WaitGroup // at once: there is little time
	last.Go(func() { callers.Interrupt(accept.ErrEndOfStop) })
	last.Go(n.uplink.Stop)
	last.Go(n.leaveStreams)
	cancel()
	duties.Wait()
	last.Wait()
	return errors.Join(front.Close(), ready.Close(), peers.Close())
}

// serverOn returns the server on a listener.
func (n *Node) serverOn(l *accept.Listener, h http.Handler) *http.Server {
	return &http.Server{
		Handler: l.Handler(h), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ErrorLog: logging.Standard(n.log, "http"), ConnState: l.ObserveState, ConnContext: l.ConnContext,
	}
}

// serveBounded serves a listener for those who watch this node, of whom there are few.
func (n *Node) serveBounded(l net.Listener, h http.HandlerFunc) *http.Server {
	w := accept.NewForWatchers(l, n.clock, n.log)
	s := n.serverOn(w, h)
	go n.serve(s, w)
	return s
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error("listener_failed", zap.String("address", l.Addr().String()), zap.String("cause", err.Error()))
	}
}

// isReady reports whether this node should receive callers: it has the configuration and the upstream list,
// isn't stopping, and accepts connections. When the whole system starts, it also has to know the other nodes: until
// then it would grant a workspace only a small part of its quota.
func (n *Node) isReady() bool {
	return n.currentCatalog() != nil && n.listed.Load() && !n.isLeaving() && !n.cannotAccept() && (!n.settings.FirstStart || n.hasMetOthers())
}

func (n *Node) hasMetOthers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knowsPeers(n.clock.Now())
}

// monitorFront wraps the callers' listener to detect failing accepts.
func (n *Node) monitorFront(l net.Listener) *accept.Listener {
	w := accept.New(l, n.clock, n.log, n.settings.MaxDescriptors)
	w.Identify = n.front.Identify
	w.SetHeadMemory(int64(accept.HeadShare * float64(n.memoryBytes())))
	n.frontListener.Store(w)
	n.limitCallers()
	return w
}

// limitCallers has the callers' listener hold to the configuration's limits.
func (n *Node) limitCallers() {
	if w, c := n.frontListener.Load(), n.currentCatalog(); w != nil && c != nil {
		w.SetLimits(c.Limits())
	}
}

func (n *Node) cannotAccept() bool {
	w := n.frontListener.Load()
	return w != nil && w.Failing(n.clock.Now())
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
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

// minCompressed is the size in bytes from which a response to another node is compressed. Compressing and expanding a
// small one takes as much processor time as all the rest of the call, to save a few milliseconds of a link of 20 Mbit/s.
const minCompressed = 16 << 10

func (n *Node) peerHandler() http.Handler {
	_, h := wireconnect.NewEdgeHandler(&edgeService{n}, connect.WithCompressMinBytes(minCompressed), message.BoundedHandler())
	h = n.load.Handler(message.Whole(h))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			n.uplink.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(w, r)
	})
}
