package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/citronvane/citronvane/internal/clock"
	"github.com/citronvane/citronvane/internal/target/standin"
)

const (
	// collectInterval bounds what is lost of the journal of a target that crashes.
	collectInterval = 500 * time.Millisecond
	journalTimeout  = 5 * time.Second
	maxPageBytes    = 64 << 20
)

// runID identifies an entry of a journal.
type runID struct {
	incarnation string
	sequence    uint64
}

// collector reads the journals of targets while the load runs and once more at the end.
type collector struct {
	prefix   string
	client   *http.Client
	journals []*journalReader

	mu      sync.Mutex
	entries map[runID]standin.Entry
	// problems say why the entries may be incomplete.
	problems []string
}

// journalReader is the position in one journal.
type journalReader struct {
	address     string
	incarnation string
	next        uint64
}

func newCollector(addresses []string, run string) *collector {
	c := &collector{
		prefix:  run + "-",
		client:  &http.Client{Timeout: journalTimeout, Transport: &http.Transport{}},
		entries: map[runID]standin.Entry{},
	}
	for _, address := range addresses {
		c.journals = append(c.journals, &journalReader{address: address})
	}
	return c
}

// start reads the journals again and again until the returned function is called.
func (c *collector) start(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var readers sync.WaitGroup
	for _, j := range c.journals {
		if err := c.skip(j); err != nil {
			c.problem("journal of %s can't be read at the start: %v", j.address, err)
		}
		readers.Go(func() {
			for clock.Sleep(ctx, collectInterval) {
				// A target that is down for now may be back later; the final reading decides.
				_ = c.read(j)
			}
		})
	}
	return func() {
		cancel()
		readers.Wait()
	}
}

// skip moves the position to the end of the journal as it was before the load.
func (c *collector) skip(j *journalReader) error {
	for {
		page, err := c.page(j)
		if err != nil {
			return err
		}
		j.incarnation, j.next = page.Incarnation, page.Next
		if !page.More {
			return nil
		}
	}
}

// finish reads the journals a last time: first what is new, which shows whether entries were dropped,
// then everything that is kept, because runs may have ended since their entries were read.
func (c *collector) finish() {
	for _, j := range c.journals {
		err := c.read(j)
		if err == nil {
			j.next = 0
			err = c.read(j)
		}
		if err != nil {
			c.problem("journal of %s can't be read at the end: %v", j.address, err)
		}
	}
	c.client.CloseIdleConnections()
}

// read takes the pages from the position to the end.
func (c *collector) read(j *journalReader) error {
	for {
		page, err := c.page(j)
		if err != nil {
			return err
		}
		if page.Incarnation != j.incarnation {
			if j.incarnation != "" {
				c.problem("target %s at %s was restarted; what it ran in its last moments is not known", page.Target, j.address)
			}
			j.incarnation, j.next = page.Incarnation, 0
			continue
		}
		if j.next > 0 && page.First > j.next {
			c.problem("journal of %s dropped the entries from %d to %d", j.address, j.next, page.First-1)
		}
		c.add(page)
		j.next = page.Next
		if !page.More {
			return nil
		}
	}
}

func (c *collector) page(j *journalReader) (standin.JournalPage, error) {
	var page standin.JournalPage
	resp, err := c.client.Get(fmt.Sprintf("http://%s/journal?since=%d", j.address, j.next))
	if err != nil {
		return page, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return page, err
	}
	if resp.StatusCode != http.StatusOK {
		return page, fmt.Errorf("status %d", resp.StatusCode)
	}
	return page, json.Unmarshal(data, &page)
}

// add keeps the entries of this run.
func (c *collector) add(page standin.JournalPage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range page.Entries {
		if strings.HasPrefix(e.RequestID, c.prefix) {
			c.entries[runID{page.Incarnation, e.Sequence}] = e
		}
	}
}

func (c *collector) problem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}
