package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// This file asks nodes on the users' platform what they believe of upstreams: what these have said of themselves, how old
// that is, and what is done about it. Nodes may differ: rest is asked of one, a word goes from one to the other.

func (t *tool) upstreamsCommand() *cli.Command {
	return &cli.Command{
		Name: "upstreams", Usage: "the upstreams as nodes of the users' platform know them: what they have said of themselves, and what is done about it",
		ArgsUsage:   "[SERVICE]",
		Description: "--node is a node's address for other nodes; repeat it to ask several.\nExample: spurhall -n 10.1.0.35:8785 upstreams llm",
		Action:      action(t.upstreams),
	}
}

func (t *tool) upstreams(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 1 {
		return cli.Exit(fmt.Sprintf("name one service at most, not %q", c.Args().Slice()), ExitInvalid)
	}
	var list []*wire.UpstreamsResponse
	err := eachEdge(c, func(e wireconnect.EdgeClient) error {
		r, err := e.Upstreams(ctx, connect.NewRequest(&wire.UpstreamsRequest{Service: c.Args().First()}))
		if err == nil {
			list = append(list, r.Msg)
		}
		return err
	})
	if len(list) == 0 {
		return err
	}
	if e := t.print(c, list, func(w io.Writer) { printUpstreams(w, list) }); e != nil {
		return e
	}
	return err
}

func printUpstreams(w io.Writer, list []*wire.UpstreamsResponse) {
	_, _ = fmt.Fprintln(w, "NODE\tSERVICE\tUPSTREAM\tHALL\tBORN\tGETS\tLIMIT\tSAID\tOWN SHARE\tSPEED\tEVIDENCE\tSLOWNESS\tRUNNING")
	for _, n := range list {
		for _, v := range n.Upstreams {
			born, limit, said, share := "-", "-", "-", "-"
			if v.Born != 0 {
				born = time.UnixMilli(v.Born).UTC().Format(time.RFC3339)
			}
			if v.Limited {
				limit, said, share = fmt.Sprintf("%g/s", v.Rate), (time.Duration(v.LimitAgeMs)*time.Millisecond).String()+" ago", fmt.Sprintf("%.3g/s", v.Share)
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%.1f\t%d\n", n.Node, v.Service, v.Id, v.Hall, born, gets(v), limit, said, share, lastingSpeed(v), v.SpeedEvidence, v.Slowness, v.Running)
		}
	}
}

// lastingSpeed returns the column SPEED: times as fast as the service's usual upstream.
func lastingSpeed(v *wire.UpstreamState) string {
	if v.Speed == 0 {
		return "usual"
	}
	return fmt.Sprintf("%.2f", v.Speed)
}

// gets is whether an upstream gets requests of a node, and why not.
func gets(v *wire.UpstreamState) string {
	switch {
	case v.Misplaced:
		return "nothing: another upstream has its address"
	case v.Leaving && v.Declared:
		return "nothing: its entry says that it leaves"
	case v.Leaving:
		return "nothing: it has said that it leaves"
	case v.RestMs > 0:
		return fmt.Sprintf("nothing for %v: it asked for rest", time.Duration(v.RestMs)*time.Millisecond)
	case v.UnreachedMs >= 0:
		return fmt.Sprintf("what others can't take: unreachable %v ago", time.Duration(v.UnreachedMs)*time.Millisecond)
	case v.Limited && v.Share == 0:
		return "nothing: other nodes share its limit"
	}
	return "requests"
}
