package forward

import (
	"io"
	"net/http"
	"time"
)

// This file refuses requests whose body wasn't read. If a connection closes while bytes are unread, the kernel resets it, and the
// reset overtakes the response at a caller who sends its whole body first. So the response is written at once, and the body
// is read on, within bounds, before the connection closes.
//
// Alternatives considered: reading the body before the response. Callers who listen while they send would wait for
// nothing.

const (
	// unreadBody is how many bytes of a refused body are read: as much as a body may have.
	unreadBody = maxBody
	// unreadTime is how long that may take: a body of some MB on a link of 20 Mbit/s.
	unreadTime = 5 * time.Second
)

// discardBody sends what was written of a response, and reads on in the request's body.
func (s *Server) discardBody(w http.ResponseWriter, q *request) {
	c := http.NewResponseController(w)
	if c.Flush() != nil || c.SetReadDeadline(s.o.Clock.Wall().Add(unreadTime)) != nil {
		return // the caller has left, or there is no connection
	}
	_, _ = io.CopyN(io.Discard, q.http.Body, unreadBody) // the connection closes in any case
}
