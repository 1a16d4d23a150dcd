// Package catalog indexes the configuration in force for look-ups by a node: routes by
// host and path, the services they lead to, and workspaces by API key.
//
// A Catalog is immutable. A new version is a new Catalog, which is built and validated
// completely before the pointer that requests read is swapped; a request uses the catalog
// it started with until its end.
//
// Routes are matched by looking up the path's prefixes in a map, from the longest to the
// shortest.
//
// Alternatives considered: a trie. Paths have few segments, and a map of a thousand routes
// is as fast with a tenth of the code.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"spurhall.example/spurhall/internal/fault"
)

var errs = errorx.NewNamespace("catalog")

// ErrInvalid reports a specification that can't be used.
var ErrInvalid = errs.NewType("invalid").New("the configuration is invalid")

// Kind is how often a request may run.
type Kind int

// The kinds of request.
const (
	KindOnce       Kind = iota // at most once
	KindRepeatable             // may run again after a failure
	KindStream                 // at most once, unless the route is resumable
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"once", "repeatable", "stream"}[k]
}

// WeightedService is a service with the weight of its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// RouteSpec describes one route.
type RouteSpec struct {
	Name          string
	Host          string
	Prefix        string // starts and ends with a slash
	Kind          Kind
	Timeout       time.Duration // maximum duration of a request; 0: no limit
	LatencyTarget time.Duration // responses within it count as in time
	MaxEventGap   time.Duration // maximum gap between events that counts as in time
	Priority      int           // 0 is the most urgent
	Services      []WeightedService
	MaxAttempts   int // maximum number of upstreams that one request is sent to
	Public        bool
	Affinity      bool // requests have prompt prefixes in common
	Resumable     bool // a stream may continue at another upstream
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots          int
	CacheTokens    int // capacity for running requests and cached prompt parts together
	TokensPerEvent int // tokens in one stream event
	// FetchTokensPerMs is the number of cached tokens that one engine can fetch from another
	// per millisecond; 0: engines don't fetch cached tokens.
	FetchTokensPerMs float64
}

// ScalingSpec describes the bounds and prices by which a service is scaled.
type ScalingSpec struct {
	Min, Max   int // upstreams per zone
	BootTime   time.Duration
	SpotPrice  float64            // price of a reclaimable upstream relative to an on-demand one
	ZonePrices map[string]float64 // price of an upstream, by zone
}

// ServiceSpec describes one service.
type ServiceSpec struct {
	Name           string
	MaxConnections int // connections that one upstream accepts from all nodes together
	Engine         *EngineSpec
	Scaling        *ScalingSpec
}

// WorkspaceSpec describes one workspace.
type WorkspaceSpec struct {
	Name          string
	Keys          []string
	HasPriority   bool
	Priority      int     // takes precedence over the route's
	DefaultTokens float64 // charged for a request that doesn't state its tokens
	Rate          float64 // tokens per second over all nodes; 0: no limit
	Burst         float64
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Spec describes a complete version of the catalog.
type Spec struct {
	Version    int64
	Routes     []RouteSpec
	Services   []ServiceSpec
	Workspaces []WorkspaceSpec
	RequireKey bool // callers must send an API key
	Limits     Limits
}

// Route is one route of a catalog.
type Route struct {
	spec        RouteSpec
	totalWeight int
}

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Kind returns how often its requests may run.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the maximum duration of a request; 0 means no limit.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// LatencyTarget returns the time within which a response counts as in time.
func (r *Route) LatencyTarget() time.Duration { return r.spec.LatencyTarget }

// MaxEventGap returns the maximum gap between events that counts as in time.
func (r *Route) MaxEventGap() time.Duration { return r.spec.MaxEventGap }

// MaxAttempts returns the maximum number of upstreams that one request is sent to, at least 1.
func (r *Route) MaxAttempts() int { return max(1, r.spec.MaxAttempts) }

// Priority returns the route's priority; 0 is the most urgent.
func (r *Route) Priority() int { return r.spec.Priority }

// Public reports whether the route serves requests without an API key.
func (r *Route) Public() bool { return r.spec.Public }

// Affinity reports whether the route's requests have prompt prefixes in common.
func (r *Route) Affinity() bool { return r.spec.Affinity }

// Resumable reports whether a stream may continue at another upstream.
func (r *Route) Resumable() bool { return r.spec.Resumable }

// Repeatable reports whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.spec.Kind == KindRepeatable || r.spec.Kind == KindStream && r.spec.Resumable
}

// Service returns the service for a request id. All nodes return the same service for the
// same id, and ids are distributed over the services by weight.
func (r *Route) Service(id string) string {
	if len(r.spec.Services) == 1 || r.totalWeight == 0 {
		return r.spec.Services[0].Service
	}
	n := int(xxhash.Sum64String(id) % uint64(r.totalWeight))
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

// Rate returns the workspace's limit in tokens per second over all nodes; 0 means no limit.
func (w *Workspace) Rate() float64 { return w.spec.Rate }

// Burst returns the tokens allowed on top of the rate.
func (w *Workspace) Burst() float64 { return w.spec.Burst }

// DefaultTokens returns the tokens charged for a request that doesn't state its tokens.
func (w *Workspace) DefaultTokens() float64 { return w.spec.DefaultTokens }

// Priority returns the priority of the workspace's requests on a route. The receiver may be
// nil: the route's priority then applies.
func (w *Workspace) Priority(r *Route) int {
	if w == nil || !w.spec.HasPriority {
		return r.Priority()
	}
	return w.spec.Priority
}

// Catalog is one immutable version of the configuration.
type Catalog struct {
	version    int64
	routes     map[string]map[string]*Route // by host, then prefix
	services   map[string]*ServiceSpec
	keys       map[string]*Workspace
	workspaces []*Workspace
	urgency    map[string]*Urgency // by service
	requireKey bool
	limits     Limits
}

// Urgency is how urgent the requests to one service may be.
type Urgency struct {
	Ranks  []int         // the priorities that they may have, in order; 0 is the most urgent
	Target time.Duration // the tightest latency target; 0: none
}

// New builds a catalog. It returns ErrInvalid with the reason if the specification is invalid.
func New(s Spec) (*Catalog, error) {
	c := &Catalog{
		version: s.Version, requireKey: s.RequireKey, limits: s.Limits,
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
		c.workspaces = append(c.workspaces, v)
		for _, k := range w.Keys {
			c.keys[k] = v
		}
	}
	c.addUrgency(s)
	return c, nil
}

// addUrgency collects the priorities and latency targets of each service's requests.
func (c *Catalog) addUrgency(s Spec) {
	c.urgency = make(map[string]*Urgency)
	ofRoutes := !s.RequireKey // some callers have no workspace with a priority of its own
	var ofWorkspaces []int
	for _, w := range s.Workspaces {
		if w.HasPriority {
			ofWorkspaces = append(ofWorkspaces, w.Priority)
		} else {
			ofRoutes = true
		}
	}
	for _, r := range s.Routes {
		for _, v := range r.Services {
			u := c.urgency[v.Service]
			if u == nil {
				u = &Urgency{Ranks: slices.Clone(ofWorkspaces)}
				c.urgency[v.Service] = u
			}
			if ofRoutes || r.Public {
				u.Ranks = append(u.Ranks, r.Priority)
			}
			if t := r.LatencyTarget; t > 0 && (u.Target == 0 || t < u.Target) {
				u.Target = t
			}
		}
	}
	for _, u := range c.urgency {
		slices.Sort(u.Ranks)
		u.Ranks = slices.Compact(u.Ranks)
	}
}

// Urgency returns how urgent the requests to a service may be.
func (c *Catalog) Urgency(service string) Urgency {
	if u := c.urgency[service]; u != nil {
		return *u
	}
	return Urgency{}
}

func (c *Catalog) addRoute(s RouteSpec) error {
	if !strings.HasPrefix(s.Prefix, "/") || !strings.HasSuffix(s.Prefix, "/") {
		return fault.Because(ErrInvalid, "route %q: prefix %q must start and end with a slash", s.Name, s.Prefix)
	}
	if len(s.Services) == 0 {
		return fault.Because(ErrInvalid, "route %q has no services", s.Name)
	}
	r := &Route{spec: s}
	for _, v := range s.Services {
		if v.Weight < 0 {
			return fault.Because(ErrInvalid, "route %q: service %q has negative weight %d", s.Name, v.Service, v.Weight)
		}
		r.totalWeight += v.Weight
	}
	h := normalizeHost(s.Host)
	if c.routes[h] == nil {
		c.routes[h] = make(map[string]*Route)
	}
	c.routes[h][s.Prefix] = r
	return nil
}

func normalizeHost(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// Version returns the version number; a higher number is newer.
func (c *Catalog) Version() int64 { return c.version }

// RequiresKey reports whether callers must send an API key.
func (c *Catalog) RequiresKey() bool { return c.requireKey }

// Limits returns the bounds on what a caller may send.
func (c *Catalog) Limits() Limits { return c.limits }

// Workspaces returns all workspaces.
func (c *Catalog) Workspaces() []*Workspace { return c.workspaces }

// Workspace returns the workspace of an API key, or nil.
func (c *Catalog) Workspace(key string) *Workspace { return c.keys[key] }

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *ServiceSpec { return c.services[name] }

// Services returns the names of all services, in no particular order.
func (c *Catalog) Services() []string {
	var r []string
	for n := range c.services {
		r = append(r, n)
	}
	return r
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Catalog) Match(host, path string) *Route {
	m := c.routes[normalizeHost(host)]
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
