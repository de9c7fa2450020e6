package relay

import (
	"encoding/binary"
	"net/http"

	"github.com/citronvane/citronvane/internal/wire"
)

// FromHTTP returns the headers as they are sent between nodes.
func FromHTTP(h http.Header) []*wire.Header {
	headers := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: wire.EncodeHeaderValue(value)})
		}
	}
	return headers
}

// ToHTTP adds headers that came from another node.
func ToHTTP(headers []*wire.Header, to http.Header) {
	for _, h := range headers {
		to.Add(h.GetName(), wire.DecodeHeaderValue(h.GetValue()))
	}
}

func creditOf(f frame) uint32 { return binary.BigEndian.Uint32(f.payload) }
