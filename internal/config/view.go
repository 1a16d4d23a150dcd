package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"time"
)

// Snapshot is one revision of the whole configuration. Revisions are numbered
// by one; each is written once and never changed.
type Snapshot struct {
	Revision  uint64     `json:"revision"`
	ChangeID    string     `json:"change"` // names the writer's intent
	Author    string     `json:"author"`
	Note      string     `json:"note"`
	AppliedAt   time.Time  `json:"applied"`
	Documents []Document `json:"documents"`
}

// ErrStale says that a snapshot is not newer than the one in force.
var ErrStale = errs.NewType("stale").New("not newer than the revision in force")

// Rendered is one workspace with its services, ready for use.
type RenderedWorkspace struct {
	name     string
	services map[string]*Service
	chat     []*Service
}

// Name returns the workspace's name.
func (r *RenderedWorkspace) Name() string { return r.name }

// Service returns the service of that name, or nil.
func (r *RenderedWorkspace) Service(name string) *Service { return r.services[name] }

// Chat returns the chat service for a model: the service of that name, or the
// only one there is when the model names none.
func (r *RenderedWorkspace) ChatService(model string) *Service {
	if s := r.services[model]; s != nil && s.Protocol == ProtocolChat {
		return s
	}
	if model == "" && len(r.chat) == 1 {
		return r.chat[0]
	}
	return nil
}

// View is the configuration in force at one node. It only ever moves to a
// higher revision, whatever order snapshots arrive in and wherever they come
// from: that is the whole of "never reverts", and the reason why a rollback is a
// new revision with old content.
type View struct {
	mu       sync.RWMutex
	snapshot Snapshot
	byKey    map[string]*RenderedWorkspace
	byName   map[string]*RenderedWorkspace
	changed  chan struct{}
}

// NewView returns a view at revision 0, which holds no workspace.
func NewView() *View { return &View{changed: make(chan struct{})} }

// Revision returns the revision in force.
func (v *View) Revision() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.snapshot.Revision
}

// Snapshot returns the snapshot in force.
func (v *View) Snapshot() Snapshot {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.snapshot
}

// Changed returns a channel that closes when the next revision is in force.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// Workspace returns the workspace that an API key belongs to, or nil.
func (v *View) WorkspaceByKey(apiKey string) *RenderedWorkspace {
	h := HashKey(apiKey)
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.byKey[h]
}

// Named returns the workspace of that name, or nil.
func (v *View) WorkspaceByName(name string) *RenderedWorkspace {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.byName[name]
}

// Pools lists the pools that any service draws on, with the class of each.
func (v *View) PoolProtocols() map[string]Protocol {
	v.mu.RLock()
	defer v.mu.RUnlock()
	r := make(map[string]Protocol)
	for _, w := range v.byName {
		for _, s := range w.services {
			r[s.Pool] = s.Protocol
		}
	}
	return r
}

// HashKey returns the form in which an API key is stored.
func HashKey(k string) string {
	h := sha256.Sum256([]byte(k))
	return hex.EncodeToString(h[:])
}

// Accept puts a snapshot in force if it is newer than the one that is, and
// returns ErrStale otherwise.
func (v *View) Apply(s Snapshot) error {
	byKey, byName, err := renderAll(s)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Revision <= v.snapshot.Revision {
		return ErrStale
	}
	v.snapshot, v.byKey, v.byName = s, byKey, byName
	close(v.changed)
	v.changed = make(chan struct{})
	return nil
}

// Stale tells whether an error of Accept only says that nothing was newer.
func IsStale(err error) bool { return errors.Is(err, ErrStale) }

func renderAll(s Snapshot) (byKey, byName map[string]*RenderedWorkspace, err error) {
	docs := index(s.Documents)
	byKey, byName = make(map[string]*RenderedWorkspace), make(map[string]*RenderedWorkspace)
	for _, d := range s.Documents {
		if d.Kind != KindWorkspace {
			continue
		}
		w, err := d.workspace()
		if err != nil {
			return nil, nil, located("workspace/"+d.Name, 0, err)
		}
		t := docs[key(KindTemplate, w.Template)]
		services, err := Render(&t, &d)
		if err != nil {
			return nil, nil, err
		}
		r := newRendered(w.Name, services)
		byName[w.Name] = r
		for _, h := range w.KeyHashes {
			byKey[h] = r
		}
	}
	return byKey, byName, nil
}

func newRendered(name string, services []Service) *RenderedWorkspace {
	r := &RenderedWorkspace{name: name, services: make(map[string]*Service, len(services))}
	for i := range services {
		s := &services[i]
		r.services[s.Name] = s
		if s.Protocol == ProtocolChat {
			r.chat = append(r.chat, s)
		}
	}
	return r
}

func index(list []Document) map[string]Document {
	r := make(map[string]Document, len(list))
	for _, d := range list {
		r[key(d.Kind, d.Name)] = d
	}
	return r
}
