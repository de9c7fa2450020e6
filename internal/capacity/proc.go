package capacity

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

// clockTick is the unit of processor time in /proc, USER_HZ, which is 100 on all Linux platforms of Go.
const clockTick = time.Second / 100

// Usage is what a process has used so far.
type Usage struct {
	CPU      time.Duration
	RSSBytes int64
}

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errs.Wrap(err, errs.NotFound, "Check that the process runs.", "usage of process %d", pid)
	}
	// The fields after the command, which may contain spaces, start with the third one.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const user, system, pages = 11, 12, 21
	if len(fields) <= pages {
		return Usage{}, errs.New(errs.Internal, "", "process %d has %d fields in stat", pid, len(fields))
	}
	var values [3]int64
	for i, field := range []int{user, system, pages} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return Usage{}, errs.Wrap(err, errs.Internal, "", "usage of process %d", pid)
		}
	}
	return Usage{
		CPU:      time.Duration(values[0]+values[1]) * clockTick,
		RSSBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}

// ReadCounters returns the sums, over all labels, of the counters at a metrics endpoint.
func ReadCounters(address string) (map[string]float64, error) {
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "Check that the node runs.", "metrics of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	sums := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line := lines.Text()
		space := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || space < 0 {
			continue
		}
		name, _, _ := strings.Cut(line[:space], "{")
		if value, err := strconv.ParseFloat(line[space+1:], 64); err == nil {
			sums[name] += value
		}
	}
	return sums, errs.Wrap(lines.Err(), errs.Unavailable, "Check that the node runs.", "metrics of %s", address)
}
