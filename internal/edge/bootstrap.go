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

// This file asks other nodes which nodes there are, while this process couldn't read the registry (package bootstrap).

// askForMembers asks the next node whose turn it is.
func (n *Node) askForMembers(ctx context.Context, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role.RegistryRead || n.settings.FirstStart {
		return // while the whole system starts, holders of seats read the registry for the others
	}
	name := n.lookup.Next(now, n.peers.responsive(now))
	if name == "" {
		return
	}
	client := n.peers.clientOf(n.peers.peers[name])
	go func() {
		c, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		a, err := client.CatchUp(c, connect.NewRequest(&wire.CatchUpRequest{WantsMembers: true, CatalogVersion: math.MaxInt64, ListRevision: math.MaxInt64}))
		if err != nil {
			n.log.Info("members_unheard", zap.String("peer", name), zap.String("cause", err.Error()))
			return
		}
		n.applyNamed(name, message.MembersFromWire(a.Msg.Members), a.Msg.MembersComplete)
	}()
}

// applyNamed applies the nodes that another one knows.
func (n *Node) applyNamed(source string, list []roster.Member, complete bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, known := n.clock.Now(), n.peers.size()
	for _, m := range list {
		if m.Name != n.settings.Node && m.Address != "" {
			n.applyMember(now, m)
		}
	}
	if before := n.lookup.Complete(); n.peers.size() != known || complete && !before {
		n.log.Info("members_heard", zap.String("source", source), zap.Int("known", n.peers.size()), zap.Int("before", known), zap.Bool("complete", complete))
	}
	n.lookup.Hear(complete)
}

// nameMembers returns the nodes that this one knows, itself included.
func (n *Node) nameMembers() *wire.CatchUpResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.settings
	list := []roster.Member{{Name: s.Node, Address: s.Peers, Hall: s.Hall, Cores: s.Cores}}
	for _, p := range n.peers.peers {
		if p.Address != "" {
			list = append(list, roster.Member{Name: p.Name, Address: p.Address, Hall: p.Hall, Cores: p.Cores})
		}
	}
	return &wire.CatchUpResponse{Members: message.MembersToWire(list), MembersComplete: n.role.RegistryRead || n.lookup.Complete()}
}

// responsive returns the names of the peers that aren't silent.
func (t *peerTable) responsive(now time.Time) []string {
	var r []string
	for n, p := range t.peers {
		if p.Address != "" && p.IsResponsive(now, t.size()) {
			r = append(r, n)
		}
	}
	return r
}
