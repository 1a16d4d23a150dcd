package memory

import (
	"context"
	"errors"
	"io"
	"slices"
)

// This file reads bodies within a budget. A body is kept in pieces as they were read: one that grew in one piece would be
// held twice each time it is copied to a larger one.

const (
	// firstPiece and largestPiece are the sizes of a body's pieces in bytes: each is twice as large as the one before.
	firstPiece   = 4 << 10
	largestPiece = 256 << 10
)

// ErrTooLong means that a body is longer than it may be.
var ErrTooLong = errs.NewType("too_long").New("the body is longer than it may be")

// Body is a body that was read completely.
type Body struct {
	pieces [][]byte
	size   int64
	held   *Hold // nil: it isn't counted
}

// NewBody returns a body of these bytes.
func NewBody(b []byte) *Body { return &Body{pieces: [][]byte{b}, size: int64(len(b))} }

// Len returns the size in bytes. The body may be nil.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Hold returns the hold of the body's bytes; nil: they aren't counted. The body may be nil.
func (b *Body) Hold() *Hold {
	if b == nil {
		return nil
	}
	return b.held
}

// WriteTo implements io.WriterTo. Pieces that are written are given back, so it works once.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	if b == nil {
		return 0, nil
	}
	var n int64
	for i, p := range b.pieces {
		k, err := w.Write(p)
		n += int64(k)
		if err != nil {
			return n, err
		}
		if b.pieces[i] = nil; b.held != nil {
			b.held.giveBack(int64(cap(p)), false)
		}
	}
	return n, nil
}

// Bytes returns the body in one piece.
func (b *Body) Bytes() []byte {
	switch {
	case b.Len() == 0:
		return nil
	case len(b.pieces) == 1:
		return b.pieces[0]
	}
	return slices.Concat(b.pieces...)
}

// ReadBody reads a body to its end, and takes each piece before it reads it. length is the size that was announced, or -1;
// limit is the largest size that it may have. What was read of a body that fails is returned with the error.
func (h *Hold) ReadBody(ctx context.Context, r io.Reader, length, limit int64) (*Body, error) {
	b := &Body{held: h}
	if length > limit {
		return b, ErrTooLong
	}
	h.Announce(max(0, length))
	for next := int64(firstPiece); ; next = min(2*next, largestPiece) {
		size := next
		if length >= 0 {
			size = min(largestPiece, length-b.size)
		}
		if size == 0 {
			return b, endOfBody(r)
		}
		if err := h.Take(ctx, size); err != nil {
			return b, err
		}
		p := make([]byte, size)
		n, err := readFull(r, p)
		b.pieces, b.size = append(b.pieces, p[:n]), b.size+int64(n)
		switch {
		case errors.Is(err, io.EOF) && length < 0:
			return b, nil
		case errors.Is(err, io.EOF):
			return b, io.ErrUnexpectedEOF
		case err != nil:
			return b, err
		case b.size > limit:
			return b, ErrTooLong
		}
	}
}

// readFull fills a piece. Unlike io.ReadFull, it returns the reader's own error: io.ErrUnexpectedEOF is that of a body that
// broke off, and io.EOF that of one that is whole.
func readFull(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		k, err := r.Read(p[n:])
		n += k
		if err != nil && n < len(p) {
			return n, err
		}
	}
	return n, nil
}

// endOfBody reads the end of a body all of whose bytes were read, with what may follow it (a trailer).
func endOfBody(r io.Reader) error {
	n, err := readFull(r, make([]byte, 1))
	switch {
	case n > 0:
		return ErrTooLong
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}
