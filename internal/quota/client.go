package quota

import (
	"math"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
)

const (
	// maxTokenLife is the longest time for which a token may be spent, counted from when the node asked for it.
	maxTokenLife = 400 * time.Millisecond
	// lifeShare is the share of the tolerated time that tokens may live; requests may wait for the rest.
	lifeShare = 0.6
	// maxAskTimeout is the longest time that a node waits for the answer of an allotter, many round trips between zones.
	maxAskTimeout = 150 * time.Millisecond
	// maxPatience is the longest time that a request waits for a token: three allotters that do not answer.
	maxPatience = 3 * maxAskTimeout
	// minTolerance keeps caps usable with bounds that tolerate nothing.
	minTolerance = 100 * time.Millisecond
	// demandHorizon is the time for which a node asks for tokens in advance. It is half of the life of a token, so that hardly any
	// expires unspent.
	demandHorizon = 200 * time.Millisecond
	// refillTime is how long an allotter counts as empty lately.
	refillTime = demandHorizon / 2
	// averagingTime is the time constant of the averages of arrivals and of granted tokens.
	averagingTime = time.Second
	// unreachablePause and movedPause are how long an allotter is not asked after it did not answer, or was not at the owner of its
	// key. A moving key gets its next owner within a heartbeat interval.
	unreachablePause = 300 * time.Millisecond
	movedPause       = 50 * time.Millisecond
	// unavailableRetryAfter is the Retry-After time while no allotter can be asked.
	unavailableRetryAfter = 300 * time.Millisecond
	// maxHintSpread bounds by how much a Retry-After time exceeds the time until the next token.
	maxHintSpread = time.Second
	// minRateShare is the share of the tenant's rate that a node expects to get at least.
	minRateShare = 1.0 / 16
)

// Tolerance says by how much the requests in a window may exceed what the cap allows in it.
type Tolerance struct {
	Window time.Duration
	// Overage is the part of what the cap allows in a window by which it may be exceeded, Slack a number of requests on top.
	Overage, Slack float64
}

// limits returns how long tokens may live and how long requests may wait for one. A window contains requests with tokens that were
// issued up to a token's life before it and up to the waiting time after it, so that both together are limited to the time in which a
// bucket fills by no more than the tolerance.
func (t Tolerance) limits(c Cap) (life, patience time.Duration) {
	excess := t.Overage*(c.Rate*t.Window.Seconds()+c.Burst) + t.Slack - AllottersPerTenant
	tolerated := max(minTolerance, seconds(min(excess/c.Rate, 10)))
	life = min(maxTokenLife, time.Duration(lifeShare*float64(tolerated)))
	return life, min(maxPatience, tolerated-life)
}

// Token permits one request.
type Token struct {
	Expires clock.Instant
}

// Refusal says why a request got no token.
type Refusal struct {
	// Unavailable means that no allotter could be asked; otherwise the cap is reached.
	Unavailable bool
	RetryAfter  time.Duration
}

// Waiter is a request that waits for a token.
type Waiter struct {
	// deadline is the last instant at which it may get a token.
	deadline clock.Instant
	// misses counts the calls during its wait that brought too few tokens for all waiting requests.
	misses  int
	decided chan struct{}
	token   Token
	refusal *Refusal
}

// Decided is closed when the request has a token or is refused.
func (w *Waiter) Decided() <-chan struct{} { return w.decided }

// Outcome returns the token, or the refusal, of a decided request.
func (w *Waiter) Outcome() (Token, *Refusal) { return w.token, w.refusal }

// Ask is a call to an allotter.
type Ask struct {
	Index            int
	Needed, Expected int
	Sent             clock.Instant
	Timeout          time.Duration
}

// allotter is what a client knows of an allotter.
type allotter struct {
	// emptyUntil is when it has its next token, pausedUntil when it may be asked again after a failed call.
	emptyUntil, pausedUntil clock.Instant
}

type grant struct {
	count   int
	expires clock.Instant
}

// Client holds the tokens of one tenant at one node. It asks one allotter at a time.
type Client struct {
	cap            Cap
	life, patience time.Duration
	grants         []grant // by expiry
	waiters        []*Waiter
	allotters      [AllottersPerTenant]allotter
	asking         bool
	arrivals       average
	granted        average
	// lastHint is the last instant at which a refused request was told to come back.
	lastHint clock.Instant
}

// NewClient returns a client without tokens.
func NewClient(c Cap, t Tolerance) *Client {
	client := &Client{}
	client.SetCap(c, t)
	return client
}

// SetCap changes the cap. Tokens that the node has stay valid until they expire.
func (c *Client) SetCap(limit Cap, t Tolerance) {
	c.cap = limit
	c.life, c.patience = t.limits(limit)
}

// Patience returns how long a request may wait for a token.
func (c *Client) Patience() time.Duration { return c.patience }

// Spend takes a token that the node has for a request that was received at the instant. A process that stood still for longer than a
// request may wait gets none for it.
func (c *Client) Spend(now, received clock.Instant) (Token, bool) {
	c.arrivals.add(now, 1)
	if now > received.Add(c.patience) {
		return Token{}, false
	}
	return c.take(now)
}

func (c *Client) take(now clock.Instant) (Token, bool) {
	expired := 0
	for expired < len(c.grants) && (c.grants[expired].count == 0 || now >= c.grants[expired].expires) {
		expired++
	}
	if expired > 0 {
		c.grants = c.grants[:copy(c.grants, c.grants[expired:])]
	}
	if len(c.grants) == 0 {
		return Token{}, false
	}
	c.grants[0].count--
	return Token{c.grants[0].expires}, true
}

// Return gives a token back whose request has not run.
func (c *Client) Return(now clock.Instant, t Token) {
	if now < t.Expires {
		c.addGrant(grant{1, t.Expires})
		c.serveWaiters(now)
	}
}

func (c *Client) addGrant(g grant) {
	i := len(c.grants)
	for i > 0 && c.grants[i-1].expires > g.expires {
		i--
	}
	if i > 0 && c.grants[i-1].expires == g.expires {
		c.grants[i-1].count += g.count
		return
	}
	c.grants = append(c.grants, grant{})
	copy(c.grants[i+1:], c.grants[i:])
	c.grants[i] = g
}

// Wait makes a request for which there is no token wait for one. The caller calls NextAsk, and Cancel when the patience is over.
func (c *Client) Wait(received clock.Instant) *Waiter {
	w := &Waiter{deadline: received.Add(c.patience), decided: make(chan struct{})}
	c.waiters = append(c.waiters, w)
	return w
}

// Cancel ends the wait of a request, which is refused unless it has been decided.
func (c *Client) Cancel(now clock.Instant, w *Waiter) {
	for i, other := range c.waiters {
		if other == w {
			c.waiters = append(c.waiters[:i:i], c.waiters[i+1:]...)
			w.refusal = c.refuse(now, w)
			close(w.decided)
			return
		}
	}
}

// NextAsk returns the next call to make, the allotters in the given order of preference. The caller reports its end through Answer or
// Fail. If no allotter can be asked, the waiting requests are refused.
func (c *Client) NextAsk(now clock.Instant, order [AllottersPerTenant]int) (Ask, bool) {
	if c.asking || len(c.waiters) == 0 {
		return Ask{}, false
	}
	if i := c.choose(now, order); i >= 0 {
		c.asking = true
		return Ask{
			Index: i, Needed: len(c.waiters), Expected: int(c.arrivals.perSecond(now) * demandHorizon.Seconds()),
			Sent: now, Timeout: min(maxAskTimeout, c.patience/2),
		}, true
	}
	for _, w := range c.waiters {
		w.refusal = c.refuse(now, w)
		close(w.decided)
	}
	c.waiters = nil
	return Ask{}, false
}

// choose returns the allotter to ask, -1 if there is none: the first one in the order that has not been empty lately, or else the one
// that was empty the longest time ago. Otherwise two preferred allotters with a token now and then would keep the others from being
// asked.
func (c *Client) choose(now clock.Instant, order [AllottersPerTenant]int) int {
	best := -1
	for _, i := range order {
		a := &c.allotters[i]
		if now < a.emptyUntil || now < a.pausedUntil {
			continue
		}
		if now.Sub(a.emptyUntil) >= refillTime {
			return i
		}
		if best < 0 || a.emptyUntil < c.allotters[best].emptyUntil {
			best = i
		}
	}
	return best
}

// Answer records what an allotter granted. next is the time until it has another token if it granted fewer than needed.
func (c *Client) Answer(now clock.Instant, a Ask, granted int, next time.Duration) {
	c.asking = false
	if granted < a.Needed {
		c.allotters[a.Index].emptyUntil = now.Add(max(next, minNext))
		for _, w := range c.waiters {
			w.misses++
		}
	}
	if expires := a.Sent.Add(c.life); granted > 0 && now < expires {
		c.granted.add(now, float64(granted))
		c.addGrant(grant{granted, expires})
	}
	c.serveWaiters(now)
}

func (c *Client) serveWaiters(now clock.Instant) {
	for len(c.waiters) > 0 {
		w := c.waiters[0]
		if now > w.deadline {
			w.refusal = c.refuse(now, w)
		} else if token, ok := c.take(now); ok {
			w.token = token
		} else if w.misses >= AllottersPerTenant {
			w.refusal = c.refuse(now, w)
		} else {
			return
		}
		c.waiters = c.waiters[1:]
		close(w.decided)
	}
}

// Fail records that an allotter gave no answer, or that it does not run where it was asked.
func (c *Client) Fail(now clock.Instant, a Ask, unreachable bool) {
	c.asking = false
	pause := movedPause
	if unreachable {
		pause = unreachablePause
	}
	c.allotters[a.Index].pausedUntil = now.Add(pause)
}

// refuse returns the refusal of a request that gets no token. The cap is the reason only if an allotter has said that it lacks tokens.
func (c *Client) refuse(now clock.Instant, w *Waiter) *Refusal {
	next := clock.Instant(math.MaxInt64)
	for _, a := range c.allotters {
		if a.emptyUntil > now {
			next = min(next, a.emptyUntil)
		}
	}
	if next == math.MaxInt64 {
		if w.misses == 0 {
			return &Refusal{Unavailable: true, RetryAfter: unavailableRetryAfter}
		}
		next = now
	}
	// Requests that were refused before come back for the next tokens. Each of the others is told to come after them.
	rate := max(c.granted.perSecond(now), minRateShare*c.cap.Rate)
	c.lastHint = min(max(next, c.lastHint.Add(seconds(1/rate))), next.Add(maxHintSpread))
	return &Refusal{RetryAfter: c.lastHint.Sub(now)}
}

// average is an exponentially weighted rate of events.
type average struct {
	weight  float64
	updated clock.Instant
}

func (a *average) add(now clock.Instant, n float64) {
	a.weight = a.decayed(now) + n
	a.updated = max(a.updated, now)
}

func (a *average) decayed(now clock.Instant) float64 {
	if a.weight == 0 {
		return 0
	}
	return a.weight * math.Exp(-max(0, now.Sub(a.updated)).Seconds()/averagingTime.Seconds())
}

func (a *average) perSecond(now clock.Instant) float64 {
	return a.decayed(now) / averagingTime.Seconds()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
