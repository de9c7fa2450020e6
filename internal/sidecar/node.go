package sidecar

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/errs"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
	"github.com/citronvane/citronvane/internal/memory"
	"github.com/citronvane/citronvane/internal/relay"
	"github.com/citronvane/citronvane/internal/settings"
	"github.com/citronvane/citronvane/internal/store"
	"github.com/citronvane/citronvane/internal/upstream"
	"github.com/citronvane/citronvane/internal/wire"
	"github.com/citronvane/citronvane/platform"
)

const (
	// controlQueueSize is the capacity of the queue of events for the control goroutine.
	controlQueueSize = 256
	// asyncTimeout bounds a call that the control goroutine makes, and configReadTimeout one that reads a configuration, which may be
	// large and come over a small link that is full.
	asyncTimeout      = 2 * time.Second
	configReadTimeout = 5 * time.Second
	// maxMessageBytes bounds a message between nodes. A view of 600 hosts takes about 200 KB.
	maxMessageBytes = 4 << 20
)

// Methods of control messages between nodes. Forwarded requests use the methods of HTTP.
const (
	methodPoll          = "POLL"
	methodReport        = "REPORT"
	methodOperatorState = "OPERATOR-STATE"
	methodQuota         = "QUOTA"
)

// relaySecret distinguishes citronvane nodes from other programs on the port. It does not protect against attackers: the platform
// provides no secret, and its network between hosts is trusted.
var relaySecret = []byte("citronvane on the users' platform")

// node holds what the components of the process share.
type node struct {
	settings *settings.Sidecar
	bounds   platform.Bounds
	clock    clock.Clock
	log      *log.Logger
	lines    *requestLog
	metrics  *metrics
	store    store.Objects
	state    *state
	upstream *upstream.Client
	relay    *relay.Client
	memory   *memoryGuard
	account  *memory.Account
	callers  *connTable

	// processIncarnation is a random number that distinguishes this process from earlier ones on the host.
	processIncarnation uint64
	// applyMu serializes changes of the configuration and of the evacuated zones, and guards zonesKeptUntil, until when a zone that the
	// store no longer lists stays evacuated because the store came back from a copy.
	applyMu        sync.Mutex
	zonesKeptUntil clock.Instant
	// configRevision is the store revision of the configuration that was read last.
	configRevision atomic.Uint64

	// storeEra is the era of the store that the control state follows.
	storeEra      uint64
	departures    departures
	crashes       *crashWatch
	quotas        *quotas
	ctx           context.Context
	controlEvents chan func(now clock.Instant)
	gate          *gate
	entrance      *entrance
	member        *member
	coordinator   *coordinator
}

// post queues an event for the control goroutine. It returns false if the node is stopping.
func (n *node) post(event func(now clock.Instant)) bool {
	select {
	case n.controlEvents <- event:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// runAsync runs a call in a new goroutine and the function that it returns on the control goroutine.
func (n *node) runAsync(call func(ctx context.Context) func(now clock.Instant)) {
	n.runAsyncWithin(asyncTimeout, call)
}

// runAsyncWithin is runAsync for a call that may take another time than asyncTimeout.
func (n *node) runAsyncWithin(timeout time.Duration, call func(ctx context.Context) func(now clock.Instant)) {
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, timeout)
		defer cancel()
		if !n.protect("call", func() { n.post(call(ctx)) }) {
			n.post(n.rebuildControl) // The result is missing, and with it the end of the call in the control state.
		}
	}()
}

// controlLoop runs the events and ticks that read and change the control state.
func (n *node) controlLoop(ctx context.Context) {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		waiting := n.clock.Now()
		select {
		case event := <-n.controlEvents:
			n.recordSuspension(waiting)
			n.runControlEvent(event)
		case <-ticker.C:
			n.recordSuspension(waiting)
			n.memory.update(n.log, n.memory.usedBytes())
			n.runControlEvent(n.member.tick)
			n.runControlEvent(n.coordinator.tick)
		case <-ctx.Done():
			return
		}
	}
}

// maxControlPause is the time without a control event or tick after which the process counts as having been suspended.
const maxControlPause = 4 * controlTick

// recordSuspension records that the process has taken no messages since the instant, if that is longer than its ticks allow. The silence of others
// in that time says nothing about them.
func (n *node) recordSuspension(since clock.Instant) {
	now := n.clock.Now()
	pause := now.Sub(since)
	if pause <= maxControlPause {
		return
	}
	event.ProcessSuspended.On(n.log).Str("for", pause.Round(time.Millisecond).String()).Send()
	n.member.holder.ListenFrom(now)
	n.coordinator.skipSuspension(pause)
}

// sendMessage sends a message to another node and returns the report that answers it.
func (n *node) sendMessage(ctx context.Context, address, method string, message []byte) (*fleet.Report, error) {
	return n.sendMessageWithin(ctx, pollTimeout, address, method, message)
}

// sendMessageWithin is sendMessage for a message whose answer may take another time than pollTimeout.
func (n *node) sendMessageWithin(ctx context.Context, timeout time.Duration, address, method string, message []byte) (*fleet.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	head := &wire.RequestHead{Method: method, TimeoutMs: timeout.Milliseconds(), ContentLength: int64(len(message)), Entrance: n.settings.Node}
	response, err := n.relay.Do(ctx, address, &relay.Request{Head: head, Body: bytes.NewReader(message)})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "Check the network between the hosts.", "%s to %s", method, address)
	}
	return fleet.DecodeReport(data)
}

// handleMessage returns the encoded report that answers a control message of another node.
func (n *node) handleMessage(ctx context.Context, head *wire.RequestHead, body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxMessageBytes))
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
		n.post(func(now clock.Instant) { reply <- n.coordinator.handlePoll(now, p) })
	case methodReport:
		r, err := fleet.DecodeReport(data)
		if err != nil {
			return nil, err
		}
		n.post(func(now clock.Instant) {
			n.coordinator.handleReport(now, r, false, true)
			reply <- &fleet.Report{Host: n.settings.Host, CoordinatorEpoch: n.coordinator.leadershipRound(), Departures: n.departures.list()}
		})
	case methodOperatorState:
		r, err := fleet.DecodeReport(data)
		if err != nil {
			return nil, err
		}
		reply <- n.operatorState(r)
	}
	select {
	case r := <-reply:
		return r.Encode(), nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// observeStoreCall counts the outcome of a call to the store, and logs failures and the recovery of the store.
func (n *node) observeStoreCall(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(errs.KindOf(err))
	}
	n.metrics.countStoreCall(call, outcome)
	switch {
	case call == platform.CallEra:
		event.EraInvalid.On(n.log).Err(err).Send()
	case call == platform.CallDecode:
		n.lines.logLimited(func(l *log.Logger) { event.ObjectInvalid.On(l).Err(err).Send() }) // The call itself succeeded.
	case err == nil || errs.Is(err, errs.NotFound) || errs.Is(err, errs.Conflict) || errs.Is(err, errs.Compacted):
		n.state.storeAnsweredAt.Store(int64(n.clock.Now()))
		if n.metrics.storeUp.CompareAndSwap(false, true) {
			event.StoreRecovered.On(n.log).Str("call", call).Send()
		}
	case n.ctx.Err() == nil:
		n.metrics.storeUp.Store(false)
		n.lines.logLimited(func(l *log.Logger) { event.StoreCallFailed.On(l).Str("call", call).Err(err).Send() })
	}
}

// observeRestore logs that the store came back from a copy.
func (n *node) observeRestore(before, after uint64) {
	n.metrics.countRestore()
	event.StoreRestored.On(n.log).Uint64("era", after).Uint64("era_before", before).Send()
}

// condition returns the condition of a write of an object whose version is known, 0 if it is not known to exist. An object of an earlier era of the
// store does not exist in the current one before it is written there.
func (n *node) condition(version uint64) uint64 { return max(version, store.FirstVersion(n.storeEra)) }

func sleep(ctx context.Context, d time.Duration) bool { return clock.Sleep(ctx, d) }
