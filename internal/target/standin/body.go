package standin

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// answerOptions is what the query says about the answer.
type answerOptions struct {
	// size is the length of a generated body, negative for an echo of the request's body.
	size     int
	chunked  bool
	truncate bool
}

func readAnswerOptions(query url.Values) (answerOptions, error) {
	o := answerOptions{size: -1, chunked: query.Get("chunked") != "", truncate: query.Get("truncate") != ""}
	text := query.Get("size")
	if text == "" {
		return o, nil
	}
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > maxAnswerBytes {
		return o, fmt.Errorf("size is %q, not a number from 0 to %d", text, maxAnswerBytes)
	}
	o.size = size
	return o, nil
}

// Checksum returns the value of the header X-Checksum for a body.
func Checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// Generate returns size bytes that depend on the identity of the request.
func Generate(requestID string, size int) []byte {
	body := make([]byte, size)
	_, _ = rand.NewChaCha8(sha256.Sum256([]byte(requestID))).Read(body) // It never fails.
	return body
}

func writeAnswer(w http.ResponseWriter, r *http.Request, req *request) {
	body := req.body
	if req.answer.size >= 0 {
		body = Generate(req.entry.RequestID, req.answer.size)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(HeaderChecksum, Checksum(body))
	if !req.answer.chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(http.StatusOK)
	if r.Method == http.MethodHead {
		return
	}
	flusher := http.NewResponseController(w)
	if req.answer.chunked {
		_ = flusher.Flush() // Without a length, the server then sends chunks.
	}
	if req.answer.truncate {
		_, _ = w.Write(body[:len(body)/2]) // The connection ends in any case.
		_ = flusher.Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body) // A caller that is gone needs no answer.
}
