package node

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"spurhall.example/spurhall/internal/claim"
	"spurhall.example/spurhall/internal/wire"
)

// This file asks peers that have the platform to write and erase claims for this node, which is cut off from it.

// claimBehalf asks a peer that has the platform to claim for this node.
func (p *peers) claimByProxy(ctx context.Context, key uint64, attempt string, lifetime time.Duration) (claim.WriteResult, int64) {
	for i, v := range p.peersWithPlatform() {
		if i == maxProxyPeers {
			break
		}
		x, cancel := context.WithTimeout(ctx, promiseTimeout)
		r, err := v.client.ClaimFor(x, connect.NewRequest(&wire.ClaimForRequest{
			Member: p.n.id, Key: key, Attempt: attempt, LifetimeMs: lifetime.Milliseconds(),
		}))
		cancel()
		if err == nil && claim.WriteResult(r.Msg.Result) != claim.WriteUnknown {
			return claim.WriteResult(r.Msg.Result), r.Msg.Revision
		}
	}
	return claim.WriteUnknown, 0
}

const maxProxyPeers = 2

// eraseBehalf asks a peer that has the platform to erase a claim of this node's.
func (p *peers) eraseByProxy(ctx context.Context, key uint64, attempt string) bool {
	for i, v := range p.peersWithPlatform() {
		if i == maxProxyPeers {
			break
		}
		x, cancel := context.WithTimeout(ctx, promiseTimeout)
		r, err := v.client.EraseFor(x, connect.NewRequest(&wire.EraseForRequest{Key: key, Attempt: attempt}))
		cancel()
		if err == nil && r.Msg.Done {
			return true
		}
	}
	return false
}
