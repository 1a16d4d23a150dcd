package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/lineage"
)

func TestOnlyVersion(t *testing.T) {
	none, one, two := []string{}, []string{"v1"}, []string{"v1", "v2"}
	whole, steady, back := lineage.Sight{InStep: true, Steady: true, Whole: true}, lineage.Sight{InStep: true, Steady: true}, lineage.Sight{InStep: true}
	for _, c := range []struct {
		name        string
		sight       lineage.Sight
		denied      bool
		known, used []string
		want        string
	}{
		{"both are used", whole, true, two, two, ""},
		{"one isn't used yet", whole, false, two, one, "v1"},
		{"one isn't used yet, as far as a node knows that missed a while", steady, false, two, one, ""},
		{"nor have others known of the stream", steady, true, two, one, "v1"},
		{"one looks new to a node that was out of step", back, true, two, one, ""},
		{"others deny the stream to a node that lacks no version that they know", lineage.Sight{}, true, one, one, "v1"},
		{"nobody else can be asked", lineage.Sight{}, false, one, one, ""},
		{"nobody else can be asked by a node that missed a while", steady, false, one, one, ""},
		{"which has heard from others what it missed", lineage.Sight{InStep: true, Heard: true}, false, one, one, "v1"},
		{"which has heard of another version", lineage.Sight{InStep: true, Heard: true}, true, two, one, ""},
		{"which has heard and is out of step again", lineage.Sight{Heard: true}, false, one, one, ""},
		{"none is known", lineage.Sight{}, true, none, none, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, by := onlyVersion(c.sight, c.denied, c.known, c.used)
			assert.Equal(t, c.want, v)
			assert.Equal(t, c.want == "", by == boundUnknown)
		})
	}
}
