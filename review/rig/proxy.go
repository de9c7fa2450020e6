package rig

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Proxy stands between an upstream and the control address of its node. It can hold reports up.
type Proxy struct {
	Address string
	node    *Node
	record  *Record
	server  *http.Server
	client  *http.Client
	mu      sync.Mutex
	// delay returns for how long a report is held up, 0 if it isn't. hold reports whether it is held up until Deliver.
	delay func(path string) time.Duration
	hold  func(path string, body []byte) bool
}

// NewProxy starts a proxy in front of the node's control address.
func NewProxy(n *Node, r *Record) (*Proxy, error) {
	l, err := net.Listen("tcp", n.IP+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), node: n, record: r, client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Close stops the proxy.
func (p *Proxy) Close() { _ = p.server.Close() }

// Delay sets what is held up. nil lets all reports through at once.
func (p *Proxy) Delay(f func(path string) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = f
}

// Hold sets which reports are held up until Deliver.
func (p *Proxy) Hold(f func(path string, body []byte) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = f
}

// ServeHTTP passes a report on, at once or late. A late one is passed on although its sender doesn't wait any more.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	f, hold := p.delay, p.hold
	p.mu.Unlock()
	if hold != nil && hold(r.URL.Path, body) {
		<-r.Context().Done() // The sender gives up after a second, or ends.
		return
	}
	if f != nil {
		if d := f(r.URL.Path); d > 0 {
			go func() {
				time.Sleep(d)
				p.Deliver(r.URL.Path, body)
			}()
			<-r.Context().Done() // The sender gives up after a second.
			return
		}
	}
	response, err := p.pass(r.URL.Path, body)
	if err != nil {
		panic(http.ErrAbortHandler) // As if the node had not answered.
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(data)
}

func (p *Proxy) pass(path string, body []byte) (*http.Response, error) {
	return p.client.Post("http://"+p.node.Control+path, "application/json", bytes.NewReader(body))
}

// Deliver hands a report that was held up to the node, and reports whether the node took it.
func (p *Proxy) Deliver(path string, body []byte) bool {
	response, err := p.pass(path, body)
	if err != nil {
		return false
	}
	data, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	p.record.Printf("a report that was held up reaches %s: %s %s -> %d %s", p.node.Name, path, short(body), response.StatusCode, strings.TrimSpace(short(data)))
	return true
}

func short(data []byte) string {
	if len(data) > 260 {
		return string(data[:260]) + "..."
	}
	return string(data)
}
