package command_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/command"
	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// rolling is a node that knows of one roll-out.
type rolling struct {
	wireconnect.UnimplementedEdgeHandler
}

// Rollouts returns it.
func (rolling) Rollouts(context.Context, *connect.Request[wire.RolloutsRequest]) (*connect.Response[wire.RolloutsResponse], error) {
	return connect.NewResponse(&wire.RolloutsResponse{Rollouts: []*wire.Rollout{{
		Service: "llm", Target: "v2", Order: 412, Stage: "trial", StageAgeMs: 1500, Stopped: true, Signed: true, Answers: 57, Failed: 9, Suspicion: 1.2,
		Reason: "fails", Route: "chat", Upstreams: 20, Others: 24, Running: 130,
	}}}), nil
}

// edgeNode starts one that answers other nodes and operators, and returns its address.
func edgeNode(t *testing.T, h wireconnect.EdgeHandler) string {
	m := http.NewServeMux()
	m.Handle(wireconnect.NewEdgeHandler(h))
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestRollouts(t *testing.T) {
	var out bytes.Buffer
	err := command.New(&out, &out, nil).Run(t.Context(), []string{"spurhall", "--node", edgeNode(t, rolling{}), "rollouts"})
	assert.NoError(t, err)
	for _, v := range []string{"llm", "v2", "412", "trial, stopped", "1.5s", "heard", "57", "1.20 fails on chat"} {
		assert.Contains(t, out.String(), v)
	}
	t.Run("a node that doesn't answer", func(t *testing.T) {
		err := command.New(&out, &out, nil).Run(t.Context(), []string{"spurhall", "--node", "127.0.0.1:1", "rollouts"})
		assert.Error(t, err)
	})
}
