package command

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/urfave/cli/v3"
)

// This file tells the story of one request out of the nodes' logs. Logs need no node
// that still lives, so this is the one command that asks nobody.
//
// The story is the request's own lines, and around them what happened to the upstreams
// and nodes they name: an upstream that left, a store that was lost, a configuration
// that changed. Only what lies shortly before or within the request is shown.

// explainBefore is how long before a request's first line the events of what it touched
// are shown.
const explainBefore = 5 * time.Second

var errNoRequest = errors.New("no line names this request: check the id, and that the files cover its time")

func (t *tool) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell what became of a request, from the nodes' logs", ArgsUsage: "REQUEST FILE...",
		Description: "Files hold the nodes' standard output; - reads standard input. Text before the first key=value pair of\na line is passed over, so that collected logs need no cutting.",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() < 2 {
				return cli.Exit("name a request and at least one log file", ExitInvalid)
			}
			lines, err := readLogs(c.Args().Slice()[1:])
			if err != nil {
				return cli.Exit(err, ExitInvalid)
			}
			if err := explain(t.out, c.Args().First(), lines); err != nil {
				return cli.Exit(err, ExitInvalid)
			}
			return nil
		},
	}
}

// field is one key=value pair.
type field struct{ key, value string }

// logLine is one line of a log.
type logLine struct {
	at     time.Time
	node   string
	name   string
	fields []field
}

func (l *logLine) get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

func readLogs(files []string) ([]logLine, error) {
	var all []logLine
	for _, name := range files {
		f := os.Stdin
		if name != "-" {
			var err error
			if f, err = os.Open(name); err != nil {
				return nil, err
			}
		}
		l, err := parseLog(f)
		if f != os.Stdin {
			_ = f.Close() // it was only read
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, l...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	return all, nil
}

// longestLine bounds a line of a log.
const longestLine = 1 << 20

func parseLog(r io.Reader) ([]logLine, error) {
	var list []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		if l, ok := parseLine(s.Bytes()); ok {
			list = append(list, l)
		}
	}
	return list, s.Err()
}

// parseLine reads one line; other programs' lines are none.
func parseLine(b []byte) (logLine, bool) {
	start := bytes.Index(b, []byte("ts="))
	if start < 0 {
		return logLine{}, false
	}
	var l logLine
	d := logfmt.NewDecoder(bytes.NewReader(b[start:]))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		k, v := string(d.Key()), string(d.Value())
		switch k {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, v)
			if err != nil {
				return l, false
			}
			l.at = at
		case "node":
			l.node = v
		case "msg":
			l.name = v
		case "level":
		default:
			l.fields = append(l.fields, field{k, v})
		}
	}
	return l, d.Err() == nil && l.name != ""
}

// eventsOf are the lines about a node that bear on every request it has.
var eventsOf = map[string]bool{
	"started": true, "stopping": true, "stopped": true, "store_lost": true, "store_regained": true,
	"catalog_in_force": true, "catalog_invalid": true, "peer_gone": true, "settings_reloaded": true,
}

func explain(w io.Writer, id string, lines []logLine) error {
	first, last := -1, -1
	nodes, upstreams := map[string]bool{}, map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if l.get("request") != id {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
		nodes[l.node] = true
		if u := l.get("upstream"); u != "" {
			upstreams[u] = true
		}
	}
	if first < 0 {
		return errNoRequest
	}
	begun := lines[first].at
	if d, err := time.ParseDuration(lines[last].get("took")); err == nil {
		begun = lines[last].at.Add(-d)
	}
	for i := range lines {
		l := &lines[i]
		own := l.get("request") == id
		around := !l.at.Before(begun.Add(-explainBefore)) && i <= last &&
			nodes[l.node] && (eventsOf[l.name] || strings.HasPrefix(l.name, "upstream_") && upstreams[l.get("upstream")])
		if !own && !around {
			continue
		}
		if err := printLine(w, l, begun); err != nil {
			return err
		}
	}
	return nil
}

func printLine(w io.Writer, l *logLine, begun time.Time) error {
	var b strings.Builder
	for _, f := range l.fields {
		fmt.Fprintf(&b, "  %s=%s", f.key, f.value)
	}
	_, err := fmt.Fprintf(w, "%+9.3fs  %s  %s%s\n", l.at.Sub(begun).Seconds(), l.node, l.name, b.String())
	return err
}
