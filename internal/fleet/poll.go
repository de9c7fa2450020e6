package fleet

import (
	"encoding/json"
	"math"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/keyspace"
)

// Poll is what the coordinator sends to each node about once a second.
type Poll struct {
	Coordinator string `json:"coordinator"`
	// Relay is the coordinator's address for reports between polls.
	Relay string `json:"relay"`
	Epoch uint64 `json:"round"`
	// Term is the term of the node's target that the coordinator has not revoked; 0 if it says nothing about it. Process and
	// Reported are the Process and the Sent of the last report that it had received, and AuthorityMs is how long the coordinator is certain to
	// be the only one, in milliseconds.
	Term               uint64 `json:"term,omitempty"`
	ProcessID          uint64 `json:"process,omitempty"`
	LastReportSentAt   int64  `json:"reported,omitempty"`
	CoordinatorLeaseMs int64  `json:"authority_ms,omitempty"`
	// ConfigVersion is the store's version of the configuration that the coordinator read last.
	ConfigVersion uint64 `json:"config,omitempty"`
	// EvacuatedZones lists the zones that were out of service at EvacuatedAt, a revision of the store.
	EvacuatedZones    []string `json:"evacuated,omitempty"`
	EvacuatedRevision uint64   `json:"evacuated_at,omitempty"`
	// StoreSilentMs asks the node to try the store, which has not answered the coordinator for so long, in milliseconds.
	StoreSilentMs int64 `json:"store_silent_ms,omitempty"`
	// View is set if the node's own is older.
	View *View `json:"view,omitempty"`
	// Quarantine lists the fingerprints of requests that crash targets.
	Quarantine []uint64 `json:"quarantine,omitempty"`
}

// Report is the answer to a poll.
type Report struct {
	Host string `json:"host"`
	// ViewVersion is that of the node's view.
	ViewVersion uint64 `json:"stamp"`
	// ProcessID is a random number of the node's process, and Sent when it made the report, on its own clock.
	ProcessID uint64 `json:"process"`
	SentAt    int64  `json:"sent"`
	// Refused says that the node knows a later coordinator.
	Refused bool `json:"refused,omitempty"`
	// CoordinatorEpoch is the round of a coordinator that answers a report, 0 from another node.
	CoordinatorEpoch uint64 `json:"leads,omitempty"`
	// Record is the host's record as its node knows it.
	Record *Target `json:"record,omitempty"`
	// LeaseMs is how long the node may go on granting without another check, in milliseconds.
	LeaseMs int64 `json:"lease_ms"`
	// StoreAgeMs is how long ago the store last answered the node, in milliseconds, 0 if it never did.
	StoreAgeMs int64 `json:"store_age_ms,omitempty"`
	// NextHeartbeatMs is the time until the target's next heartbeat, in milliseconds; only a heartbeat can grant or release.
	NextHeartbeatMs int64 `json:"beat_ms"`
	// ColdRemainingMs is how long the target stays cold, in milliseconds.
	ColdRemainingMs int64 `json:"cold_ms"`
	// Demand is the work that arrived for the target lately, in slots kept busy.
	Demand float64 `json:"demand"`
	// ServiceTimes holds the mean service time by route, in seconds.
	ServiceTimes map[string]float64 `json:"times,omitempty"`
	RangeDemands []RangeDemand      `json:"segments,omitempty"`
	Released     []Release          `json:"released,omitempty"`
	// Crashes counts by fingerprint how often a request was running when the target ended.
	Crashes map[uint64]int `json:"crashes,omitempty"`
}

// RangeDemand is the demand for a range of keys, in slots of the reporting target kept busy.
type RangeDemand struct {
	keyspace.Range
	Demand float64 `json:"demand"`
}

// MarshalJSON writes a list, since reports have many segments.
func (s RangeDemand) MarshalJSON() ([]byte, error) {
	return json.Marshal([3]float64{float64(s.From), float64(s.To), math.Round(s.Demand*1e3) / 1e3})
}

// UnmarshalJSON reads what MarshalJSON writes.
func (s *RangeDemand) UnmarshalJSON(data []byte) error {
	var fields [3]float64
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	s.Range = keyspace.Range{From: int(fields[0]), To: int(fields[1])}
	s.Demand = fields[2]
	return nil
}

// Release says that the target holds nothing of the range any more.
type Release struct {
	keyspace.Range
	Fence    uint64 `json:"fence"`
	Handover string `json:"handover,omitempty"`
}

// Encode writes the message.
func (p *Poll) Encode() []byte { return mustEncode(p) }

// Encode writes the message.
func (r *Report) Encode() []byte { return mustEncode(r) }

// DecodePoll reads a poll.
func DecodePoll(data []byte) (*Poll, error) {
	p := &Poll{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Check that all nodes run compatible versions.", "fleet: poll")
	}
	if p.View != nil {
		for _, t := range p.View.Tables {
			if err := t.Validate(); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

// DecodeReport reads a report.
func DecodeReport(data []byte) (*Report, error) {
	r := &Report{}
	err := json.Unmarshal(data, r)
	return r, errs.Wrap(err, errs.Invalid, "Check that all nodes run compatible versions.", "fleet: report")
}
