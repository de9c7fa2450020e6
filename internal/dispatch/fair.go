package dispatch

import (
	"maps"

	"github.com/citronvane/citronvane/internal/clock"
)

// fairQueue shares the starts of one priority class among tenants by start-time fair queueing: the tenant whose requests have had the
// least work comes first. Without it, a tenant that sends more than its share delays the requests of all others.
type fairQueue struct {
	// waiting counts the waiting requests of each tenant.
	waiting map[string]int
	// started holds the work of the started requests of each tenant in seconds, on a scale on which a tenant that has been idle begins
	// at the position of the last start.
	started  map[string]float64
	position float64
}

// add records that a request of the tenant waits.
func (q *fairQueue) add(tenant string) {
	if q.waiting == nil {
		q.waiting, q.started = map[string]int{}, map[string]float64{}
	}
	q.waiting[tenant]++
}

// remove records that a request of the tenant no longer waits.
func (q *fairQueue) remove(tenant string) {
	if q.waiting[tenant]--; q.waiting[tenant] <= 0 {
		delete(q.waiting, tenant)
	}
}

// start records the start of a request of the tenant that takes the given number of seconds.
func (q *fairQueue) start(tenant string, work float64) {
	q.position = max(q.position, q.tag(tenant))
	q.started[tenant] = q.tag(tenant) + work
	if len(q.waiting) == 0 { // Nobody competes, so that the past does not matter.
		clear(q.started)
		q.position = 0
	} else if len(q.started) > 2*len(q.waiting)+minForgotten {
		maps.DeleteFunc(q.started, func(_ string, work float64) bool { return work <= q.position })
	}
}

// minForgotten is the number of idle tenants from which those whose past no longer matters are forgotten.
const minForgotten = 16

// tag returns the position at which the next request of the tenant starts.
func (q *fairQueue) tag(tenant string) float64 { return max(q.position, q.started[tenant]) }

// ahead returns the number of requests that start before a new one of the tenant if all tenants are served in turn.
func (q *fairQueue) ahead(tenant string) int {
	own := q.waiting[tenant]
	ahead := own
	for other, n := range q.waiting {
		if other != tenant {
			ahead += min(n, own+1)
		}
	}
	return ahead
}

// pick returns the index of the request of the class that starts next, -1 if none may start. inTime selects those that can still meet
// their objective. Deferred requests are skipped.
func (c *Scheduler) pick(now clock.Instant, k int, inTime bool) int {
	best, bestTag := -1, 0.0
	for i, t := range c.queue[k] {
		tag := c.fair[k].tag(t.Tenant)
		if best >= 0 && tag >= bestTag || c.deferFor(now, &t.Request) > 0 {
			continue
		}
		if inTime && now.Add(seconds(c.serviceTime(&t.Request))) > t.SoftDeadline {
			continue
		}
		best, bestTag = i, tag
		if len(c.fair[k].waiting) == 1 {
			break // All requests are of one tenant and start in the order of their arrival.
		}
	}
	return best
}
