package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// This file asks the nodes on the users' platform about roll-outs, at the listener for other
// nodes: they have no other one for operators.

func (t *tool) rolloutsCommand() *cli.Command {
	return &cli.Command{
		Name: "rollouts", Usage: "roll-outs as a node of the users' platform knows them: order, stage, evidence",
		Description: "--node is the node's address for other nodes.\nExample: spurhall -n 10.1.0.35:8785 rollouts",
		Action:      action(t.rollouts),
	}
}

func (t *tool) rollouts(ctx context.Context, c *cli.Command) error {
	r, err := edgeClient(c, c.StringSlice("node")[0]).Rollouts(ctx, connect.NewRequest(&wire.RolloutsRequest{}))
	if err != nil {
		return err
	}
	return t.print(c, r.Msg.Rollouts, func(w io.Writer) { printRollouts(w, r.Msg.Rollouts) })
}

// edgeClient calls a node at its address for other nodes.
func edgeClient(c *cli.Command, address string) wireconnect.EdgeClient {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return wireconnect.NewEdgeClient(&http.Client{Timeout: c.Duration("timeout")}, address)
}

// eachEdge calls f for each node that was named, and returns what failed.
func eachEdge(c *cli.Command, f func(wireconnect.EdgeClient) error) error {
	var list []error
	for _, a := range c.StringSlice("node") {
		if err := f(edgeClient(c, a)); err != nil {
			list = append(list, fmt.Errorf("%s: %w", a, err))
		}
	}
	return exit(errors.Join(list...))
}

func printRollouts(w io.Writer, list []*wire.Rollout) {
	_, _ = fmt.Fprintln(w, "SERVICE\tTARGET\tORDER\tSTAGE\tFOR\tHOLDER\tUPSTREAMS\tOTHERS\tRUNNING THERE\tANSWERS\tFAILED\tSUSPICION")
	for _, v := range list {
		stage := v.Stage
		if v.Stopped {
			stage += ", stopped"
		}
		suspicion := fmt.Sprintf("%.2f", v.Suspicion)
		if v.Reason != "none" {
			suspicion += " " + v.Reason
		}
		if v.Route != "" {
			suspicion += " on " + v.Route
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", v.Service, v.Target, v.Order, stage, time.Duration(v.StageAgeMs)*time.Millisecond,
			word(v.Signed, "heard", "not heard"), v.Upstreams, v.Others, v.Running, v.Answers, v.Failed, suspicion)
	}
}
