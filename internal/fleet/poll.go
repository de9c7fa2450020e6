package fleet

import (
	"encoding/json"
	"math"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/keyspace"
)

// Poll is the message that the coordinator sends to each node about once a second.
type Poll struct {
	Coordinator string `json:"coordinator"`
	// Relay is the address of the coordinator for reports between polls.
	Relay string `json:"relay"`
	Epoch uint64 `json:"round"`
	// Term is the term of the target of the node, which the coordinator has not revoked; 0 if the poll confirms no
	// term. ProcessID and LastReportSentAt are the ProcessID and SentAt of the last report that the coordinator
	// received, 0 if there is none. CoordinatorLeaseMs is the time in milliseconds for which no other coordinator can act.
	Term               uint64 `json:"term,omitempty"`
	ProcessID          uint64 `json:"process,omitempty"`
	LastReportSentAt   int64  `json:"reported,omitempty"`
	CoordinatorLeaseMs int64  `json:"authority_ms,omitempty"`
	// StoreEra is the era of the store as the coordinator knows it.
	StoreEra uint64 `json:"store_era,omitempty"`
	// DeparturesKnown means that Departures has every departure of the node's target that may have been acknowledged.
	DeparturesKnown bool `json:"departures_known,omitempty"`
	// Held lists the versions in the view of the coordinator. It is set if the node has told that it has newer objects; the answer carries them.
	Held *HeldVersions `json:"held,omitempty"`
	// ConfigVersion is the operator's version of the configuration that the coordinator knows. The revisions of the store don't serve for
	// that: they go back when the store comes back from a copy.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// ConfigRevision is the store revision of the configuration. Nodes of earlier releases go by it, and their polls lack ConfigVersion.
	ConfigRevision uint64 `json:"config,omitempty"`
	// Config is the configuration of that version, if the node has an older one and it is small enough.
	Config json.RawMessage `json:"config_document,omitempty"`
	// EvacuatedZones lists the zones that were out of service at EvacuatedRevision, a revision of the store in EvacuatedEra. Earlier releases
	// name no era.
	EvacuatedZones    []string `json:"evacuated,omitempty"`
	EvacuatedRevision uint64   `json:"evacuated_at,omitempty"`
	EvacuatedEra      uint64   `json:"evacuated_era,omitempty"`
	// OperatorUnread means that the coordinator can't read the configuration and the evacuations, so that the node reads
	// them and reports what is newer.
	OperatorUnread bool `json:"operator_unread,omitempty"`
	// ConfigHeld is the version of the configuration that the coordinator itself has, set if OperatorUnread is set. ConfigVersion may be a
	// later one that another node has reported.
	ConfigHeld uint64 `json:"config_version_held,omitempty"`
	// StoreSilentMs is the time in milliseconds for which the store has not answered the coordinator. If it is set,
	// the node tries the store itself.
	StoreSilentMs int64 `json:"store_silent_ms,omitempty"`
	// View is set if the view of the node is older. It has only the newer objects.
	View *View `json:"view,omitempty"`
	// ViewSequence is the number of the coordinator's latest change of the view. A node that applies the poll has all changes
	// up to it.
	ViewSequence uint64 `json:"view_sequence,omitempty"`
	// EncodedView takes the place of View at the sender, so that nodes with the same view share one encoding.
	EncodedView json.RawMessage `json:"-"`
	// Quarantined lists the requests that crash targets, if the node has another version of the list.
	Quarantined *QuarantineList `json:"quarantined,omitempty"`
	// Departures lists the leaving targets whose records in the store don't say so yet.
	Departures []Departure `json:"departures,omitempty"`
}

// Report is the response of a node to a poll. Nodes also send it between polls.
type Report struct {
	Host string `json:"host"`
	// ViewVersion is the latest version in the view of the node, 0 if the view is incomplete.
	ViewVersion uint64 `json:"stamp"`
	// ViewSequence is that of the last poll that the node applied, which the coordinator of epoch ViewEpoch sent. 0 requests a
	// complete view.
	ViewSequence uint64 `json:"view_sequence,omitempty"`
	ViewEpoch    uint64 `json:"view_round,omitempty"`
	// Held lists the versions in the view of the node, if ViewSequence does not tell the receiver which objects the node lacks.
	Held *HeldVersions `json:"held,omitempty"`
	// View has the objects that are newer in the view of the node than those that the poll lists in Held.
	View *View `json:"view,omitempty"`
	// MemoryIncomplete means that departures may have been acknowledged before the start of the process that it does not know.
	MemoryIncomplete bool `json:"memory_incomplete,omitempty"`
	// PreviousEpoch is the epoch of the coordinator before the current one, as far as the node knows.
	PreviousEpoch uint64 `json:"previous_round,omitempty"`
	// ConfigVersion is the operator's version of the configuration of the node, 0 if it has none.
	ConfigVersion uint64 `json:"config_version,omitempty"`
	// Config is the configuration of that version, if the receiver can't read it. In an answer to a poll it is a small one.
	Config json.RawMessage `json:"config_document,omitempty"`
	// EvacuatedZones, EvacuatedRevision and EvacuatedEra are set if the node has read the evacuated zones later than the coordinator.
	EvacuatedZones    []string `json:"evacuated,omitempty"`
	EvacuatedRevision uint64   `json:"evacuated_at,omitempty"`
	EvacuatedEra      uint64   `json:"evacuated_era,omitempty"`
	// ProcessID is a random number that identifies the process of the node. SentAt is the time of the report on the
	// clock of the node.
	ProcessID uint64 `json:"process"`
	SentAt    int64  `json:"sent"`
	// Refused means that the node rejected the poll because it knows a later coordinator.
	Refused bool `json:"refused,omitempty"`
	// OperatorStateLimit is set in a query for the operator's objects. The answer has the document of a later configuration than
	// ConfigVersion if it has at most this many bytes, and otherwise its version.
	OperatorStateLimit int `json:"operator_state_limit,omitempty"`
	// CoordinatorEpoch is the epoch of the reporting node if it is the coordinator, otherwise 0.
	CoordinatorEpoch uint64 `json:"leads,omitempty"`
	// Record is the target record of the host as its node knows it.
	Record *Target `json:"record,omitempty"`
	// LeaseMs is the time in milliseconds for which the node may grant keys without renewing its lease.
	LeaseMs int64 `json:"lease_ms"`
	// StoreAgeMs is the time in milliseconds since the store last answered the node, 0 if it never did.
	StoreAgeMs int64 `json:"store_age_ms,omitempty"`
	// NextHeartbeatMs is the time in milliseconds until the next heartbeat of the target. Keys are granted and
	// released only with a heartbeat.
	NextHeartbeatMs int64 `json:"beat_ms"`
	// ColdRemainingMs is the remaining cold start time of the target in milliseconds.
	ColdRemainingMs int64 `json:"cold_ms"`
	// Demand is the work that arrived for the target lately, in slots kept busy.
	Demand float64 `json:"demand"`
	// ServiceTimes holds the mean service time by route in seconds.
	ServiceTimes map[string]float64 `json:"times,omitempty"`
	RangeDemands []RangeDemand      `json:"segments,omitempty"`
	Released     []Release          `json:"released,omitempty"`
	// SuspectRuns lists the runs during which the target ended lately, Cleared the suspected requests that have run to their
	// ends since. QuarantineVersion is the version of the list of quarantined requests that the node received last.
	SuspectRuns       []SuspectRun `json:"suspect_runs,omitempty"`
	Cleared           []uint64     `json:"cleared,omitempty"`
	QuarantineVersion uint64       `json:"quarantine_version,omitempty"`
	// Departures lists the leaving targets whose records in the store don't say so yet, as far as the node knows. In the
	// answer to a report it shows which departures the receiver remembers.
	Departures []Departure `json:"departures,omitempty"`
}

// RangeDemand is the demand for a range of keys in busy slots of the reporting target.
type RangeDemand struct {
	keyspace.Range
	Demand float64 `json:"demand"`
}

// MarshalJSON encodes an array instead of an object to keep reports small, since they have many entries.
func (d RangeDemand) MarshalJSON() ([]byte, error) {
	return json.Marshal([3]float64{float64(d.From), float64(d.To), math.Round(d.Demand*1e3) / 1e3})
}

// UnmarshalJSON decodes the array that MarshalJSON produces.
func (d *RangeDemand) UnmarshalJSON(data []byte) error {
	var fields [3]float64
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	d.Range = keyspace.Range{From: int(fields[0]), To: int(fields[1])}
	d.Demand = fields[2]
	return nil
}

// Release reports that the target no longer holds any keys of the range.
type Release struct {
	keyspace.Range
	Fence    uint64 `json:"fence"`
	Handover string `json:"handover,omitempty"`
}

// Encode returns the JSON encoding of the poll.
func (p *Poll) Encode() []byte {
	data := mustEncode(p)
	if p.EncodedView == nil {
		return data
	}
	data = append(data[:len(data)-1], `,"view":`...) // A poll has fields that are never omitted.
	data = append(data, p.EncodedView...)
	return append(data, '}')
}

// Encode returns the JSON encoding of the view.
func (v *View) Encode() []byte { return mustEncode(v) }

// Encode returns the JSON encoding of the report.
func (r *Report) Encode() []byte { return mustEncode(r) }

// DecodePoll decodes a poll and validates its tables.
func DecodePoll(data []byte) (*Poll, error) {
	p := &Poll{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Check that all nodes run compatible versions.", "fleet: the poll can't be decoded")
	}
	return p, p.View.validate()
}

// validate checks the tables of a received view, which may be nil.
func (v *View) validate() error {
	if v == nil {
		return nil
	}
	for _, t := range v.Tables {
		if err := t.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// DecodeReport decodes a report.
func DecodeReport(data []byte) (*Report, error) {
	r := &Report{}
	err := json.Unmarshal(data, r)
	if err == nil {
		err = r.View.validate()
	}
	return r, errs.Wrap(err, errs.Invalid, "Check that all nodes run compatible versions.", "fleet: the report can't be decoded")
}
