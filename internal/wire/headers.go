package wire

import (
	"strings"
	"unicode/utf8"
)

// rawMark starts a value that is not valid UTF-8 and is sent with one rune for each byte. protobuf
// refuses such strings, and HTTP forbids the mark in values, so that it is never ambiguous.
const rawMark = "\x00"

// EncodeHeaderValue returns an HTTP header value as a string that protobuf accepts.
func EncodeHeaderValue(value string) string {
	if utf8.ValidString(value) {
		return value
	}
	var b strings.Builder
	b.WriteString(rawMark)
	for i := range len(value) {
		b.WriteRune(rune(value[i]))
	}
	return b.String()
}

// DecodeHeaderValue is the inverse of EncodeHeaderValue.
func DecodeHeaderValue(value string) string {
	encoded, raw := strings.CutPrefix(value, rawMark)
	if !raw {
		return value
	}
	decoded := make([]byte, 0, len(encoded))
	for _, r := range encoded {
		decoded = append(decoded, byte(r))
	}
	return string(decoded)
}
