package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/member"
	"spurhall.example/spurhall/internal/wire"
)

func (t *tool) configCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "apply", Usage: "put templates and workspaces in force",
			Description: "Example: spurhall apply -f shops.yaml --base 12 --wait\nWithout --base the newest revision is taken as the base; give it to be told when somebody else was faster.",
			Flags: []cli.Flag{
				&cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "YAML file with one or more documents; may be repeated"},
				&cli.Uint64Flag{Name: "base", Usage: "revision that your edit started from"},
				&cli.StringFlag{Name: "note", Usage: "why, for the history"},
				&cli.BoolFlag{Name: "wait", Usage: "return when every live node has it in force"},
			},
			Action: action(t.apply),
		},
		{
			Name: "get", Usage: "print the documents of a revision",
			Flags:  []cli.Flag{&cli.Uint64Flag{Name: "revision", Usage: "0: the one in force"}},
			Action: action(t.get),
		},
		{
			Name: "diff", Usage: "show what a file would change", Description: "Example: spurhall diff -f shops.yaml",
			Flags:  []cli.Flag{&cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Required: true}},
			Action: action(t.diff),
		},
		{
			Name: "history", Usage: "list the revisions, newest first",
			Flags:  []cli.Flag{&cli.IntFlag{Name: "limit", Value: 20}},
			Action: action(t.history),
		},
		{
			Name: "rollback", Usage: "make a new revision with the content of an older one", Description: "Example: spurhall rollback --to 11 --wait",
			Flags: []cli.Flag{
				&cli.Uint64Flag{Name: "to", Required: true}, &cli.Uint64Flag{Name: "base"}, &cli.BoolFlag{Name: "wait"},
			},
			Action: action(t.rollback),
		},
	}
}

// read reads the files and checks them here first, so that a mistake is told with
// its file and line.
func read(files []string) ([]*wire.Document, []config.Document, error) {
	var raw []*wire.Document
	var docs []config.Document
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, nil, cli.Exit(err.Error(), ExitInvalid)
		}
		list, err := config.Parse(f, b)
		if err != nil {
			return nil, nil, cli.Exit(err.Error(), ExitInvalid)
		}
		raw = append(raw, &wire.Document{Name: f, Body: b})
		docs = append(docs, list...)
	}
	return raw, docs, nil
}

func (t *tool) apply(ctx context.Context, c *cli.Command) error {
	raw, _, err := read(c.StringSlice("file"))
	if err != nil {
		return err
	}
	r, err := t.first(c).Apply(ctx, connect.NewRequest(&wire.ApplyRequest{
		Documents: raw, Base: c.Uint64("base"), ForceBase: !c.IsSet("base"), Note: c.String("note"),
	}))
	if err != nil {
		return err
	}
	return t.accepted(ctx, c, r.Msg.Revision)
}

func (t *tool) rollback(ctx context.Context, c *cli.Command) error {
	r, err := t.first(c).Rollback(ctx, connect.NewRequest(&wire.RollbackRequest{To: c.Uint64("to"), Base: c.Uint64("base")}))
	if err != nil {
		return err
	}
	return t.accepted(ctx, c, r.Msg.Revision)
}

func (t *tool) accepted(ctx context.Context, c *cli.Command, revision uint64) error {
	var behind []string
	if c.Bool("wait") {
		behind = t.waitFor(ctx, c, revision)
	}
	err := t.print(c, map[string]any{"revision": revision, "behind": behind}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "revision %d accepted\n", revision)
	})
	if err == nil && len(behind) > 0 {
		return cli.Exit("not yet in force at: "+strings.Join(behind, ", "), ExitBehind)
	}
	return err
}

const waitPoll = 100 * time.Millisecond

// waitFor waits until every live node that the asked node knows of has the
// revision, and returns those that don't when the time is up.
func (t *tool) waitFor(ctx context.Context, c *cli.Command, revision uint64) []string {
	x, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	var behind []string
	for {
		r, err := t.first(c).Status(x, connect.NewRequest(&wire.StatusRequest{}))
		if err == nil {
			behind = nil
			for _, f := range r.Msg.Facts {
				if f.Kind == int32(member.KindNode) && f.Status == int32(member.StatusLive) && f.ConfigRevision < revision {
					behind = append(behind, f.Id)
				}
			}
			if len(behind) == 0 {
				return nil
			}
		}
		if t.clock.Sleep(x, waitPoll) != nil {
			return behind
		}
	}
}

func (t *tool) get(ctx context.Context, c *cli.Command) error {
	r, err := t.first(c).Get(ctx, connect.NewRequest(&wire.GetRequest{Revision: c.Uint64("revision")}))
	if err != nil {
		return err
	}
	s := r.Msg.Snapshot
	return t.print(c, s, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "# revision %d by %s\n", s.Revision, s.Author)
		for i, d := range s.Documents {
			if i > 0 {
				_, _ = fmt.Fprintln(w, "---")
			}
			_, _ = w.Write(d.Body)
		}
	})
}

func (t *tool) history(ctx context.Context, c *cli.Command) error {
	r, err := t.first(c).History(ctx, connect.NewRequest(&wire.HistoryRequest{Limit: int32(c.Int("limit"))}))
	if err != nil {
		return err
	}
	return t.print(c, r.Msg.Revisions, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "REVISION\tAPPLIED\tBY\tNOTE")
		for _, s := range r.Msg.Revisions {
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", s.Revision, time.UnixMilli(s.AppliedUnixMs).UTC().Format(time.RFC3339), s.Author, s.Note)
		}
	})
}

// difference is one document that a file would change.
type difference struct {
	Document string   `json:"document"`
	Change   string   `json:"change"`
	Lines    []string `json:"lines"`
}

func (t *tool) diff(ctx context.Context, c *cli.Command) error {
	_, docs, err := read(c.StringSlice("file"))
	if err != nil {
		return err
	}
	r, err := t.first(c).Get(ctx, connect.NewRequest(&wire.GetRequest{}))
	if err != nil {
		return err
	}
	list := differences(r.Msg.Snapshot, docs)
	return t.print(c, list, func(w io.Writer) {
		for _, d := range list {
			_, _ = fmt.Fprintf(w, "%s %s\n", d.Change, d.Document)
			for _, l := range d.Lines {
				_, _ = fmt.Fprintln(w, l)
			}
		}
	})
}

func differences(s *wire.Snapshot, docs []config.Document) []difference {
	old := make(map[string]string)
	for _, d := range s.GetDocuments() {
		old[d.Kind+"/"+d.Name] = string(d.Body)
	}
	r := []difference{}
	for _, d := range docs {
		k := string(d.Kind) + "/" + d.Name
		body, ok := old[k]
		if ok && body == d.Body {
			continue
		}
		v := difference{Document: k, Change: "changed", Lines: lineDiff(body, d.Body)}
		if !ok {
			v.Change = "added"
		}
		r = append(r, v)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Document < r[j].Document })
	return r
}

// lineDiff lists the lines that only one side has. Documents are short and their
// lines mostly distinct, so the order of what moved isn't worked out.
func lineDiff(a, b string) []string {
	count := make(map[string]int)
	for _, l := range strings.Split(a, "\n") {
		count[l]++
	}
	var added []string
	for i, l := range strings.Split(b, "\n") {
		if count[l] > 0 {
			count[l]--
			continue
		}
		added = append(added, "  + "+strconv.Itoa(i+1)+": "+l)
	}
	var r []string
	for i, l := range strings.Split(a, "\n") {
		if count[l] > 0 {
			count[l]--
			r = append(r, "  - "+strconv.Itoa(i+1)+": "+l)
		}
	}
	return append(r, added...)
}
