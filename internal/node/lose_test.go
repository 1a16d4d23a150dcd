package node

import (
	"context"
	"sync/atomic"

	"spurhall.example/spurhall/internal/store"
)

// loseAnswer returns options of nodes whose first such transaction gets no answer, and whether it has come. If it is
// applied, it takes effect none the less.
func loseAnswer(is func(x store.Txn) bool, applied bool) (lost *atomic.Bool, edit func(o *Options)) {
	lost = new(atomic.Bool)
	return lost, func(o *Options) {
		txn := o.KV.Txn
		o.KV.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
			if !is(x) || lost.Swap(true) {
				return txn(ctx, x)
			}
			if applied {
				_, _ = txn(ctx, x)
			}
			return store.TxnResult{}, store.ErrUnknown
		}
	}
}
