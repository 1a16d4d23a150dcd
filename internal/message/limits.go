package message

import "connectrpc.com/connect"

// This file bounds what a process reads of others' calls and responses: another process may have a peer's address.

const (
	// maxMessage is the size of one message in bytes, uncompressed: some times a list of ten thousand upstreams.
	maxMessage = 8 << 20
	// MaxHeader is the size of a response's header in bytes.
	MaxHeader = 64 << 10
)

// Bounded returns the option of clients and handlers that bounds their messages.
func Bounded() connect.Option { return connect.WithReadMaxBytes(maxMessage) }
