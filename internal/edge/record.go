package edge

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/store"
)

// This file is what a holder of the duties leaves to the next one: a value in the store,
// read at the start of a term and written while the term lasts. What stands there outlives
// all processes.

// record is one such value.
type record struct {
	name string // in the log
	key  string // in the store
}

// read takes in what the holder before has written, and tells whether there was anything
// that could be read.
func (r record) read(ctx context.Context, n *Node, into any) bool {
	found, err := r.load(ctx, n, into)
	if err != nil {
		n.log.Warn(r.name+"_unread", zap.String("cause", err.Error()))
	}
	return found && err == nil
}

// load is read for those who ask again where the store doesn't answer: found says that there is
// something, also where it can't be read and asking again is no use.
func (r record) load(ctx context.Context, n *Node, into any) (found bool, err error) {
	a, err := n.kv.Range(ctx, r.key, "")
	if err != nil || len(a.Pairs) == 0 {
		return false, err
	}
	return true, json.Unmarshal(a.Pairs[0].Value, into)
}

// write puts the value into the store on condition that the term lasts. It tells whether
// that is done with: the value stands there, or the term is over and the next holder's word
// counts. What can't be written is to be tried again.
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
