// Package chart interprets the state charts that stand beside it as YAML files.
// The code asks the chart what may follow instead of holding the answer in
// conditions spread over several packages, so that the life of a request, an
// upstream or a node can be read in one place.
//
//	name: job
//	start: accepted
//	states:
//	  accepted: {start: running}
//	  running:  {finish: done, fail: failed}
//	  done:     {}
//
// A table of Go constants was weighed: it is checked by the compiler, but no
// operator reads it. The files are checked when the program starts instead: a
// transition to a state that isn't there stops it.
package chart

import (
	"embed"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/joomcode/errorx"

	"gopkg.in/yaml.v3"
	"spurhall.example/spurhall/internal/fault"
)

//go:embed *.yaml
var files embed.FS

var errs = errorx.NewNamespace("chart")

// ErrNotAllowed is returned for an event that may not happen in a state.
var ErrNotAllowed = errs.NewType("not_allowed").New("event not allowed in this state")

// Chart is one life cycle.
type Chart struct {
	name   string
	start  string
	states map[string]map[string]string
}

type document struct {
	Name   string                       `yaml:"name"`
	Start  string                       `yaml:"start"`
	States map[string]map[string]string `yaml:"states"`
}

// Load reads the embedded chart of that name. It panics on a broken chart: the
// files are part of the program.
func Load(name string) *Chart {
	b, err := files.ReadFile(name + ".yaml")
	if err != nil {
		panic(fmt.Sprintf("chart %s: %v", name, err))
	}
	c, err := parse(b)
	if err != nil {
		panic(fmt.Sprintf("chart %s: %v", name, err))
	}
	return c
}

func parse(b []byte) (*Chart, error) {
	var d document
	if err := yaml.Unmarshal(b, &d); err != nil {
		return nil, err
	}
	if _, ok := d.States[d.Start]; !ok {
		return nil, fmt.Errorf("start %q is not a state", d.Start)
	}
	for s, events := range d.States {
		for e, to := range events {
			if _, ok := d.States[to]; !ok {
				return nil, fmt.Errorf("state %q: event %q leads to unknown state %q", s, e, to)
			}
		}
	}
	return &Chart{name: d.Name, start: d.Start, states: d.States}, nil
}

// Next returns the state that the event leads to.
func (c *Chart) Next(state, event string) (string, error) {
	to, ok := c.states[state][event]
	if ok {
		return to, nil
	}
	return state, fault.Because(ErrNotAllowed, "%s: %q in state %q; allowed: %s", c.name, event, state, c.allowed(state))
}

func (c *Chart) allowed(state string) string {
	var r []string
	for e := range c.states[state] {
		r = append(r, e)
	}
	sort.Strings(r)
	return strings.Join(r, ", ")
}

// Life is one thing that lives by a chart. It is safe for concurrent use.
type Life struct {
	mu    sync.Mutex
	chart *Chart
	state string
}

// Begin starts a life at the chart's first state.
func (c *Chart) Begin() *Life { return &Life{chart: c, state: c.start} }

// State returns the present state.
func (l *Life) State() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Is tells whether the present state is s.
func (l *Life) Is(s string) bool { return l.State() == s }

// Fire moves to the state the event leads to, or returns ErrNotAllowed and
// stays where it was.
func (l *Life) Fire(event string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.chart.Next(l.state, event)
	if err != nil {
		return err
	}
	l.state = s
	return nil
}
