package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"spurhall.example/spurhall/internal/fault"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// errEndless is errOversized for a response that is longer than any may be, however much room there is.
var errEndless = fault.Because(errOversized, "it is longer than any may be")

// event is one event of a stream as received, including the blank line that ends it.
type event struct {
	raw []byte
	id  string // empty if the event has none
}

// eventReader splits a text/event-stream into events. Events are forwarded byte for byte; only their ids
// are parsed.
type eventReader struct {
	r    *bufio.Reader
	room eventRoom
}

func newEventReader(r io.Reader, room eventRoom) *eventReader {
	return &eventReader{r: bufio.NewReader(r), room: room}
}

// next returns the next complete event; the one before isn't held any more. The error is io.EOF at a clean end, errIncompleteResponse if the
// stream ends within an event, and errSevered if the upstream broke the connection there.
func (e *eventReader) next() (event, error) {
	var v event
	e.room.next()
	for {
		line, err := e.r.ReadSlice('\n')
		if full := e.room.take(len(v.raw)+len(line), len(line)); full != nil {
			return event{}, roomError(full, "an event")
		}
		v.raw = append(v.raw, line...)
		switch {
		case len(v.raw) > maxEvent:
			return event{}, fault.Because(errEndless, "an event is longer than %d bytes", maxEvent)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(v.raw) == 0:
			return event{}, io.EOF
		case err != nil:
			return event{}, fault.Because(readError(err), "the stream broke off: %v", err)
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
