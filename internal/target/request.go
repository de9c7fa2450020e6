package target

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/citronvane/citronvane/internal/wire"
)

const (
	headerTraceparent = "Traceparent"
	// ownPrefix marks headers that only citronvane sets, so that callers and targets can't forge them.
	ownPrefix = "Citronvane-"
)

// hopHeaders belong to one connection and are not passed on. Expect is answered by the entrance.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

func buildRequest(ctx context.Context, address string, req *Request) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.Path, nil)
	if err != nil {
		return nil, err
	}
	setCallerHeaders(out, req.Headers)
	setOwnHeaders(ctx, out.Header, req)
	setBody(out, req)
	return out, nil
}

// setBody gives every request a body that net/http can't rewind. A request without such a body would be replayed
// when its connection breaks: always for GET and HEAD, and for POST because of the Idempotency-Key header.
func setBody(out *http.Request, req *Request) {
	if req.Body == nil || req.ContentLength == 0 {
		out.Body = &onceBody{r: strings.NewReader("")}
		// Without this a POST with an empty body would be sent in chunks.
		out.TransferEncoding = []string{"identity"}
		return
	}
	out.Body = &onceBody{r: req.Body}
	out.ContentLength = req.ContentLength
}

// onceBody stops reading from the caller once the transport is done with the request.
type onceBody struct {
	r      io.Reader
	closed atomic.Bool
}

// Read reads from the caller.
func (b *onceBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.r.Read(p)
}

// Close ends the reading.
func (b *onceBody) Close() error {
	b.closed.Store(true)
	return nil
}

func setCallerHeaders(out *http.Request, headers []*wire.Header) {
	// An empty value keeps net/http from sending its own.
	out.Header["User-Agent"] = []string{""}
	dropped := connectionOptions(headers)
	for _, h := range headers {
		name := textproto.CanonicalMIMEHeaderKey(h.Name)
		switch {
		case name == "Host":
			out.Host = wire.DecodeHeaderValue(h.Value)
		case name == "User-Agent":
			out.Header.Set(name, wire.DecodeHeaderValue(h.Value))
		case !hopHeaders[name] && !dropped[name] && !strings.HasPrefix(name, ownPrefix):
			out.Header.Add(name, wire.DecodeHeaderValue(h.Value))
		}
	}
}

// connectionOptions returns the headers that a Connection header names as belonging to one connection.
func connectionOptions(headers []*wire.Header) map[string]bool {
	var options map[string]bool
	for _, h := range headers {
		if textproto.CanonicalMIMEHeaderKey(h.Name) != "Connection" {
			continue
		}
		for option := range strings.SplitSeq(h.Value, ",") {
			if options == nil {
				options = map[string]bool{}
			}
			options[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option))] = true
		}
	}
	return options
}

func setOwnHeaders(ctx context.Context, h http.Header, req *Request) {
	h.Set(HeaderService, req.Service)
	if req.Slice >= 0 {
		h.Set(HeaderKey, req.Key)
		h.Set(HeaderSlice, strconv.Itoa(int(req.Slice)))
		h.Set(HeaderEpoch, strconv.FormatUint(req.Epoch, 10))
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		h.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	if req.IdempotencyKey != "" {
		h.Set(HeaderIdentity, req.IdempotencyKey)
	}
	if req.Traceparent != "" {
		h.Set(headerTraceparent, req.Traceparent)
	}
}

func responseHead(resp *http.Response) *wire.ResponseHead {
	head := &wire.ResponseHead{Status: int32(resp.StatusCode), ContentLength: resp.ContentLength}
	dropped := connectionOptions(headerList(resp.Header, "Connection"))
	for name, values := range resp.Header {
		if hopHeaders[name] || dropped[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		for _, value := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: wire.EncodeHeaderValue(value)})
		}
	}
	return head
}

func headerList(h http.Header, name string) []*wire.Header {
	var list []*wire.Header
	for _, value := range h.Values(name) {
		list = append(list, &wire.Header{Name: name, Value: value})
	}
	return list
}
