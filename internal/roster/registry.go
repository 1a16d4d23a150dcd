package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"spurhall.example/spurhall/internal/changelog"
)

// This file holds the registered nodes as a node knows them. Those that watch the store for their hall read the
// registry, and the others are sent its changes: if every node read it, the bytes that the store sends would
// grow with the square of the fleet, some 100 MB a second at a thousand nodes.

// Member is a registered node.
type Member struct {
	Name    string
	Address string // of its listener for other nodes
	Hall    string
	Cores   float64
}

// Registry is the registered nodes. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	members map[string]Member
	log     *changelog.Log
	readAt  time.Time // when it was last read or confirmed
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{members: make(map[string]Member), log: changelog.New()}
}

// Replace sets the registered nodes as read at a time.
func (r *Registry) Replace(now time.Time, list []Member) {
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		listed[m.Name] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for name := range r.members {
		if !listed[name] {
			gone = append(gone, name)
		}
	}
	r.apply(now, list, gone)
}

// Apply applies changes that another node has sent.
func (r *Registry) Apply(now time.Time, changed []Member, gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(now, changed, gone)
}

func (r *Registry) apply(now time.Time, changed []Member, gone []string) {
	r.readAt = now
	var names []string
	for _, m := range changed {
		if r.members[m.Name] != m {
			r.members[m.Name] = m
			names = append(names, m.Name)
		}
	}
	for _, name := range gone {
		if _, ok := r.members[name]; ok {
			delete(r.members, name)
			names = append(names, name)
		}
	}
	if sequence, _ := r.log.Subscribe(); len(names) > 0 || sequence == 0 {
		r.log.Append(changelog.Update{Length: len(r.members), IDs: names})
	}
}

// Members returns the registered nodes, by name.
func (r *Registry) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Collect(maps.Values(r.members))
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Age returns the time since the registry was last read or confirmed.
func (r *Registry) Age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.readAt)
}

// Subscribe returns the sequence of the registry and a channel that its next change closes.
func (r *Registry) Subscribe() (sequence int64, changed <-chan struct{}) { return r.log.Subscribe() }

// Since returns the nodes that changed after a sequence, and those that are gone. It returns false if that isn't
// known any more.
func (r *Registry) Since(sequence int64) (changed []Member, gone []string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	names, ok := r.log.Since(sequence)
	for _, name := range names {
		if m, listed := r.members[name]; listed {
			changed = append(changed, m)
		} else {
			gone = append(gone, name)
		}
	}
	return changed, gone, ok
}
