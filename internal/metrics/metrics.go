// Package metrics holds a sidecar's metrics, which its admin endpoint exports.
//
// It owns the counters of events, such as the ends of requests and attempts. For state that another
// package holds (open requests, servers, connections) it has gauges, which read that state at each
// export. docs/operate/metrics.md lists the names and labels. They differ from the terms of the code,
// which are mapped to them here. The number of label values is bounded: each is a class of the settings
// or a constant of this program.
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

// prefix is the beginning of each metric's name.
const prefix = "edge_balancer_"

// outcomes are the label values of the outcomes of attempts.
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

// processingTimeBuckets are the upper bounds of the buckets of the processing time, in seconds.
var processingTimeBuckets = []float64{.0001, .0002, .0005, .001, .002, .005, .01, .02, .05, .1, .5}

// Set is the set of a sidecar's metrics. Its methods may be called from any goroutine.
type Set struct {
	set             *metrics.Set
	mu              sync.Mutex                        // held while classes is replaced
	classes         atomic.Pointer[map[string]*class] // read without a lock
	attemptsWritten *metrics.Counter
	attemptOutcomes [len(outcomes)]*metrics.Counter
	hedges          *metrics.Counter
	hedgesWon       *metrics.Counter
	answersPaused   *metrics.Counter
	processingTime  *metrics.PrometheusHistogram
	applied         *metrics.Counter
	rejected        *metrics.Counter
	reasons         map[Reason]*metrics.Counter
}

// class has the counters of the responses to requests of one class, by their status.
type class struct{ ok, shed, errors *metrics.Counter }

// Reason is the limit at which the sidecar rejected a request before the Balancer decided on it.
type Reason string

// The limits that a Reason can name.
const (
	ConnectionLimit Reason = "connections" // the limit on client connections
	BodyBytesLimit  Reason = "bytes"       // the limit on buffered body bytes
	InFlightLimit   Reason = "held"        // the limit on requests in flight
	IDLimit         Reason = "ids"         // the limit on remembered request ids
)

// New returns a Set whose metrics are all 0.
func New() *Set {
	s := &Set{set: metrics.NewSet(), reasons: make(map[Reason]*metrics.Counter)}
	s.classes.Store(&map[string]*class{})
	s.attemptsWritten = s.set.NewCounter(prefix + "tries")
	for n, name := range outcomes {
		s.attemptOutcomes[n] = s.set.NewCounter(prefix + label("attempts", "outcome", name))
	}
	for _, reason := range []Reason{ConnectionLimit, BodyBytesLimit, InFlightLimit, IDLimit} {
		s.reasons[reason] = s.set.NewCounter(prefix + label("limited", "reason", string(reason)))
	}
	s.hedges = s.set.NewCounter(prefix + "copies")
	s.hedgesWon = s.set.NewCounter(prefix + "copies_won")
	s.answersPaused = s.set.NewCounter(prefix + "answers_paused")
	s.processingTime = s.set.NewPrometheusHistogramExt(prefix+"own_seconds", processingTimeBuckets)
	s.applied = s.set.NewCounter(prefix + "config_applied")
	s.rejected = s.set.NewCounter(prefix + "config_rejected")
	return s
}

// label returns the name of a metric with one label.
func label(name, key, value string) string {
	return name + "{" + key + "=" + strconv.Quote(value) + "}"
}

// Gauge adds a gauge. At each export, its value is what read returns. labels are the labels in the
// Prometheus text format, without braces, or empty. It panics if the gauge exists already.
func (s *Set) Gauge(name, labels string, read func() float64) {
	if labels != "" {
		name += "{" + labels + "}"
	}
	s.set.NewGauge(prefix+name, read)
}

// SetClasses adds counters for the named classes, for at most maxClasses classes in all. Classes that were
// named before keep their counters, because requests of a removed class may still be open and a counter
// must not decrease.
func (s *Set) SetClasses(names []string) {
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
		counterOf := func(result string) *metrics.Counter {
			return s.set.GetOrCreateCounter(prefix + "responses{kind=" + strconv.Quote(name) + ",result=" + strconv.Quote(result) + "}")
		}
		next[name] = &class{ok: counterOf("ok"), shed: counterOf("shed"), errors: counterOf("errors")}
	}
	s.classes.Store(&next)
}

// maxClasses is the maximum number of classes that a process counts, over all of its configurations.
const maxClasses = 256

// Answered counts a request's final response by the request's class and the response's status. It ignores
// classes that SetClasses has not added.
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

// Limited counts a request that the sidecar rejected at one of its own limits.
func (s *Set) Limited(reason Reason) {
	if c := s.reasons[reason]; c != nil {
		c.Inc()
	}
}

// AttemptWritten counts an attempt that was written completely to a server.
func (s *Set) AttemptWritten() { s.attemptsWritten.Inc() }

// AttemptStarted counts the start of an attempt if it is hedged. The starts of other attempts have no metric.
func (s *Set) AttemptStarted(hedged bool) {
	if hedged {
		s.hedges.Inc()
	}
}

// AttemptFinished counts the end of an attempt. served reports whether its answer is sent to the client.
func (s *Set) AttemptFinished(outcome martendrum.Outcome, hedged, served bool) {
	if int(outcome) < len(s.attemptOutcomes) {
		s.attemptOutcomes[outcome].Inc()
	}
	if hedged && served {
		s.hedgesWon.Inc()
	}
}

// AnswerPaused counts an answer of a server that has begun and then paused.
func (s *Set) AnswerPaused() { s.answersPaused.Inc() }

// ProcessingTime observes the time from the receipt of a request to the start of its first attempt, which the
// request spent in the sidecar itself.
func (s *Set) ProcessingTime(took time.Duration) { s.processingTime.Update(took.Seconds()) }

// CountReload counts a configuration that was applied or rejected.
func (s *Set) CountReload(applied bool) {
	if applied {
		s.applied.Inc()
	} else {
		s.rejected.Inc()
	}
}

// Write writes all metrics in the Prometheus text format.
func (s *Set) Write(w io.Writer) { s.set.WritePrometheus(w) }
