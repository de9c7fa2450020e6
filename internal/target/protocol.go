// Package target is the node's side of the protocol with the target on its
// host: announcements and grants, and the requests themselves. It never decides
// who owns a key.
package target

// AnnouncePath is the path on the node to which a target posts its announcements.
const AnnouncePath = "/v1/target/announce"

// Announcement is what a target posts to its node, about every 100 ms.
type Announcement struct {
	Service string `json:"service"`
	// Address is the host:port at which the target takes requests.
	Address string `json:"address"`
	// Incarnation differs after each start of the target.
	Incarnation string `json:"incarnation"`
	// Fenced says that the target refuses requests outside its grant.
	Fenced      bool `json:"fenced"`
	Slots       int  `json:"slots"`
	Connections int  `json:"connections"`
	// Leaving asks the node to hand everything over because the target is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Running is the number of requests that the target says it runs. It may lag or mislead.
	Running int `json:"running"`
	// GrantSequence is the sequence of the last grant with slices that the target has, 0 for none.
	GrantSequence uint64 `json:"grant_sequence"`
}

// Grant is the node's answer to an announcement.
type Grant struct {
	// Sequence changes whenever the slices change. It is never 0.
	Sequence uint64 `json:"sequence"`
	// TTLMS is how long the grant holds, counted from when the target sent the announcement.
	TTLMS int64 `json:"ttl_ms"`
	// Slices is nil if the target has this sequence already.
	Slices []GrantedSlice `json:"slices,omitempty"`
	// Unchanged says that Slices was left out.
	Unchanged bool `json:"unchanged,omitempty"`
	// Idle says that a leaving target has no work left and may stop.
	Idle bool `json:"idle,omitempty"`
}

// GrantedSlice is a slice that the target may serve under an epoch.
type GrantedSlice struct {
	Index int    `json:"i"`
	Epoch uint64 `json:"e"`
}

// Headers of requests to targets.
const (
	HeaderService  = "Citronvane-Service"
	HeaderKey      = "Citronvane-Key"
	HeaderSlice    = "Citronvane-Slice"
	HeaderEpoch    = "Citronvane-Epoch"
	HeaderDeadline = "Citronvane-Deadline-Ms"
	HeaderIdentity = "Idempotency-Key"
)
