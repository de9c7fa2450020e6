package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/citronvane/citronvane/internal/quarantine"
)

// QuarantineName is the name of the object that holds the quarantined requests.
const QuarantineName = "quarantine"

// SuspectRun is a run of a request during which the target of the reporting node ended.
type SuspectRun struct {
	Fingerprint uint64 `json:"fingerprint"`
	// CrashID identifies the end of the target.
	CrashID uint64 `json:"crash"`
	// Request identifies the request among those with the fingerprint.
	Request uint64 `json:"request"`
	// StartedMsAgo and EndedMsAgo are the times in milliseconds from the start of the run and from its end to the report.
	StartedMsAgo int64 `json:"started_ms_ago"`
	EndedMsAgo   int64 `json:"ended_ms_ago"`
}

// QuarantineList lists the requests that are or were quarantined because they crash targets.
type QuarantineList struct {
	// Version identifies the content, 0 if the list is empty.
	Version uint64             `json:"version"`
	Entries []quarantine.Entry `json:"entries,omitempty"`
}

// NewQuarantineList returns a list of the entries with its version.
func NewQuarantineList(entries []quarantine.Entry) QuarantineList {
	if len(entries) == 0 {
		return QuarantineList{}
	}
	return QuarantineList{Version: xxhash.Sum64(mustEncode(entries)), Entries: entries}
}

// Encode returns the JSON encoding of the list.
func (l QuarantineList) Encode() []byte { return mustEncode(l) }
