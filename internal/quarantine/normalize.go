package quarantine

import "github.com/cespare/xxhash/v2"

// This file computes the normalized form of a body: what it has in common with bodies that differ from it
// by a counter, a time or an ID. Each number is replaced by a mark, and each longer word that contains a
// digit by another mark: IDs consist of letters and digits, and dates and times have their digits between
// dashes and colons.
//
// Alternatives considered: the length of the body (it changes when a counter gains a digit, and with IDs
// and dates of varying formats); a sketch of the body's parts (harmless requests share most of their
// parts with the deadly ones, and a response to one harmless request would clear all of them).

const (
	// minIDLength is the length from which a word with a digit counts as an ID. In shorter words, such as
	// "B2B", only the number is replaced.
	minIDLength = 8
)

// The marks are bytes that do not occur in text.
var numberMark, idMark = []byte{1}, []byte{2}

// writeNormalized writes the normalized form of a body to a hash.
func writeNormalized(d *xxhash.Digest, body []byte) {
	from := 0 // body[:from] is written
	for i := 0; i < len(body); {
		if byteClass[body[i]] == separator {
			i++
			continue
		}
		end, digits := wordAt(body, i)
		if digits {
			_, _ = d.Write(body[from:i]) // never fails
			writeMarkedWord(d, body[i:end])
			from = end
		}
		i = end
	}
	_, _ = d.Write(body[from:])
}

// wordAt returns the end of the word that starts at i, and whether the word contains a digit.
func wordAt(body []byte, i int) (end int, digits bool) {
	for ; i < len(body) && byteClass[body[i]] != separator; i++ {
		digits = digits || byteClass[body[i]] == digit
	}
	return i, digits
}

// writeMarkedWord writes what all words that differ from this one only by numbers have in common.
func writeMarkedWord(d *xxhash.Digest, word []byte) {
	if len(word) >= minIDLength {
		_, _ = d.Write(idMark)
		return
	}
	for i := range word {
		switch {
		case byteClass[word[i]] != digit:
			_, _ = d.Write(word[i : i+1])
		case i == 0 || byteClass[word[i-1]] != digit:
			_, _ = d.Write(numberMark)
		}
	}
}

// Byte classes.
const (
	separator = iota // not part of a word
	letter           // or a character that joins the parts of an ID or a time
	digit
)

// byteClass maps each byte to its class. Words consist of letters, digits and the characters that join
// the parts of IDs and times.
var byteClass = func() (k [256]byte) {
	for c := range k {
		switch {
		case c >= '0' && c <= '9':
			k[c] = digit
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= 0x80, c == '-', c == '_':
			k[c] = letter
		}
	}
	return k
}()
