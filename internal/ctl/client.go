// Package ctl is the operators' command line, citronctl: a client of the
// operators' API of any node.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/operator"
)

// maxAnswerBytes bounds an answer; the status of 600 nodes has about 200 KB.
const maxAnswerBytes = 16 << 20

// Client calls the operators' API of one node.
type Client struct {
	Address string
	Token   string
	HTTP    *http.Client
}

// FailureError is a failure that the API reported.
type FailureError struct {
	Status  int
	Failure operator.Failure
}

// Error returns the message and the remedy.
func (f *FailureError) Error() string {
	text := f.Failure.Message
	for _, s := range f.Failure.Shortages {
		text += fmt.Sprintf("\n  service %s needs %d slots and has %d in the other zones", s.Service, s.Needed, s.Remaining)
	}
	if f.Failure.Remedy != "" {
		text += "\n" + f.Failure.Remedy
	}
	return text
}

// get reads path and decodes the answer into result.
func (c *Client) get(ctx context.Context, path string, result any) error {
	return c.call(ctx, http.MethodGet, path, nil, result)
}

// post sends a command and decodes the answer into result.
func (c *Client) post(ctx context.Context, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "Report this fault.", "encode the command")
	}
	return c.call(ctx, http.MethodPost, path, encoded, result)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "Give the operators' address of a node as IP:PORT with --node.", "address %q", c.Address)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return c.transportError(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return c.transportError(method, err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeFailure(response.StatusCode, data)
	}
	return errs.Wrap(json.Unmarshal(data, result), errs.Internal, "Use a citronctl of the version of the node.", "decode the answer")
}

// transportError says whether a command may have taken effect although no answer came.
func (c *Client) transportError(method string, err error) error {
	if method == http.MethodGet {
		return errs.Wrap(err, errs.Unavailable, "Try another node with --node.", "node %s", c.Address)
	}
	return errs.Wrap(err, errs.OutcomeUnknown,
		"Repeat the command with the same --identity, on another node if need be.", "node %s", c.Address)
}

func decodeFailure(status int, data []byte) error {
	failure := &FailureError{Status: status}
	if err := json.Unmarshal(data, &failure.Failure); err != nil {
		failure.Failure.Message = fmt.Sprintf("status %d: %s", status, data)
	}
	return failure
}
