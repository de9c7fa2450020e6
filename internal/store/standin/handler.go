package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/store"
)

// maxAdminBytes bounds the bodies of admin requests.
const maxAdminBytes = 4 << 10

// Handler serves the object API and the admin endpoint of the platform. docs/standins.md describes both.
func Handler(p *Platform) http.Handler {
	h := &handler{platform: p}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name...}", h.get)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name...}", h.put)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name...}", h.remove)
	mux.HandleFunc("GET /v1/objects", h.list)
	mux.HandleFunc("GET /v1/watch", h.watch)
	mux.HandleFunc("GET /admin/faults", h.getFaults)
	mux.HandleFunc("POST /admin/faults", h.postFaults)
	mux.HandleFunc("GET /admin/stats", h.stats)
	return mux
}

type handler struct {
	platform *Platform
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	object, err := h.platform.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", store.FormatETag(object.Version))
	w.Header().Set("Content-Length", strconv.Itoa(len(object.Value)))
	_, _ = w.Write(object.Value) // A client that is gone needs no answer.
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	expect, err := expectation(r)
	if err != nil {
		writeError(w, err)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		writeError(w, bodyError(err))
		return
	}
	// A write goes on when its client gives up.
	ctx := context.WithoutCancel(r.Context())
	version, err := h.platform.Put(ctx, r.PathValue("kind"), r.PathValue("name"), value, expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", store.FormatETag(version))
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	expect, err := expectation(r)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx := context.WithoutCancel(r.Context())
	if err := h.platform.Delete(ctx, r.PathValue("kind"), r.PathValue("name"), expect); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := h.platform.ListKind(r.Context(), r.URL.Query().Get("kind"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, store.ListAnswer{Revision: revision, Objects: objects})
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		writeError(w, errs.Wrap(err, errs.Invalid, "Set since to a revision.", "parse since"))
		return
	}
	waitMS, err := strconv.ParseUint(r.URL.Query().Get("wait_ms"), 10, 31)
	if err != nil {
		writeError(w, errs.Wrap(err, errs.Invalid, "Set wait_ms to a number of milliseconds.", "parse wait_ms"))
		return
	}
	changes, revision, err := h.platform.Watch(r.Context(), since, time.Duration(waitMS)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, store.WatchAnswer{Revision: revision, Changes: changes})
}

// expectation reads the version that a conditional write expects.
func expectation(r *http.Request) (uint64, error) {
	match, noneMatch := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case match == "" && noneMatch == "*":
		return 0, nil
	case match != "" && noneMatch == "":
		version, err := store.ParseETag(match)
		return version, errs.Wrap(err, errs.Invalid, "Send the ETag that was read.", "parse If-Match")
	default:
		return 0, errs.New(errs.Invalid, `Send If-Match: "<version>" or If-None-Match: *.`, "the write is not conditional")
	}
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errs.Wrap(err, errs.TooLarge, "Split the object.", "read the value")
	}
	return errs.Wrap(err, errs.Invalid, "Send the whole value.", "read the value")
}

// writeError answers with the status of the error's kind. An answer that is lost ends the connection instead.
func writeError(w http.ResponseWriter, err error) {
	if errs.Is(err, errs.OutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	kind := errs.KindOf(err)
	writeJSON(w, store.StatusOf(kind), store.ErrorAnswer{Kind: kind, Detail: err.Error(), Remedy: errs.Remedy(err)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("standin: an answer can't be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // A client that is gone needs no answer.
}
