// Package scrape reads a sidecar's metrics from its admin endpoint, and its process's
// resource usage from /proc. It opens one connection per call and keeps no state. It does
// not decide when to read, and does not judge what it reads. Linux only.
package scrape

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
)

// maxResponse is the maximum size of a response in bytes, enough for several hundred classes.
const maxResponse = 1 << 20

// slowOver is the bucket of edge_balancer_own_seconds above which a request counts as slow
// in the sidecar, in seconds.
const slowOver = "0.005"

// slowOverScientific is the same bucket as a sidecar may also write it.
const slowOverScientific = "5e-03"

// Metrics reads the metrics of the admin endpoint at addr, within timeout.
func Metrics(ctx context.Context, addr string, timeout time.Duration) (*api.Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/api/telemetry", nil)
	if err != nil {
		return nil, fmt.Errorf("scrape: admin endpoint %s: %w", addr, err)
	}
	r.Close = true
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{KeepAlive: -1}).DialContext}}
	resp, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("scrape: admin endpoint %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("scrape: admin endpoint %s answered %s", addr, resp.Status)
	}
	s, err := Read(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return nil, fmt.Errorf("scrape: admin endpoint %s: %w", addr, err)
	}
	return s, nil
}

// Read parses a sidecar's metrics in the Prometheus text format. The sample has no time, no
// instance and no resource usage.
func Read(in io.Reader) (*api.Sample, error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(in)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	if families["edge_balancer_tries"] == nil {
		return nil, errors.New("metrics: no edge_balancer_tries among them: not a sidecar's admin endpoint")
	}
	s := &api.Sample{Classes: make(map[string]canary.Counts)}
	each := func(name string, do func(l labels, v uint32)) { eachMetric(families["edge_balancer_"+name], do) }
	each("responses", func(l labels, v uint32) {
		counts := s.Classes[l.get("kind")]
		switch l.get("result") {
		case "ok":
			counts.Served = v
		case "shed":
			counts.Rejected = v
		default:
			counts.Failed += v
		}
		s.Classes[l.get("kind")] = counts
	})
	each("tries", func(_ labels, v uint32) { s.Attempts = v })
	each("attempts", func(l labels, v uint32) {
		s.Finished += v
		if l.get("outcome") == "declined" {
			s.Rejected = v
		}
	})
	each("own_seconds_count", func(_ labels, v uint32) { s.Timed = v })
	within := uint32(0)
	each("own_seconds_bucket", func(l labels, v uint32) {
		if le := l.get("le"); le == slowOver || le == slowOverScientific {
			within = v
		}
	})
	s.Slow = s.Timed - min(within, s.Timed)
	return s, nil
}

// labels are the labels of a metric.
type labels []*dto.LabelPair

// get returns the value of a label, "" if there is none of that name.
func (l labels) get(name string) string {
	for _, pair := range l {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

// eachMetric calls do for each metric of a family, which may be nil.
func eachMetric(family *dto.MetricFamily, do func(l labels, v uint32)) {
	if family == nil {
		return
	}
	for _, m := range family.Metric {
		do(m.Label, completeCount(m))
	}
}

// completeCount returns a metric's value as a count, 0 if it is not one.
func completeCount(m *dto.Metric) uint32 {
	var v float64
	switch {
	case m.Untyped != nil:
		v = m.Untyped.GetValue()
	case m.Counter != nil:
		v = m.Counter.GetValue()
	case m.Gauge != nil:
		v = m.Gauge.GetValue()
	}
	if !(v >= 0) {
		return 0
	}
	return uint32(min(v, math.MaxUint32))
}

// Usage returns a process's resident memory in bytes and its number of open descriptors.
func Usage(pid int) (memory uint64, files uint32, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("scrape: %w", err)
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, 0, fmt.Errorf("scrape: /proc/%d/statm is %q", pid, text)
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("scrape: /proc/%d/statm: %w", pid, err)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("scrape: %w", err)
	}
	return pages * uint64(os.Getpagesize()), uint32(len(open)), nil
}
