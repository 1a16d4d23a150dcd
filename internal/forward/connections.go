package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/upstream"
)

// Connections holds the connections to upstreams, keyed by the upstream's id: when an address is
// reassigned to another upstream, no connection to the previous one is reused.
type Connections struct {
	mu      sync.Mutex
	clock   *timer.Service
	dial    DialFunc
	clients map[string]*idleClient
}

type idleClient struct {
	client    *upstream.Client
	idleLimit time.Duration // how long connections may stay idle
}

const (
	connectTimeout = 300 * time.Millisecond // some hundred round trips between halls
	// silenceLimit leaves two probes unanswered: a sound VM may be silent for a second or so.
	silenceLimit    = 3500 * time.Millisecond
	idlePerUpstream = 64
	// defaultIdleLimit is how long a connection may stay idle before the upstream has stated when it closes idle
	// connections.
	defaultIdleLimit = 2 * time.Second
	// idleMargin is subtracted from the stated time: whether a request that crosses the upstream's close
	// has run is unknown.
	idleMargin = 700 * time.Millisecond
)

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, e pool.Entry) (net.Conn, error)

// DialOptions are those of all connections that requests to upstreams take.
func DialOptions() upstream.DialOptions {
	return upstream.DialOptions{ConnectTimeout: connectTimeout, AckTimeout: silenceLimit}
}

// NewConnections returns an empty set of connections that dial opens; nil: over the node's own network.
func NewConnections(clock *timer.Service, dial DialFunc) *Connections {
	if dial == nil {
		d := upstream.NewDialFunc(DialOptions())
		dial = func(ctx context.Context, e pool.Entry) (net.Conn, error) { return d(ctx, e.Address) }
	}
	return &Connections{clock: clock, dial: dial, clients: make(map[string]*idleClient)}
}

func (l *Connections) newClient(e pool.Entry, idle time.Duration) *idleClient {
	return &idleClient{idleLimit: idle, client: upstream.NewClient(l.clock, upstream.Options{
		IdlePerHost: idlePerUpstream, IdleTimeout: idle,
		Dial: func(ctx context.Context, _ string) (net.Conn, error) { return l.dial(ctx, e) },
	})}
}

func (l *Connections) get(e pool.Entry) *upstream.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.clients[e.ID]
	if v == nil {
		v = l.newClient(e, defaultIdleLimit)
		l.clients[e.ID] = v
	}
	return v.client
}

// setIdleLimit records when an upstream closes idle connections.
func (l *Connections) setIdleLimit(e pool.Entry, limit time.Duration) {
	if limit <= 0 {
		return
	}
	limit = max(limit-idleMargin, limit/4)
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.clients[e.ID]
	if v == nil || v.idleLimit == limit {
		return
	}
	v.client.Close()
	l.clients[e.ID] = l.newClient(e, limit)
}

// CloseIdle closes the idle connections to all upstreams.
func (l *Connections) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.clients {
		v.client.Close()
	}
}

// Forget closes the idle connections to an upstream that is gone.
func (l *Connections) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.clients[id]; v != nil {
		v.client.Close()
		delete(l.clients, id)
	}
}
