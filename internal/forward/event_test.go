package forward

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// readAll returns the events of a text, and the final error.
func readAll(s string) ([]event, error) {
	r := newEventReader(strings.NewReader(s), eventRoom{})
	var l []event
	for {
		v, err := r.next()
		if err != nil {
			return l, err
		}
		l = append(l, v)
	}
}

func TestEvents(t *testing.T) {
	t.Run("complete events are kept byte for byte", func(t *testing.T) {
		l, err := readAll("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n")
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, []event{{[]byte("id: 1\ndata: a\n\n"), "1"}, {[]byte("id:2\r\ndata: b\r\n\r\n"), "2"}}, l)
	})
	t.Run("a truncated event is an error", func(t *testing.T) {
		l, err := readAll("id: 1\ndata: a\n\nid: 2\ndata: b\n")
		assert.ErrorIs(t, err, errIncompleteResponse)
		assert.Len(t, l, 1)
	})
	t.Run("a truncated line is an error", func(t *testing.T) {
		_, err := readAll("id: 1\ndata")
		assert.ErrorIs(t, err, errIncompleteResponse)
	})
	t.Run("lines longer than the buffer", func(t *testing.T) {
		s := "data: " + strings.Repeat("x", 20_000) + "\n\n"
		l, err := readAll(s)
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, s, string(l[0].raw))
	})
	t.Run("an endless event is rejected", func(t *testing.T) {
		_, err := readAll(strings.Repeat("x", 2*maxEvent))
		assert.ErrorIs(t, err, errIncompleteResponse)
	})
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n")
	f.Fuzz(func(t *testing.T, s string) {
		l, _ := readAll(s)
		var b strings.Builder
		for _, v := range l {
			b.Write(v.raw)
		}
		assert.True(t, strings.HasPrefix(s, b.String()), "events are the text's own bytes, in order")
	})
}
