package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a body that is read as a head, and against a head whose lengths are forgotten: requests in a random order and in random pieces.
func TestFramingFindsAmbiguousRequestsOnly(t *testing.T) {
	const text = "POST /x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
	proper := []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET / HTTP/1.1\nHost: x\n\n",
		"\r\nPOST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
		fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(text), text),
		fmt.Sprintf("POST / HTTP/1.1\r\nCONTENT-LENGTH:%d \r\nContent-Length: %[1]d\r\n\r\n%s", len(text), text),
		fmt.Sprintf("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n%x;a=b\r\n%s\r\n0\r\nContent-Length: 5\r\n\r\n", len(text), text),
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("n", 1000) + "\r\n Content-Length: 4\r\n\r\n",
		"POST /" + strings.Repeat("p", 3000) + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nX-Content-Length: 4\r\nX-Transfer-Encoding: chunked\r\n\r\n",
	}
	filler := strings.Repeat("X-Note: "+strings.Repeat("n", 900)+"\r\n", 80)
	ambiguous := []string{
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n" + filler + "Transfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\ntransfer-encoding: chunked\n" + filler + "content-length: 3\n\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n 4\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
	}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		f := &requestFraming{}
		feed := func(data string) {
			for data != "" {
				n := 1 + random.IntN(min(len(data), 1+random.IntN(2000)))
				f.scan([]byte(data[:n]))
				data = data[n:]
			}
		}
		var stream strings.Builder
		for range 1 + random.IntN(6) {
			stream.WriteString(proper[random.IntN(len(proper))])
		}
		feed(stream.String())
		require.Zero(t, f.fault.Load(), "seed %d: %q", seed, stream.String())
		require.True(t, f.phase == inHead && f.headLength == 0, "seed %d ends between requests", seed)
		bad := ambiguous[random.IntN(len(ambiguous))]
		feed(bad)
		require.EqualValues(t, ambiguousFraming, f.fault.Load(), "seed %d: %.200q", seed, bad)
	}
}

// Guards against a framing that differs from that of net/http, by which a request could be read as a body, or a body as a request.
func FuzzFramingAgreesWithNetHTTP(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nabGET / HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\na\r\n0\r\nA: b\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\nHost: x\nContent-Length: 1\n 2\n\nab")
	f.Fuzz(func(t *testing.T, stream string) {
		in := bufio.NewReader(strings.NewReader(stream))
		read := func() bool {
			r, err := http.ReadRequest(in)
			if err != nil {
				return false
			}
			_, err = io.Copy(io.Discard, r.Body)
			return err == nil
		}
		for {
			if !read() {
				return
			}
			framing := &requestFraming{}
			framing.scan([]byte(stream[:len(stream)-in.Buffered()]))
			if framing.fault.Load() == 0 {
				require.True(t, framing.phase == inHead && framing.headLength == 0, "a request ends here: %q", stream[:len(stream)-in.Buffered()])
			} else {
				return // The connection is closed.
			}
		}
	})
}

// send sends the text to the entrance in pieces and returns the statuses of the responses.
func sendRaw(t *testing.T, address, text string) (statuses []int) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	for text != "" {
		n := min(1000, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			break // The node has closed the connection.
		}
		text = text[n:]
		time.Sleep(time.Millisecond)
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	for in := bufio.NewReader(c); ; {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, response.Body) // The status is what counts.
		statuses = append(statuses, response.StatusCode)
	}
}

// Guards against a request that runs although it was smuggled in the body of another one, whose head is as large as net/http takes, and against
// refusing a proper request whose body has the text of two lengths.
func TestSmuggledRequestsDoNotRun(t *testing.T) {
	document := func(maxHead int) string {
		return fmt.Sprintf(`{"version":"r1","routes":{"a":{"host":"x","path_prefix":"/","kind":"safe","timeout_ms":1000,"target_latency_ms":500,"service":"s",
			"max_attempts":2}},"services":{"s":{}},"limits":{"max_body_bytes":10000,"max_header_bytes":%d}}`, maxHead)
	}
	request := func(id, fields, body string) string {
		return "POST /a/ HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 800\r\n" + fields + "\r\n" + body
	}
	inner := request("inner", "Content-Length: 0\r\n", "")
	body := "0\r\n\r\n" + inner
	for name, c := range map[string]struct {
		maxHead int
		fields  string
		filler  int
		status  int
	}{
		"two lengths":                              {0, "Content-Length: %d\r\n", 0, 400},
		"two lengths with 65 KB between them":      {0, "Content-Length: %d\r\n", 65_400, 400},
		"a head above the limit":                   {16384, "Content-Length: %d\r\n", 20_000, 431},
		"a head above the limit, with one length":  {16384, "", 20_000, 431},
		"a head above what net/http takes":         {0, "Content-Length: %d\r\n", 80_000, 431},
		"a head above what net/http takes, unread": {16384, "Content-Length: %d\r\n", 80_000, 431},
	} {
		t.Run(name, func(t *testing.T) {
			ran := make(chan string, 10)
			_, address := serveEntrance(t, document(c.maxHead), func(r *http.Request) { ran <- r.Header.Get("Request-Id") })
			fields := c.fields
			if strings.Contains(fields, "%d") {
				fields = fmt.Sprintf(fields, len(body))
			}
			for i := 0; len(fields) < c.filler; i++ {
				fields += fmt.Sprintf("X-Note-%d: %s\r\n", i, strings.Repeat("n", min(900, c.filler-len(fields))))
			}
			statuses := sendRaw(t, address, request("outer", fields+"Transfer-Encoding: chunked\r\n", body))
			if len(statuses) > 0 { // A connection that is closed while the caller sends may be reset.
				require.Equal(t, []int{c.status}, statuses)
			}
			require.Empty(t, ran)
		})
	}
	t.Run("a proper request", func(t *testing.T) {
		ran := make(chan string, 10)
		_, address := serveEntrance(t, document(16384), func(r *http.Request) { ran <- r.Header.Get("Request-Id") })
		text := "a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
		proper := func(id string) string { return request(id, fmt.Sprintf("Content-Length: %d\r\n", len(text)), text) }
		sendRaw(t, address, proper("1")+proper("2"))
		require.Len(t, ran, 2)
	})
}
