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
	// shortestPrefix is the number of bytes of the shortest prefix that isn't empty; each further one is twice as long.
	shortestPrefix = 4
	// prefixCount is the number of prefixes, the empty one included; the longest has 32 KiB.
	prefixCount = 15
)

// ID distinguishes requests. Two requests that differ in a field of Request have different IDs; repeats have the same
// one, whatever ids and deadlines they carry.
type ID [shapeSize + digestSize]byte

// Fingerprint identifies a request, and tells which requests are similar to it.
type Fingerprint struct {
	id       ID
	prefixes [prefixCount]Shape // of the body, the empty one first; 0: the body is shorter, or nobody told
}

// Shape is what similar requests have in common: the normalized body (normalize.go) or a prefix of it, and all else of a
// request. Shapes are computed only once crashes have been observed (BenchmarkFingerprint).
type Shape uint64

// NewFingerprint returns the fingerprint that another process has told.
func NewFingerprint(id ID, prefixes []Shape) Fingerprint {
	p := Fingerprint{id: id}
	copy(p.prefixes[:], prefixes)
	return p
}

// ShapeOf returns the shape of a request's normalized body.
func ShapeOf(r Request) Shape {
	d := newDigest(r)
	writeNormalized(&d, r.Body)
	return Shape(d.Sum64())
}

// ShapesOf returns all shapes of a request, its route among them.
func ShapesOf(r Request) []Shape {
	return Fingerprint{prefixes: prefixesOf(r)}.appendPrefixes([]Shape{ShapeOf(r)})
}

// newDigest returns a digest of all parts of a request but its body.
func newDigest(r Request) xxhash.Digest {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Method, r.Host, r.Target, r.Workspace} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d
}

// prefixesOf returns the shapes of the prefixes of a request's body.
func prefixesOf(r Request) (list [prefixCount]Shape) {
	d := newDigest(r)
	_, _ = d.Write([]byte{0}) // never fails; no request has this in place of its body
	list[0] = Shape(d.Sum64())
	from := 0
	for i := 1; i < prefixCount; i++ {
		to := shortestPrefix << (i - 1)
		if to > len(r.Body) {
			break
		}
		_, _ = d.Write(r.Body[from:to])
		list[i], from = Shape(d.Sum64()), to
	}
	return list
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
	p := Fingerprint{prefixes: prefixesOf(r)}
	binary.LittleEndian.PutUint64(p.id[:shapeSize], uint64(ShapeOf(r)))
	copy(p.id[shapeSize:], h.Sum(nil))
	return p
}

// ID returns what distinguishes the request from others.
func (p Fingerprint) ID() ID { return p.id }

// Shape returns the shape of the normalized body.
func (p Fingerprint) Shape() Shape { return Shape(binary.LittleEndian.Uint64(p.id[:shapeSize])) }

// Prefixes returns the shapes of the body's prefixes, the empty one first.
func (p Fingerprint) Prefixes() []Shape { return p.appendPrefixes(nil) }

// route returns the shape of the empty prefix, which all requests of a route and workspace have.
func (p Fingerprint) route() Shape { return p.prefixes[0] }

// shapes returns the shape of the normalized body, the empty prefix and the others.
func (p Fingerprint) shapes() []Shape { return p.appendPrefixes([]Shape{p.Shape()}) }

func (p Fingerprint) appendPrefixes(list []Shape) []Shape {
	for _, s := range p.prefixes {
		if s == 0 {
			break
		}
		list = append(list, s)
	}
	return list
}

// String returns the fingerprint as it is shown in logs and to operators.
func (p Fingerprint) String() string { return hex.EncodeToString(p.id[shapeSize:]) }
