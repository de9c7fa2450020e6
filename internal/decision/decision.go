// Package decision describes where a node would send a request, as the node explains it to citronctl.
package decision

import "github.com/citronvane/citronvane/internal/ingress"

// Path is where a node explains its decisions at its metrics address. The query has the parameters host, path, method, id
// and key of the request.
const Path = "/v1/decision"

// Decision is where a request would go now, and why.
type Decision struct {
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	// Key is the key of a keyed service.
	Key *int `json:"key,omitempty"`
	// Host is the host that would get the request: the owner of the key, or the most likely target of a pooled service.
	Host string `json:"host,omitempty"`
	// Reason says why, or why the request would be refused.
	Reason string `json:"reason"`
	// Refused says that the request would be refused by the node that was asked.
	Refused bool `json:"refused"`
	// Options are the targets of a pooled service, the most likely first.
	Options []ingress.ChoiceOption `json:"options,omitempty"`
}
