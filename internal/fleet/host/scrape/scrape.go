// Package scrape reads a sidecar's metrics from its admin endpoint, and the resource usage of
// its process from /proc. It opens one connection per call and keeps no state. It does not
// decide when to read, and does not evaluate what it reads. It works on Linux only.
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

// slowThreshold is the upper bound, in seconds, of a bucket of the histogram
// edge_balancer_own_seconds, as the label le holds it. The requests in that bucket do not count as
// slow. The metric is the time that a request spends in the sidecar.
const slowThreshold = "0.005"

// slowThresholdScientific is another notation of the same bound that a sidecar may use.
const slowThresholdScientific = "5e-03"

// Metrics reads the metrics of the admin endpoint at addr, within timeout. Only the fields of the
// sample that Parse sets are set.
func Metrics(ctx context.Context, addr string, timeout time.Duration) (*api.Sample, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/api/telemetry", nil)
	if err != nil {
		return nil, fmt.Errorf("scrape: admin endpoint %s: %w", addr, err)
	}
	request.Close = true
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{KeepAlive: -1}).DialContext}}
	resp, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("scrape: admin endpoint %s: %w", addr, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("scrape: admin endpoint %s answered %s", addr, resp.Status)
	}
	sample, err := Parse(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return nil, fmt.Errorf("scrape: admin endpoint %s: %w", addr, err)
	}
	return sample, nil
}

// Parse parses a sidecar's metrics in the Prometheus text format. The sample's time, instance,
// process and resource usage are not set. It is an error if the text is not a sidecar's metrics.
func Parse(in io.Reader) (*api.Sample, error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(in)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	if families["edge_balancer_tries"] == nil {
		return nil, errors.New("metrics: edge_balancer_tries is missing: not a sidecar's admin endpoint")
	}
	sample := &api.Sample{Classes: make(map[string]canary.Counts)}
	each := func(name string, do func(l labels, v uint32)) { eachMetric(families["edge_balancer_"+name], do) }
	each("responses", func(l labels, v uint32) {
		counts := sample.Classes[l.get("kind")]
		switch l.get("result") {
		case "ok":
			counts.Served = v
		case "shed":
			counts.Rejected = v
		default:
			counts.Failed += v
		}
		sample.Classes[l.get("kind")] = counts
	})
	each("tries", func(_ labels, v uint32) { sample.Attempts = v })
	each("attempts", func(l labels, v uint32) {
		sample.Finished += v
		if l.get("outcome") == "declined" {
			sample.Rejected = v
		}
	})
	each("own_seconds_count", func(_ labels, v uint32) { sample.Sampled = v })
	withinThreshold := uint32(0)
	each("own_seconds_bucket", func(l labels, v uint32) {
		if le := l.get("le"); le == slowThreshold || le == slowThresholdScientific {
			withinThreshold = v
		}
	})
	sample.Slow = sample.Sampled - min(withinThreshold, sample.Sampled)
	return sample, nil
}

// labels holds the labels of a metric.
type labels []*dto.LabelPair

// get returns the value of the label with a name, "" if there is none.
func (l labels) get(name string) string {
	for _, pair := range l {
		if pair.GetName() == name {
			return pair.GetValue()
		}
	}
	return ""
}

// eachMetric calls do with the labels and the value of each metric of a family, which may be nil.
func eachMetric(family *dto.MetricFamily, do func(l labels, v uint32)) {
	if family == nil {
		return
	}
	for _, metric := range family.Metric {
		do(metric.Label, countOf(metric))
	}
}

// countOf returns a metric's value as a count: 0 if it is negative, not a number or of a type that
// has no single value, and at most the largest uint32.
func countOf(m *dto.Metric) uint32 {
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

// Usage returns a process's resident memory in bytes and its number of open file descriptors.
func Usage(pid int) (memory uint64, files uint32, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("scrape: %w", err)
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, 0, fmt.Errorf("scrape: /proc/%d/statm has too few fields: %q", pid, text)
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
