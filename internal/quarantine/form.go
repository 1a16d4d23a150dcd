package quarantine

import "github.com/cespare/xxhash/v2"

// This file is what a body has in common with those that differ from it by a counter, a time or an id. It is
// the body with each number replaced by a mark, and each word of some length that has a digit in it by
// another: ids are drawn from letters and digits, dates and times have their digits between dashes and colons.
//
// Weighed: the length of the body (a counter that gains a digit has another one, as have ids and dates of
// several forms); a sketch of the body's parts (harmless requests share
// most of their parts with the deadly ones, and an answer to one of these would speak for all).

const (
	// idLeast is the length from which a word with a digit in it is an id. Shorter ones are words like "B2B", of which the
	// number alone is passed over.
	idLeast = 8
)

// The marks are bytes that no text has.
var numberMark, idMark = []byte{1}, []byte{2}

// formOf writes a body's form into a hash.
func formOf(d *xxhash.Digest, body []byte) {
	from := 0 // what stands before it is written
	for i := 0; i < len(body); {
		if kinds[body[i]] == between {
			i++
			continue
		}
		end, digits := wordAt(body, i)
		if digits {
			_, _ = d.Write(body[from:i]) // never fails
			markWord(d, body[i:end])
			from = end
		}
		i = end
	}
	_, _ = d.Write(body[from:])
}

// wordAt returns the end of the word that begins at i, and whether it has a digit.
func wordAt(body []byte, i int) (end int, digits bool) {
	for ; i < len(body) && kinds[body[i]] != between; i++ {
		digits = digits || kinds[body[i]] == digit
	}
	return i, digits
}

// markWord writes what is the same in all words that differ from one by its numbers.
func markWord(d *xxhash.Digest, word []byte) {
	if len(word) >= idLeast {
		_, _ = d.Write(idMark)
		return
	}
	for i := range word {
		switch {
		case kinds[word[i]] != digit:
			_, _ = d.Write(word[i : i+1])
		case i == 0 || kinds[word[i-1]] != digit:
			_, _ = d.Write(numberMark)
		}
	}
}

// The kinds of bytes.
const (
	between = iota // words
	letter         // or a sign that ids and times have between theirs
	digit
)

// kinds tells what words are made of: letters, digits, and the signs that ids and times have between them.
var kinds = func() (k [256]byte) {
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
