// Package config holds what operators write: templates, and workspaces that
// fill them in. This file is the form of the documents; render.go turns a
// workspace and its template into services; store.go keeps revisions in the
// platform's key-value service; view.go is what a node has in force.
//
// Documents are YAML, read strictly. A field that isn't known, a parameter that
// is missing or of the wrong type, a duration without a unit: each is refused
// with the file and the line, and nothing changes.
package config

import (
	"bytes"
	"fmt"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"gopkg.in/yaml.v3"
	"spurhall.example/spurhall/internal/fault"
)

var errs = errorx.NewNamespace("config")

// ErrInvalid says that a document was refused; its text names file, line and
// reason.
var ErrInvalid = errs.NewType("invalid").New("invalid document")

// Kind is what a document is.
type Kind string

// The kinds of document.
const (
	KindTemplate  Kind = "template"
	KindWorkspace Kind = "workspace"
)

// Protocol is how callers use a service.
type Protocol string

// The protocols of a service.
const (
	ProtocolChat  Protocol = "chat"
	ProtocolPlain Protocol = "plain"
)

// Class is what a request may wait for.
type Class string

// The latency classes.
const (
	ClassLive  Class = "live"
	ClassBatch Class = "batch"
)

// Outage is what a call that may not be repeated does while the platform is out.
type Outage string

// The choices for an outage.
const (
	OutageRefuse  Outage = "refuse"
	OutagePromise Outage = "promise"
)

// Duration is a time.Duration written with its unit, such as "700ms".
type Duration time.Duration

// UnmarshalYAML reads a duration and refuses a bare number.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || v < 0 {
		return fmt.Errorf("line %d: %q is not a duration; write a number with its unit, such as 700ms or 2s", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML writes a duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Parameter declares one parameter of a template.
type Parameter struct {
	Type    string   `yaml:"type"` // number, duration or text
	Default *string  `yaml:"default"`
	Min     *float64 `yaml:"min"`
	Max     *float64 `yaml:"max"`
}

// Call declares a group of calls of a plain service.
type Call struct {
	Method      string   `yaml:"method"` // empty: any
	Path        string   `yaml:"path"`   // a prefix below /s/{service}
	Repeatable  *bool    `yaml:"repeatable"`
	Outage      Outage   `yaml:"outage"`
	KeyLifetime Duration `yaml:"key_lifetime"`
}

// Limits bounds what one workspace may ask of a service.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	InFlight          int     `yaml:"in_flight"`
	Queue             int     `yaml:"queue"`
	BodyBytes         int64   `yaml:"body_bytes"`
	MaxTokens         int     `yaml:"max_tokens"`
}

// Weights say what a workspace cares for, beside delay: what one unit of money
// and one recomputed token are worth, in milliseconds of delay.
type Weights struct {
	Cost      float64 `yaml:"cost"`
	Recompute float64 `yaml:"recompute"`
}

// Legacy sends a share of the callers to where they were served before.
type Legacy struct {
	Address string  `yaml:"address"`
	Percent float64 `yaml:"percent"`
}

// Service is one service of a workspace, rendered.
type Service struct {
	Name          string   `yaml:"name"`
	Protocol      Protocol `yaml:"protocol"`
	Pool          string   `yaml:"pool"`
	Class         Class    `yaml:"class"`
	LatencyTarget Duration `yaml:"latency_target"`
	Timeout       Duration `yaml:"timeout"`
	Share         float64  `yaml:"share"` // weight in the fair queue
	Calls         []Call   `yaml:"calls"`
	RejectStatuses      []int    `yaml:"refusals"` // statuses by which the upstream says: not run
	Limits        Limits   `yaml:"limits"`
	Weights       Weights  `yaml:"weights"`
	Legacy        Legacy   `yaml:"legacy"`
}

// Template is a set of services with parameters.
type Template struct {
	Kind       Kind                 `yaml:"kind"`
	Name       string               `yaml:"name"`
	Parameters map[string]Parameter `yaml:"parameters"`
	Services   yaml.Node            `yaml:"services"`
}

// Workspace fills a template in.
type Workspace struct {
	Kind       Kind              `yaml:"kind"`
	Name       string            `yaml:"name"`
	Template   string            `yaml:"template"`
	KeyHashes  []string          `yaml:"key_hashes"` // SHA-256 of each API key, in hex
	Parameters map[string]string `yaml:"parameters"`
}

// Document is one document as it was written.
type Document struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	Body string `json:"body"`
	// Where it was written, for messages only: known to whoever applies it.
	file string
	line int // lines of the file before it
}

// located names the place of a mistake: in the file, if that is known, and in the
// document otherwise.
func (d *Document) located(err error) error {
	if d.file != "" {
		return located(d.file, d.line, err)
	}
	return located(key(d.Kind, d.Name), 0, err)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Parse splits a file into its documents and checks each by itself.
func Parse(file string, b []byte) ([]Document, error) {
	var r []Document
	line := 0
	for _, part := range strings.SplitAfter("\n"+string(b), "\n---") {
		body := strings.TrimSuffix(part, "---")
		d, err := parseOne(file, line, body)
		if err != nil {
			return nil, err
		}
		if d != nil {
			r = append(r, *d)
		}
		line += strings.Count(part, "\n")
	}
	if len(r) == 0 {
		return nil, fault.Because(ErrInvalid, "%s:1: the file holds no document", file)
	}
	return r, nil
}

func parseOne(file string, line int, body string) (*Document, error) {
	if strings.TrimSpace(body) == "" {
		return nil, nil
	}
	var h struct {
		Kind Kind   `yaml:"kind"`
		Name string `yaml:"name"`
	}
	if err := yaml.Unmarshal([]byte(unfilled(body)), &h); err != nil {
		return nil, located(file, line-1, err)
	}
	if !namePattern.MatchString(h.Name) {
		return nil, fault.Because(ErrInvalid, "%s:%d: name %q: use 1 to 63 of a-z, 0-9 and -", file, line+1, h.Name)
	}
	d := &Document{Name: h.Name, Kind: h.Kind, Body: strings.TrimPrefix(body, "\n"), file: file, line: line}
	var err error
	switch h.Kind {
	case KindTemplate:
		_, err = d.template()
	case KindWorkspace:
		_, err = d.workspace()
	default:
		err = fmt.Errorf("line 1: kind %q: use template or workspace", h.Kind)
	}
	if err != nil {
		return nil, located(file, line, err)
	}
	return d, nil
}

var linePattern = regexp.MustCompile(`line (\d+): `)

// located rewrites "line N: reason" as "file:N: reason", with N counted in the
// whole file.
func located(file string, offset int, err error) error {
	s := strings.TrimPrefix(err.Error(), "yaml: ")
	s = strings.TrimPrefix(s, "unmarshal errors:\n  ")
	m := linePattern.FindStringSubmatchIndex(s)
	if m == nil {
		return fault.Because(ErrInvalid, "%s:%d: %s", file, offset+1, s)
	}
	n := 0
	_, _ = fmt.Sscan(s[m[2]:m[3]], &n)
	return fault.Because(ErrInvalid, "%s:%d: %s", file, n+offset, s[m[1]:])
}

func strict(body string, out any) error {
	d := yaml.NewDecoder(bytes.NewReader([]byte(body)))
	d.KnownFields(true)
	return d.Decode(out)
}

// unfilled puts a word in place of each parameter, so that a template can be read
// as YAML before it is filled in: braces would end a flow mapping.
func unfilled(body string) string { return placeholder.ReplaceAllString(body, "unfilled") }

func (d *Document) template() (*Template, error) {
	var t Template
	if err := strict(unfilled(d.Body), &t); err != nil {
		return nil, err
	}
	if t.Services.Kind != yaml.SequenceNode || len(t.Services.Content) == 0 {
		return nil, fmt.Errorf("line %d: template %s has no services", max(t.Services.Line, 1), t.Name)
	}
	for _, n := range sortedKeys(t.Parameters) {
		p := t.Parameters[n]
		if p.Type != "number" && p.Type != "duration" && p.Type != "text" {
			return nil, fmt.Errorf("line 1: parameter %s: type %q: use number, duration or text", n, p.Type)
		}
	}
	return &t, nil
}

func (d *Document) workspace() (*Workspace, error) {
	var w Workspace
	if err := strict(d.Body, &w); err != nil {
		return nil, err
	}
	if w.Template == "" {
		return nil, fmt.Errorf("line 1: workspace %s names no template", w.Name)
	}
	for _, h := range w.KeyHashes {
		if len(h) != 64 {
			return nil, fmt.Errorf("line 1: key_hashes: %q is not a SHA-256 in hex (64 digits)", h)
		}
	}
	return &w, nil
}

func sortedKeys(m map[string]Parameter) []string {
	r := make([]string, 0, len(m))
	for k := range m {
		r = append(r, k)
	}
	sort.Strings(r)
	return r
}
