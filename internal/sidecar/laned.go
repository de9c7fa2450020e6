package sidecar

import (
	"github.com/citronvane/citronvane/internal/dispatch"
	"github.com/citronvane/citronvane/internal/relay"
)

// headOverhead is about what the head of an answer takes on the link beside its body, bytes.
const headOverhead = 400

// lanedWriter writes an answer in pieces that wait for the host's link if it is large.
type lanedWriter struct {
	relay.ResponseWriter
	lane *dispatch.ChunkScheduler
	wait func(bytes int) error
}

// Write implements io.Writer.
func (w *lanedWriter) Write(data []byte) (written int, err error) {
	if len(data) < dispatch.LargeResponseSize {
		w.lane.RecordSent(len(data) + headOverhead)
		return w.ResponseWriter.Write(data)
	}
	for len(data) > 0 {
		part := data[:min(len(data), dispatch.ChunkSize)]
		if err := w.wait(len(part)); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		data = data[len(part):]
	}
	return written, nil
}
