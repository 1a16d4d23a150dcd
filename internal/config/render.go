package config

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// Rendering substitutes a workspace's parameters in the template's text, line by line,
// and then decodes the result strictly. Values can't contain line breaks, so line
// numbers don't change and every error refers to the line that the operator wrote.
//
// Alternatives considered: substitution in the parsed tree, which would lose these lines.

var parameterRef = regexp.MustCompile(`\$\{([a-z0-9_]+)\}`)

// Defaults for fields that a service doesn't set.
const (
	defaultTimeout       = Duration(60 * time.Second)
	defaultLatencyTarget = Duration(time.Second)
	defaultKeyLifetime   = Duration(24 * time.Hour)
	defaultBodyBytes     = 1 << 20
	defaultInFlight      = 256
	defaultQueue         = 256
	defaultMaxTokens     = 4096
)

// Render returns the services of workspace w with template t.
func Render(t, w *Document) ([]Service, error) {
	template, err := t.template()
	if err != nil {
		return nil, t.withPosition(err)
	}
	workspace, err := w.workspace()
	if err != nil {
		return nil, w.withPosition(err)
	}
	values, err := resolveParameters(template, workspace, parameterLines(w.Body))
	if err != nil {
		return nil, w.withPosition(err)
	}
	body, err := substitute(t.Body, values)
	if err != nil {
		return nil, t.withPosition(err)
	}
	services, err := decodeServices(body)
	if err != nil {
		return nil, t.withPosition(fmt.Errorf("%w (filled in for workspace %s)", err, w.Name))
	}
	return services, nil
}

// parameterLines returns the line of each parameter of a workspace by name, and the line
// of the parameters mapping under the empty name.
func parameterLines(body string) map[string]int {
	var w struct {
		Parameters yaml.Node `yaml:"parameters"`
	}
	_ = yaml.Unmarshal([]byte(body), &w) // the strict decoding before has reported any error
	r := map[string]int{"": max(w.Parameters.Line, 1)}
	for i := 0; i+1 < len(w.Parameters.Content); i += 2 {
		r[w.Parameters.Content[i].Value] = w.Parameters.Content[i].Line
	}
	return r
}

func resolveParameters(t *Template, w *Workspace, lines map[string]int) (map[string]string, error) {
	for _, n := range sortedKeys(w.Parameters) {
		if _, ok := t.Parameters[n]; !ok {
			return nil, fmt.Errorf("line %d: parameter %s: template %s has none of that name", lines[n], n, t.Name)
		}
	}
	r := make(map[string]string)
	for _, n := range sortedKeys(t.Parameters) {
		p := t.Parameters[n]
		v, ok := w.Parameters[n]
		if !ok && p.Default == nil {
			return nil, fmt.Errorf("line %d: parameter %s is missing; template %s gives it no default", lines[""], n, t.Name)
		}
		if !ok {
			v = *p.Default
		}
		if err := p.check(v); err != nil {
			return nil, fmt.Errorf("line %d: parameter %s: %w", lines[n], n, err)
		}
		r[n] = v
	}
	return r, nil
}

func (p *Parameter) check(v string) error {
	switch p.Type {
	case "number":
		f, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", v)
		}
		if p.Min != nil && f < *p.Min || p.Max != nil && f > *p.Max {
			return fmt.Errorf("%s is out of bounds", v)
		}
	case "duration":
		if _, err := time.ParseDuration(v); err != nil {
			return fmt.Errorf("%q is not a duration; write a number with its unit, such as 700ms or 2s", v)
		}
	}
	if strings.ContainsAny(v, "\n\r") {
		return fmt.Errorf("a value can't hold a line break")
	}
	return nil
}

func substitute(body string, values map[string]string) (string, error) {
	lines := strings.Split(body, "\n")
	for i, l := range lines {
		for _, m := range parameterRef.FindAllStringSubmatch(l, -1) {
			v, ok := values[m[1]]
			if !ok {
				return "", fmt.Errorf("line %d: ${%s}: the template declares no such parameter", i+1, m[1])
			}
			// Quoted, so that a value is never parsed as YAML syntax.
			l = strings.ReplaceAll(l, m[0], quoteScalar(v))
		}
		lines[i] = l
	}
	return strings.Join(lines, "\n"), nil
}

var plainScalar = regexp.MustCompile(`^[A-Za-z0-9._:/+-]+$`)

func quoteScalar(v string) string {
	if plainScalar.MatchString(v) && !strings.HasSuffix(v, ":") && !strings.HasPrefix(v, "-") {
		return v
	}
	return strconv.Quote(v)
}

func decodeServices(body string) ([]Service, error) {
	var t struct {
		Kind       yaml.Node `yaml:"kind"`
		Name       yaml.Node `yaml:"name"`
		Parameters yaml.Node `yaml:"parameters"`
		Services   []Service `yaml:"services"`
	}
	if err := decodeStrict(body, &t); err != nil {
		return nil, err
	}
	lines := serviceLines(body)
	seen := make(map[string]bool)
	for i := range t.Services {
		s := &t.Services[i]
		s.setDefaults()
		if err := s.check(); err != nil {
			return nil, fmt.Errorf("line %d: service %q: %w", lines[i], s.Name, err)
		}
		if seen[s.Name] {
			return nil, fmt.Errorf("line %d: service %q stands twice", lines[i], s.Name)
		}
		seen[s.Name] = true
	}
	return t.Services, nil
}

// serviceLines returns the line at which each service starts.
func serviceLines(body string) []int {
	var t struct {
		Services []yaml.Node `yaml:"services"`
	}
	_ = yaml.Unmarshal([]byte(body), &t) // the strict decoding before has reported any error
	r := make([]int, len(t.Services))
	for i := range t.Services {
		r[i] = t.Services[i].Line
	}
	return r
}

func (s *Service) setDefaults() {
	defaultDuration(&s.Timeout, defaultTimeout)
	defaultDuration(&s.LatencyTarget, defaultLatencyTarget)
	if s.Class == "" {
		s.Class = ClassLive
	}
	if s.Share == 0 {
		s.Share = 1
	}
	if s.Limits.BodyBytes == 0 {
		s.Limits.BodyBytes = defaultBodyBytes
	}
	if s.Limits.InFlight == 0 {
		s.Limits.InFlight = defaultInFlight
	}
	if s.Limits.Queue == 0 {
		s.Limits.Queue = defaultQueue
	}
	if s.Limits.MaxTokens == 0 {
		s.Limits.MaxTokens = defaultMaxTokens
	}
	for i := range s.Calls {
		defaultDuration(&s.Calls[i].KeyLifetime, defaultKeyLifetime)
		if s.Calls[i].Outage == "" {
			s.Calls[i].Outage = OutageRefuse
		}
	}
}

func defaultDuration(d *Duration, v Duration) {
	if *d == 0 {
		*d = v
	}
}

func (s *Service) check() error {
	switch {
	case !namePattern.MatchString(s.Name):
		return fmt.Errorf("name: use 1 to 63 of a-z, 0-9 and -")
	case s.Protocol != ProtocolChat && s.Protocol != ProtocolPlain:
		return fmt.Errorf("protocol %q: use chat or plain", s.Protocol)
	case s.Class != ClassLive && s.Class != ClassBatch:
		return fmt.Errorf("class %q: use live or batch", s.Class)
	case s.Pool == "" && s.Legacy.Percent < 100:
		return fmt.Errorf("pool is missing: name the upstreams' service")
	case s.Legacy.Percent < 0 || s.Legacy.Percent > 100:
		return fmt.Errorf("legacy.percent %v: use 0 to 100", s.Legacy.Percent)
	case s.Legacy.Percent > 0 && s.Legacy.Address == "":
		return fmt.Errorf("legacy.address is missing")
	case s.Weights.Cost < 0 || s.Weights.Recompute < 0 || s.Share < 0:
		return fmt.Errorf("weights and share can't be negative")
	case s.Limits.RequestsPerSecond < 0 || s.Limits.InFlight < 0 || s.Limits.Queue < 0 || s.Limits.BodyBytes < 0 || s.Limits.MaxTokens < 0:
		return fmt.Errorf("limits can't be negative")
	}
	for _, c := range s.Calls {
		if c.Outage != OutageRefuse && c.Outage != OutagePromise {
			return fmt.Errorf("calls: outage %q: use refuse or promise", c.Outage)
		}
	}
	return nil
}

// MatchCall returns the rules for a call: those of the first declared group that matches,
// or the default, by which GET and HEAD may be repeated and other methods may not.
func (s *Service) MatchCall(method, path string) Call {
	for _, c := range s.Calls {
		if (c.Method == "" || c.Method == method) && strings.HasPrefix(path, c.Path) {
			if c.Repeatable == nil {
				v := repeatableMethod(method)
				c.Repeatable = &v
			}
			return c
		}
	}
	v := repeatableMethod(method)
	return Call{Repeatable: &v, Outage: OutageRefuse, KeyLifetime: defaultKeyLifetime}
}

func repeatableMethod(m string) bool { return m == http.MethodGet || m == http.MethodHead }

// IsRejection reports whether a status states that the upstream did not run the call.
func (s *Service) IsRejection(status int) bool {
	for _, v := range s.RejectStatuses {
		if v == status {
			return true
		}
	}
	return false
}

// checkAll checks that every workspace of a set of documents renders.
func checkAll(docs map[string]Document) error {
	for _, d := range docs {
		if d.Kind != KindWorkspace {
			continue
		}
		w, err := d.workspace()
		if err != nil {
			return d.withPosition(err)
		}
		t, ok := docs[documentKey(KindTemplate, w.Template)]
		if !ok {
			return d.withPosition(fmt.Errorf("line 1: template %q doesn't exist", w.Template))
		}
		if _, err := Render(&t, &d); err != nil {
			return err
		}
	}
	return nil
}

func documentKey(k Kind, name string) string { return string(k) + "/" + name }
