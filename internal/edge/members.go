package edge

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/bootstrap"
	"spurhall.example/spurhall/internal/registration"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/wire"
)

// This file implements discovery: it applies the registered nodes (package registration) to the peers, and contacts
// the seeds while none is known.

// registration returns this node's key in the store.
func (n *Node) registration() *registration.Registration {
	s := n.settings
	return registration.New(registration.Options{
		KV: n.kv, Clock: n.clock, Log: n.log, Incarnation: n.options.Incarnation, MinLease: s.Store.MinLease, FirstStart: s.FirstStart,
		Member: roster.Member{Name: s.Node, Address: s.Peers, Hall: s.Hall, Cores: s.Cores},
	})
}

// register keeps this node's key in the store until the context ends.
func (n *Node) register(ctx context.Context) { n.registration().Run(ctx) }

func (n *Node) newPoller() *registration.Poller {
	return &registration.Poller{
		Clock: n.clock, Log: n.log, KV: func() store.KV { return n.kv }, Node: n.settings.Node, StartedAt: n.start, FirstStart: n.settings.FirstStart, Known: n.hasReadRegistry,
		HoldsSeat: n.holdsSeat.Load,
		SentAt: func() time.Time {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.registrySentAt
		},
		Apply: func(list []roster.Member) {
			n.mu.Lock()
			defer n.mu.Unlock()
			now := n.clock.Now()
			n.registry.Replace(now, list)
			n.applyRegistry(now)
		},
	}
}

// applyRegistry applies the registered nodes to the peers. The node's lock is held.
func (n *Node) applyRegistry(now time.Time) {
	n.peers.ApplyRegistry(now, n.registry.Members())
	n.role.RegistryRead = true
	n.setQuotaPeers(now)
}

// knownSeeds returns what this node knows of the others, for package bootstrap.
func (n *Node) knownSeeds() bootstrap.Known {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := func(a string) bool { return a == n.settings.Peers }
	return bootstrap.Known{All: n.role.RegistryRead || n.lookup.Complete(), Peers: n.peers.Size() - 1, Unknown: n.peers.Unknown(slices.DeleteFunc(slices.Clone(n.settings.Seeds), own))}
}

func (n *Node) contactSeeds(ctx context.Context) {
	n.registryPoller.Await(ctx)
	(&bootstrap.Seeds{Clock: n.clock, Node: n.settings.Node, Read: n.hasReadRegistry, Known: n.knownSeeds, Call: n.contactSeed}).Run(ctx)
}

func (n *Node) contactSeed(ctx context.Context, address string) {
	c, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	a, err := n.peers.NewClient(address).Report(c, connect.NewRequest(&wire.ReportRequest{Report: n.buildReport(pairWindows)}))
	if err != nil {
		n.log.Info("seed_silent", zap.String("address", address), zap.String("cause", err.Error()))
		return
	}
	n.applyReport(ctx, a.Msg.Report)
}
