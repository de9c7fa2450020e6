package poison

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Request holds the parts of a request that its fingerprint covers.
type Request struct {
	Service string
	Method  string
	// Path includes the query.
	Path string
	Key  string
	// Body is the complete body if it was buffered.
	Body []byte
	// Streamed is set if the body is forwarded without being buffered. The fingerprint then covers the declared
	// length instead of the content, so requests with the same path, key and body length have the same fingerprint.
	Streamed bool
	// ContentLength is the declared length of a streamed body, or -1 if it is unknown.
	ContentLength int64
}

// Fingerprint returns the xxHash64 of the request. Each part is prefixed with its length, so that different splits of
// the same text have different fingerprints.
func (r *Request) Fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Service, r.Method, r.Path, r.Key, r.bodyPart()} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = d.Write(length[:]) // Writes to a digest never fail.
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
