package standin

import (
	"encoding/json"
	"net/http"

	"github.com/citronvane/citronvane/internal/config"
	"github.com/citronvane/citronvane/internal/errs"
)

// FaultsBody is the JSON form of Faults. Fields that are absent from a request stay as they are.
type FaultsBody struct {
	Down            *bool            `json:"down,omitempty"`
	Slow            *config.Duration `json:"slow,omitempty"`
	LoseAnswers     *bool            `json:"lose_answers,omitempty"`
	LoseNext        *int             `json:"lose_next,omitempty"`
	ReadsPerSecond  *float64         `json:"reads_per_second,omitempty"`
	WritesPerSecond *float64         `json:"writes_per_second,omitempty"`
}

func bodyOf(f Faults) FaultsBody {
	slow := config.Duration(f.Slow)
	return FaultsBody{&f.Down, &slow, &f.LoseAnswers, &f.LoseNext, &f.ReadsPerSecond, &f.WritesPerSecond}
}

func (b FaultsBody) check() error {
	negative := b.Slow != nil && *b.Slow < 0 || b.LoseNext != nil && *b.LoseNext < 0 ||
		b.ReadsPerSecond != nil && *b.ReadsPerSecond < 0 || b.WritesPerSecond != nil && *b.WritesPerSecond < 0
	if negative {
		return errs.New(errs.Invalid, "Send numbers of at least 0.", "a fault has a negative number")
	}
	return nil
}

func (b FaultsBody) applyTo(f *Faults) {
	assign(&f.Down, b.Down)
	assign(&f.LoseAnswers, b.LoseAnswers)
	assign(&f.LoseNext, b.LoseNext)
	assign(&f.ReadsPerSecond, b.ReadsPerSecond)
	assign(&f.WritesPerSecond, b.WritesPerSecond)
	if b.Slow != nil {
		f.Slow = b.Slow.Std()
	}
}

func assign[T any](to *T, value *T) {
	if value != nil {
		*to = *value
	}
}

func (h *handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, bodyOf(h.platform.Faults()))
}

func (h *handler) postFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	var body FaultsBody
	if err := decoder.Decode(&body); err != nil {
		writeError(w, errs.Wrap(err, errs.Invalid, "Send a JSON object as docs/standins.md describes.", "decode the faults"))
		return
	}
	if err := body.check(); err != nil {
		writeError(w, err)
		return
	}
	h.platform.ChangeFaults(body.applyTo)
	h.getFaults(w, r)
}

func (h *handler) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.platform.Stats())
}
