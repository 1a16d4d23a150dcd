package edge

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/store"
)

// This file stores what a holder of the duties leaves to its successor: a value in the store, read at the
// start of a term and written while the term lasts. It survives the loss of all processes.

// record is one such value.
type record struct {
	name string // in the log
	key  string // in the store
}

// read decodes what the previous holder has written, and reports whether there was a readable value.
func (r record) read(ctx context.Context, n *Node, into any) bool {
	found, err := r.load(ctx, n, into)
	if err != nil {
		n.log.Warn(r.name+"_unread", zap.String("cause", err.Error()))
	}
	return found && err == nil
}

// load is read for callers that retry while the store is unavailable: found reports that a value exists, also
// if it can't be decoded, in which case a retry is useless.
func (r record) load(ctx context.Context, n *Node, into any) (found bool, err error) {
	a, err := n.kv.Range(ctx, r.key, "")
	if err != nil || len(a.Pairs) == 0 {
		return false, err
	}
	return true, json.Unmarshal(a.Pairs[0].Value, into)
}

// write stores the value on condition that the term lasts. It reports whether no retry is needed: the value
// is stored, or the term is over and the next holder's value counts.
func (r record) write(ctx context.Context, n *Node, token int64, value any) bool {
	b, err := json.Marshal(value)
	if err == nil {
		_, err = n.kv.Txn(ctx, store.Txn{
			If:   []store.Compare{store.Unmodified(dutyKey, token)},
			Then: []store.Op{{Kind: store.OpPut, Key: r.key, Value: b}},
		})
	}
	if err != nil {
		n.log.Info(r.name+"_unwritten", zap.String("cause", err.Error()))
	}
	return err == nil
}
