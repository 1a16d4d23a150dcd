// Package handover stores what the holder of the duties leaves to its successor: the ordered counts, the levels
// of the quotas, the counts of ended usage windows, the measured engine figures, and what is known of the room that
// services need. Each is one value in the store, read at the start of a term and written while the term lasts, so that it survives the loss of all
// processes.
//
// Alternatives considered: sending these values in the reports between nodes. A fault that ends the holder
// often ends all nodes.
package handover

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/store"
)

// Record is one value in the store.
type Record struct {
	Name string // in the log
	Key  string // in the store
}

// Store reads and writes records.
type Store struct {
	KV    store.KV
	Lease string // key of the duties' lease
	Log   *zap.Logger
}

// Read decodes what the previous holder has written, and reports whether there was a readable value.
func (s *Store) Read(ctx context.Context, r Record, into any) bool {
	found, err := s.Load(ctx, r, into)
	if err != nil {
		s.Log.Warn(r.Name+"_unread", zap.String("cause", err.Error()))
	}
	return found && err == nil
}

// Load is Read for callers that retry while the store is unavailable: found reports that a value exists, also
// if it can't be decoded, in which case a retry is useless.
func (s *Store) Load(ctx context.Context, r Record, into any) (found bool, err error) {
	a, err := s.KV.Range(ctx, r.Key, "")
	if err != nil || len(a.Pairs) == 0 {
		return false, err
	}
	return true, json.Unmarshal(a.Pairs[0].Value, into)
}

// Entry is a record and the value to be stored in it.
type Entry struct {
	Record Record
	Value  any
}

// Write stores the value on condition that the term of the token lasts. It reports whether no retry is needed:
// the value is stored, or the term is over and the next holder's value counts.
func (s *Store) Write(ctx context.Context, r Record, token int64, value any) bool {
	return s.WriteAll(ctx, token, []Entry{{r, value}})
}

// WriteAll is Write for several values in one call: all are stored, or none. A failure is logged under the first one's name.
func (s *Store) WriteAll(ctx context.Context, token int64, entries []Entry) bool {
	t := store.Txn{If: []store.Compare{store.Unmodified(s.Lease, token)}}
	var err error
	for _, e := range entries {
		var b []byte
		if b, err = json.Marshal(e.Value); err != nil {
			break
		}
		t.Then = append(t.Then, store.Op{Kind: store.OpPut, Key: e.Record.Key, Value: b})
	}
	if err == nil {
		_, err = s.KV.Txn(ctx, t)
	}
	if err != nil {
		s.Log.Info(entries[0].Record.Name+"_unwritten", zap.String("cause", err.Error()))
	}
	return err == nil
}
