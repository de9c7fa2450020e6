package standin

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

// warmth models the cold start. It gets warm by working, not by waiting. It is guarded by the lock of the target.
type warmth struct {
	worked time.Duration
	busy   int
	last   clock.Instant
	// peak is the highest load seen while cold, as a multiple of what the target bore at that moment.
	peak float64
}

// advance counts the time since the last call if requests were running.
func (w *warmth) advance(now clock.Instant) {
	if w.busy > 0 {
		w.worked += now.Sub(w.last)
	}
	w.last = now
}

// start and finish count the running requests.
func (w *warmth) start(now clock.Instant) {
	w.advance(now)
	w.busy++
}

func (w *warmth) finish(now clock.Instant) {
	w.advance(now)
	w.busy--
}

// chill makes the target cold.
func (w *warmth) chill(now clock.Instant) {
	w.advance(now)
	w.worked = 0
}

// bears returns how many requests the target bears at once, and whether it is cold.
func (w *warmth) bears(now clock.Instant, b Behaviour, slots int) (float64, bool) {
	w.advance(now)
	cold := float64(b.ColdConcurrency)
	if b.ColdConcurrency == 0 || b.ColdConcurrency >= slots || w.worked >= b.ColdTime.Std() {
		return float64(slots), false
	}
	progress := float64(w.worked) / float64(b.ColdTime.Std())
	return cold + (float64(slots)-cold)*progress, true
}
