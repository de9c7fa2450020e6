package sidecar

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform"
)

const (
	// controlQueue is the number of events that may wait for the control goroutine.
	controlQueue = 256
	// maxMessage bounds a message between nodes: a view of 600 hosts has about 200 KB.
	maxMessage = 4 << 20
)

// Methods of messages between nodes, beside requests.
const (
	methodPoll   = "POLL"
	methodReport = "REPORT"
)

// relaySecret proves that a peer is a node of citronvane and not another program on the port. The platform hands out no
// secret; its network between hosts is trusted.
var relaySecret = []byte("citronvane on the users' platform")

// node holds what the parts of the process share.
type node struct {
	settings *settings.Sidecar
	bounds   platform.Bounds
	clock    clock.Clock
	log      *log.Logger
	lines    *lines
	metrics  *metrics
	store    store.Objects
	state    *state
	upstream *upstream.Client
	relay    *relay.Client

	// process tells this process from earlier ones of the host.
	process uint64
	// applying orders changes of the configuration and of the evacuated zones.
	applying sync.Mutex

	ctx         context.Context
	control     chan func(now clock.Instant)
	gate        *gate
	entrance    *entrance
	member      *member
	coordinator *coordinator
}

// post runs an event on the control goroutine. It reports false if the node stops.
func (n *node) post(event func(now clock.Instant)) bool {
	select {
	case n.control <- event:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// background runs a call off the control goroutine and its result on it.
func (n *node) background(call func(ctx context.Context) func(now clock.Instant)) {
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, 2*time.Second)
		defer cancel()
		n.post(call(ctx))
	}()
}

// loop owns the control state.
func (n *node) loop(ctx context.Context) {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		select {
		case event := <-n.control:
			event(n.clock.Now())
		case <-ticker.C:
			now := n.clock.Now()
			n.member.tick(now)
			n.coordinator.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

// exchange sends a message to another node and returns the report that answers it.
func (n *node) exchange(ctx context.Context, address, method string, message []byte) (*fleet.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head := &wire.RequestHead{Method: method, TimeoutMs: pollTimeout.Milliseconds(), ContentLength: int64(len(message)), Entrance: n.settings.Node}
	response, err := n.relay.Do(ctx, address, &relay.Request{Head: head, Body: bytes.NewReader(message)})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMessage))
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "Check the network between the hosts.", "%s to %s", method, address)
	}
	return fleet.DecodeReport(data)
}

// message answers a message of another node.
func (n *node) message(ctx context.Context, head *wire.RequestHead, body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxMessage))
	if err != nil {
		return nil, err
	}
	reply := make(chan *fleet.Report, 1)
	switch head.Method {
	case methodPoll:
		p, err := fleet.DecodePoll(data)
		if err != nil {
			return nil, err
		}
		n.post(func(now clock.Instant) { reply <- n.coordinator.poll(now, p) })
	case methodReport:
		r, err := fleet.DecodeReport(data)
		if err != nil {
			return nil, err
		}
		n.post(func(now clock.Instant) {
			n.coordinator.reported(now, r, true)
			reply <- &fleet.Report{Host: n.settings.Host, CoordinatorEpoch: n.coordinator.leadRound()}
		})
	}
	select {
	case r := <-reply:
		return r.Encode(), nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// observeStore counts the outcome of a call to the store and logs when the store is lost or back.
func (n *node) observeStore(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(errs.KindOf(err))
	}
	n.metrics.storeCall(call, outcome)
	switch {
	case err == nil || errs.Is(err, errs.NotFound) || errs.Is(err, errs.Conflict) || errs.Is(err, errs.Compacted):
		n.state.storeHeard.Store(int64(n.clock.Now()))
		if n.metrics.storeUp.CompareAndSwap(false, true) {
			event.StoreBack.On(n.log).Str("call", call).Send()
		}
	case n.ctx.Err() == nil:
		n.metrics.storeUp.Store(false)
		n.lines.failure(func(l *log.Logger) { event.StoreCallFailed.On(l).Str("call", call).Err(err).Send() })
	}
}

func sleep(ctx context.Context, d time.Duration) bool { return clock.Sleep(ctx, d) }
