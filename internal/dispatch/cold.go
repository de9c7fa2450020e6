package dispatch

import (
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// coldHeadroom is the factor by which the request rate exceeds the configured rate of a cold target. The platform
	// tolerates a factor of 1.5.
	coldHeadroom = 1.2
	// defaultColdRate is the rate in requests per second before the configuration is known; the platform's services
	// sustain 16 and more.
	defaultColdRate = 10
	// coldBurst is the number of requests that a cold target may get at once.
	coldBurst = 3
	// coldWindow is the time over which the rate of a cold target is measured.
	coldWindow = time.Second
	// coldProbeInterval is the minimum time between two probes of whether the target has become cold.
	coldProbeInterval = 100 * time.Millisecond
)

// coldPacer limits the rate of requests to a cold target. A target may become cold while it serves, and its next
// heartbeat may be late, so a target that gets more requests than it would bear cold is probed.
type coldPacer struct {
	// reportedUntil is the end of the cold period according to heartbeats, probedUntil that according to probes. A late
	// heartbeat does not end a period that a probe has found.
	reportedUntil, probedUntil clock.Instant
	// perSecond is the rate that the target sustains while it is cold.
	perSecond  float64
	tokens     float64
	refilledAt clock.Instant
	// starts holds the latest starts in a ring, from the oldest at nextStart on.
	starts    []clock.Instant
	nextStart int
	// warmAt is when the latest probe was sent that found the target warm, probedAt when the latest one was sent.
	warmAt, probedAt clock.Instant
}

func newColdPacer() coldPacer { return coldPacer{perSecond: defaultColdRate} }

// until returns the end of the cold period.
func (c *coldPacer) until() clock.Instant { return max(c.reportedUntil, c.probedUntil) }

func (c *coldPacer) isCold(now clock.Instant) bool { return now < c.until() && c.perSecond > 0 }

// refillRate returns the rate in requests per second at which a cold target may get requests.
func (c *coldPacer) refillRate() float64 { return c.perSecond * coldHeadroom }

// setRate sets the number of requests per second that a cold target sustains.
func (c *coldPacer) setRate(perSecond float64) {
	if c.perSecond != perSecond {
		c.perSecond, c.starts, c.nextStart = perSecond, nil, 0
	}
}

// report sets the end of the cold period according to a heartbeat.
func (c *coldPacer) report(now, until clock.Instant) {
	c.change(now, func() { c.reportedUntil = until })
}

// observeProbe records the answer to a probe: for how long the target stays cold.
func (c *coldPacer) observeProbe(now, sent clock.Instant, remaining time.Duration) {
	if remaining <= 0 {
		c.warmAt = max(c.warmAt, sent)
		return
	}
	c.change(now, func() { c.probedUntil = max(c.probedUntil, now.Add(remaining)) })
}

// change applies a change of the cold period. When it begins, the requests that the target may have got since it became
// cold count against its rate.
func (c *coldPacer) change(now clock.Instant, apply func()) {
	wasCold := c.isCold(now)
	apply()
	if !wasCold && c.isCold(now) {
		c.tokens, c.refilledAt = max(coldBurst-float64(c.startsSinceWarm(now)), coldBurst-c.refillRate()*coldWindow.Seconds()), now
	}
}

// reset forgets what is known of an earlier incarnation of the target.
func (c *coldPacer) reset() {
	c.reportedUntil, c.probedUntil, c.warmAt = 0, 0, 0
	c.starts, c.nextStart = nil, 0
}

// recordStart records that a request starts.
func (c *coldPacer) recordStart(now clock.Instant) {
	if c.isCold(now) {
		c.tokens--
	}
	if capacity := c.probeThreshold(); len(c.starts) < capacity {
		c.starts = append(c.starts, now)
	} else if capacity > 0 {
		c.starts[c.nextStart] = now
		c.nextStart = (c.nextStart + 1) % len(c.starts)
	}
}

// probeThreshold returns the number of requests within coldWindow from which a warm target is probed. It is also the
// number of starts that are remembered.
func (c *coldPacer) probeThreshold() int { return int(c.perSecond) }

// startsSinceWarm returns the number of requests that started within coldWindow and since the target was last known to
// be warm. It counts up to probeThreshold.
func (c *coldPacer) startsSinceWarm(now clock.Instant) int {
	since, n := max(now.Add(-coldWindow), c.warmAt), 0
	for _, start := range c.starts {
		if start > since {
			n++
		}
	}
	return n
}

// beginProbe reports whether the target should be probed now for having become cold. If so, the probe counts as sent.
func (c *coldPacer) beginProbe(now clock.Instant) bool {
	due := c.probeThreshold() > 0 && len(c.starts) >= c.probeThreshold() && now.Sub(c.probedAt) >= coldProbeInterval
	if !due || c.isCold(now) || c.startsSinceWarm(now) < c.probeThreshold() {
		return false
	}
	c.probedAt = now
	return true
}

func (c *coldPacer) refill(now clock.Instant) {
	c.tokens = min(coldBurst, c.tokens+c.refillRate()*now.Sub(c.refilledAt).Seconds())
	c.refilledAt = now
}

// allows reports whether a request may start as far as the cold period is concerned.
func (c *coldPacer) allows(now clock.Instant) bool {
	if !c.isCold(now) {
		return true
	}
	c.refill(now)
	return c.tokens >= 1
}

// wait returns the expected time in seconds until a request may start that has the given number of requests ahead.
func (c *coldPacer) wait(now clock.Instant, ahead int) float64 {
	if !c.isCold(now) {
		return 0
	}
	c.refill(now)
	return (float64(ahead) + 1 - c.tokens) / c.refillRate()
}

// nextToken returns the time until a request may start.
func (c *coldPacer) nextToken() time.Duration {
	return max(time.Millisecond, seconds((1-c.tokens)/c.refillRate()))
}
