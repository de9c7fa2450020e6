package gate

import (
	"bytes"
	"io"

	"github.com/citronvane/citronvane/internal/answer"
)

const (
	// maxBufferedBody is the largest body that is read before the request waits. Orders and deposits are far smaller.
	maxBufferedBody = 64 << 10
	// streamReserve is the memory of a streamed body that waits: the window of its relay stream.
	streamReserve = 256 << 10
)

// bufferBody reads a small body, so that the fingerprint covers it and the run doesn't depend on the caller. A large
// body is streamed. It returns the reserved memory, also with a refusal.
func (c *call) bufferBody() (reserved int64, refusal *answer.Refusal) {
	declared := c.head.GetContentLength()
	if c.body == nil || declared == 0 {
		c.body, c.buffered = nil, true
		return 0, nil
	}
	reserved = streamReserve
	if declared > 0 {
		reserved = min(declared, streamReserve)
	}
	if !c.gate.bodies.Reserve(reserved) {
		return 0, answer.Refuse(answer.Shed, "too many request bodies wait for the target").WithRetryAfter(refusalPause)
	}
	c.length = declared
	if declared > maxBufferedBody {
		return reserved, nil
	}
	return reserved, c.readBody(declared)
}

// readBody reads a body of at most maxBufferedBody bytes. A body of unknown length that is larger becomes streamed.
func (c *call) readBody(declared int64) *answer.Refusal {
	data, err := io.ReadAll(io.LimitReader(c.body, maxBufferedBody+1))
	if err != nil {
		return answer.Refuse(answer.BadRequest, "the body can't be read: %v", err)
	}
	if declared >= 0 && int64(len(data)) != declared {
		return answer.Refuse(answer.BadRequest, "the body has %d bytes, not %d as declared", len(data), declared)
	}
	if len(data) > maxBufferedBody {
		c.body = io.MultiReader(bytes.NewReader(data), c.body)
		return nil
	}
	c.buffered, c.data, c.length = true, data, int64(len(data))
	c.body = bytes.NewReader(data)
	return nil
}
