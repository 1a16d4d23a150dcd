package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"spurhall.example/spurhall/internal/fault"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// event is one event of a stream, as it came, its closing blank line included.
type event struct {
	raw []byte
	id  string // empty: it has none
}

// eventReader takes a stream of the text/event-stream form apart into events. Events
// are passed on byte for byte; only their ids are looked at.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// next returns the next whole event. The error is io.EOF at a clean end, and errLost if
// the stream ends within an event, errSevered where the upstream ended it.
func (e *eventReader) next() (event, error) {
	var v event
	for {
		line, err := e.r.ReadSlice('\n')
		v.raw = append(v.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(v.raw) > maxEvent {
				return event{}, fault.Because(errLost, "an event is longer than %d bytes", maxEvent)
			}
			continue
		case errors.Is(err, io.EOF) && len(v.raw) == 0:
			return event{}, io.EOF
		case err != nil:
			return event{}, fault.Because(lost(err), "the stream broke off: %v", err)
		}
		start := bytes.LastIndexByte(v.raw[:len(v.raw)-1], '\n') + 1
		text := bytes.TrimRight(v.raw[start:], "\r\n")
		if len(text) == 0 {
			return v, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			v.id = string(bytes.TrimSpace(id))
		}
	}
}
