// Package metrics holds a sidecar's metrics, which its admin endpoint exports.
//
// It owns the counters of events: the ends of requests and attempts. What another package
// already knows (open requests, servers, connections) is a gauge that reads it at each
// export. docs/operate/metrics.md lists names and labels, which keep the operators' words;
// the terms of the code are mapped to them here. Label values are bounded: a class of the
// settings or a constant of this program.
package metrics

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"martendrum"
)

const prefix = "edge_balancer_"

// outcomes are the label values of attempts' outcomes.
var outcomes = [...]string{
	martendrum.OK:            "ok",
	martendrum.ServerError:   "error",
	martendrum.Rejected:      "declined",
	martendrum.TimedOut:      "timeout",
	martendrum.ConnectFailed: "connect",
	martendrum.Reset:         "reset",
	martendrum.Cancelled:     "cancelled",
	martendrum.NotSent:       "not_sent",
}

// processingTimeBuckets are the buckets of the time spent in the sidecar itself, in seconds.
var processingTimeBuckets = []float64{.0001, .0002, .0005, .001, .002, .005, .01, .02, .05, .1, .5}

// Set is a sidecar's metrics. Its methods may be called from any goroutine.
type Set struct {
	set             *metrics.Set
	mu              sync.Mutex                        // of changes to classes
	classes         atomic.Pointer[map[string]*class] // read without a lock
	attemptsWritten *metrics.Counter
	attemptOutcomes [len(outcomes)]*metrics.Counter
	hedges          *metrics.Counter
	hedgesWon       *metrics.Counter
	processingTime  *metrics.PrometheusHistogram
	applied         *metrics.Counter
	rejected        *metrics.Counter
	reasons         map[Reason]*metrics.Counter
}

// class is what is counted for one class of requests.
type class struct{ ok, shed, errors *metrics.Counter }

// Reason is the limit by which the sidecar rejected a request before deciding on it.
type Reason string

// The reasons.
const (
	ConnectionLimit Reason = "connections" // the limit on client connections
	BodyBytesLimit  Reason = "bytes"       // the limit on buffered body bytes
	InFlightLimit   Reason = "held"        // as many requests in flight as the settings allow
)

// New returns a Set whose metrics are all 0.
func New() *Set {
	s := &Set{set: metrics.NewSet(), reasons: make(map[Reason]*metrics.Counter)}
	s.classes.Store(&map[string]*class{})
	s.attemptsWritten = s.set.NewCounter(prefix + "tries")
	for n, name := range outcomes {
		s.attemptOutcomes[n] = s.set.NewCounter(prefix + label("attempts", "outcome", name))
	}
	for _, r := range []Reason{ConnectionLimit, BodyBytesLimit, InFlightLimit} {
		s.reasons[r] = s.set.NewCounter(prefix + label("limited", "reason", string(r)))
	}
	s.hedges = s.set.NewCounter(prefix + "copies")
	s.hedgesWon = s.set.NewCounter(prefix + "copies_won")
	s.processingTime = s.set.NewPrometheusHistogramExt(prefix+"own_seconds", processingTimeBuckets)
	s.applied = s.set.NewCounter(prefix + "config_applied")
	s.rejected = s.set.NewCounter(prefix + "config_rejected")
	return s
}

func label(name, key, value string) string {
	return name + "{" + key + "=" + strconv.Quote(value) + "}"
}

// Gauge adds a gauge whose value read returns at each export. labels is in the text format,
// or empty.
func (s *Set) Gauge(name, labels string, read func() float64) {
	if labels != "" {
		name += "{" + labels + "}"
	}
	s.set.NewGauge(prefix+name, read)
}

// Classes sets the classes that are counted. Earlier ones keep their counters, since requests
// of a dropped class may be open and a counter must not decrease.
func (s *Set) Classes(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*class)
	for name, c := range *s.classes.Load() {
		next[name] = c
	}
	for _, name := range names {
		if next[name] != nil || len(next) >= maxClasses {
			continue
		}
		count := func(result string) *metrics.Counter {
			return s.set.GetOrCreateCounter(prefix + "responses{kind=" + strconv.Quote(name) + ",result=" + strconv.Quote(result) + "}")
		}
		next[name] = &class{ok: count("ok"), shed: count("shed"), errors: count("errors")}
	}
	s.classes.Store(&next)
}

// maxClasses bounds the classes counted over all configurations of a process.
const maxClasses = 256

// Answered counts a request's final response by its status.
func (s *Set) Answered(name string, status int) {
	c := (*s.classes.Load())[name]
	switch {
	case c == nil:
	case status == 200:
		c.ok.Inc()
	case status == 429 || status == 503:
		c.shed.Inc()
	default:
		c.errors.Inc()
	}
}

// Limited counts a request that was rejected by one of the sidecar's own limits.
func (s *Set) Limited(r Reason) {
	if c := s.reasons[r]; c != nil {
		c.Inc()
	}
}

// AttemptWritten counts an attempt written completely to a server.
func (s *Set) AttemptWritten() { s.attemptsWritten.Inc() }

// AttemptStarted counts the start of an attempt; only hedged ones have a metric.
func (s *Set) AttemptStarted(hedged bool) {
	if hedged {
		s.hedges.Inc()
	}
}

// AttemptFinished counts the end of an attempt. served reports whether the client got its response.
func (s *Set) AttemptFinished(o martendrum.Outcome, hedged, served bool) {
	if int(o) < len(s.attemptOutcomes) {
		s.attemptOutcomes[o].Inc()
	}
	if hedged && served {
		s.hedgesWon.Inc()
	}
}

// ProcessingTime observes the time that a request spent in the sidecar itself before its first
// attempt or its response, whichever came first.
func (s *Set) ProcessingTime(took time.Duration) { s.processingTime.Update(took.Seconds()) }

// Configured counts a configuration that was applied or rejected.
func (s *Set) Configured(applied bool) {
	if applied {
		s.applied.Inc()
	} else {
		s.rejected.Inc()
	}
}

// Write writes all metrics in the Prometheus text format.
func (s *Set) Write(w io.Writer) { s.set.WritePrometheus(w) }
