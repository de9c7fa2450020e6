package sidecar

import (
	"github.com/citronvane/citronvane/internal/dispatch"
	"github.com/citronvane/citronvane/internal/relay"
)

// responseHeadBytes is the approximate size of a response head on the link.
const responseHeadBytes = 400

// scheduledWriter writes a response. A large one is split into chunks that the link scheduler releases one by one.
type scheduledWriter struct {
	relay.ResponseWriter
	scheduler   *dispatch.ChunkScheduler
	waitForLink func(bytes int) error
}

// Write implements io.Writer.
func (w *scheduledWriter) Write(data []byte) (written int, err error) {
	if len(data) < dispatch.LargeResponseSize {
		w.scheduler.RecordSent(len(data) + responseHeadBytes)
		return w.ResponseWriter.Write(data)
	}
	for len(data) > 0 {
		chunk := data[:min(len(data), dispatch.ChunkSize)]
		if err := w.waitForLink(len(chunk)); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
		data = data[len(chunk):]
	}
	return written, nil
}
