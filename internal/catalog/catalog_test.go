package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func build(t *testing.T, s Spec) *Catalog {
	t.Helper()
	c, err := New(s)
	require.NoError(t, err)
	return c
}

func assertRoute(t *testing.T, c *Catalog, host, path, want string) {
	t.Helper()
	r := c.Match(host, path)
	if want == "" {
		assert.Nil(t, r, "%s%s", host, path)
		return
	}
	if assert.NotNil(t, r, "%s%s", host, path) {
		assert.Equal(t, want, r.Name())
	}
}

func route(name, host, prefix string) RouteSpec {
	return RouteSpec{Name: name, Host: host, Prefix: prefix, Services: []WeightedService{{Service: "s", Weight: 1}}}
}

func TestMatch(t *testing.T) {
	c := build(t, Spec{Routes: []RouteSpec{
		route("root", "a.example", "/"), route("x", "a.example", "/x/"), route("xy", "a.example", "/x/y/"), route("b", "B.example", "/x/"),
	}})
	t.Run("the longest prefix wins", func(t *testing.T) { assertRoute(t, c, "a.example", "/x/y/z", "xy") })
	t.Run("a prefix ends at a slash", func(t *testing.T) { assertRoute(t, c, "a.example", "/x/yz", "x") })
	t.Run("the prefix itself", func(t *testing.T) { assertRoute(t, c, "a.example", "/x/", "x") })
	t.Run("without its slash", func(t *testing.T) { assertRoute(t, c, "a.example", "/x", "root") })
	t.Run("port and case of the host are ignored", func(t *testing.T) { assertRoute(t, c, "b.Example:80", "/x/1", "b") })
	t.Run("no such path", func(t *testing.T) { assertRoute(t, c, "b.example", "/y/", "") })
	t.Run("no such host", func(t *testing.T) { assertRoute(t, c, "c.example", "/x/", "") })
}

func TestServicesFollowWeights(t *testing.T) {
	s := route("r", "a", "/")
	s.Services = []WeightedService{{"big", 90}, {"small", 10}, {"none", 0}}
	r := build(t, Spec{Routes: []RouteSpec{s}}).Match("a", "/")
	n := map[string]int{}
	for i := 0; i < 10000; i++ {
		n[r.Service(fmt.Sprint(i))]++
	}
	assert.InDelta(t, 9000, n["big"], 200)
	assert.InDelta(t, 1000, n["small"], 200)
	assert.Zero(t, n["none"])
}

func TestInvalidSpec(t *testing.T) {
	for _, c := range []struct {
		name string
		r    RouteSpec
	}{
		{"prefix", RouteSpec{Prefix: "x/", Services: []WeightedService{{"s", 1}}}},
		{"no service", RouteSpec{Prefix: "/"}},
		{"weight", RouteSpec{Prefix: "/", Services: []WeightedService{{"s", -1}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := New(Spec{Routes: []RouteSpec{c.r}})
			assert.ErrorIs(t, err, ErrInvalid)
		})
	}
}

func TestWorkspacePriorityOverridesRoute(t *testing.T) {
	c := build(t, Spec{
		Routes:     []RouteSpec{{Name: "r", Host: "a", Prefix: "/", Priority: 3, Services: []WeightedService{{"s", 1}}}},
		Workspaces: []WorkspaceSpec{{Name: "w", Keys: []string{"k1", "k2"}, HasPriority: true, Priority: 1}, {Name: "v", Keys: []string{"k3"}}},
	})
	r := c.Match("a", "/")
	assert.Equal(t, 1, c.Workspace("k2").Priority(r))
	assert.Equal(t, 3, c.Workspace("k3").Priority(r))
	assert.Equal(t, 3, c.Workspace("k4").Priority(r), "no workspace")
}

func TestUrgency(t *testing.T) {
	assertUrgency := func(t *testing.T, s Spec, target time.Duration, ranks ...int) {
		t.Helper()
		c, err := New(s)
		require.NoError(t, err)
		assert.Equal(t, Urgency{Ranks: ranks, Target: target}, c.Urgency("s"))
		assert.Empty(t, c.Urgency("unknown"))
	}
	to := []WeightedService{{"s", 1}}
	routes := []RouteSpec{
		{Name: "a", Host: "a", Prefix: "/", Priority: 2, LatencyTarget: time.Second, Services: to},
		{Name: "b", Host: "b", Prefix: "/", Priority: 0, Services: to},
		{Name: "c", Host: "c", Prefix: "/", Priority: 2, LatencyTarget: 2 * time.Second, Services: to},
		{Name: "d", Host: "d", Prefix: "/", Priority: 7, LatencyTarget: time.Millisecond, Services: []WeightedService{{"other", 1}}},
	}
	ranked := []WorkspaceSpec{{Name: "w", HasPriority: true, Priority: 1}}
	t.Run("of the routes", func(t *testing.T) { assertUrgency(t, Spec{Routes: routes}, time.Second, 0, 2) })
	t.Run("workspaces before routes", func(t *testing.T) {
		assertUrgency(t, Spec{Routes: routes, Workspaces: ranked, RequireKey: true}, time.Second, 1)
	})
	t.Run("routes where a workspace has no priority", func(t *testing.T) {
		assertUrgency(t, Spec{Routes: routes, Workspaces: append(ranked, WorkspaceSpec{Name: "v"}), RequireKey: true}, time.Second, 0, 1, 2)
	})
	t.Run("public routes", func(t *testing.T) {
		public := []RouteSpec{routes[0], {Name: "p", Host: "p", Prefix: "/", Priority: 4, Public: true, Services: to}}
		assertUrgency(t, Spec{Routes: public, Workspaces: ranked, RequireKey: true}, time.Second, 1, 4)
	})
}
