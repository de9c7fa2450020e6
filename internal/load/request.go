package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/clock"
)

// request is one request of a caller, which may take several attempts.
type request struct {
	class    Class
	number   int
	key      string
	identity string
	body     []byte
}

// maxTokenAge keeps tokens far below the default identity_retention of 15 min, after which a token is refused.
const maxTokenAge = 5 * time.Minute

// tokens holds an unused token for each key.
type tokens struct {
	mu    sync.Mutex
	byKey map[string]heldToken
}

type heldToken struct {
	token string
	at    time.Time
}

func (t *tokens) put(key, token string) {
	if key == "" || token == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byKey[key] = heldToken{token, time.Now()}
}

// take returns an identity for a request: a token that was not used before, or a new opaque key.
func (t *tokens) take(key string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, found := t.byKey[key]
	delete(t.byKey, key)
	if !found || time.Since(held.at) > maxTokenAge {
		return uuid.NewString()
	}
	return held.token
}

// chooser picks classes and keys. It is used by one goroutine.
type chooser struct {
	options *Options
	random  *rand.Rand
	zipf    *rand.Zipf
	weights int
}

func newChooser(o *Options) *chooser {
	c := &chooser{options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), weights: o.Mix.weights()}
	if o.Zipf > 1 {
		c.zipf = rand.NewZipf(c.random, o.Zipf, 1, uint64(o.Keys-1))
	}
	return c
}

// next returns the request with the given number, without an identity.
func (c *chooser) next(number int) request {
	r := request{class: c.options.Mix.pick(c.random.IntN(c.weights)), number: number}
	if r.class.Keyed {
		r.key = fmt.Sprintf("k%d", c.key())
	}
	if r.class.hasBody() {
		r.body = fmt.Appendf(make([]byte, 0, c.options.BodySize), "%d ", number)
		for len(r.body) < c.options.BodySize {
			r.body = append(r.body, byte('a'+c.random.IntN(26)))
		}
		r.body = r.body[:c.options.BodySize]
	}
	return r
}

func (c *chooser) key() uint64 {
	if c.zipf != nil {
		return c.zipf.Uint64()
	}
	return c.random.Uint64N(uint64(c.options.Keys))
}

// perform makes attempts until one succeeds, the answer forbids another or the retries are used up.
func (g *generator) perform(ctx context.Context, r request, scheduled time.Time) {
	if !r.class.idempotent() {
		r.identity = g.identity(r.key)
	}
	g.recorder.begin(r, scheduled)
	var last result
	for n := 0; ; n++ {
		a := g.attempt(r, n)
		last = g.send(ctx, a)
		g.recorder.attempt(r, a.id, last)
		g.tokens.put(r.key, last.token)
		if n == g.options.Retries || !mayRetry(r.class, last) || !clock.Sleep(ctx, g.options.RetryPause) {
			break
		}
	}
	g.recorder.end(r, last, scheduled)
}

func (g *generator) identity(key string) string {
	if !g.options.Tokens || key == "" {
		return uuid.NewString()
	}
	return g.tokens.take(key)
}

func (g *generator) send(ctx context.Context, a attempt) result {
	ctx, cancel := context.WithTimeout(ctx, g.options.Timeout)
	defer cancel()
	return a.send(ctx, g.client)
}

func (g *generator) attempt(r request, n int) attempt {
	node := g.options.Nodes[rand.IntN(len(g.options.Nodes))]
	path := g.options.PooledPath
	if r.class.Keyed {
		path = g.options.KeyedPath + "/" + r.key
	}
	group := fmt.Sprintf("%s-%d-", g.run, r.number)
	return attempt{
		method:   r.class.Method,
		url:      "http://" + node + path,
		id:       fmt.Sprintf("%s%d", group, n),
		group:    group,
		identity: r.identity,
		body:     r.body,
		size:     g.options.AnswerSize,
	}
}

// mayRetry reports whether the caller may send the request again: with the same identity, that is
// always safe for keyed services; otherwise the request must be idempotent or not have run.
func mayRetry(class Class, last result) bool {
	switch last.outcome {
	case OK, Outcome(answer.RepeatUnknown):
		return false
	case NoConnection:
		return true
	}
	properties, refused := answer.PropertiesOf(answer.Kind(last.outcome))
	if refused && properties.NotRun {
		return properties.Status == http.StatusServiceUnavailable || properties.Status == http.StatusGatewayTimeout
	}
	return last.notRun || class.idempotent() || class.Keyed
}
