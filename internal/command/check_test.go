package command

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

// runCheck runs the command line with one kind of check, which wants "good".
func runCheck(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	check := func(name string, b []byte) error {
		if string(b) != "good" {
			return errors.New(name + ":1: not good")
		}
		return nil
	}
	err := New(&out, &out, map[string]Check{"settings": check}).Run(t.Context(), append([]string{"spurhall"}, args...))
	return out.String(), err
}

func assertInvalid(t *testing.T, err error, text string) {
	t.Helper()
	var e cli.ExitCoder
	require.ErrorAs(t, err, &e)
	assert.Equal(t, ExitInvalid, e.ExitCode())
	assert.ErrorContains(t, err, text)
}

func TestCheck(t *testing.T) {
	good, bad := filepath.Join(t.TempDir(), "good"), filepath.Join(t.TempDir(), "bad")
	require.NoError(t, os.WriteFile(good, []byte("good"), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte("bad"), 0o600))
	t.Run("valid", func(t *testing.T) {
		out, err := runCheck(t, "check", "settings", good)
		assert.NoError(t, err)
		assert.Equal(t, good+": valid\n", out)
	})
	t.Run("not valid", func(t *testing.T) {
		_, err := runCheck(t, "check", "settings", bad)
		assertInvalid(t, err, "bad:1: not good")
	})
	t.Run("no such file", func(t *testing.T) {
		_, err := runCheck(t, "check", "settings", good+"x")
		assertInvalid(t, err, "no such file")
	})
	t.Run("no such kind", func(t *testing.T) {
		_, err := runCheck(t, "check", "else", good)
		assertInvalid(t, err, "name a kind (settings)")
	})
}

func TestVersion(t *testing.T) {
	out, err := runCheck(t, "version")
	assert.NoError(t, err)
	assert.Contains(t, out, "spurhall")
}
