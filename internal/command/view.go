package command

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/timeline"
	"spurhall.example/spurhall/internal/wire"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

func (t *tool) viewCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "status", Usage: "nodes, upstreams and the revision in force at each", Action: action(t.status)},
		{
			Name: "jobs", Usage: "requests held by the nodes", Flags: []cli.Flag{&cli.StringFlag{Name: "workspace"}},
			Action: action(t.jobs),
		},
		{
			Name: "timeline", Usage: "events of all nodes asked, in one order", Description: "Example: spurhall -n 127.0.0.1:8082 -n 127.0.0.1:8092 timeline --since 1m",
			Flags:  []cli.Flag{&cli.DurationFlag{Name: "since", Value: 10 * time.Minute}, &cli.StringFlag{Name: "request", Usage: "only events of this request"}},
			Action: action(t.timeline),
		},
		{Name: "drain", Usage: "stop the nodes asked without cutting off a request", Action: action(t.drain)},
	}
}

func (t *tool) status(ctx context.Context, c *cli.Command) error {
	var list []*wire.StatusResponse
	err := t.each(c, func(_ string, a wireconnect.AdminClient) error {
		r, err := a.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		if err == nil {
			list = append(list, r.Msg)
		}
		return err
	})
	if len(list) == 0 {
		return err
	}
	if e := t.print(c, list, func(w io.Writer) { printStatus(w, list) }); e != nil {
		return e
	}
	return err
}

func printStatus(w io.Writer, list []*wire.StatusResponse) {
	_, _ = fmt.Fprintln(w, "NODE\tHALL\tSTATE\tREVISION\tPLATFORM\tCLAIMS")
	for _, s := range list {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", s.Node, s.Hall, s.State, s.ConfigRevision, word(s.PlatformUp, "up", "out"), word(s.Synced, "synced", "not synced"))
	}
	_, _ = fmt.Fprintf(w, "\nas %s sees it:\n", list[0].Node)
	_, _ = fmt.Fprintln(w, "VM\tKIND\tHALL\tSTATUS\tSERVICE\tLOAD\tREVISION")
	for _, f := range list[0].Facts {
		kind, load := "node", fmt.Sprint(f.Running)
		if f.Kind == int32(member.KindUpstream) {
			kind, load = "upstream", fmt.Sprintf("%d+%d/%d", f.Running, f.Queued, f.Slots)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n", f.Id, kind, f.Hall, member.Status(f.Status), f.Service, load, f.ConfigRevision)
	}
}

func word(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}

func (t *tool) jobs(ctx context.Context, c *cli.Command) error {
	var list []*wire.HeldRequest
	err := t.each(c, func(_ string, a wireconnect.AdminClient) error {
		r, err := a.Jobs(ctx, connect.NewRequest(&wire.JobsRequest{Workspace: c.String("workspace")}))
		if err == nil {
			list = append(list, r.Msg.Jobs...)
		}
		return err
	})
	sort.Slice(list, func(i, j int) bool { return list[i].AcceptedUnixMs < list[j].AcceptedUnixMs })
	e := t.print(c, list, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "ID\tWORKSPACE\tSERVICE\tJOB\tOUTCOME\tTOKENS\tATTEMPT")
		for _, r := range list {
			o := r.Outcome
			if o == "" {
				o = "running"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", r.Id, r.Workspace, r.Service, word(r.Job, "yes", "no"), o, len(r.Pieces), r.Attempt)
		}
	})
	if e != nil {
		return e
	}
	return err
}

func (t *tool) timeline(ctx context.Context, c *cli.Command) error {
	since := t.clock.Now().Add(-c.Duration("since")).UnixMilli()
	var lists [][]timeline.Event
	err := t.each(c, func(_ string, a wireconnect.AdminClient) error {
		r, err := a.Timeline(ctx, connect.NewRequest(&wire.TimelineRequest{SinceUnixMs: since}))
		if err != nil {
			return err
		}
		var l []timeline.Event
		for _, e := range r.Msg.Events {
			if q := c.String("request"); q == "" || q == e.Request {
				l = append(l, timeline.Event{At: time.UnixMicro(e.AtUnixUs).UTC(), Node: e.Node, Name: e.Event, Detail: e.Detail, Request: e.Request})
			}
		}
		lists = append(lists, l)
		return nil
	})
	all := timeline.Merge(lists...)
	e := t.print(c, all, func(w io.Writer) {
		for _, v := range all {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", v.At.Format("15:04:05.000"), v.Node, v.Name, v.Request, v.Detail)
		}
	})
	if e != nil {
		return e
	}
	return err
}

func (t *tool) drain(ctx context.Context, c *cli.Command) error {
	return t.each(c, func(address string, a wireconnect.AdminClient) error {
		r, err := a.Drain(ctx, connect.NewRequest(&wire.DrainRequest{}))
		if err != nil {
			return err
		}
		return t.print(c, r.Msg, func(w io.Writer) { _, _ = fmt.Fprintf(w, "%s: %s\n", address, r.Msg.State) })
	})
}
