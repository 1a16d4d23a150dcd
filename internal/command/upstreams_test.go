package command_test

import (
	"bytes"
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/command"
	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// believer is a node that knows upstreams of each kind.
type believer struct {
	wireconnect.UnimplementedEdgeHandler
}

// Upstreams returns what it believes.
func (believer) Upstreams(_ context.Context, r *connect.Request[wire.UpstreamsRequest]) (*connect.Response[wire.UpstreamsResponse], error) {
	a := &wire.UpstreamsResponse{Node: "n1"}
	for _, v := range []*wire.UpstreamState{
		{Id: "a", Service: "llm", Hall: "h1", Slowness: 1, UnreachedMs: -1, Running: 3, Speed: 0.61, SpeedEvidence: 87.4},
		{Id: "b", Service: "llm", Leaving: true, Declared: true, UnreachedMs: -1},
		{Id: "c", Service: "llm", Leaving: true, UnreachedMs: -1, Born: 1_790_000_000_000},
		{Id: "d", Service: "llm", RestMs: 2500, UnreachedMs: -1},
		{Id: "e", Service: "llm", Limited: true, Rate: 1.2, LimitAgeMs: 700, Share: 0.6, UnreachedMs: -1},
		{Id: "f", Service: "llm", Limited: true, Rate: 4, UnreachedMs: -1},
		{Id: "g", Service: "llm", Misplaced: true, UnreachedMs: -1},
		{Id: "h", Service: "llm", UnreachedMs: 300},
		{Id: "o", Service: "orders", UnreachedMs: -1},
	} {
		if r.Msg.Service == "" || r.Msg.Service == v.Service {
			a.Upstreams = append(a.Upstreams, v)
		}
	}
	return connect.NewResponse(a), nil
}

func TestUpstreams(t *testing.T) {
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		err := command.New(&out, &out, nil).Run(t.Context(), append([]string{"spurhall", "--node", edgeNode(t, believer{}), "upstreams"}, args...))
		return out.String(), err
	}
	t.Run("what each gets, and why", func(t *testing.T) {
		out, err := run()
		assert.NoError(t, err)
		for _, v := range []string{
			"n1", "requests", "its entry says that it leaves", "it has said that it leaves", "2026-09-21T14:13:20Z", "nothing for 2.5s: it asked for rest",
			"1.2/s", "700ms ago", "0.6/s", "other nodes share its limit", "another upstream has its address", "unreachable 300ms ago", "orders", "SPEED", "EVIDENCE", "0.61", "87", "usual",
		} {
			assert.Contains(t, out, v)
		}
	})
	t.Run("of one service", func(t *testing.T) {
		out, err := run("orders")
		assert.NoError(t, err)
		assert.NotContains(t, out, "llm")
	})
	t.Run("not of two", func(t *testing.T) {
		_, err := run("orders", "llm")
		assert.ErrorContains(t, err, "one service at most")
	})
}
