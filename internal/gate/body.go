package gate

import (
	"bytes"
	"io"

	"github.com/citronvane/citronvane/internal/answer"
)

const (
	// maxBufferedBodyBytes is the size of the largest body that is buffered before the request is queued. Orders and
	// deposits are far smaller.
	maxBufferedBodyBytes = 64 << 10
	// streamWindowBytes is the memory that the body of a queued request takes when it is streamed: the flow-control
	// window of its relay stream.
	streamWindowBytes = 256 << 10
)

// bufferBody buffers a small body, so that the fingerprint covers it and the execution doesn't depend on the caller's
// connection. A large body is streamed. It returns the bytes reserved from the body budget, also with a refusal.
func (c *call) bufferBody() (reserved int64, refusal *answer.Refusal) {
	declared := c.head.GetContentLength()
	if c.body == nil || declared == 0 {
		c.body, c.buffered = nil, true
		return 0, nil
	}
	reserved = streamWindowBytes
	if declared > 0 {
		reserved = min(declared, streamWindowBytes)
	}
	if !c.gate.bodyBudget.Reserve(reserved) {
		return 0, answer.Refuse(answer.Shed, "the memory for queued request bodies is used up").WithRetryAfter(busyRetryAfter)
	}
	c.length = declared
	if declared > maxBufferedBodyBytes {
		return reserved, nil
	}
	return reserved, c.readBody(declared)
}

// readBody buffers a body of at most maxBufferedBodyBytes. A body of unknown length that turns out to be larger is
// streamed.
func (c *call) readBody(declared int64) *answer.Refusal {
	data, err := io.ReadAll(io.LimitReader(c.body, maxBufferedBodyBytes+1))
	if err != nil {
		return answer.Refuse(answer.BadRequest, "reading the request body failed: %v", err)
	}
	if declared >= 0 && int64(len(data)) != declared {
		return answer.Refuse(answer.BadRequest, "the request body has %d bytes, but its declared length is %d", len(data), declared)
	}
	if len(data) > maxBufferedBodyBytes {
		c.body = io.MultiReader(bytes.NewReader(data), c.body)
		return nil
	}
	c.buffered, c.data, c.length = true, data, int64(len(data))
	c.body = bytes.NewReader(data)
	return nil
}
