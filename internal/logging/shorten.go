package logging

import "strings"

// maxText bounds a text that others have written, in bytes: a line about it is read by people.
const maxText = 512

// Shorten returns a text as it is logged that may hold what others have written.
func Shorten(s string) string {
	if len(s) <= maxText {
		return s
	}
	return strings.ToValidUTF8(s[:maxText], "") + "..."
}
