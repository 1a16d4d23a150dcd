package measure

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDecisionsArePure: no decision reaches the network, the operating system or the
// clock. time may be imported for its Duration only.
func TestDecisionsArePure(t *testing.T) {
	forbidden := []string{"net", "net/http", "os", "os/exec", "spurhall.example/spurhall/internal/timer"}
	for _, p := range []string{"route", "retry", "admit", "reclaim", "autoscale", "relay", "quota", "capacity", "order"} {
		files, err := filepath.Glob("../" + p + "/*.go")
		require.NoError(t, err)
		require.NotEmpty(t, files, p)
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			b, err := os.ReadFile(f)
			require.NoError(t, err)
			for _, call := range []string{"time.Now(", "time.Since(", "time.After(", "time.NewTimer("} {
				assert.NotContains(t, string(b), call, f)
			}
			a, err := parser.ParseFile(token.NewFileSet(), f, b, parser.ImportsOnly)
			require.NoError(t, err)
			for _, i := range a.Imports {
				assert.NotContains(t, forbidden, strings.Trim(i.Path.Value, `"`), f)
			}
		}
	}
}
