package relay

import (
	"encoding/binary"
	"fmt"

	"github.com/citronvane/citronvane/internal/errs"
)

// kind is the type of a frame.
type kind uint8

const (
	kindInvalid kind = iota
	// kindChallenge is the first frame from the server: version and nonce.
	kindChallenge
	// kindHello is the first frame from the client: version, nonce and proof of the cluster secret.
	kindHello
	// kindWelcome is the server's proof of the cluster secret. Streams may start after it.
	kindWelcome
	// kindRequest starts a stream with a body.
	kindRequest
	// kindBodiless starts a stream without a body.
	kindBodiless
	// kindResponse is the head of the answer.
	kindResponse
	// kindData is a part of a body.
	kindData
	// kindEnd says that the body of the sender is whole.
	kindEnd
	// kindReset says that the body of the sender ended before it was whole.
	kindReset
	// kindCredit allows the receiver to send more bytes of its body.
	kindCredit
	// kindCancel says that the client wants no answer any more.
	kindCancel
	// kindPing asks for a kindPong, so that a peer that is frozen or cut off is noticed.
	kindPing
	kindPong
	// kindGoAway says that the server takes no new streams on this connection.
	kindGoAway
	kindCount
)

const (
	// headerSize is type (1 byte), stream identity (4 bytes) and length (3 bytes).
	headerSize = 8
	// maxHead bounds the encoded head of a request or an answer.
	maxHead = 64 << 10
	// maxData bounds the body bytes of one frame, so that streams share a connection fairly.
	maxData = 16 << 10
	// window is the number of body bytes that a sender may send ahead of the reader of a stream.
	window = 256 << 10
	// InitialCredit is the part of the window that a sender uses. It bounds what each node holds for a reader that has stopped. 64 KiB
	// a round trip is 187 Mbit/s at 2.8 ms, the longest between zones.
	InitialCredit = 64 << 10
	// creditStep is the number of consumed bytes that are worth a credit frame.
	creditStep = InitialCredit / 4
	creditSize = 4
)

// bounds holds the least and the greatest length of each kind of frame.
var bounds = [kindCount]struct{ least, most int }{
	kindChallenge: {challengeSize, challengeSize},
	kindHello:     {helloSize, helloSize},
	kindWelcome:   {proofSize, proofSize},
	kindRequest:   {0, maxHead},
	kindBodiless:  {0, maxHead},
	kindResponse:  {0, maxHead},
	kindData:      {1, maxData},
	kindCredit:    {creditSize, creditSize},
}

// frame is one frame. The payload of a received frame is valid until the next one is decoded.
type frame struct {
	kind    kind
	stream  uint32
	payload []byte
}

func (f frame) append(to []byte) []byte {
	to = append(to, byte(f.kind))
	to = binary.BigEndian.AppendUint32(to, f.stream)
	n := len(f.payload)
	to = append(to, byte(n>>16), byte(n>>8), byte(n))
	return append(to, f.payload...)
}

// decoder cuts a byte stream into frames. It holds at most one partial frame.
type decoder struct {
	partial []byte
}

// feed passes each whole frame to use and keeps the rest. It stops at the first error.
func (d *decoder) feed(data []byte, use func(frame) error) error {
	for len(data) > 0 {
		if len(d.partial) == 0 {
			f, size, err := parse(data)
			if err != nil {
				return err
			}
			if size <= len(data) {
				if err := use(f); err != nil {
					return err
				}
				data = data[size:]
				continue
			}
		}
		rest, err := d.complete(data, use)
		if err != nil {
			return err
		}
		data = rest
	}
	return nil
}

// complete adds data to the partial frame and returns the data behind the frame.
func (d *decoder) complete(data []byte, use func(frame) error) ([]byte, error) {
	if need := headerSize - len(d.partial); need > 0 {
		n := min(need, len(data))
		d.partial = append(d.partial, data[:n]...)
		data = data[n:]
	}
	_, size, err := parse(d.partial)
	if err != nil {
		return nil, err
	}
	n := min(size-len(d.partial), len(data))
	if n > 0 {
		d.partial = append(d.partial, data[:n]...)
		data = data[n:]
	}
	if len(d.partial) < size || size < headerSize {
		return data, nil
	}
	f, _, err := parse(d.partial)
	if err != nil {
		return nil, err
	}
	d.partial = d.partial[:0]
	return data, use(f)
}

// parse reads the frame at the start of data and returns its whole size. The payload is only set if
// all of it is there. The length is checked as soon as the header is there.
func parse(data []byte) (frame, int, error) {
	if len(data) < headerSize {
		return frame{}, headerSize, nil
	}
	f := frame{kind: kind(data[0]), stream: binary.BigEndian.Uint32(data[1:5])}
	length := int(data[5])<<16 | int(data[6])<<8 | int(data[7])
	if f.kind == kindInvalid || f.kind >= kindCount {
		return frame{}, 0, badFrame("a frame has the unknown type %d", f.kind)
	}
	if b := bounds[f.kind]; length < b.least || length > b.most {
		return frame{}, 0, badFrame("a frame of type %d has %d bytes, not %d to %d", f.kind, length, b.least, b.most)
	}
	size := headerSize + length
	if len(data) >= size {
		f.payload = data[headerSize:size]
	}
	return f, size, nil
}

func badFrame(format string, args ...any) error {
	return errs.New(errs.Invalid, "Check that all nodes run compatible versions.", "relay: %s", fmt.Sprintf(format, args...))
}

func creditFrame(stream uint32, n int) frame {
	return frame{kindCredit, stream, binary.BigEndian.AppendUint32(nil, uint32(n))}
}
