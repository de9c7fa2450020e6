package target

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/cluster"
	"github.com/citronvane/citronvane/internal/routing"
)

type fakeWork struct{ inFlight int }

func (f *fakeWork) InFlight(cluster.SliceID) int { return f.inFlight }
func (f *fakeWork) Idle() bool                   { return f.inFlight == 0 }

type fakeListener struct{ log []string }

func (f *fakeListener) TargetAnnounced(info cluster.TargetInfo, leaving bool) {
	f.log = append(f.log, info.Incarnation+map[bool]string{true: " leaving"}[leaving])
}
func (f *fakeListener) TargetLost() { f.log = append(f.log, "lost") }

type announceRig struct {
	*Server
	clock    *clock.Manual
	work     *fakeWork
	listener *fakeListener
}

func newAnnounceRig() *announceRig {
	rig := &announceRig{clock: &clock.Manual{}, work: &fakeWork{}, listener: &fakeListener{}}
	rig.clock.Advance(time.Hour)
	lease := &routing.Lease{}
	lease.Set(rig.clock.Now().Add(400 * time.Millisecond))
	rig.Server = NewServer(ServerConfig{
		Table: routing.NewTable(), Lease: lease, Clock: rig.clock, Work: rig.work,
		Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Listeners: []Listener{rig.listener},
	})
	return rig
}

func (rig *announceRig) announce(t *testing.T, a Announcement) (*Grant, int) {
	body, err := json.Marshal(a)
	require.NoError(t, err)
	return rig.post(t, string(body))
}

func (rig *announceRig) post(t *testing.T, body string) (*Grant, int) {
	w, r := httptest.NewRecorder(), httptest.NewRequest("POST", AnnouncePath, strings.NewReader(body))
	r.RemoteAddr = "127.0.0.1:1"
	rig.ServeHTTP(w, r)
	g := &Grant{}
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), g))
	return g, w.Code
}

func announcement(incarnation string) Announcement {
	return Announcement{Service: "booking", Address: "127.0.0.1:9", Incarnation: incarnation, Slots: 20, Connections: 130}
}

// Guards against grants of slices that are not ready, that lose a moving slice while its requests run, that outlast
// the lease, or that change without a new sequence.
func TestGrantFollowsOwnership(t *testing.T) {
	rig := newAnnounceRig()
	id := func(i int) cluster.SliceID { return cluster.SliceID{Service: "booking", Index: i} }
	rig.cfg.Table.Publish(&routing.Snapshot{Owned: map[cluster.SliceID]routing.OwnedSlice{
		id(2): {Epoch: 7}, id(1): {Epoch: 5, Moving: true}, id(3): {Epoch: 1, ReadyAt: rig.clock.Now() + 1},
		{Service: "other", Index: 4}: {Epoch: 1},
	}})
	rig.work.inFlight = 1
	first, _ := rig.announce(t, announcement("a"))
	require.Equal(t, []GrantedSlice{{1, 5}, {2, 7}}, first.Slices)
	require.EqualValues(t, 400, first.TTLMS)

	rig.clock.Advance(300 * time.Millisecond)
	rig.work.inFlight = 0
	a := announcement("a")
	a.GrantSequence = first.Sequence
	second, _ := rig.announce(t, a)
	require.Equal(t, []GrantedSlice{{2, 7}, {3, 1}}, second.Slices)
	require.NotEqual(t, first.Sequence, second.Sequence)
	require.EqualValues(t, 100, second.TTLMS)

	a.GrantSequence = second.Sequence
	start := time.Now()
	third, _ := rig.announce(t, a)
	require.True(t, third.Unchanged)
	require.GreaterOrEqual(t, time.Since(start), holdBack, "an unchanged grant is held back")
	time.AfterFunc(20*time.Millisecond, func() { rig.cfg.Table.Publish(&routing.Snapshot{Draining: true}) })
	a.Leaving = true
	start = time.Now()
	fourth, _ := rig.announce(t, a)
	require.Less(t, time.Since(start), holdBack, "a changed grant is sent at once")
	require.True(t, fourth.Idle)
	require.Empty(t, fourth.Slices)
}

// Guards against a target that is lost unnoticed, reported twice, or reported lost because this process was paused,
// and against an earlier incarnation that takes the place of its successor.
func TestChangesAndLossAreReported(t *testing.T) {
	rig := newAnnounceRig()
	rig.checkLoss(rig.clock.Now(), false)
	rig.announce(t, announcement("a"))
	rig.announce(t, announcement("a"))
	rig.clock.Advance(lossAfter)
	rig.checkLoss(rig.clock.Now(), true)
	require.Equal(t, []string{"a"}, rig.listener.log)
	rig.clock.Advance(lossAfter)
	rig.checkLoss(rig.clock.Now(), false)
	rig.checkLoss(rig.clock.Now(), false)
	rig.announce(t, announcement("a"))
	leaving := announcement("b")
	leaving.Leaving = true
	rig.announce(t, leaving)
	_, status := rig.announce(t, announcement("a"))
	require.Equal(t, 503, status)
	require.Equal(t, []string{"a", "lost", "a", "b leaving"}, rig.listener.log)
}

// Guards against announcements that would send requests to another host or size pools without bound.
func TestStrictAnnouncements(t *testing.T) {
	rig := newAnnounceRig()
	valid := `"service":"b","address":"127.0.0.1:9","incarnation":"a","slots":1,"connections":1`
	_, status := rig.post(t, "{"+valid+"}")
	require.Equal(t, 200, status)
	wrong := []string{
		`{}`, `{` + valid + `,"leving":true}`, `{` + valid + `,"running":-1}`,
		strings.Replace("{"+valid+"}", `"slots":1`, `"slots":1000000`, 1),
		strings.Replace("{"+valid+"}", "127.0.0.1:9", "10.1.2.3:9", 1),
		strings.Replace("{"+valid+"}", "127.0.0.1:9", "localhost:9", 1),
		`{` + valid + `,"service":"` + strings.Repeat("x", maxAnnouncementBytes) + `"}`,
	}
	for _, body := range wrong {
		_, status := rig.post(t, body)
		require.GreaterOrEqual(t, status, 400, body)
	}
	require.Len(t, rig.listener.log, 1)
}
