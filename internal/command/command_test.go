package command_test

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"spurhall.example/spurhall/internal/admin"
	"spurhall.example/spurhall/internal/command"
	"spurhall.example/spurhall/internal/config"
	"spurhall.example/spurhall/internal/node"
	"spurhall.example/spurhall/internal/standin"
	"spurhall.example/spurhall/internal/store"
	"spurhall.example/spurhall/internal/timer"
)

const document = "kind: template\nname: t\nservices:\n  - {name: a, protocol: plain, pool: p}\n---\nkind: workspace\nname: w\ntemplate: t\nkey_hashes: [%]\n"

type bench struct {
	t    *testing.T
	node string
	dir  string
}

// newBench is a node that serves operators only, with a token.
func newBench(t *testing.T) *bench {
	p := httptest.NewServer(standin.NewPlatform(timer.Real()).Handler())
	t.Cleanup(p.Close)
	n := node.New(node.Options{
		VM: "n1", Hall: "h", Clock: timer.Real(), Log: zap.NewNop(), PlatformRate: 1000, PeerScheme: "http",
		KV: store.NewGateway(p.URL, time.Second, timer.Real()).KV(), Cloud: store.NewCloud(p.URL, time.Second),
	})
	t.Cleanup(n.Stop)
	s := httptest.NewServer(admin.Handler(admin.Options{Node: n, TokenHashes: []string{config.HashKey("operator")}, Drain: func() {}}))
	t.Cleanup(s.Close)
	return &bench{t, s.Listener.Addr().String(), t.TempDir()}
}

func (b *bench) file(text string) string {
	f := filepath.Join(b.dir, "shops.yaml")
	text = string(bytes.ReplaceAll([]byte(text), []byte("%"), []byte(config.HashKey("workspace-key"))))
	require.NoError(b.t, os.WriteFile(f, []byte(text), 0o600))
	return f
}

// run returns the output and the exit code.
func (b *bench) run(token string, args ...string) (string, int) {
	var out bytes.Buffer
	err := command.New(&out, &out, nil).Run(b.t.Context(), append([]string{"spurhall", "--node", b.node, "--token", token}, args...))
	var e cli.ExitCoder
	switch {
	case err == nil:
		return out.String(), 0
	case errors.As(err, &e):
		return out.String() + err.Error(), e.ExitCode()
	}
	return out.String() + err.Error(), command.ExitFailed
}

func TestCommands(t *testing.T) {
	b := newBench(t)
	f := b.file(document)
	steps := []struct {
		name  string
		token string
		args  []string
		code  int
		want  string
	}{
		{"no token", "", []string{"status"}, command.ExitNoAccess, "token"},
		{"diff", "operator", []string{"diff", "-f", f}, 0, "added template/t"},
		{"apply", "operator", []string{"apply", "-f", f, "--base", "0", "--note", "first", "--wait"}, 0, "revision 1 accepted"},
		{"apply from an old base", "operator", []string{"apply", "-f", f, "--base", "0"}, command.ExitConflict, "newest 1"},
		{"a workspace's key may not apply", "workspace-key", []string{"apply", "-f", f}, command.ExitNoAccess, "operator"},
		{"a workspace's key sees its jobs", "workspace-key", []string{"jobs"}, 0, "WORKSPACE"},
		{"get", "operator", []string{"get"}, 0, "kind: workspace"},
		{"get what isn't there", "operator", []string{"get", "--revision", "9"}, command.ExitInvalid, "no such revision"},
		{"history", "operator", []string{"history"}, 0, "first"},
		{"rollback", "operator", []string{"rollback", "--to", "1"}, 0, "revision 2 accepted"},
		{"status as JSON", "operator", []string{"--output", "json", "status"}, 0, `"config_revision": 2`},
		{"time line", "operator", []string{"timeline"}, 0, "config_in_force"},
		{"unknown output", "operator", []string{"--output", "xml", "status"}, command.ExitInvalid, "text or json"},
		{"missing file", "operator", []string{"apply", "-f", "none.yaml"}, command.ExitInvalid, "none.yaml"},
	}
	for _, s := range steps {
		out, code := b.run(s.token, s.args...)
		assert.Equal(t, s.code, code, "%s: %s", s.name, out)
		assert.Contains(t, out, s.want, s.name)
	}
	f = b.file("kind: template\nname: t\nservices:\n  - {name: a, protocol: tcp, pool: p, colour: red}\n")
	out, code := b.run("operator", "apply", "-f", f)
	assert.Equal(t, command.ExitInvalid, code)
	assert.Contains(t, out, "shops.yaml")
	b.node = "127.0.0.1:1"
	_, code = b.run("operator", "status")
	assert.Equal(t, command.ExitNoAnswer, code)
}
