package relay

import (
	"bytes"
	"io"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/wire"
)

// Refusal returns the answer that carries a refusal.
func Refusal(r *answer.Refusal) *Response {
	head, body := refusal(r)
	return &Response{Head: head, Body: io.NopCloser(bytes.NewReader(body))}
}

func refusal(r *answer.Refusal) (*wire.ResponseHead, []byte) {
	body := r.Body()
	if len(body) > maxData {
		body = (&answer.Refusal{Kind: r.Kind, RetryAfter: r.RetryAfter}).Body()
	}
	properties, _ := answer.PropertiesOf(r.Kind)
	return &wire.ResponseHead{
		Status:        int32(properties.Status),
		Headers:       FromHTTP(r.Headers()),
		ContentLength: int64(len(body)),
	}, body
}
