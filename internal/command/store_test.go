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

// returned is a node that has seen the store come back from a copy.
type returned struct {
	wireconnect.UnimplementedEdgeHandler
}

// Store returns what it knows.
func (returned) Store(context.Context, *connect.Request[wire.StoreRequest]) (*connect.Response[wire.StoreResponse], error) {
	return connect.NewResponse(&wire.StoreResponse{
		Node: "n1", Era: 3, Returned: true, ReturnedAgeMs: 1500, Revision: 4711, Watching: true, Holder: true, Upstreams: 24,
		Missing: []*wire.Missing{{Upstream: "e7", ForMs: 700}, {Upstream: "e9", ForMs: 700}},
	}), nil
}

// plain is one whose store says no era.
type plain struct {
	wireconnect.UnimplementedEdgeHandler
}

// Store returns what it knows.
func (plain) Store(context.Context, *connect.Request[wire.StoreRequest]) (*connect.Response[wire.StoreResponse], error) {
	return connect.NewResponse(&wire.StoreResponse{Node: "n2", Revision: 12, Upstreams: 1}), nil
}

func TestStore(t *testing.T) {
	run := func(nodes ...string) (string, error) {
		var out bytes.Buffer
		a := []string{"spurhall"}
		for _, n := range nodes {
			a = append(a, "--node", n)
		}
		err := command.New(&out, &out, nil).Run(t.Context(), append(a, "store"))
		return out.String(), err
	}
	t.Run("after a return, and a store without eras", func(t *testing.T) {
		out, err := run(edgeNode(t, returned{}), edgeNode(t, plain{}))
		assert.NoError(t, err)
		for _, v := range []string{"n1", "1.5s ago", "4711", "itself", "holder", "24", "e7 (700ms), e9 (700ms)", "n2", "from others"} {
			assert.Contains(t, out, v)
		}
	})
	t.Run("one of two doesn't answer", func(t *testing.T) {
		out, err := run("127.0.0.1:1", edgeNode(t, plain{}))
		assert.ErrorContains(t, err, "127.0.0.1:1")
		assert.Contains(t, out, "n2")
	})
}
