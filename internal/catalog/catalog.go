// Package catalog is the configuration in force as a node looks it up: routes by host
// and path, the services behind them, and workspaces by API key.
//
// A Catalog never changes. A new version is a new Catalog, built and checked whole
// before the one pointer that requests read is swapped; a request keeps the catalog it
// began with.
//
// Routes are matched by walking the path's own prefixes from the longest to the
// shortest and looking each up in a map. A trie was weighed: paths here have few
// segments, and a map of a thousand routes is as fast with a tenth of the code.
package catalog

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/fault"
)

var errs = errorx.NewNamespace("catalog")

// ErrInvalid says that a specification can't be used.
var ErrInvalid = errs.NewType("invalid").New("the configuration is invalid")

// Kind says how often a request may run.
type Kind int

// The kinds.
const (
	KindOnce       Kind = iota // at most once
	KindRepeatable             // again after a failure
	KindStream                 // at most once, unless the route may be resumed
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"once", "repeatable", "stream"}[k]
}

// Share is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// RouteSpec describes one route.
type RouteSpec struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // the longest that a request is held; 0: no limit
	LatencyTarget      time.Duration // answers within it are in time
	MaxEventGap       time.Duration // the longest pause between events that is in time
	Priority    int           // 0 is the most urgent
	Services      []WeightedService
	MaxAttempts int // upstreams that one request may be sent to
	Public      bool
	Affinity    bool // requests share parts of their prompts
	Resumable   bool // a stream may go on at another upstream
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots       int
	CacheTokens int // held by running requests and cached prompt parts together
	TokensPerEvent int // of one stream event
	// FetchTokens is how many cached tokens go from one engine to another in a
	// millisecond; 0: none do.
	FetchTokensPerMs float64
}

// ScalingSpec says within what bounds upstreams are ordered.
type ScalingSpec struct {
	Min, Max   int // in each zone
	BootTime       time.Duration
	SpotPrice  float64            // of a reclaimable upstream, relative to an on-demand one
	ZonePrices map[string]float64 // of an upstream, by zone
}

// ServiceSpec describes one service.
type ServiceSpec struct {
	Name           string
	MaxConnections int // that an upstream accepts from all nodes together
	Engine         *EngineSpec
	Scaling        *ScalingSpec
}

// WorkspaceSpec describes one workspace.
type WorkspaceSpec struct {
	Name        string
	Keys        []string
	HasPriority bool
	Priority    int     // goes before the route's
	DefaultTokens float64 // charged for a request that doesn't say its tokens
	Rate        float64 // tokens a second over all nodes; 0: no limit
	Burst       float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes     int // bytes
	MaxBodyBytes       int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Spec describes a whole version.
type Spec struct {
	Version    int64
	Routes     []RouteSpec
	Services   []ServiceSpec
	Workspaces []WorkspaceSpec
	RequireKey      bool // callers have to show a key
	Limits     Limits
}

// Route is one route of a catalog.
type Route struct {
	spec  RouteSpec
	total int
}

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Kind returns how often its requests may run.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the longest that a request is held; 0 means no limit.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Target returns the time within which an answer is in time.
func (r *Route) LatencyTarget() time.Duration { return r.spec.LatencyTarget }

// Pause returns the longest pause between events that is in time.
func (r *Route) MaxEventGap() time.Duration { return r.spec.MaxEventGap }

// MaxAttempts returns the number of upstreams that one request may be sent to.
func (r *Route) MaxAttempts() int { return max(1, r.spec.MaxAttempts) }

// Priority returns the urgency, 0 being the most urgent.
func (r *Route) Priority() int { return r.spec.Priority }

// Public tells whether the route serves requests without a key.
func (r *Route) Public() bool { return r.spec.Public }

// Affinity tells whether its requests share parts of their prompts.
func (r *Route) Affinity() bool { return r.spec.Affinity }

// Resumable tells whether a stream may go on at another upstream.
func (r *Route) Resumable() bool { return r.spec.Resumable }

// Repeatable tells whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.spec.Kind == KindRepeatable || r.spec.Kind == KindStream && r.spec.Resumable
}

// Service returns the service for a request. All nodes choose alike for one id, and
// ids spread over the shares by their weights.
func (r *Route) Service(id string) string {
	if len(r.spec.Services) == 1 || r.total == 0 {
		return r.spec.Services[0].Service
	}
	n := int(xxhash.Sum64String(id) % uint64(r.total))
	for _, s := range r.spec.Services {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.spec.Services[0].Service
}

// Workspace is one workspace of a catalog.
type Workspace struct{ spec WorkspaceSpec }

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.spec.Name }

// Rate returns the tokens a second over all nodes; 0 means no limit.
func (w *Workspace) Rate() float64 { return w.spec.Rate }

// Burst returns the tokens on top of the rate.
func (w *Workspace) Burst() float64 { return w.spec.Burst }

// PlainTokens returns the charge for a request that doesn't say its tokens.
func (w *Workspace) DefaultTokens() float64 { return w.spec.DefaultTokens }

// Priority returns the urgency of a request on a route.
func (w *Workspace) Priority(r *Route) int {
	if w == nil || !w.spec.HasPriority {
		return r.Priority()
	}
	return w.spec.Priority
}

// Catalog is one version.
type Catalog struct {
	version  int64
	routes   map[string]map[string]*Route // by host, then prefix
	services map[string]*ServiceSpec
	keys     map[string]*Workspace
	list     []*Workspace
	keyed    bool
	limits   Limits
}

// New builds a catalog, or says with ErrInvalid what is wrong.
func New(s Spec) (*Catalog, error) {
	c := &Catalog{
		version: s.Version, keyed: s.RequireKey, limits: s.Limits,
		routes: make(map[string]map[string]*Route), services: make(map[string]*ServiceSpec), keys: make(map[string]*Workspace),
	}
	for i := range s.Services {
		c.services[s.Services[i].Name] = &s.Services[i]
	}
	for _, r := range s.Routes {
		if err := c.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, w := range s.Workspaces {
		v := &Workspace{spec: w}
		c.list = append(c.list, v)
		for _, k := range w.Keys {
			c.keys[k] = v
		}
	}
	return c, nil
}

func (c *Catalog) addRoute(s RouteSpec) error {
	if !strings.HasPrefix(s.Prefix, "/") || !strings.HasSuffix(s.Prefix, "/") {
		return fault.Because(ErrInvalid, "route %q: prefix %q has to begin and end with a slash", s.Name, s.Prefix)
	}
	if len(s.Services) == 0 {
		return fault.Because(ErrInvalid, "route %q names no service", s.Name)
	}
	r := &Route{spec: s}
	for _, v := range s.Services {
		if v.Weight < 0 {
			return fault.Because(ErrInvalid, "route %q: service %q has the negative weight %d", s.Name, v.Service, v.Weight)
		}
		r.total += v.Weight
	}
	h := normalHost(s.Host)
	if c.routes[h] == nil {
		c.routes[h] = make(map[string]*Route)
	}
	c.routes[h][s.Prefix] = r
	return nil
}

func normalHost(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// Version returns the version's number; a higher one is newer.
func (c *Catalog) Version() int64 { return c.version }

// Keyed tells whether callers have to show a key.
func (c *Catalog) RequiresKey() bool { return c.keyed }

// Limits returns what a caller may send.
func (c *Catalog) Limits() Limits { return c.limits }

// Workspaces returns all workspaces.
func (c *Catalog) Workspaces() []*Workspace { return c.list }

// Workspace returns the owner of a key, or nil.
func (c *Catalog) Workspace(key string) *Workspace { return c.keys[key] }

// Service returns a service, or nil.
func (c *Catalog) Service(name string) *ServiceSpec { return c.services[name] }

// Services returns the names of all services that are scaled, in no order.
func (c *Catalog) Services() []string {
	var r []string
	for n := range c.services {
		r = append(r, n)
	}
	return r
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	m := c.routes[normalHost(host)]
	if m == nil {
		return nil
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r := m[path[:i+1]]; r != nil {
			return r
		}
	}
	return nil
}
