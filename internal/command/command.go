// Package command is the operators' command line. Each command is one call of a
// node's Admin service, or of several nodes' when it is about all of them; each
// prints a table for people or, with --output json, the same as JSON.
//
//	command.go  the commands, their flags and exit codes
//	config.go   apply, get, diff, history, rollback
//	view.go     status, jobs, timeline, drain
//	rollouts.go rollouts, of nodes on the users' platform
//	explain.go  the story of a request, out of logs
//	check.go    check, version
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"spurhall.example/spurhall/internal/timer"
	"spurhall.example/spurhall/internal/wire/wireconnect"
)

// The exit codes.
const (
	ExitFailed    = 1 // anything else
	ExitInvalid   = 2 // the input is wrong, nothing was changed
	ExitConflict  = 3 // somebody else changed it first
	ExitUndecided = 4 // it isn't known whether the change was made
	ExitBehind    = 5 // accepted, but not yet in force at every node
	ExitNoAccess  = 6 // the token doesn't allow it
	ExitNoAnswer  = 7 // the node or the platform doesn't answer
)

// Check reports what is wrong with the content of a file of that name.
type Check func(name string, content []byte) error

// New returns the command line. checks are those of `spurhall check`, by kind of file.
func New(out, errOut io.Writer, checks map[string]Check) *cli.Command {
	t := &tool{out: out, clock: timer.Real(), checks: checks}
	return &cli.Command{
		Name:                  "spurhall",
		Usage:                 "operate spurhall: edit templates and workspaces, and see what the nodes do",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {}, // main ends the process
		Writer:                out,
		ErrWriter:             errOut,
		Description: "Exit codes: 1 failed, 2 input is wrong and nothing was changed, 3 somebody else changed it first,\n" +
			"4 not known whether the change was made, 5 accepted but not yet in force everywhere,\n" +
			"6 the token doesn't allow it, 7 no answer.\n\n" +
			"Shell completion: source <(spurhall completion bash)",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "node", Aliases: []string{"n"}, Sources: cli.EnvVars("SPURHALL_NODE"), Value: []string{"127.0.0.1:8082"}, Usage: "admin address of a node; repeat it to ask several"},
			&cli.StringFlag{Name: "token", Sources: cli.EnvVars("SPURHALL_TOKEN"), Usage: "operator's token, or a workspace's API key"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"},
			&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Usage: "longest wait for a node"},
		},
		Commands: append(append(t.configCommands(), t.viewCommands()...), t.rolloutsCommand(), t.storeCommand(), t.upstreamsCommand(), t.loadCommand(), t.explainCommand(), t.checkCommand(), t.versionCommand()),
	}
}

type tool struct {
	out    io.Writer
	clock  *timer.Service
	checks map[string]Check
}

// bearer adds the token and the author to each call.
type bearer struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	s := r.Clone(r.Context())
	if b.token != "" {
		s.Header.Set("Authorization", "Bearer "+b.token)
	}
	if u, err := user.Current(); err == nil {
		s.Header.Set("Spurhall-Author", u.Username)
	}
	return b.next.RoundTrip(s)
}

func (t *tool) client(c *cli.Command, address string) wireconnect.AdminClient {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	h := &http.Client{Transport: &bearer{token: c.String("token"), next: http.DefaultTransport}, Timeout: c.Duration("timeout")}
	return wireconnect.NewAdminClient(h, address)
}

// each calls f for every node asked for. A node that doesn't answer is reported and
// doesn't keep the others from being asked.
func (t *tool) each(c *cli.Command, f func(address string, a wireconnect.AdminClient) error) error {
	var list []error
	for _, n := range c.StringSlice("node") {
		if err := f(n, t.client(c, n)); err != nil {
			list = append(list, fmt.Errorf("%s: %w", n, err))
		}
	}
	return exit(errors.Join(list...))
}

func (t *tool) first(c *cli.Command) wireconnect.AdminClient {
	return t.client(c, c.StringSlice("node")[0])
}

// exit gives an error its exit code.
func exit(err error) error {
	if err == nil {
		return nil
	}
	var e cli.ExitCoder
	if errors.As(err, &e) {
		return err
	}
	code := ExitFailed
	var x *connect.Error
	if errors.As(err, &x) {
		switch x.Code() {
		case connect.CodeInvalidArgument, connect.CodeNotFound:
			code = ExitInvalid
		case connect.CodeFailedPrecondition:
			code = ExitConflict
		case connect.CodeUnknown:
			code = ExitUndecided
		case connect.CodeUnauthenticated, connect.CodePermissionDenied:
			code = ExitNoAccess
		case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
			code = ExitNoAnswer
		}
	}
	return cli.Exit(err.Error(), code)
}

// print writes v as JSON if that is asked for, and lines as a table otherwise.
func (t *tool) print(c *cli.Command, v any, lines func(w io.Writer)) error {
	if c.String("output") == "json" {
		e := json.NewEncoder(t.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	lines(w)
	return w.Flush()
}

func action(f func(ctx context.Context, c *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if o := c.String("output"); o != "text" && o != "json" {
			return cli.Exit(fmt.Sprintf("--output %q: use text or json", o), ExitInvalid)
		}
		return exit(f(ctx, c))
	}
}
