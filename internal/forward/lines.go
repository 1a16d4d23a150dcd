package forward

import (
	"sync"
	"time"

	"spurhall.example/spurhall/internal/pool"
	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/upstream"
)

// Lines holds the connections to upstreams, by the upstream's life: when an address is
// given to another upstream, nothing of the former one is used again.
type Connections struct {
	mu    sync.Mutex
	clock *timer.Service
	lines map[string]*line
}

type line struct {
	client *upstream.Client
	limit  time.Duration // after which the upstream closes idle connections
}

const (
	connectTimeout = 300 * time.Millisecond // some hundred round trips between halls
	silenceLimit   = 1500 * time.Millisecond
	idlePerLine    = 64
	// idleLimit is how long a connection may be idle before an upstream has said when
	// it closes idle ones.
	idleLimit = 2 * time.Second
	// idleMargin is taken off what an upstream says: a request that crosses the
	// upstream's close may or may not have run.
	idleMargin = 700 * time.Millisecond
)

// NewLines returns lines to nobody.
func NewConnections(clock *timer.Service) *Connections {
	return &Connections{clock: clock, lines: make(map[string]*line)}
}

func (l *Connections) open(idle time.Duration) *line {
	return &line{limit: idle, client: upstream.NewClient(l.clock, upstream.Options{
		ConnectTimeout: connectTimeout, IdlePerHost: idlePerLine, IdleTimeout: idle, AckTimeout: silenceLimit,
	})}
}

func (l *Connections) get(e pool.Entry) *upstream.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.lines[e.ID]
	if v == nil {
		v = l.open(idleLimit)
		l.lines[e.ID] = v
	}
	return v.client
}

// learn takes in when an upstream closes idle connections.
func (l *Connections) learn(e pool.Entry, limit time.Duration) {
	if limit <= 0 {
		return
	}
	limit = max(limit-idleMargin, limit/4)
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.lines[e.ID]
	if v == nil || v.limit == limit {
		return
	}
	v.client.Close()
	l.lines[e.ID] = l.open(limit)
}

// Forget closes the idle connections to an upstream that is gone.
func (l *Connections) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.lines[id]; v != nil {
		v.client.Close()
		delete(l.lines, id)
	}
}
