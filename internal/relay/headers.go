package relay

import (
	"encoding/binary"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/citronvane/citronvane/internal/wire"
)

// rawMark starts a value that is not valid UTF-8 and is sent with one rune for each byte. protobuf
// refuses such strings, and HTTP forbids the mark in values, so that it is never ambiguous.
const rawMark = "\x00"

// FromHTTP returns the headers as they are sent between nodes.
func FromHTTP(h http.Header) []*wire.Header {
	headers := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: encodeValue(value)})
		}
	}
	return headers
}

// ToHTTP adds headers that came from another node.
func ToHTTP(headers []*wire.Header, to http.Header) {
	for _, h := range headers {
		to.Add(h.GetName(), decodeValue(h.GetValue()))
	}
}

func encodeValue(value string) string {
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

func decodeValue(value string) string {
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

func creditOf(f frame) uint32 { return binary.BigEndian.Uint32(f.payload) }
