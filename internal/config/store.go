package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"time"

	"spurhall.example/spurhall/internal/fault"
	"spurhall.example/spurhall/internal/store"
)

// Each revision is stored under its own key, and the number of the newest one under the
// head key. One transaction compares the head and writes both keys, so of two changes
// with the same base exactly one succeeds.
//
// The response to a write may be lost after the write took effect. The revision's key
// then decides: it holds the id of the change that wrote it.

const (
	headKey        = "/spurhall/head"
	revisionPrefix = "/spurhall/config/"
	// maxValueBytes is the platform's limit for one value.
	maxValueBytes = 1 << 20
	// maxRevisions bounds the history, and with it the memory it takes in the platform.
	maxRevisions = 100
)

// ErrConflict reports that another change was applied since the base revision.
var ErrConflict = errs.NewType("conflict").New("the configuration has changed since your base revision")

// ErrUncertain reports that the platform sent no response to a write and that reading
// back did not show whether the write took effect.
var ErrUncertain = errs.NewType("undecided").New("the platform gave no answer: the change may or may not be in force; look at the history before you try again")

// ErrNoRevision reports that a revision doesn't exist.
var ErrNoRevision = errs.NewType("no_revision").New("no such revision")

// Store reads and writes revisions.
type Store struct {
	kv store.KV
}

// NewStore returns a store in the platform's key-value service.
func NewStore(kv store.KV) *Store { return &Store{kv: kv} }

// Change is a change of the configuration that an operator requests.
type Change struct {
	ID        string // unique per requested change
	Base      uint64
	Author    string
	Note      string
	At        time.Time
	Documents []Document // each replaces the document of the same kind and name
	Replace   bool       // Documents are the complete configuration
}

func revisionKey(n uint64) string { return fmt.Sprintf("%s%010d", revisionPrefix, n) }

// Head returns the newest revision, or revision 0 if there is none.
func (s *Store) Head(ctx context.Context) (Snapshot, error) {
	n, _, err := s.head(ctx)
	if err != nil || n == 0 {
		return Snapshot{}, err
	}
	return s.Get(ctx, n)
}

func (s *Store) head(ctx context.Context) (n uint64, modified int64, err error) {
	r, err := s.kv.Range(ctx, headKey, "")
	if err != nil {
		return 0, 0, err
	}
	if len(r.Pairs) == 0 {
		return 0, 0, nil
	}
	n, err = strconv.ParseUint(string(r.Pairs[0].Value), 10, 64)
	return n, r.Pairs[0].Modified, err
}

// Get returns one revision.
func (s *Store) Get(ctx context.Context, n uint64) (Snapshot, error) {
	r, err := s.kv.Range(ctx, revisionKey(n), "")
	if err != nil {
		return Snapshot{}, err
	}
	if len(r.Pairs) == 0 {
		return Snapshot{}, fault.Because(ErrNoRevision, "revision %d", n)
	}
	var v Snapshot
	err = json.Unmarshal(r.Pairs[0].Value, &v)
	return v, err
}

// History returns up to limit revisions, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]Snapshot, error) {
	r, err := s.kv.Range(ctx, revisionPrefix, store.PrefixEnd(revisionPrefix))
	if err != nil {
		return nil, err
	}
	var list []Snapshot
	for i := len(r.Pairs) - 1; i >= 0 && len(list) < limit; i-- {
		var v Snapshot
		if err := json.Unmarshal(r.Pairs[i].Value, &v); err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	return list, nil
}

// Apply writes a change and returns the revision it created.
func (s *Store) Apply(ctx context.Context, c Change) (Snapshot, error) {
	n, modified, err := s.head(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	if n != c.Base {
		return Snapshot{}, s.conflict(ctx, c.Base, n)
	}
	next, err := s.buildNext(ctx, n, c)
	if err != nil {
		return Snapshot{}, err
	}
	b, err := json.Marshal(next)
	if err != nil {
		return Snapshot{}, err
	}
	if len(b) > maxValueBytes {
		return Snapshot{}, fault.Because(ErrInvalid, "the configuration would take %d bytes; the platform holds %d", len(b), maxValueBytes)
	}
	r, err := s.kv.Txn(ctx, revisionTxn(next.Revision, modified, b))
	switch {
	case errors.Is(err, store.ErrUnknown):
		return s.resolveLostResponse(ctx, next)
	case err != nil:
		return Snapshot{}, err
	case !r.Succeeded:
		return Snapshot{}, s.conflict(ctx, c.Base, next.Revision)
	}
	return next, nil
}

func revisionTxn(n uint64, modified int64, b []byte) store.Txn {
	t := store.Txn{
		If: []store.Compare{store.Unmodified(headKey, modified), store.Absent(revisionKey(n))},
		Then: []store.Op{
			{Kind: store.OpPut, Key: revisionKey(n), Value: b},
			{Kind: store.OpPut, Key: headKey, Value: []byte(strconv.FormatUint(n, 10))},
		},
	}
	if n > maxRevisions {
		t.Then = append(t.Then, store.Op{Kind: store.OpDelete, Key: revisionKey(n - maxRevisions)})
	}
	return t
}

func (s *Store) buildNext(ctx context.Context, n uint64, c Change) (Snapshot, error) {
	docs := make(map[string]Document)
	if n > 0 && !c.Replace {
		old, err := s.Get(ctx, n)
		if err != nil {
			return Snapshot{}, err
		}
		docs = documentsByKey(old.Documents)
	}
	for _, d := range c.Documents {
		docs[documentKey(d.Kind, d.Name)] = d
	}
	if err := checkAll(docs); err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Revision: n + 1, ChangeID: c.ID, Author: c.Author, Note: c.Note, AppliedAt: c.At, Documents: sortDocuments(docs)}, nil
}

func sortDocuments(docs map[string]Document) []Document {
	r := make([]Document, 0, len(docs))
	for _, d := range docs {
		r = append(r, d)
	}
	sort.Slice(r, func(i, j int) bool { return documentKey(r[i].Kind, r[i].Name) < documentKey(r[j].Kind, r[j].Name) })
	return r
}

// resolveLostResponse determines the outcome of a write whose response was lost. The write
// took effect only if the revision has the same change id. If the revision's key is absent,
// the write may still arrive later, so the outcome stays uncertain.
func (s *Store) resolveLostResponse(ctx context.Context, want Snapshot) (Snapshot, error) {
	got, err := s.Get(ctx, want.Revision)
	switch {
	case err != nil:
		return Snapshot{}, fault.Because(ErrUncertain, "revision %d: %v", want.Revision, err)
	case got.ChangeID != want.ChangeID:
		return Snapshot{}, s.conflict(ctx, want.Revision-1, want.Revision)
	}
	return got, nil
}

// conflict returns an ErrConflict with the author and note of the newest revision.
func (s *Store) conflict(ctx context.Context, base, head uint64) error {
	v, err := s.Get(ctx, max(head, 1))
	if err != nil {
		return fault.Because(ErrConflict, "base %d, newest %d", base, head)
	}
	return fault.Because(ErrConflict, "base %d, newest %d by %s: %s", base, v.Revision, v.Author, v.Note)
}

// Rollback writes a new revision with the content of an older one.
func (s *Store) Rollback(ctx context.Context, c Change, to uint64) (Snapshot, error) {
	old, err := s.Get(ctx, to)
	if err != nil {
		return Snapshot{}, err
	}
	c.Documents, c.Replace = old.Documents, true
	if c.Note == "" {
		c.Note = fmt.Sprintf("rollback to revision %d", to)
	}
	return s.Apply(ctx, c)
}

// Follow calls apply with the newest revision, and again whenever the head changes, until
// the watch breaks or the context ends. The caller then starts it again; as it begins with
// a fresh read, no change is missed.
func (s *Store) Follow(ctx context.Context, apply func(Snapshot)) error {
	h, err := s.kv.Range(ctx, headKey, "")
	if err != nil {
		return err
	}
	v, err := s.Head(ctx)
	if err != nil {
		return err
	}
	apply(v)
	return s.kv.Watch(ctx, store.Span{Key: headKey, From: h.Revision + 1}, func(b store.WatchBatch) error {
		if len(b.Events) == 0 {
			return nil
		}
		v, err := s.Head(ctx)
		if err != nil {
			return err
		}
		apply(v)
		return nil
	})
}
