package edge

import (
	"context"
	"math"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/message"
	"spurhall.example/spurhall/internal/roster"
	"spurhall.example/spurhall/internal/wire"
)

// This file asks other nodes what the store couldn't tell this process when it started (package bootstrap): which nodes there
// are, and the quotas' levels.

// levelsWanted is the age of a process up to which it asks for levels: then its own are as good as those of others.
const levelsWanted = 5 * time.Second

// askOthers asks the next node whose turn it is.
func (n *Node) askOthers(ctx context.Context, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.settings.FirstStart {
		return // holders of seats read the registry for the others, and buckets are full
	}
	wantsLevels := n.quotas.WantsLevels() && n.catalog.Load() != nil && now.Sub(n.start) < levelsWanted
	if n.role.RegistryRead && !wantsLevels {
		return
	}
	name := n.lookup.Next(now, n.peers.Responsive(now))
	if name == "" {
		return
	}
	client := n.peers.Client(n.peers.Get(name))
	go func() {
		asked := n.clock.Now()
		c, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		a, err := client.CatchUp(c, connect.NewRequest(&wire.CatchUpRequest{WantsMembers: true, WantsLevels: wantsLevels, CatalogVersion: math.MaxInt64, ListRevision: math.MaxInt64}))
		if err != nil {
			n.log.Info("members_unheard", zap.String("peer", name), zap.String("cause", err.Error()))
			return
		}
		n.applyNamed(name, message.MembersFromWire(a.Msg.Members), a.Msg.MembersComplete)
		if wantsLevels {
			n.applyLevels(name, asked, a.Msg)
		}
	}()
}

// applyLevels applies the quotas' levels of another node, if its process is older than this one.
func (n *Node) applyLevels(source string, asked time.Time, m *wire.CatchUpResponse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if message.FromMillis(m.UptimeMs) <= asked.Sub(n.start) || !n.quotas.Adopt(n.clock.Now(), message.LevelsFromWire(m.Levels)) {
		return
	}
	n.log.Info("levels_heard", zap.String("source", source), zap.Int("workspaces", len(m.Levels)))
}

// applyNamed applies the nodes that another one knows.
func (n *Node) applyNamed(source string, list []roster.Member, complete bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, known := n.clock.Now(), n.peers.Size()
	for _, m := range list {
		if m.Address != "" {
			n.peers.ApplyMember(now, m)
		}
	}
	if before := n.lookup.Complete(); n.peers.Size() != known || complete && !before {
		n.log.Info("members_heard", zap.String("source", source), zap.Int("known", n.peers.Size()), zap.Int("before", known), zap.Bool("complete", complete))
	}
	n.lookup.Hear(complete)
}

// nameMembers returns the nodes that this one knows, itself included, and the quotas' levels if they are wanted and rest on what
// nodes have charged more than on what silent ones are assumed to have.
func (n *Node) nameMembers(levels bool) *wire.CatchUpResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.settings
	list := n.peers.Members(roster.Member{Name: s.Node, Address: s.Peers, Hall: s.Hall, Cores: s.Cores})
	now := n.clock.Now()
	a := &wire.CatchUpResponse{Members: message.MembersToWire(list), MembersComplete: n.role.RegistryRead || n.lookup.Complete(), UptimeMs: now.Sub(n.start).Milliseconds()}
	if levels && n.quotas.Sharing().HearsMost() {
		a.Levels = message.LevelsToWire(n.quotas.Levels(now))
	}
	return a
}
