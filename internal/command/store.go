package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// This file asks nodes on the users' platform about the store: its era, and what is still missing after
// it came back from an older copy of itself.

func (t *tool) storeCommand() *cli.Command {
	return &cli.Command{
		Name: "store", Usage: "the store as nodes of the users' platform know it: its era, and what is missing since it came back from a copy",
		Description: "--node is a node's address for other nodes; repeat it to ask several.\nExample: spurhall -n 10.1.0.35:8785 store",
		Action:      action(t.store),
	}
}

func (t *tool) store(ctx context.Context, c *cli.Command) error {
	var list []*wire.StoreResponse
	err := eachEdge(c, func(e wireconnect.EdgeClient) error {
		r, err := e.Store(ctx, connect.NewRequest(&wire.StoreRequest{}))
		if err == nil {
			list = append(list, r.Msg)
		}
		return err
	})
	if len(list) == 0 {
		return err
	}
	if e := t.print(c, list, func(w io.Writer) { printStore(w, list) }); e != nil {
		return e
	}
	return err
}

func printStore(w io.Writer, list []*wire.StoreResponse) {
	_, _ = fmt.Fprintln(w, "NODE\tERA\tCAME BACK\tREVISION\tREADS\tDUTIES\tUPSTREAMS\tMISSING")
	for _, v := range list {
		back, missing := "no", make([]string, 0, len(v.Missing))
		if v.Returned {
			back = (time.Duration(v.ReturnedAgeMs) * time.Millisecond).String() + " ago"
		}
		for _, m := range v.Missing {
			missing = append(missing, fmt.Sprintf("%s (%v)", m.Upstream, time.Duration(m.ForMs)*time.Millisecond))
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%s\t%s\t%d\t%s\n", v.Node, v.Era, back, v.Revision, word(v.Watching, "itself", "from others"),
			word(v.Holder, "holder", "-"), v.Upstreams, strings.Join(missing, ", "))
	}
}
