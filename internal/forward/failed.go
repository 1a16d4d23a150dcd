package forward

import (
	"errors"
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"
)

// This file answers requests whose handler panics: net/http closes the connection then, without a word.

// recoverHandler is deferred by the handler. If the code of this node fails, the caller is told whether the request may have
// run, unless its response has begun.
func (s *Server) recoverHandler(w http.ResponseWriter, q *request) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	s.o.Log.Error("handler_failed", zap.String("request", q.meta.ID), zap.Any("cause", v), zap.Bool("responding", q.responding), zap.ByteString("stack", debug.Stack()))
	if q.responding {
		panic(http.ErrAbortHandler) // without its end, the response can't look complete
	}
	r := &rejection{status: http.StatusServiceUnavailable, reason: "this node failed before it sent the request", retry: retryOtherNode}
	if q.use != nil {
		r = &rejection{status: http.StatusBadGateway, reason: "this node failed, the request may have run"}
	}
	clear(w.Header()) // of what was to be an upstream's response
	w.Header().Set("Connection", "close")
	s.writeRejection(w, q, r)
}
