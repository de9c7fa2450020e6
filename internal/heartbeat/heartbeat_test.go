package heartbeat

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/wire"
)

var (
	secret = []byte("cluster secret")
	quiet  = &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: nopWriter{}}}
)

type nopWriter struct{}

func (nopWriter) Write(p []byte) (int, error) { return len(p), nil }

// echo grants every renewal and hands on the grants that it gets.
type echo struct{ grants chan *wire.Grant }

func (e echo) Renewal(r *wire.Renewal) *wire.Grant {
	return &wire.Grant{Holder: r.Holder, Grantor: r.Grantor, Sequence: r.Sequence, Revision: 1 << 20}
}

func (e echo) Grant(g *wire.Grant) { e.grants <- g }

func renewal(sequence uint64) *wire.Renewal {
	return &wire.Renewal{
		Holder:   &wire.NodeID{Name: "booking-kariakoo-07", Incarnation: 1 << 36},
		Grantor:  &wire.NodeID{Name: "booking-msasani-03", Incarnation: 1 << 36},
		Sequence: sequence, Revision: 1 << 20, RetryPermille: 12,
	}
}

func pair(t testing.TB) (from, to *Transport, grants chan *wire.Grant) {
	h := echo{grants: make(chan *wire.Grant, 1)}
	from, err := Start("127.0.0.1:0", secret, h, quiet)
	require.NoError(t, err)
	to, err = Start("127.0.0.1:0", secret, h, quiet)
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, from.Stop(context.Background()))
		require.NoError(t, to.Stop(context.Background()))
	})
	return from, to, h.grants
}

// Guards against heartbeats that don't arrive, grants that answer another renewal, and bad datagrams
// that reach the handler or stop the transport.
func TestRenewalIsAnswered(t *testing.T) {
	from, to, grants := pair(t)
	intruder, err := net.Dial("udp", to.Address())
	require.NoError(t, err)
	defer intruder.Close()
	forged, err := NewCodec([]byte("another secret")).Seal(nil, &wire.Datagram{Body: &wire.Datagram_Renewal{Renewal: renewal(1)}})
	require.NoError(t, err)
	for _, bad := range [][]byte{forged, []byte("short"), make([]byte, 2*MaxDatagramBytes)} {
		_, err := intruder.Write(bad)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return to.Dropped() == 3 }, 5*time.Second, time.Millisecond)
	require.NoError(t, from.Send(to.Address(), renewal(7)))
	select {
	case g := <-grants:
		require.Equal(t, uint64(7), g.Sequence)
	case <-time.After(5 * time.Second):
		t.Fatal("no grant arrived")
	}
}

// Guards against messages beyond the bound, which other nodes would drop.
func TestLongNamesAreRefused(t *testing.T) {
	r := renewal(1)
	r.Holder.Name = strings.Repeat("x", MaxDatagramBytes)
	_, err := NewCodec(secret).Seal(nil, &wire.Datagram{Body: &wire.Datagram_Renewal{Renewal: r}})
	require.Error(t, err)
}

// Guards against input that makes the decoder panic or pass an incomplete message.
func FuzzOpen(f *testing.F) {
	c := NewCodec(secret)
	good, err := c.Seal(nil, &wire.Datagram{Body: &wire.Datagram_Renewal{Renewal: renewal(3)}})
	require.NoError(f, err)
	grant, err := c.Seal(nil, &wire.Datagram{Body: &wire.Datagram_Grant{Grant: echo{}.Renewal(renewal(4))}})
	require.NoError(f, err)
	empty, err := c.Seal(nil, &wire.Datagram{Body: &wire.Datagram_Grant{Grant: &wire.Grant{}}})
	require.NoError(f, err)
	for _, seed := range [][]byte{good, grant, empty, good[:tagBytes], good[:len(good)-1], nil} {
		f.Add(seed, false)
		f.Add(seed, true)
	}
	f.Fuzz(func(t *testing.T, datagram []byte, sealed bool) {
		if sealed && len(datagram) > tagBytes {
			// A correct tag lets the fuzzer reach the message behind it.
			datagram = append(c.tag(nil, datagram[tagBytes:]), datagram[tagBytes:]...)
		}
		d, err := c.Open(datagram)
		if err == nil {
			require.True(t, complete(d))
		}
	})
}

// BenchmarkPeerSecond measures what one second of heartbeats with one grantor costs both sides together.
func BenchmarkPeerSecond(b *testing.B) {
	const renewalsPerSecond = 8
	from, to, grants := pair(b)
	sealed, err := from.codec.Seal(nil, &wire.Datagram{Body: &wire.Datagram_Renewal{Renewal: renewal(1 << 20)}})
	require.NoError(b, err)
	answer, err := from.codec.Seal(nil, &wire.Datagram{Body: &wire.Datagram_Grant{Grant: echo{}.Renewal(renewal(1 << 20))}})
	require.NoError(b, err)
	before := cpuTime(b)
	for b.Loop() {
		for i := range renewalsPerSecond {
			require.NoError(b, from.Send(to.Address(), renewal(uint64(i+1))))
			<-grants
		}
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(time.Microsecond)/float64(b.N), "cpu-us/peer-s")
	const headers = 28 // IPv4 and UDP
	b.ReportMetric(float64(renewalsPerSecond*(len(sealed)+len(answer)+2*headers)), "bytes/peer-s")
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
