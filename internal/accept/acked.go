package accept

import (
	"context"

	"spurhall.example/spurhall/internal/upstream"
)

// Acked returns how many bytes the caller of the request with this context has acknowledged on its connection, and whether it
// has still to acknowledge others; known is false if nobody says.
func Acked(ctx context.Context) (n uint64, more, known bool) {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return 0, false, false
	}
	return upstream.Acked(c.Conn)
}
