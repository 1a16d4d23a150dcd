// Package config implements the operators' configuration: templates, and workspaces
// that give values to a template's parameters. This file defines the documents;
// render.go renders a workspace and its template to services; store.go keeps revisions
// in the platform's key-value service; view.go holds the configuration that a node has
// in force.
//
// Documents are YAML and are decoded strictly. An unknown field, a parameter that is
// missing or of the wrong type, or a duration without a unit rejects the change with
// the file and line of the mistake, and the configuration in force stays.
package config

import (
	"bytes"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"gopkg.in/yaml.v3"
	"spurhall.example/spurhall/internal/fault"
)

var errs = errorx.NewNamespace("config")

// ErrInvalid reports a rejected document; its text states file, line and reason.
var ErrInvalid = errs.NewType("invalid").New("invalid document")

// Kind is the type of a document.
type Kind string

// The kinds of document.
const (
	KindTemplate  Kind = "template"
	KindWorkspace Kind = "workspace"
)

// Protocol is the protocol that callers of a service use.
type Protocol string

// The protocols of a service.
const (
	ProtocolChat  Protocol = "chat"
	ProtocolPlain Protocol = "plain"
)

// Class is the latency class of a service's requests.
type Class string

// The latency classes.
const (
	ClassLive  Class = "live"
	ClassBatch Class = "batch"
)

// Outage is how a non-repeatable call is handled while the platform is unavailable.
type Outage string

// The ways to handle a non-repeatable call during an outage of the platform.
const (
	OutageRefuse  Outage = "refuse"
	OutagePromise Outage = "promise"
)

// Duration is a time.Duration that is written with its unit, such as "700ms".
type Duration time.Duration

// UnmarshalYAML decodes a duration; a number without a unit is an error.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || v < 0 {
		return fmt.Errorf("line %d: %q is not a duration; write a number with its unit, such as 700ms or 2s", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML encodes a duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Parameter declares one parameter of a template.
type Parameter struct {
	Type    string   `yaml:"type"` // number, duration or text
	Default *string  `yaml:"default"`
	Min     *float64 `yaml:"min"`
	Max     *float64 `yaml:"max"`
}

// Call declares the rules for a group of calls of a plain service.
type Call struct {
	Method      string   `yaml:"method"` // empty: any
	Path        string   `yaml:"path"`   // prefix of the path below /s/{service}
	Repeatable  *bool    `yaml:"repeatable"`
	Outage      Outage   `yaml:"outage"`
	KeyLifetime Duration `yaml:"key_lifetime"`
}

// Limits bounds one workspace's use of a service.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	InFlight          int     `yaml:"in_flight"`
	Queue             int     `yaml:"queue"`
	BodyBytes         int64   `yaml:"body_bytes"`
	MaxTokens         int     `yaml:"max_tokens"`
}

// Weights state how a workspace trades delay for cost: the milliseconds of delay that
// one unit of money and one recomputed token are worth.
type Weights struct {
	Cost      float64 `yaml:"cost"`
	Recompute float64 `yaml:"recompute"`
}

// Legacy sends a percentage of the callers to the system that served them before.
type Legacy struct {
	Address string  `yaml:"address"`
	Percent float64 `yaml:"percent"`
}

// Service is one rendered service of a workspace.
type Service struct {
	Name           string   `yaml:"name"`
	Protocol       Protocol `yaml:"protocol"`
	Pool           string   `yaml:"pool"`
	Class          Class    `yaml:"class"`
	LatencyTarget  Duration `yaml:"latency_target"`
	Timeout        Duration `yaml:"timeout"`
	Share          float64  `yaml:"share"` // weight in the fair queue
	Calls          []Call   `yaml:"calls"`
	RejectStatuses []int    `yaml:"refusals"` // status codes which state that the upstream did not run the call
	Limits         Limits   `yaml:"limits"`
	Weights        Weights  `yaml:"weights"`
	Legacy         Legacy   `yaml:"legacy"`
}

// Template is a set of services with parameters.
type Template struct {
	Kind       Kind                 `yaml:"kind"`
	Name       string               `yaml:"name"`
	Parameters map[string]Parameter `yaml:"parameters"`
	Services   yaml.Node            `yaml:"services"`
}

// Workspace gives values to the parameters of a template.
type Workspace struct {
	Kind       Kind              `yaml:"kind"`
	Name       string            `yaml:"name"`
	Template   string            `yaml:"template"`
	KeyHashes  []string          `yaml:"key_hashes"` // SHA-256 of each API key, in hex
	Parameters map[string]string `yaml:"parameters"`
}

// Document is one document as the operator wrote it.
type Document struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	Body string `json:"body"`
	// The position in the source file, for error messages. Only set by Parse.
	file string
	line int // number of lines that precede the document in the file
}

// withPosition adds the position of a mistake to an error: in the source file if that is
// known, and in the document otherwise.
func (d *Document) withPosition(err error) error {
	if d.file != "" {
		return withPosition(d.file, d.line, err)
	}
	return withPosition(documentKey(d.Kind, d.Name), 0, err)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Parse splits a file into its documents and checks each of them separately.
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
	if err := yaml.Unmarshal([]byte(stubParameters(body)), &h); err != nil {
		return nil, withPosition(file, line-1, err)
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
		return nil, withPosition(file, line, err)
	}
	return d, nil
}

var linePattern = regexp.MustCompile(`line (\d+): `)

// withPosition rewrites "line N: reason" as "file:N: reason", where N counts from the start
// of the file.
func withPosition(file string, offset int, err error) error {
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

func decodeStrict(body string, out any) error {
	d := yaml.NewDecoder(bytes.NewReader([]byte(body)))
	d.KnownFields(true)
	return d.Decode(out)
}

// stubParameters replaces each parameter reference with a fixed scalar, so that a template can
// be parsed as YAML before its values are substituted: the braces of a reference would
// end a flow mapping.
func stubParameters(body string) string { return parameterRef.ReplaceAllString(body, "unfilled") }

func (d *Document) template() (*Template, error) {
	var t Template
	if err := decodeStrict(stubParameters(d.Body), &t); err != nil {
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
	if err := decodeStrict(d.Body, &w); err != nil {
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

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
