package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOnlyVersion(t *testing.T) {
	none, one, two := []string{}, []string{"v1"}, []string{"v1", "v2"}
	for _, c := range []struct {
		name           string
		steady, denied bool
		known, used    []string
		want           string
	}{
		{"both are used", true, true, two, two, ""},
		{"one isn't used yet", true, false, two, one, "v1"},
		{"one looks new to a node that was out of step", false, true, two, one, ""},
		{"others deny the stream to a node that lacks no version that they know", false, true, one, one, "v1"},
		{"nobody else can be asked", false, false, one, one, ""},
		{"none is known", false, true, none, none, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, known := onlyVersion(c.steady, c.denied, c.known, c.used)
			assert.Equal(t, c.want, v)
			assert.Equal(t, c.want != "", known)
		})
	}
}
