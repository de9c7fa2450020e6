package sidecar

import (
	"github.com/citronvane/citronvane/internal/dispatch"
	"github.com/citronvane/citronvane/internal/relay"
)

// responseHeadBytes is about what the head of an answer takes on the link beside its body, bytes.
const responseHeadBytes = 400

// scheduledWriter writes an answer in pieces that wait for the host's link if it is large.
type scheduledWriter struct {
	relay.ResponseWriter
	scheduler   *dispatch.Lane
	waitForLink func(bytes int) error
}

// Write implements io.Writer.
func (w *scheduledWriter) Write(data []byte) (written int, err error) {
	if len(data) < dispatch.LargeAnswer {
		w.scheduler.Sent(len(data) + responseHeadBytes)
		return w.ResponseWriter.Write(data)
	}
	for len(data) > 0 {
		chunk := data[:min(len(data), dispatch.PieceSize)]
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
