package poison

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Request is what a fingerprint is made of.
type Request struct {
	Service string
	Method  string
	// Path includes the query.
	Path string
	Key  string
	// Body is the whole body if it was buffered.
	Body []byte
	// Streamed says that the body passes through without being buffered. The fingerprint then covers the declared
	// length in place of the content, so bodies of equal length under the same path and key count as the same.
	Streamed bool
	// ContentLength is the declared length of a streamed body, -1 if it is unknown.
	ContentLength int64
}

// Fingerprint returns the xxhash64 of the request. Each part is preceded by its length, so that parts can't run into
// each other.
func (r *Request) Fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Service, r.Method, r.Path, r.Key, r.bodyPart()} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = d.Write(length[:]) // A digest never fails.
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

func (r *Request) bodyPart() string {
	if r.Streamed {
		return "length " + strconv.FormatInt(r.ContentLength, 10)
	}
	return strconv.FormatUint(xxhash.Sum64(r.Body), 16)
}
