// Package operator serves the HTTP API for operators. Commands, which change
// stored state, are in commands.go; queries, which only read what the node
// knows, are in queries.go.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/routing"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/wire"
)

// maxBodyBytes bounds the bodies of commands; a patch is the largest.
const maxBodyBytes = config.MaxPatchBytes + 4096

// Replica takes the changes that a command has written, ahead of the watch.
type Replica interface {
	Feed(changes ...store.Change)
}

// Peers asks other nodes what they have in force.
type Peers interface {
	Status(ctx context.Context, controlAddress string) (*wire.StatusResponse, error)
}

// Capacity says for each service whether the other availability zones carry it without the named one.
type Capacity func(view *cluster.View, zone string) []Shortage

// Shortage is a service that lacks slots without an availability zone.
type Shortage struct {
	Service string `json:"service"`
	// Needed is the number of slots in use by the service's targets in all zones.
	Needed int `json:"needed"`
	// Remaining is the number of slots in the other zones.
	Remaining int `json:"remaining"`
}

// Options are the parts that the API works with.
type Options struct {
	Store    store.Store
	Replica  Replica
	Table    *routing.Table
	Lease    *routing.Lease
	Clock    clock.Clock
	Peers    Peers
	Capacity Capacity
	Token    string
	Logger   *log.Logger
	Metrics  http.Handler
}

// API is the operators' API of one node.
type API struct {
	Options
	mux *http.ServeMux
}

// New returns the API.
func New(o Options) *API {
	a := &API{Options: o, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /v1/configuration", query(a.getConfiguration))
	a.mux.HandleFunc("GET /v1/status", query(a.getStatus))
	a.mux.HandleFunc("GET /v1/explain", query(a.explain))
	a.mux.HandleFunc("POST /v1/configuration/patches", command(a, a.patchConfiguration))
	a.mux.HandleFunc("POST /v1/availability-zones/{zone}/state", command(a, a.setZoneState))
	a.mux.HandleFunc("POST /v1/nodes/{node}/revoke", command(a, a.revokeNode))
	a.mux.Handle("GET /debug/pprof/", a.guarded(http.HandlerFunc(pprof.Index)))
	a.mux.Handle("GET /debug/pprof/profile", a.guarded(http.HandlerFunc(pprof.Profile)))
	if o.Metrics != nil {
		a.mux.Handle("GET /metrics", o.Metrics)
	}
	return a
}

// ServeHTTP serves commands, queries and the metrics.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// Failure is the body of an answer that reports an error.
type Failure struct {
	Kind    errs.Kind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy,omitempty"`
	// Base and Current are set for stale patches.
	Base    *uint64 `json:"base,omitempty"`
	Current *uint64 `json:"current,omitempty"`
	// Shortages is set when an availability zone can't be spared.
	Shortages []Shortage `json:"shortages,omitempty"`
}

var statusOf = map[errs.Kind]int{
	errs.Invalid:        http.StatusUnprocessableEntity,
	errs.TooLarge:       http.StatusRequestEntityTooLarge,
	errs.NotFound:       http.StatusNotFound,
	errs.Conflict:       http.StatusConflict,
	errs.Denied:         http.StatusUnauthorized,
	errs.Unavailable:    http.StatusServiceUnavailable,
	errs.RateLimited:    http.StatusServiceUnavailable,
	errs.OutcomeUnknown: http.StatusGatewayTimeout,
}

// query adapts a function that only reads.
func query[R any](read func(r *http.Request) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		result, err := read(r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, result)
	}
}

// command adapts a function that changes state. It checks the operator's token and decodes the body strictly.
func command[C, R any](a *API, run func(r *http.Request, body C) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !a.authorized(r) {
			writeError(w, deniedError())
			return
		}
		var body C
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&body); err != nil {
			writeError(w, errs.Wrap(err, errs.Invalid, "Send the JSON body that docs/OPERATIONS.md describes.", "decode the command"))
			return
		}
		result, err := run(r, body)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, result)
	}
}

// guarded serves a handler to operators only. Profiles show what the process works on and cost time.
func (a *API) guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.authorized(r) {
			writeError(w, deniedError())
			return
		}
		next.ServeHTTP(w, r)
	})
}

func deniedError() error {
	return errs.New(errs.Denied, "Give the operator token of the cluster's settings.", "operator token is missing or wrong")
}

func (a *API) authorized(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return ok && subtle.ConstantTimeCompare([]byte(token), []byte(a.Token)) == 1
}

// failureError carries the details of a Failure beyond kind, message and remedy.
type failureError struct {
	error
	failure Failure
}

// Unwrap returns the error with its kind and remedy.
func (f *failureError) Unwrap() error { return f.error }

func writeError(w http.ResponseWriter, err error) {
	kind := errs.KindOf(err)
	status, known := statusOf[kind]
	if !known {
		status = http.StatusInternalServerError
	}
	failure := detailsOf(err)
	failure.Kind = kind
	failure.Message = err.Error()
	failure.Remedy = errs.Remedy(err)
	writeJSON(w, status, failure)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n')) // An operator that is gone needs no answer.
}
