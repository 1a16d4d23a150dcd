package message

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"net/http"

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

// maxBody is the size of a request in bytes: a message, and what frames it.
const maxBody = maxMessage + 4<<10

// Whole returns a handler that reads a request whole before the inner one has it. The inner one reads into buffers that it keeps for
// other requests, so that small ones that don't come to their end would hold as much as large ones.
func Whole(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, "the request wasn't read: "+err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(b)), int64(len(b))
		h.ServeHTTP(w, r)
	})
}

// refused is what reads a compressed request.
type refused struct{}

func (refused) Read([]byte) (int, error) { return 0, errCompressed }

func (refused) Reset(io.Reader) error { return errCompressed }

func (refused) Close() error { return nil }
