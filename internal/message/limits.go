package message

import (
	"compress/gzip"
	"errors"
	"io"

	"connectrpc.com/connect"
)

// This file bounds what a process reads of others' calls and responses: another process may have a peer's address.

const (
	// maxMessage is the size of one message in bytes, uncompressed: some times a list of ten thousand upstreams.
	maxMessage = 8 << 20
	// MaxHeader is the size of a response's header in bytes.
	MaxHeader = 64 << 10
)

// errCompressed ends the reading of a compressed request: no node sends one, and what it takes isn't known before it is read.
var errCompressed = errors.New("compressed requests aren't taken")

// Bounded returns the option of clients that bounds their messages.
func Bounded() connect.Option { return connect.WithReadMaxBytes(maxMessage) }

// BoundedHandler returns the option of handlers that bounds their messages. Responses may be compressed, requests not.
func BoundedHandler() connect.HandlerOption {
	pack := func() connect.Compressor { return gzip.NewWriter(io.Discard) }
	unpack := func() connect.Decompressor { return refused{} }
	return connect.WithHandlerOptions(Bounded(), connect.WithCompression("gzip", unpack, pack))
}

// refused is what reads a compressed request.
type refused struct{}

func (refused) Read([]byte) (int, error) { return 0, errCompressed }

func (refused) Reset(io.Reader) error { return errCompressed }

func (refused) Close() error { return nil }
