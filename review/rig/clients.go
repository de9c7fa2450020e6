package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is the HTTP host of all routes.
const Host = "kilima.example"

// Configuration is the operator's configuration: booking is divided by key, catalogue is not. Kinds, deadlines and objectives are those
// of the users' site kilima-mesh.
const Configuration = `{"version":"r1","routes":{
"availability-check":{"host":"kilima.example","path_prefix":"/availability/","kind":"safe","timeout_ms":2400,"target_latency_ms":500,"priority":2,"service":"booking","max_attempts":2},
"deposit-charge":{"host":"kilima.example","path_prefix":"/deposit/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":600,"priority":1,"service":"booking","max_attempts":2},
"price-list":{"host":"kilima.example","path_prefix":"/price/","kind":"safe","timeout_ms":1000,"target_latency_ms":200,"priority":1,"service":"catalogue","max_attempts":2}},
"services":{"booking":{"sharded":true,"max_connections":130,"cold_per_s":28,"cold_start_s":3,"health_path":"/health"},
"catalogue":{"max_connections":130,"cold_per_s":28,"cold_start_s":3,"health_path":"/health"}},
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":5000,"idle_timeout_ms":15000}}`

// Answer is what a client got for a request. Status is 0 if the connection ended without an answer.
type Answer struct {
	ID, Path string
	Key      int
	Node     *Node
	Sent     time.Time
	Took     time.Duration
	Status   int
	Signed   bool
}

// Clients sends requests at a steady rate.
type Clients struct {
	record *Record
	client *http.Client
	mu     sync.Mutex
	// Answers holds all answers, in the order in which they came.
	Answers []Answer
	count   int
	group   sync.WaitGroup
}

// NewClients returns clients that keep connections open.
func NewClients(r *Record) *Clients {
	return &Clients{record: r, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// Send sends one request and records its answer. Clients send a request once; the cases need no retries.
func (c *Clients) Send(n *Node, method, path string, key int, deadline time.Duration, body []byte) Answer {
	c.mu.Lock()
	c.count++
	id := fmt.Sprintf("%06d%010x", c.count, rand.Uint64()>>24)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a := Answer{ID: id, Path: path, Key: key, Node: n, Sent: time.Now()}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.Entrance+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = Host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key >= 0 {
		r.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	response, err := c.client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			a.Status, a.Signed = response.StatusCode, response.Header.Get("Server-Signature") != ""
		}
	}
	a.Took = time.Since(a.Sent)
	c.record.Printf("request %s %s %s key %d sent at %.3f to %s: status %d, signed %v, after %d ms", id, method, path, key, c.record.Since(a.Sent), n.Name, a.Status, a.Signed, a.Took.Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Answers = append(c.Answers, a)
	return a
}

// Run sends requests to the nodes in turn until the context ends. next returns what is sent.
func (c *Clients) Run(ctx context.Context, nodes []*Node, perSecond float64, next func(n *Node) (method, path string, key int, deadline time.Duration, body []byte)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		n := nodes[i%len(nodes)]
		c.group.Go(func() {
			method, path, key, deadline, body := next(n)
			c.Send(n, method, path, key, deadline, body)
		})
	}
}

// Wait waits for the requests that are under way.
func (c *Clients) Wait() { c.group.Wait() }

// Mixed returns a request of the mix of the booking service: two availability checks for each deposit.
func Mixed(*Node) (method, path string, key int, deadline time.Duration, body []byte) {
	key = rand.IntN(65536)
	if rand.IntN(3) == 0 {
		return http.MethodPost, "/deposit/" + strconv.Itoa(key), key, 1500 * time.Millisecond, bytes.Repeat([]byte("d"), 1200)
	}
	return http.MethodGet, "/availability/" + strconv.Itoa(key), key, 1200 * time.Millisecond, nil
}

// PriceList returns a request of the catalogue service.
func PriceList(*Node) (method, path string, key int, deadline time.Duration, body []byte) {
	return http.MethodGet, "/price/" + strconv.Itoa(rand.IntN(100000)), -1, 500 * time.Millisecond, nil
}

// Covers reports whether the upstreams together hold all keys.
func Covers(upstreams []*Upstream) bool {
	n := 0
	for _, u := range upstreams {
		for _, h := range u.Holds() {
			n += h.to - h.from + 1
		}
	}
	return n >= 65536
}
