package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/errs"
)

// returnTime is how long before its deadline a request from another node has to be decided, so that the decision is back before the
// entrance gives up: a round trip between zones takes up to 2.8 ms.
const returnTime = 5 * time.Millisecond

// remoteRefusal returns the refusal that the headers of another node's response carry, or nil if they carry none. The gate sends
// headerRefusal; the relay server refuses requests of its own while it stops or has too many. The error is set if the node does not know
// whether the request has run.
func remoteRefusal(header http.Header) (*refusal, error) {
	if kind := header.Get(headerRefusal); kind != "" {
		ms, _ := strconv.Atoi(header.Get(headerAfter))
		return &refusal{answer.Kind(kind), time.Duration(ms) * time.Millisecond, header.Get(headerReason)}, nil
	}
	kind := answer.Kind(header.Get(answer.KindHeader))
	if kind == "" {
		return nil, nil
	}
	if properties, known := answer.PropertiesOf(kind); !known || !properties.NotRun {
		return nil, errs.New(errs.Unavailable, "", "the other node answered %q", kind)
	}
	seconds, _ := strconv.Atoi(header.Get("Retry-After"))
	return &refusal{kind, time.Duration(seconds) * time.Second, "relay"}, nil
}

// removeNodeHeaders removes the headers with which nodes answer each other from a target's response.
func removeNodeHeaders(header http.Header) http.Header {
	for _, name := range []string{headerRefusal, headerReason, headerAfter, headerLoad, headerStatedLength, answer.KindHeader} {
		header.Del(name)
	}
	return header
}
