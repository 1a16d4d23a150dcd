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

// The store keeps each revision under its own key and the newest revision's
// number under the head key. One transaction writes both and compares the head,
// so of two operators that start from the same base exactly one wins.
//
// An answer may be lost after the write took effect. The revision's key then
// tells: it holds the change id of whoever wrote it.

const (
	headKey        = "/spurhall/head"
	revisionPrefix = "/spurhall/config/"
	// maxValue is the platform's limit on one value.
	maxValue = 1 << 20
	// keptRevisions bounds the history, and with it the platform's memory.
	keptRevisions = 100
)

// ErrConflict says that somebody else changed the configuration since the base.
var ErrConflict = errs.NewType("conflict").New("the configuration has changed since your base revision")

// ErrUndecided says that the platform gave no answer and couldn't be read back.
var ErrUncertain = errs.NewType("undecided").New("the platform gave no answer: the change may or may not be in force; look at the history before you try again")

// ErrNoRevision says that a revision doesn't exist.
var ErrNoRevision = errs.NewType("no_revision").New("no such revision")

// Store reads and writes revisions.
type Store struct {
	kv store.KV
}

// NewStore returns a store in the platform's key-value service.
func NewStore(kv store.KV) *Store { return &Store{kv: kv} }

// Change is one operator's intent.
type Change struct {
	ID        string // unique to the intent
	Base      uint64
	Author    string
	Note      string
	At        time.Time
	Documents []Document // put in place of those of the same kind and name
	Replace   bool       // Documents are the whole configuration
}

func revisionKey(n uint64) string { return fmt.Sprintf("%s%010d", revisionPrefix, n) }

// Head returns the newest revision, which is 0 before the first.
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

// History returns the newest revisions, newest first.
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

// Apply writes a change and returns the revision that it made.
func (s *Store) Apply(ctx context.Context, c Change) (Snapshot, error) {
	n, modified, err := s.head(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	if n != c.Base {
		return Snapshot{}, s.conflict(ctx, c.Base, n)
	}
	next, err := s.next(ctx, n, c)
	if err != nil {
		return Snapshot{}, err
	}
	b, err := json.Marshal(next)
	if err != nil {
		return Snapshot{}, err
	}
	if len(b) > maxValue {
		return Snapshot{}, fault.Because(ErrInvalid, "the configuration would take %d bytes; the platform holds %d", len(b), maxValue)
	}
	r, err := s.kv.Txn(ctx, write(next.Revision, modified, b))
	switch {
	case errors.Is(err, store.ErrUnknown):
		return s.readBack(ctx, next)
	case err != nil:
		return Snapshot{}, err
	case !r.Succeeded:
		return Snapshot{}, s.conflict(ctx, c.Base, next.Revision)
	}
	return next, nil
}

func write(n uint64, modified int64, b []byte) store.Txn {
	t := store.Txn{
		If: []store.Compare{store.Unmodified(headKey, modified), store.Absent(revisionKey(n))},
		Then: []store.Op{
			{Kind: store.OpPut, Key: revisionKey(n), Value: b},
			{Kind: store.OpPut, Key: headKey, Value: []byte(strconv.FormatUint(n, 10))},
		},
	}
	if n > keptRevisions {
		t.Then = append(t.Then, store.Op{Kind: store.OpDelete, Key: revisionKey(n - keptRevisions)})
	}
	return t
}

func (s *Store) next(ctx context.Context, n uint64, c Change) (Snapshot, error) {
	docs := make(map[string]Document)
	if n > 0 && !c.Replace {
		old, err := s.Get(ctx, n)
		if err != nil {
			return Snapshot{}, err
		}
		docs = index(old.Documents)
	}
	for _, d := range c.Documents {
		docs[key(d.Kind, d.Name)] = d
	}
	if err := checkAll(docs); err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Revision: n + 1, ChangeID: c.ID, Author: c.Author, Note: c.Note, AppliedAt: c.At, Documents: ordered(docs)}, nil
}

func ordered(docs map[string]Document) []Document {
	r := make([]Document, 0, len(docs))
	for _, d := range docs {
		r = append(r, d)
	}
	sort.Slice(r, func(i, j int) bool { return key(r[i].Kind, r[i].Name) < key(r[j].Kind, r[j].Name) })
	return r
}

// readBack settles a write whose answer was lost. Only a revision that holds
// this very change id was written by it. When the key is still absent the write
// may yet arrive, so the answer stays open.
func (s *Store) readBack(ctx context.Context, want Snapshot) (Snapshot, error) {
	got, err := s.Get(ctx, want.Revision)
	switch {
	case err != nil:
		return Snapshot{}, fault.Because(ErrUncertain, "revision %d: %v", want.Revision, err)
	case got.ChangeID != want.ChangeID:
		return Snapshot{}, s.conflict(ctx, want.Revision-1, want.Revision)
	}
	return got, nil
}

// conflict says who changed what since the base.
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

// Follow calls accept with every newer head until the context ends. A watch that
// breaks is begun again from a fresh read, so a gap is never missed.
func (s *Store) Follow(ctx context.Context, accept func(Snapshot)) error {
	h, err := s.kv.Range(ctx, headKey, "")
	if err != nil {
		return err
	}
	v, err := s.Head(ctx)
	if err != nil {
		return err
	}
	accept(v)
	return s.kv.Watch(ctx, store.Span{Key: headKey, From: h.Revision + 1}, func(b store.WatchBatch) error {
		if len(b.Events) == 0 {
			return nil
		}
		v, err := s.Head(ctx)
		if err != nil {
			return err
		}
		accept(v)
		return nil
	})
}
