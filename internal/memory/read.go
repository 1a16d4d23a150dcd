package memory

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"
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

// Follow has the body end for others while its caller takes it: idle returns for how long that one has taken hardly anything, 0 if
// that isn't long, and giveUp ends it. The body may be nil.
func (b *Body) Follow(idle func() time.Duration, giveUp func()) {
	if b != nil && b.held != nil {
		b.held.follow(idle, giveUp)
	}
}

// WriteTo implements io.WriterTo.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	if b == nil {
		return 0, nil
	}
	var n int64
	for _, p := range b.pieces {
		k, err := w.Write(p)
		n += int64(k)
		if err != nil {
			return n, err
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

// ReadBody reads a body to its end, and takes each piece before it reads it. A response whose length was announced takes all of it
// before it begins; a caller's word isn't taken for that. length is the size that was announced, or -1;
// limit is the largest size that it may have. What was read of a body that fails is returned with the error.
func (h *Hold) ReadBody(ctx context.Context, r io.Reader, length, limit int64) (*Body, error) {
	b := &Body{held: h}
	if length > limit {
		return b, ErrTooLong
	}
	whole := h.o.Kind == KindResponse && length > 0
	if whole {
		if err := h.takeWhole(ctx, length); err != nil {
			return b, err
		}
	}
	for next := int64(firstPiece); ; next = min(2*next, largestPiece) {
		size := next
		if length >= 0 {
			size = min(largestPiece, length-b.size)
		}
		if size == 0 {
			return b, endOfBody(r)
		}
		err := h.ended()
		if !whole {
			err = h.Take(ctx, size)
		}
		if err != nil {
			return b, err
		}
		p := make([]byte, size)
		n, err := readFull(r, p)
		b.pieces, b.size = append(b.pieces, p[:n]), b.size+int64(n)
		switch {
		case b.size > limit:
			return b, ErrTooLong
		case errors.Is(err, io.EOF) && length < 0:
			return b, nil
		case errors.Is(err, io.EOF):
			return b, io.ErrUnexpectedEOF
		case err != nil:
			return b, err
		}
	}
}

// takeWhole takes all of a response of an announced length before it begins: many that have begun would end each other for their
// rest.
func (h *Hold) takeWhole(ctx context.Context, length int64) error {
	if err := h.Take(ctx, length); err != nil {
		return err
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.sparedUntil = h.b.clock.Now().Add(sparedFor)
	return nil
}

// ended returns why the hold is to end; nil: it isn't.
func (h *Hold) ended() error {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.cause == nil && h.place == nil {
		return ErrFull
	}
	return h.cause
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
