package lineage

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLikelyVersion(t *testing.T) {
	none, one, two := []string{}, []string{"v1"}, []string{"v1", "v2"}
	whole, steady, back := Sight{InStep: true, Steady: true, Whole: true}, Sight{InStep: true, Steady: true}, Sight{InStep: true}
	for _, c := range []struct {
		name        string
		sight       Sight
		denied      bool
		known, used []string
		want        string
	}{
		{"both are used", whole, true, two, two, ""},
		{"one isn't used yet", whole, false, two, one, "v1"},
		{"one isn't used yet, as far as a node knows that missed a while", steady, false, two, one, ""},
		{"nor have others known of the stream", steady, true, two, one, "v1"},
		{"one looks new to a node that was out of step", back, true, two, one, ""},
		{"others deny the stream to a node that lacks no version that they know", Sight{}, true, one, one, "v1"},
		{"nobody else can be asked", Sight{}, false, one, one, ""},
		{"nobody else can be asked by a node that missed a while", steady, false, one, one, ""},
		{"which has heard from others what it missed", Sight{InStep: true, Heard: true}, false, one, one, "v1"},
		{"which has heard of another version", Sight{InStep: true, Heard: true}, true, two, one, ""},
		{"which has heard and is out of step again", Sight{Heard: true}, false, one, one, ""},
		{"none is known", Sight{}, true, none, none, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, by := LikelyVersion(c.sight, c.denied, c.known, c.used)
			assert.Equal(t, c.want, v)
			assert.Equal(t, c.want == "", by == ByNothing)
		})
	}
}

func TestOnlyVersionOfAService(t *testing.T) {
	whole := Sight{InStep: true, Steady: true, Whole: true}
	v, alone := OnlyVersion(whole, []string{"v1"})
	assert.Equal(t, "v1", v)
	assert.True(t, alone)
	for name, c := range map[string]struct {
		sight Sight
		known []string
	}{
		"there are two": {whole, []string{"v1", "v2"}}, "none is known": {whole, nil},
		"one may have been missed":                 {Sight{InStep: true, Steady: true}, []string{"v1"}},
		"though others have said which there were": {Sight{InStep: true, Steady: true, Heard: true}, []string{"v1"}},
	} {
		_, alone := OnlyVersion(c.sight, c.known)
		assert.False(t, alone, name)
	}
}
