package entrance

import (
	"encoding/json"
	"net/http"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/config"
)

// maxTokenBody leaves room for the longest service name and key in any JSON encoding.
const maxTokenBody = 16 << 10

// TokenRequest is the body of POST /v1/tokens.
type TokenRequest struct {
	Service string `json:"service"`
	Key     string `json:"key"`
}

// readToken turns a request for a token into one that the gate of the owner answers.
func readToken(document *config.Document, w http.ResponseWriter, r *http.Request) (*request, *answer.Refusal) {
	var wanted TokenRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTokenBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		return nil, answer.Refuse(answer.BadRequest, "the body is not a token request: %v", err)
	}
	spec, known := document.Services[wanted.Service]
	if !known || spec.Kind != config.Keyed {
		return nil, answer.Refuse(answer.BadRequest, "there is no keyed service %q", wanted.Service)
	}
	if wanted.Key == "" || len(wanted.Key) > config.MaxKeyBytes {
		return nil, answer.Refuse(answer.BadRequest, "the key has %d bytes, not 1 to %d", len(wanted.Key), config.MaxKeyBytes)
	}
	q := &request{
		routed:     config.Routed{Service: wanted.Service, Spec: spec, Key: wanted.Key},
		method:     http.MethodPost,
		path:       tokenPath,
		idempotent: true,
		body:       &body{},
	}
	refusal := q.check(r)
	q.method = MethodToken
	return q, refusal
}
