package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/target"
)

const (
	// pollInterval is the shortest time between the starts of two polls.
	pollInterval = 50 * time.Millisecond
	// pollTimeout exceeds the 100 ms for which the node holds an answer back. A later answer could
	// hardly extend a grant of 500 ms.
	pollTimeout = time.Second
	// maxGrantBytes holds 16,384 slices with room to spare.
	maxGrantBytes = 4 << 20
)

// poll announces the target to its node and takes the grants, until the context ends.
func (t *Target) poll(ctx context.Context) {
	if t.options.Node == "" {
		return
	}
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		t.pollOnce(ctx, client)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (t *Target) pollOnce(ctx context.Context, client *http.Client) {
	announcement := t.announcement()
	sent := t.options.Clock.Now()
	grant, err := exchange(ctx, client, t.options.Node, announcement)
	if err != nil {
		t.grants.forgetSequence()
		return
	}
	t.grants.apply(sent, grant)
	if grant.Idle && announcement.Leaving {
		t.finishDraining()
	}
}

func (t *Target) announcement() target.Announcement {
	return target.Announcement{
		Service:       t.options.Service,
		Address:       t.options.Address,
		Incarnation:   t.options.Incarnation,
		Fenced:        t.options.Fenced,
		Slots:         t.options.Slots,
		Connections:   t.options.Connections,
		Leaving:       t.isLeaving(),
		Running:       t.reportedLoad(),
		GrantSequence: t.grants.held(),
	}
}

func exchange(ctx context.Context, client *http.Client, node string, a target.Announcement) (target.Grant, error) {
	var grant target.Grant
	body, err := json.Marshal(a)
	if err != nil {
		return grant, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+target.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return grant, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return grant, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxGrantBytes+1))
	if err != nil {
		return grant, err
	}
	if resp.StatusCode != http.StatusOK || len(data) > maxGrantBytes {
		return grant, fmt.Errorf("the node answered an announcement with status %d and %d bytes", resp.StatusCode, len(data))
	}
	return grant, json.Unmarshal(data, &grant)
}

// reportedLoad notes the current number of running requests, and returns the number as it was LoadLag ago.
func (t *Target) reportedLoad() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock.Now()
	t.loads.add(now, len(t.slots))
	return t.loads.at(now.Add(-t.behaviour.LoadLag.Std()))
}

// maxLoadSamples bounds the load history; at one sample in 50 ms it covers 100 s.
const maxLoadSamples = 2000

// loadHistory remembers the load at each poll.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at      clock.Instant
	running int
}

func (h *loadHistory) add(now clock.Instant, running int) {
	if len(h.samples) == maxLoadSamples {
		h.samples = append(h.samples[:0], h.samples[maxLoadSamples/2:]...)
	}
	h.samples = append(h.samples, loadSample{now, running})
}

// at returns the newest sample that is not younger than the instant, or 0 if there is none.
func (h *loadHistory) at(instant clock.Instant) int {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if h.samples[i].at <= instant {
			return h.samples[i].running
		}
	}
	return 0
}
