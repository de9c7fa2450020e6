package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/citronvane/citronvane/internal/wire"
)

// Guards against frames that change when the network cuts them at other places.
func TestFramesSurviveAnyCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var data []byte
		var want []frame
		for range rapid.IntRange(0, 8).Draw(t, "frames") {
			f := frame{kindData, rapid.Uint32().Draw(t, "stream"), rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "payload")}
			want = append(want, f)
			data = f.append(data)
		}
		var got []frame
		d := decoder{}
		for len(data) > 0 {
			n := rapid.IntRange(1, len(data)).Draw(t, "cut")
			require.NoError(t, d.feed(data[:n], func(f frame) error {
				f.payload = bytes.Clone(f.payload)
				got = append(got, f)
				return nil
			}))
			data = data[n:]
		}
		require.Equal(t, want, got)
	})
}

// Guards against header values in Latin-1 that can't be sent and so lose the answer of a target.
func TestAnyHeaderValueIsKept(t *testing.T) {
	want := http.Header{"Plain": {"caf\u00e9", ""}, "Raw": {"caf\xe9; \xff"}}
	encoded, err := proto.Marshal(&wire.ResponseHead{Headers: FromHTTP(want)})
	require.NoError(t, err)
	head := &wire.ResponseHead{}
	require.NoError(t, proto.Unmarshal(encoded, head))
	got := http.Header{}
	ToHTTP(head.Headers, got)
	require.Equal(t, want, got)
}

// Guards against input that panics the decoder or makes it hold more than one frame.
func FuzzDecoder(f *testing.F) {
	f.Add(frame{kindData, 7, []byte("body")}.append(nil), 3)
	f.Add(frame{kindHello, 0, make([]byte, helloSize)}.append(nil), 9)
	f.Add([]byte{byte(kindData), 0, 0, 0, 1, 0xff, 0xff, 0xff}, 1)
	f.Add(creditFrame(1, window).append(nil), 8)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		d := decoder{}
		cut = min(max(cut, 0), len(data))
		for _, part := range [][]byte{data[:cut], data[cut:]} {
			err := d.feed(part, func(f frame) error {
				b := bounds[f.kind]
				require.True(t, len(f.payload) >= b.least && len(f.payload) <= b.most)
				return nil
			})
			require.LessOrEqual(t, cap(d.partial), 2*(headerSize+maxHead))
			if err != nil {
				return
			}
		}
	})
}

func BenchmarkHop(b *testing.B) {
	for name, size := range map[string]int{"small": 0, "64KiB": 64 << 10} {
		body := make([]byte, size)
		do := func(b *testing.B, doer Doer, address string) {
			b.ReportAllocs()
			b.SetBytes(int64(2 * size))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					req := &Request{Head: &wire.RequestHead{Key: "key", Path: "/path"}}
					if size > 0 {
						req.Body = bytes.NewReader(body)
					}
					res, err := doer.Do(context.Background(), address, req)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
			})
		}
		b.Run(name+"/relay", func(b *testing.B) {
			_, client, address := start(b, echo)
			do(b, client, address)
		})
		b.Run(name+"/direct", func(b *testing.B) { do(b, direct{}, "") })
	}
}

// direct calls the handler without a connection.
type direct struct{}

func (direct) Do(ctx context.Context, _ string, req *Request) (*Response, error) {
	w := &memoryWriter{}
	err := echo(ctx, req, w)
	return &Response{Head: w.head, Body: io.NopCloser(&w.body)}, err
}

type memoryWriter struct {
	head *wire.ResponseHead
	body bytes.Buffer
}

func (w *memoryWriter) WriteHead(head *wire.ResponseHead) error { w.head = head; return nil }
func (w *memoryWriter) Write(p []byte) (int, error)             { return w.body.Write(p) }
