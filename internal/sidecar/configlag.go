package sidecar

import (
	"maps"
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/event"
	"github.com/citronvane/citronvane/internal/fleet"
)

// Why a configuration is not in force at a node has to be found from that node's log alone: whether it is polled and by whom, whether polls
// carry the document, whether its own reads fail, and where a version came from in the end.

// configSource says where a node got a configuration from.
type configSource string

const (
	sourceStore  configSource = "store"
	sourcePoll   configSource = "poll"
	sourceReport configSource = "report"
	// sourceNode means another node that was asked, because the store could not be read.
	sourceNode configSource = "node"
)

// readReason says why a node reads the operator's objects itself.
type readReason string

const (
	// readAnnounced means that a poll named a configuration without its document.
	readAnnounced readReason = "announced"
	// readUnpolled means that no poll arrives.
	readUnpolled readReason = "unpolled"
	// readAsked means that the leader can't read the objects.
	readAsked readReason = "asked"
)

const (
	// configLagThreshold is how long a node may lack an announced configuration before this is logged. Polls and reads that succeed take
	// less than half a second.
	configLagThreshold = time.Second
	// configLagInterval is the time between two log lines about the same delay.
	configLagInterval = time.Second
	// maxNamedHosts bounds the hosts that a log line names.
	maxNamedHosts = 5
)

// configLag records what a node that does not lead knows of a configuration that it lacks. It belongs to the control goroutine.
type configLag struct {
	// announced is the highest version that a poll has named, since is when one first did, and carried is set if a poll had the document.
	announced uint64
	since     clock.Instant
	carried   bool
	// failedReads counts the node's failed reads since the announcement or the last successful one.
	failedReads int
	lastError   error
	loggedAt    clock.Instant
}

func (l *configLag) recordAnnouncement(now clock.Instant, p *fleet.Poll) {
	if p.ConfigVersion > l.announced {
		*l = configLag{announced: p.ConfigVersion, since: now, loggedAt: l.loggedAt}
	}
	l.carried = l.carried || len(p.Config) > 0
}

func (l *configLag) recordRead(err error) {
	l.lastError = err
	if err == nil {
		l.failedReads = 0
		return
	}
	l.failedReads++
}

// logConfigLag writes a line while polls are missing, or while an announced configuration is.
func (c *coordinator) logConfigLag(now clock.Instant) {
	l, held := &c.lag, c.state.configVersion.Load()
	if now.Sub(l.loggedAt) < configLagInterval {
		return
	}
	behind := l.announced > held && now.Sub(l.since) > configLagThreshold
	unpolled := c.lastPoll.Coordinator != "" && now.Sub(c.lastPolled) > configFetchTimeout
	e := event.ConfigBehind
	switch {
	case unpolled:
		e = event.PollsMissing
	case !behind:
		return
	}
	l.loggedAt = now
	line := e.On(c.log).Str("coordinator", c.lastPoll.Coordinator).Uint64("round", c.lastPoll.Epoch).
		Str("last_poll", now.Sub(c.lastPolled).Round(time.Millisecond).String()).Int("failed_reads", l.failedReads).Err(l.lastError)
	if behind {
		line.Uint64("announced", l.announced).Uint64("held", held).
			Str("announced_for", now.Sub(l.since).Round(time.Millisecond).String()).Bool("carried", l.carried)
	}
	line.Send()
}

// recordOperatorRead counts a read of the operator's objects and logs a failed one.
func (n *node) recordOperatorRead(reason readReason, err error) {
	n.metrics.countOperatorRead(reason, err)
	if err != nil && n.ctx.Err() == nil {
		event.OperatorReadFailed.On(n.log).Str("reason", string(reason)).Err(err).Send()
	}
}

// logNodesBehind names nodes whose last report shows an older configuration than the one that the polls have announced for a while.
func (c *coordinator) logNodesBehind(now clock.Instant) {
	version := max(c.state.configVersion.Load(), c.reportedConfig)
	if version != c.announcedConfig {
		c.announcedConfig, c.announcedAt = version, now
	}
	if now.Sub(c.announcedAt) < configLagThreshold || now.Sub(c.behindLoggedAt) < configLagInterval {
		return
	}
	behind := map[string]bool{}
	var longest time.Duration
	for host, n := range c.polledNodes {
		if n.Report == nil || n.Report.ConfigVersion < version {
			behind[host] = true
			longest = max(longest, now.Sub(n.LastSeen))
		}
	}
	if len(behind) == 0 {
		return
	}
	c.behindLoggedAt = now
	hosts := slices.Sorted(maps.Keys(behind))
	event.NodesBehind.On(c.log).Uint64("announced", version).Str("announced_for", now.Sub(c.announcedAt).Round(time.Millisecond).String()).Int("nodes", len(hosts)).
		Any("hosts", hosts[:min(len(hosts), maxNamedHosts)]).Bool("unread", c.operatorUnread).Str("longest_silence", longest.Round(time.Millisecond).String()).Send()
}
