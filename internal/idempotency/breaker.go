package idempotency

import "time"

// Breaker is a circuit breaker for the store. It opens after a number of consecutive
// failures, allows one probe after each backoff, and closes at the first success. Backoffs
// double up to a maximum. Times are durations since a start that the caller chooses. A
// Breaker must not be used concurrently.
type Breaker struct {
	failureThreshold int
	minBackoff       time.Duration
	maxBackoff       time.Duration
	failures         int
	open             bool
	backoff          time.Duration
	retryAt          time.Duration // when the next probe is allowed
	probing          bool          // a probe was allowed and has not been reported yet
	lastError        string
}

// NewBreaker returns a closed breaker that opens after failureThreshold consecutive
// failures.
func NewBreaker(failureThreshold int, minBackoff, maxBackoff time.Duration) Breaker {
	return Breaker{failureThreshold: failureThreshold, minBackoff: minBackoff, maxBackoff: maxBackoff}
}

// Allow reports whether the store may be called at now. While the breaker is open, it
// allows one probe after each backoff, whose result the caller must report.
func (b *Breaker) Allow(now time.Duration) bool {
	switch {
	case !b.open:
		return true
	case b.probing || now < b.retryAt:
		return false
	}
	b.probing = true
	return true
}

// Succeeded records a successful call and closes the breaker.
func (b *Breaker) Succeeded() {
	b.failures, b.open, b.probing, b.backoff = 0, false, false, 0
}

// Failed records a failed call and its cause, which Open returns. jitter, between 0 and 1,
// lengthens the next backoff by up to half.
func (b *Breaker) Failed(now time.Duration, cause string, jitter float64) {
	b.failures++
	b.lastError = cause
	if !b.open && b.failures < b.failureThreshold {
		return
	}
	b.open, b.probing = true, false
	b.backoff = min(max(2*b.backoff, b.minBackoff), b.maxBackoff)
	b.retryAt = now + b.backoff + time.Duration(jitter/2*float64(b.backoff))
}

// Open reports whether the breaker is open, the time before which no probe is allowed, and
// the cause of the last failure.
func (b *Breaker) Open() (open bool, until time.Duration, cause string) {
	return b.open, b.retryAt, b.lastError
}

// State returns "closed", "open" or, while a probe is being made, "half-open".
func (b *Breaker) State() string {
	switch {
	case !b.open:
		return "closed"
	case b.probing:
		return "half-open"
	}
	return "open"
}
