package standin

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

// maxAdminBytes bounds the bodies of admin requests.
const maxAdminBytes = 4 << 10

// State is the answer to GET /admin/state.
type State struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Fenced      bool   `json:"fenced"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Connections int    `json:"connections"`
	Cold        bool   `json:"cold"`
	// Bears is how many requests the target bears at once.
	Bears float64 `json:"bears"`
	// ColdPeak is the highest load while cold, as a multiple of what the target bore at that moment.
	ColdPeak         float64 `json:"cold_peak"`
	Leaving          bool    `json:"leaving"`
	GrantSequence    uint64  `json:"grant_sequence"`
	GrantedSlices    int     `json:"granted_slices"`
	GrantRemainingMS int64   `json:"grant_remaining_ms"`
}

// AdminHandler serves the journal and the admin endpoint. docs/standins.md describes both.
func (t *Target) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", t.getJournal)
	mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.State()) })
	mux.HandleFunc("GET /admin/behaviour", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Behaviour()) })
	mux.HandleFunc("POST /admin/behaviour", t.postBehaviour)
	mux.HandleFunc("POST /admin/cold", t.action(func(url.Values) error { t.TurnCold(); return nil }))
	mux.HandleFunc("POST /admin/leave", t.action(func(url.Values) error { t.Leave(); return nil }))
	mux.HandleFunc("POST /admin/crash", t.action(func(url.Values) error { t.options.Exit(ExitCrashed); return nil }))
	mux.HandleFunc("POST /admin/straggle", t.action(t.straggle))
	mux.HandleFunc("POST /admin/freeze", t.action(t.freeze))
	return mux
}

// State returns a snapshot of the target.
func (t *Target) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	bears, cold := t.warmth.bears(now, t.behaviour, t.options.Slots)
	remaining, slices := t.grants.remaining(now)
	return State{
		Name:             t.options.Name,
		Service:          t.options.Service,
		Address:          t.options.Address,
		Incarnation:      t.options.Incarnation,
		Fenced:           t.options.Fenced,
		Running:          len(t.slots),
		Waiting:          int(t.waiting.Load()),
		Connections:      int(t.connections.Load()),
		Cold:             cold,
		Bears:            bears,
		ColdPeak:         t.warmth.peak,
		Leaving:          t.isLeaving(),
		GrantSequence:    t.grants.held(),
		GrantedSlices:    slices,
		GrantRemainingMS: remaining.Milliseconds(),
	}
}

func (t *Target) getJournal(w http.ResponseWriter, r *http.Request) {
	since := uint64(0)
	if text := r.URL.Query().Get("since"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeError(w, invalid("since is %q", text))
			return
		}
		since = parsed
	}
	page := t.journal.page(since)
	page.Target, page.Incarnation = t.options.Name, t.options.Incarnation
	writeJSON(w, page)
}

func (t *Target) postBehaviour(w http.ResponseWriter, r *http.Request) {
	// Fields that the body leaves out keep their values.
	b := t.Behaviour()
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		writeError(w, invalid("decode the behaviour: %v", err))
		return
	}
	if err := t.SetBehaviour(b); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, b)
}

// action answers with the state after f.
func (t *Target) action(f func(url.Values) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := f(r.URL.Query()); err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, t.State())
	}
}

func (t *Target) straggle(query url.Values) error {
	factor, err := strconv.ParseFloat(query.Get("factor"), 64)
	if err != nil || factor < 0 {
		return invalid("factor is %q", query.Get("factor"))
	}
	d, err := parseFor(query)
	if err != nil {
		return err
	}
	t.Straggle(factor, d)
	return nil
}

func (t *Target) freeze(query url.Values) error {
	d, err := parseFor(query)
	if err != nil {
		return err
	}
	t.Freeze(d)
	return nil
}

func parseFor(query url.Values) (time.Duration, error) {
	d, err := time.ParseDuration(query.Get("for"))
	if err != nil || d < 0 {
		return 0, invalid("for is %q, not a duration such as 1.5s", query.Get("for"))
	}
	return d, nil
}

func writeError(w http.ResponseWriter, err error) {
	http.Error(w, errs.Describe(err), http.StatusBadRequest)
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic("standin: an answer can't be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // A client that is gone needs no answer.
}
