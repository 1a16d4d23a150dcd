package forward

import (
	"errors"
	"time"

	"spurhall.example/spurhall/internal/fault"
)

// This file looks again, in the moment before a request's first byte is written, at what its choice rested on. Between
// the two lies the opening of a connection, and on a VM that is short of processor time also seconds in which nothing
// of the request is scheduled.

var (
	// errWithheld means that an attempt was given up before anything was sent.
	errWithheld = fault.Because(errNotRun, "nothing was sent")
	// errStaleList means that this node's list of upstreams is too old to choose from.
	errStaleList = errs.NewType("stale_list").New("this node's list of upstreams is out of date")
	// errReconfigured means that the configuration has changed since the request arrived.
	errReconfigured = errs.NewType("reconfigured").New("the configuration has changed")
)

// mayWrite returns nil if the attempt may be sent now, or else the reason for which it may not. It is called by the
// goroutine that writes to the connection.
func (s *Server) mayWrite(a *attempt, q *request) error {
	if !a.write(s.o.Clock.Since(q.arrived)) {
		return errUnresponsive
	}
	if err := a.ctx.Err(); err != nil {
		return err
	}
	if !s.o.Clock.Now().Before(q.deadline) {
		return errTimeout
	}
	if reason := a.use.Unavailable(); reason != "" {
		return fault.Because(errWithheld, "%s", reason)
	}
	return errors.Join(s.checkConfiguration(q), s.checkList(), s.checkPartsBeforeSend(q))
}

// checkList returns errStaleList if this node's list of upstreams is too old to choose from.
func (s *Server) checkList() error {
	age, current := s.o.ListAge()
	if current {
		return nil
	}
	return fault.Because(errStaleList, "this node's list of upstreams is %v old", age.Round(time.Millisecond))
}

// checkConfiguration returns errReconfigured if the configuration in force no longer sends the request to its service.
// A stream that has begun goes on as it began.
func (s *Server) checkConfiguration(q *request) error {
	c := s.o.Catalog()
	if c == q.catalog || q.started {
		return nil
	}
	r := c.Match(q.http.Host, q.http.URL.Path)
	if r == nil || r.Service(q.meta.ID) != q.service {
		return fault.Because(errReconfigured, "the route of the request has changed")
	}
	w := c.Workspace(q.meta.Credential)
	if w == nil && (q.workspace != nil || c.RequiresKey() && !r.Public()) || w != nil && w.Name() != q.workspaceName() {
		return fault.Because(errReconfigured, "the key of the request has been withdrawn")
	}
	return nil
}
