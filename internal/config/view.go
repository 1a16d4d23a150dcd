package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"time"
)

// Snapshot is one revision of the complete configuration. Revision numbers increase by
// one; a revision is written once and never changes.
type Snapshot struct {
	Revision  uint64     `json:"revision"`
	ChangeID  string     `json:"change"` // id of the change that created the revision
	Author    string     `json:"author"`
	Note      string     `json:"note"`
	AppliedAt time.Time  `json:"applied"`
	Documents []Document `json:"documents"`
}

// ErrStale reports that a snapshot is not newer than the one in force.
var ErrStale = errs.NewType("stale").New("not newer than the revision in force")

// RenderedWorkspace is one workspace with its rendered services.
type RenderedWorkspace struct {
	name         string
	services     map[string]*Service
	chatServices []*Service
}

// Name returns the workspace's name.
func (r *RenderedWorkspace) Name() string { return r.name }

// Service returns a service by name, or nil.
func (r *RenderedWorkspace) Service(name string) *Service { return r.services[name] }

// ChatService returns the chat service whose name is the model, or the workspace's only
// chat service if the model is empty. Otherwise it returns nil.
func (r *RenderedWorkspace) ChatService(model string) *Service {
	if s := r.services[model]; s != nil && s.Protocol == ProtocolChat {
		return s
	}
	if model == "" && len(r.chatServices) == 1 {
		return r.chatServices[0]
	}
	return nil
}

// View is the configuration in force at one node. It only changes to a higher revision,
// regardless of the order and source of the snapshots it receives, so a node never
// reverts to an older one. That is also why a rollback is a new revision with the content
// of an older one.
type View struct {
	mu       sync.RWMutex
	snapshot Snapshot
	byKey    map[string]*RenderedWorkspace
	byName   map[string]*RenderedWorkspace
	changed  chan struct{}
}

// NewView returns a view at revision 0, which has no workspaces.
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

// Changed returns a channel that is closed when the next revision is put in force.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// WorkspaceByKey returns the workspace of an API key, or nil.
func (v *View) WorkspaceByKey(apiKey string) *RenderedWorkspace {
	h := HashKey(apiKey)
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.byKey[h]
}

// WorkspaceByName returns a workspace by name, or nil.
func (v *View) WorkspaceByName(name string) *RenderedWorkspace {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.byName[name]
}

// PoolProtocols returns the pools that services use, each with the protocol of a service
// that uses it.
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

// HashKey returns the SHA-256 of an API key in hex, the form in which keys are stored.
func HashKey(k string) string {
	h := sha256.Sum256([]byte(k))
	return hex.EncodeToString(h[:])
}

// Apply puts a snapshot in force if it is newer than the current one, and returns
// ErrStale otherwise.
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

// IsStale reports whether an error of Apply is ErrStale.
func IsStale(err error) bool { return errors.Is(err, ErrStale) }

func renderAll(s Snapshot) (byKey, byName map[string]*RenderedWorkspace, err error) {
	docs := documentsByKey(s.Documents)
	byKey, byName = make(map[string]*RenderedWorkspace), make(map[string]*RenderedWorkspace)
	for _, d := range s.Documents {
		if d.Kind != KindWorkspace {
			continue
		}
		w, err := d.workspace()
		if err != nil {
			return nil, nil, withPosition("workspace/"+d.Name, 0, err)
		}
		t := docs[documentKey(KindTemplate, w.Template)]
		services, err := Render(&t, &d)
		if err != nil {
			return nil, nil, err
		}
		r := newRenderedWorkspace(w.Name, services)
		byName[w.Name] = r
		for _, h := range w.KeyHashes {
			byKey[h] = r
		}
	}
	return byKey, byName, nil
}

func newRenderedWorkspace(name string, services []Service) *RenderedWorkspace {
	r := &RenderedWorkspace{name: name, services: make(map[string]*Service, len(services))}
	for i := range services {
		s := &services[i]
		r.services[s.Name] = s
		if s.Protocol == ProtocolChat {
			r.chatServices = append(r.chatServices, s)
		}
	}
	return r
}

func documentsByKey(list []Document) map[string]Document {
	r := make(map[string]Document, len(list))
	for _, d := range list {
		r[documentKey(d.Kind, d.Name)] = d
	}
	return r
}
