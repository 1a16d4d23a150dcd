package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Request is what a request has in common with every repeat of it.
type Request struct {
	Method    string
	Host      string
	Target    string // path and query, as they were sent
	Workspace string // whose request it is; empty: of a public route
	Body      []byte
}

const (
	shapeSize  = 8
	digestSize = 16 // bytes of a SHA-256, so that nobody finds a body that passes for another's
)

// Print tells requests apart. Two requests that differ in a field of Request have different
// prints; repeats have the same one, whatever ids and deadlines they carry.
type Fingerprint [shapeSize + digestSize]byte

// Shape is the part of a print that all requests have in common which are alike: form.go says what of the body it
// takes. It is looked at only where ends were seen (BenchmarkPrint).
type Shape uint64

// ShapeOf returns the shape of a request's print.
func ShapeOf(r Request) Shape {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Method, r.Host, r.Target, r.Workspace} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	formOf(&d, r.Body)
	return Shape(d.Sum64())
}

// PrintOf returns the print of a request.
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

// Shape returns the print's shape.
func (p Fingerprint) Shape() Shape { return Shape(binary.LittleEndian.Uint64(p[:shapeSize])) }

// String is the print as logs and operators name it.
func (p Fingerprint) String() string { return hex.EncodeToString(p[shapeSize:]) }
