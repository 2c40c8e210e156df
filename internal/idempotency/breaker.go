package idempotency

import "time"

// Breaker is a circuit breaker for the store. It opens after consecutive failures, lets
// one probe through after each backoff, and closes at the first success. Backoffs double
// up to a bound. Times are durations since a start of the caller's choice.
type Breaker struct {
	failureThreshold int
	minBackoff       time.Duration
	maxBackoff       time.Duration
	failures         int
	open             bool
	backoff          time.Duration
	retryAt          time.Duration
	probing          bool
	lastError        string
}

// NewBreaker returns a closed breaker that opens after failureThreshold consecutive
// failures.
func NewBreaker(failureThreshold int, minBackoff, maxBackoff time.Duration) Breaker {
	return Breaker{failureThreshold: failureThreshold, minBackoff: minBackoff, maxBackoff: maxBackoff}
}

// Allow says whether the store may be called at now. While the breaker is open, one
// probe for each backoff is allowed.
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

// Succeeded reports a call that succeeded.
func (b *Breaker) Succeeded() {
	b.failures, b.open, b.probing, b.backoff = 0, false, false, 0
}

// Failed reports a call that failed. jitter within 0 and 1 lengthens the next backoff by
// up to half.
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

// Open says whether the breaker is open, until when at least, and why.
func (b *Breaker) Open() (open bool, until time.Duration, cause string) {
	return b.open, b.retryAt, b.lastError
}

// State is the breaker's state: "closed", "half-open" or "open".
func (b *Breaker) State() string {
	switch {
	case !b.open:
		return "closed"
	case b.probing:
		return "half-open"
	}
	return "open"
}
