package command

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"sort"
	"strings"

	"github.com/urfave/cli/v3"
)

func (t *tool) checkCommand() *cli.Command {
	kinds := make([]string, 0, len(t.checks))
	for k := range t.checks {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	all := strings.Join(kinds, " or ")
	return &cli.Command{
		Name: "check", Usage: "check a file without using it", ArgsUsage: "KIND FILE...",
		Description: "KIND is " + all + ". All that is wrong is told at once, with file and line where there is one.",
		Action: func(_ context.Context, c *cli.Command) error {
			check := t.checks[c.Args().First()]
			if check == nil || c.NArg() < 2 {
				return cli.Exit("name a kind ("+all+") and at least one file", ExitInvalid)
			}
			for _, name := range c.Args().Slice()[1:] {
				b, err := os.ReadFile(name)
				if err == nil {
					err = check(name, b)
				}
				if err != nil {
					return cli.Exit(err, ExitInvalid)
				}
				if _, err := fmt.Fprintln(t.out, name+": valid"); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func (t *tool) versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print what this program was built from",
		Action: func(context.Context, *cli.Command) error {
			_, err := fmt.Fprintln(t.out, version())
			return err
		},
	}
}

// version names the module's version and the commit, as far as the build recorded them.
func version() string {
	i, ok := debug.ReadBuildInfo()
	if !ok {
		return "spurhall, built without version information"
	}
	v := "spurhall " + i.Main.Version + " " + i.GoVersion
	for _, s := range i.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.time" || s.Key == "vcs.modified" {
			v += " " + strings.TrimPrefix(s.Key, "vcs.") + "=" + s.Value
		}
	}
	return v
}
