// Package scrape reads a sidecar's metrics from its admin endpoint, and its process's
// resource usage from /proc. It opens one connection per call and keeps no state.
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

// maxResponse bounds a response, in bytes: several hundred classes fit.
const maxResponse = 1 << 20

// slowOver is the bound of edge_balancer_own_seconds past which a request counts as
// slow in the sidecar.
const slowOver = "0.005"

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

// Read parses metrics in the Prometheus text format.
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
	each := func(name string, do func(label func(string) string, v uint32)) {
		f := families["edge_balancer_"+name]
		if f == nil {
			return
		}
		for _, m := range f.Metric {
			do(func(key string) string {
				for _, l := range m.Label {
					if l.GetName() == key {
						return l.GetValue()
					}
				}
				return ""
			}, completeCount(m))
		}
	}
	each("responses", func(label func(string) string, v uint32) {
		c := s.Classes[label("kind")]
		switch label("result") {
		case "ok":
			c.Served = v
		case "shed":
			c.Rejected = v
		default:
			c.Failed += v
		}
		s.Classes[label("kind")] = c
	})
	each("tries", func(_ func(string) string, v uint32) { s.Attempts = v })
	each("attempts", func(label func(string) string, v uint32) {
		s.Finished += v
		if label("outcome") == "declined" {
			s.Rejected = v
		}
	})
	each("own_seconds_count", func(_ func(string) string, v uint32) { s.Timed = v })
	within := uint32(0)
	each("own_seconds_bucket", func(label func(string) string, v uint32) {
		if label("le") == slowOver || label("le") == "5e-03" {
			within = v
		}
	})
	s.Slow = s.Timed - min(within, s.Timed)
	return s, nil
}

// completeCount is a metric's value as a count; what is no count is 0.
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

// Usage is a process's resident memory in bytes, and its open descriptors.
func Usage(pid int) (memory uint64, files uint32, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("scrape: %w", err)
	}
	f := strings.Fields(string(text))
	if len(f) < 2 {
		return 0, 0, fmt.Errorf("scrape: /proc/%d/statm is %q", pid, text)
	}
	pages, err := strconv.ParseUint(f[1], 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("scrape: /proc/%d/statm: %w", pid, err)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("scrape: %w", err)
	}
	return pages * uint64(os.Getpagesize()), uint32(len(open)), nil
}
