package dispatch

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// paceBelieved is how long a statement of the target's pace counts. Neighbours on its host come and go several times a second.
	paceBelieved = 150 * time.Millisecond
	// slowFrom is the pace, relative to the usual one, from which a target is slowed by its neighbours.
	slowFrom = 1.5
	// usualSpell is the length that is assumed of slow spells before the first one has ended.
	usualSpell = 300 * time.Millisecond
	// maxSpell is the length from which slowness is no spell any more, but how the target is.
	maxSpell = 900 * time.Millisecond
	// spellWeight is the weight of one spell in the mean length.
	spellWeight = 0.2
	// minRest is the least time that a spell is expected to go on for.
	minRest = 50 * time.Millisecond
)

// pace follows how long work takes at the target at this moment. Targets share their hosts with neighbours that nobody sees, and a
// request that starts while they are busy is slow to its end, so that it is often done sooner if it starts after the spell.
type pace struct {
	// usual is the pace without neighbours; it differs from target to target. 0 means that the target states none.
	usual  float64
	latest float64
	at     clock.Instant
	// slow says that a spell is on, since when says since.
	slow  bool
	since clock.Instant
	// length is the mean length of spells.
	length time.Duration
}

// state takes a pace that the target states.
func (p *pace) state(now clock.Instant, stated float64) {
	if stated <= 0 || now < p.at {
		return
	}
	if p.usual == 0 || stated < p.usual {
		p.usual = stated
	}
	if now.Sub(p.at) > maxSpell {
		p.slow = false // What was between is not known.
	}
	slow := stated >= slowFrom*p.usual
	switch {
	case slow && !p.slow:
		p.since = now
	case slow && now.Sub(p.since) > maxSpell:
		p.usual, slow = stated, false
	case !slow && p.slow:
		p.ended(now.Sub(p.since))
	}
	p.slow, p.latest, p.at = slow, stated, now
}

// ended counts the length of a spell.
func (p *pace) ended(length time.Duration) {
	if p.length == 0 {
		p.length = usualSpell
	}
	p.length += time.Duration(spellWeight * float64(length-p.length))
}

// ratio returns how many times longer than usual work takes now, 1 if that is not known.
func (p *pace) ratio(now clock.Instant) float64 {
	if p.usual == 0 || now.Sub(p.at) > paceBelieved {
		return 1
	}
	return p.latest / p.usual
}

// rest returns how long the slow spell is expected to go on, 0 if there is none.
func (p *pace) rest(now clock.Instant) time.Duration {
	if !p.slow || now.Sub(p.at) > paceBelieved {
		return 0
	}
	length := p.length
	if length == 0 {
		length = usualSpell
	}
	return max(minRest, length-now.Sub(p.since))
}
