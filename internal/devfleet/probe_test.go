package devfleet_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/answer"
)

const (
	probeTimeout = 2 * time.Second
	probePause   = 10 * time.Millisecond
	// probeBound ends probes of keys that stay away; it exceeds each bound that a test checks.
	probeBound = 15 * time.Second
)

// tally counts the answers to requests by their kind; an answer of a target counts as "ok", and none
// at all as "none".
type tally struct {
	mu    sync.Mutex
	kinds map[string]int
}

func (c *tally) add(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kinds == nil {
		c.kinds = map[string]int{}
	}
	c.kinds[kind]++
}

// get makes one GET for the path and returns the kind of the answer.
func (r *rig) get(entrance, path string) string {
	response, err := r.client.Get("http://" + entrance + path)
	if err != nil {
		return "none"
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "none"
	}
	if kind := response.Header.Get(answer.KindHeader); kind != "" {
		return kind
	}
	return "ok"
}

// count sends a GET for each key every interval for the duration, and counts the answers.
func (r *rig) count(duration time.Duration, wanted, entrances []string) map[string]int {
	const interval = 50 * time.Millisecond
	var answers tally
	var group sync.WaitGroup
	for i, key := range wanted {
		group.Go(func() {
			for n := i; n < i+int(duration/interval); n++ {
				group.Go(func() { answers.add(r.get(entrances[n%len(entrances)], "/booking/"+key)) })
				time.Sleep(interval)
			}
		})
	}
	group.Wait()
	return answers.kinds
}

// serve makes one request for the key through the entrance.
func (r *rig) serve(method, entrance, key, identity string) (token string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entrance+"/booking/"+key, strings.NewReader(""))
	if err != nil {
		return "", false
	}
	if identity != "" {
		request.Header.Set("Idempotency-Key", identity)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.Header.Get("Citronvane-Token"), err == nil && response.StatusCode == http.StatusOK
}

// untilServed returns, for the slowest of the keys, the time from since until a GET and then a POST
// with a token are served.
func (r *rig) untilServed(since time.Time, owned, entrances []string) time.Duration {
	var group sync.WaitGroup
	var mu sync.Mutex
	var slowest time.Duration
	for i, key := range owned {
		group.Go(func() {
			for n := i; time.Since(since) < probeBound; n++ {
				entrance := entrances[n%len(entrances)]
				if token, ok := r.serve(http.MethodGet, entrance, key, ""); ok {
					if _, ok = r.serve(http.MethodPost, entrance, key, token); ok {
						break
					}
				}
				time.Sleep(probePause)
			}
			mu.Lock()
			defer mu.Unlock()
			slowest = max(slowest, time.Since(since))
		})
	}
	group.Wait()
	return slowest
}
