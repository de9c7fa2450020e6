package sidecar

import (
	"bytes"
	"strconv"
	"strings"
	"sync/atomic"
)

// headFault is what is wrong with the framing of a request.
type headFault int32

const (
	// ambiguousFraming means that two readers of the request may disagree on where its body ends, so that the body may smuggle another request.
	ambiguousFraming headFault = iota + 1
	// headTooLarge means that the head exceeds the configured size.
	headTooLarge
)

// framingPhase is the part of a request that the next byte belongs to.
type framingPhase int

const (
	inHead framingPhase = iota
	inSizedBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	// unknownFraming follows a fault. The connection is closed after the answer.
	unknownFraming
)

const (
	// maxKeptLine is the part of a line that is kept. Names and values that matter are shorter.
	maxKeptLine = 256
	// maxChunkDigits is the number of hexadecimal digits of the largest chunk that net/http accepts.
	maxChunkDigits = 16
)

// requestFraming follows the framing of the requests on a connection, as net/http reads it, in order to look at each head alone: a body may have the
// text of any field. net/http accepts both lengths in a request and hides that.
type requestFraming struct {
	// maxHead returns the configured limit of a head in bytes, 0 for none; nil stands for none.
	maxHead func() int64
	phase   framingPhase
	// line holds what is kept of the current line, lineLength its length so far.
	line       []byte
	lineLength int64
	// headLength is the length of the current head so far, 0 before its first byte.
	headLength int64
	inFields   bool
	// http11 is set for a request of HTTP/1.1. net/http ignores the transfer encoding of earlier ones, other readers do not.
	http11 bool
	// length is the value of Content-Length, -1 if there is none; chunked is set if the body has chunks.
	length  int64
	chunked bool
	// lastFraming is set while the last field was one of the two, whose value must not go on in the next line.
	lastFraming bool
	// remaining is the rest of the body or of the chunk.
	remaining int64
	// fault is the headFault of a request, read by the goroutines of handlers. begun counts the requests of which a byte was read.
	fault atomic.Int32
	begun atomic.Int64
}

func (f *requestFraming) fail(fault headFault) {
	f.phase = unknownFraming
	f.fault.Store(int32(fault))
}

// scan follows bytes that were read from the connection.
func (f *requestFraming) scan(data []byte) {
	for len(data) > 0 && f.phase != unknownFraming {
		switch f.phase {
		case inSizedBody, inChunk:
			n := min(int64(len(data)), f.remaining)
			data = data[n:]
			if f.remaining -= n; f.remaining == 0 {
				f.endBody()
			}
		default:
			data = f.scanLine(data)
		}
	}
}

// endBody follows the last byte of a body with a length, or of a chunk.
func (f *requestFraming) endBody() {
	if f.phase == inChunk {
		f.phase = inChunkEnd
		return
	}
	f.phase = inHead
}

// scanLine takes the bytes up to the end of the line and returns the rest.
func (f *requestFraming) scanLine(data []byte) []byte {
	if f.phase == inHead && f.headLength == 0 {
		if data = bytes.TrimLeft(data, "\r\n"); len(data) == 0 { // net/http skips line ends between requests, or answers 400.
			return nil
		}
		f.inFields, f.length, f.chunked, f.http11, f.lastFraming = false, -1, false, false, false
		f.begun.Add(1)
	}
	end := bytes.IndexByte(data, '\n')
	part := data
	if end >= 0 {
		part = data[:end]
	}
	f.keep(part)
	f.lineLength += int64(len(part))
	if f.phase == inHead {
		f.headLength += int64(len(part)) + 1
		if limit := f.headLimit(); limit > 0 && f.headLength > limit {
			f.fail(headTooLarge)
			return nil
		}
	}
	if end < 0 {
		return nil
	}
	line, long := bytes.TrimSuffix(f.line, []byte{'\r'}), f.lineLength > maxKeptLine
	f.endLine(line, long)
	f.line, f.lineLength = f.line[:0], 0
	return data[end+1:]
}

// keep adds a part of a line to what is kept of it: the end of a request line, which has the version, and the beginning of others.
func (f *requestFraming) keep(part []byte) {
	if f.phase != inHead || f.inFields {
		f.line = append(f.line, part[:min(len(part), maxKeptLine-len(f.line))]...)
		return
	}
	f.line = append(f.line, part[max(0, len(part)-maxKeptLine):]...)
	f.line = f.line[max(0, len(f.line)-maxKeptLine):]
}

func (f *requestFraming) headLimit() int64 {
	if f.maxHead == nil {
		return 0
	}
	return f.maxHead()
}

// endLine follows the end of a line. long says that only its beginning is known.
func (f *requestFraming) endLine(line []byte, long bool) {
	switch f.phase {
	case inHead:
		f.endHeadLine(line, long)
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte{';'})
		digits := strings.Trim(string(size), " \t")
		n, err := strconv.ParseUint(digits, 16, 63)
		switch {
		case err != nil || len(digits) > maxChunkDigits:
			f.fail(ambiguousFraming)
		case n == 0:
			f.phase = inTrailer
		default:
			f.phase, f.remaining = inChunk, int64(n)
		}
	case inChunkEnd:
		if len(line) > 0 {
			f.fail(ambiguousFraming)
			return
		}
		f.phase = inChunkSize
	case inTrailer:
		if len(line) == 0 && !long {
			f.phase = inHead
		}
	}
}

// endHeadLine follows the end of a line of a head.
func (f *requestFraming) endHeadLine(line []byte, long bool) {
	switch {
	case !f.inFields:
		f.inFields, f.http11 = true, bytes.HasSuffix(line, []byte(" HTTP/1.1"))
	case len(line) == 0:
		f.headLength = 0
		f.endHead()
	case line[0] == ' ' || line[0] == '\t':
		if f.lastFraming {
			f.fail(ambiguousFraming)
		}
	default:
		f.readField(line, long)
	}
}

// readField takes the length of the body from a field.
func (f *requestFraming) readField(line []byte, long bool) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	text := strings.Trim(string(value), " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil || long || f.length >= 0 && f.length != int64(n) {
			f.fail(ambiguousFraming)
			return
		}
		f.length, f.lastFraming = int64(n), true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if long || f.chunked || !strings.EqualFold(text, "chunked") {
			f.fail(ambiguousFraming)
			return
		}
		f.chunked, f.lastFraming = true, true
	default:
		f.lastFraming = false
	}
}

// endHead follows the end of a head.
func (f *requestFraming) endHead() {
	switch {
	case f.chunked && (f.length >= 0 || !f.http11):
		f.fail(ambiguousFraming)
	case f.chunked:
		f.phase = inChunkSize
	case f.length > 0:
		f.phase, f.remaining = inSizedBody, f.length
	}
}
