package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Request holds the parts of a request that are the same in every repeat of it.
type Request struct {
	Method    string
	Host      string
	Target    string // path and query, as sent
	Workspace string // that the request belongs to; empty for a public route
	Body      []byte
}

const (
	shapeSize  = 8
	digestSize = 16 // bytes of a SHA-256, so that no other body can be made that has the same digest
)

// Fingerprint identifies a request. Two requests that differ in a field of Request have different
// fingerprints; repeats have the same one, whatever IDs and deadlines they carry.
type Fingerprint [shapeSize + digestSize]byte

// Shape is the part of a fingerprint that similar requests have in common (normalize.go says what of the body
// it covers). It is computed only once crashes have been observed (BenchmarkFingerprint).
type Shape uint64

// ShapeOf returns the shape of a request's fingerprint.
func ShapeOf(r Request) Shape {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Method, r.Host, r.Target, r.Workspace} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	writeNormalized(&d, r.Body)
	return Shape(d.Sum64())
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r Request) Fingerprint {
	h := sha256.New()
	field := func(b []byte) {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	for _, s := range []string{r.Method, r.Host, r.Target, r.Workspace} {
		field([]byte(s))
	}
	field(r.Body)
	var p Fingerprint
	binary.LittleEndian.PutUint64(p[:shapeSize], uint64(ShapeOf(r)))
	copy(p[shapeSize:], h.Sum(nil))
	return p
}

// Shape returns the fingerprint's shape.
func (p Fingerprint) Shape() Shape { return Shape(binary.LittleEndian.Uint64(p[:shapeSize])) }

// String returns the fingerprint as it is shown in logs and to operators.
func (p Fingerprint) String() string { return hex.EncodeToString(p[shapeSize:]) }
