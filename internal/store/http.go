package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronvane/citronvane/internal/errs"
)

const (
	// MaxNameBytes bounds the kind and the name of an object.
	MaxNameBytes = 256
	// maxListBytes bounds the answers that hold many objects. All objects of the largest planned
	// fleet take a few MiB; the rest is room for the base64 form and growth.
	maxListBytes = 64 << 20
	// maxErrorBytes bounds the part of an error answer that is read.
	maxErrorBytes = 4 << 10
	// maxIdleConnections covers the pending watch and a few calls at the same time.
	maxIdleConnections = 8
)

// Defaults of HTTPOptions. The burst lets a coordinator write all 64 slice groups of the largest
// planned service at once.
const (
	DefaultReadsPerSecond  = 20
	DefaultWritesPerSecond = 20
	DefaultBurst           = 100
	DefaultCallTimeout     = 5 * time.Second
)

// HTTPOptions configures an HTTPStore. Zero fields take the defaults.
type HTTPOptions struct {
	// URL is the platform's base URL, such as http://127.0.0.1:7000.
	URL string
	// ReadsPerSecond is this client's share of the platform's read limit. A watch counts as one read.
	ReadsPerSecond float64
	// WritesPerSecond is this client's share of the platform's write limit.
	WritesPerSecond float64
	// Burst is how many reads, and how many writes, may be made at once.
	Burst int
	// CallTimeout bounds each call; a watch may take its wait on top.
	CallTimeout time.Duration
}

// HTTPStore is the Store behind the platform's HTTP API.
type HTTPStore struct {
	base    string
	client  *http.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	timeout time.Duration
	meters  meters
}

var _ Store = (*HTTPStore)(nil)

// ListAnswer is the body of the answer to GET /v1/objects.
type ListAnswer struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// WatchAnswer is the body of the answer to GET /v1/watch.
type WatchAnswer struct {
	Revision uint64   `json:"revision"`
	Changes  []Change `json:"changes"`
}

// ErrorAnswer is the body of an answer with an error status.
type ErrorAnswer struct {
	Kind   errs.Kind `json:"kind"`
	Detail string    `json:"detail"`
	Remedy string    `json:"remedy,omitempty"`
}

// NewHTTPStore returns a store for the platform at o.URL. It makes no call.
func NewHTTPStore(o HTTPOptions) (*HTTPStore, error) {
	base, err := url.Parse(o.URL)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, errs.New(errs.Invalid, "Set the platform's URL to http://host:port.", "platform URL %q is malformed", o.URL)
	}
	m, err := newMeters()
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "", "create platform metrics")
	}
	burst := orDefault(o.Burst, DefaultBurst)
	return &HTTPStore{
		base:    strings.TrimSuffix(o.URL, "/"),
		client:  newClient(),
		reads:   rate.NewLimiter(rate.Limit(orDefault(o.ReadsPerSecond, DefaultReadsPerSecond)), burst),
		writes:  rate.NewLimiter(rate.Limit(orDefault(o.WritesPerSecond, DefaultWritesPerSecond)), burst),
		timeout: orDefault(o.CallTimeout, DefaultCallTimeout),
		meters:  m,
	}, nil
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		// A redirected write could be applied twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// Close drops idle connections.
func (s *HTTPStore) Close() { s.client.CloseIdleConnections() }

// Get implements Store.
func (s *HTTPStore) Get(ctx context.Context, kind, name string) (Object, error) {
	if err := CheckName(kind, name); err != nil {
		return Object{}, err
	}
	r, err := s.do(ctx, call{op: opRead, method: http.MethodGet, path: objectPath(kind, name), bound: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	version, err := parseETag(r.header)
	if err != nil {
		return Object{}, errs.Wrap(err, errs.Unavailable, remedyAnswer, "get %s/%s", kind, name)
	}
	return Object{Kind: kind, Name: name, Version: version, Value: r.body}, nil
}

// List implements Store.
func (s *HTTPStore) List(ctx context.Context) ([]Object, uint64, error) {
	r, err := s.do(ctx, call{op: opRead, method: http.MethodGet, path: "/v1/objects", bound: maxListBytes})
	if err != nil {
		return nil, 0, err
	}
	var list ListAnswer
	if err := json.Unmarshal(r.body, &list); err != nil {
		return nil, 0, errs.Wrap(err, errs.Unavailable, remedyAnswer, "decode the list of objects")
	}
	return list.Objects, list.Revision, nil
}

// Put implements Store.
func (s *HTTPStore) Put(ctx context.Context, kind, name string, value []byte, expect uint64) (uint64, error) {
	if err := CheckName(kind, name); err != nil {
		return 0, err
	}
	if err := CheckValue(kind, name, value); err != nil {
		return 0, err
	}
	r, err := s.do(ctx, call{
		op: opWrite, method: http.MethodPut, path: objectPath(kind, name),
		body: value, header: condition(expect), bound: maxErrorBytes,
	})
	if err != nil {
		return 0, err
	}
	version, err := parseETag(r.header)
	if err != nil {
		return 0, errs.Wrap(err, errs.OutcomeUnknown, remedyReadBack, "put %s/%s", kind, name)
	}
	return version, nil
}

// Delete implements Store.
func (s *HTTPStore) Delete(ctx context.Context, kind, name string, expect uint64) error {
	if err := CheckDelete(kind, name, expect); err != nil {
		return err
	}
	_, err := s.do(ctx, call{
		op: opWrite, method: http.MethodDelete, path: objectPath(kind, name),
		header: condition(expect), bound: maxErrorBytes,
	})
	return err
}

// Watch implements Store.
func (s *HTTPStore) Watch(ctx context.Context, since uint64, wait time.Duration) ([]Change, uint64, error) {
	path := fmt.Sprintf("/v1/watch?since=%d&wait_ms=%d", since, wait.Milliseconds())
	r, err := s.do(ctx, call{op: opWatch, method: http.MethodGet, path: path, bound: maxListBytes, wait: wait})
	if err != nil {
		return nil, 0, err
	}
	var watched WatchAnswer
	if err := json.Unmarshal(r.body, &watched); err != nil {
		return nil, 0, errs.Wrap(err, errs.Unavailable, remedyAnswer, "decode the answer to a watch")
	}
	if watched.Revision < since {
		return nil, 0, errs.New(errs.Internal, remedyAnswer, "watch since revision %d was answered with revision %d", since, watched.Revision)
	}
	return watched.Changes, watched.Revision, nil
}

// CheckName refuses kinds and names that cannot be part of a URL path.
func CheckName(kind, name string) error {
	if kind == "" || strings.Contains(kind, "/") || len(kind)+len(name) > MaxNameBytes {
		return errs.New(errs.Invalid, "Use a kind without slashes.", "object %q/%q has a malformed kind or is too long", kind, name)
	}
	for segment := range strings.SplitSeq(kind+"/"+name, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return errs.New(errs.Invalid, "Use a name without empty or dot segments.", "object %q/%q has a malformed name", kind, name)
		}
	}
	return nil
}

// CheckValue refuses values that the platform cannot hold.
func CheckValue(kind, name string, value []byte) error {
	if len(value) > MaxValueBytes {
		return errs.New(errs.TooLarge, "Split the object.", "value of %s/%s has %d bytes, more than %d", kind, name, len(value), MaxValueBytes)
	}
	return nil
}

// CheckDelete refuses deletions that name no version.
func CheckDelete(kind, name string, expect uint64) error {
	if expect == 0 {
		return errs.New(errs.Invalid, "Read the object and delete the version that was read.", "deletion of %s/%s names no version", kind, name)
	}
	return CheckName(kind, name)
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func condition(expect uint64) http.Header {
	h := http.Header{}
	if expect == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", FormatETag(expect))
	}
	return h
}

// FormatETag returns the entity tag of a version.
func FormatETag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

// ParseETag is the inverse of FormatETag.
func ParseETag(tag string) (uint64, error) {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q is not quoted", tag)
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return 0, fmt.Errorf("entity tag %q is not a version", tag)
	}
	return version, nil
}

func parseETag(h http.Header) (uint64, error) { return ParseETag(h.Get("ETag")) }

func (s *HTTPStore) newRequest(ctx context.Context, c call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, s.base+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "", "build the request %s %s", c.method, c.path)
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	return req, nil
}
