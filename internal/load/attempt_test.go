package load

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/answer"
	"github.com/citronvane/citronvane/internal/target/standin"
)

// send makes one attempt against a handler.
func send(t *testing.T, handler http.HandlerFunc) result {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	a := attempt{method: http.MethodGet, url: server.URL + "/booking/k1", id: "run-1-1", group: "run-1-", size: 100}
	return a.send(t.Context(), newClient(1))
}

// write answers like a target, with a body that may differ from what the headers say.
func write(w http.ResponseWriter, id string, body, sent []byte) {
	w.Header().Set(standin.HeaderRequestID, id)
	w.Header().Set(standin.HeaderChecksum, standin.Checksum(body))
	_, _ = w.Write(sent)
}

// Guards against a truncated answer being counted as a success or as a whole refusal, whichever way
// the end of the body is marked.
func TestTruncatedAnswerIsNoSuccess(t *testing.T) {
	body := standin.Generate("run-1-1", 100)
	refusal := answer.Refuse(answer.NoOwner, "").Body()
	for name, handler := range map[string]http.HandlerFunc{
		"length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			write(w, "run-1-1", body, body[:99])
		},
		"chunks": func(w http.ResponseWriter, _ *http.Request) {
			write(w, "run-1-1", body, body[:99])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
		"all bytes but no final chunk": func(w http.ResponseWriter, _ *http.Request) {
			write(w, "run-1-1", body, body)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
		"end of connection": func(w http.ResponseWriter, _ *http.Request) {
			unframed(w, "200 OK", standin.HeaderRequestID+": run-1-1\r\n"+standin.HeaderChecksum+": "+standin.Checksum(body), body[:99])
		},
		"refusal": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(answer.KindHeader, string(answer.NoOwner))
			w.Header().Set("Content-Length", strconv.Itoa(len(refusal)))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write(refusal[:10])
		},
		"refusal until the end of connection": func(w http.ResponseWriter, _ *http.Request) {
			unframed(w, "503 Service Unavailable", answer.KindHeader+": no_owner", refusal[:10])
		},
	} {
		r := send(t, handler)
		require.Equal(t, Truncated, r.outcome, name)
		require.Equal(t, strings.HasPrefix(name, "refusal"), r.notRun, "the claim of a truncated refusal is checked all the same")
	}
}

// unframed writes an answer whose end is marked by the end of the connection.
func unframed(w http.ResponseWriter, status, headers string, body []byte) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nConnection: close\r\n%s\r\n\r\n%s", status, headers, body)
	_ = conn.Close()
}

// Guards against answers to other requests, changed bodies and contradictory refusals passing as answers.
func TestAnswerIsVerified(t *testing.T) {
	own, other := standin.Generate("run-1-1", 100), standin.Generate("run-2-1", 100)
	for outcome, handler := range map[Outcome]http.HandlerFunc{
		OK:        func(w http.ResponseWriter, _ *http.Request) { write(w, "run-1-1", own, own) },
		Corrupt:   func(w http.ResponseWriter, _ *http.Request) { write(w, "run-1-1", own, other) },
		Malformed: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(own) },
		"no_owner": func(w http.ResponseWriter, _ *http.Request) {
			answer.Refuse(answer.NoOwner, "").Write(w)
		},
		"target_404": http.NotFound,
	} {
		require.Equal(t, outcome, send(t, handler).outcome)
	}
	crossed := map[string][]byte{"run-2-1": other, "run-1-1": other, "run-1-0": own}
	for id, body := range crossed {
		r := send(t, func(w http.ResponseWriter, _ *http.Request) { write(w, id, body, body) })
		require.Equal(t, Foreign, r.outcome, id)
	}
	r := send(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(answer.KindHeader, string(answer.NoOwner))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(answer.Refuse(answer.OutcomeUnknown, "").Body())
	})
	require.Equal(t, Malformed, r.outcome)
	require.True(t, r.notRun)
}

// Guards against failures without an answer being mixed up: only NoConnection proves that nothing was sent.
func TestFailuresWithoutAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	a := attempt{method: http.MethodGet, url: "http://" + listener.Addr().String()}
	require.Equal(t, NoConnection, a.send(t.Context(), newClient(1)).outcome)
	lost := send(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	require.Equal(t, ConnectionLost, lost.outcome)
}
