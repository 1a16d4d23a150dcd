package accept

import (
	"context"
	"net"
	"time"
)

// This file tells how long a request waited in the kernel before it was read. Its caller's deadline counts from the
// moment at which it was sent, and a process that isn't scheduled reads it seconds later.
//
// Alternatives considered: how late the process's own timers fire. It is known for all connections at once, and says
// nothing of a single request, which may have arrived a moment ago.

// connKey is the key of a caller's connection in a request's context.
type connKey struct{}

// ConnContext is the http.Server.ConnContext of the server on this listener.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if v, ok := c.(*callerConn); ok {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		v.setCancel(cancel)
	}
	return context.WithValue(ctx, connKey{}, c)
}

// Waited returns how long the request with this context had waited unread in the kernel when its first byte was read;
// 0 if that isn't known.
func Waited(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waited
}
