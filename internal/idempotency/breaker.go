package idempotency

import "time"

// Breaker says whether the store is worth asking. It opens after a run of failures,
// lets one try through when its pause is over, and closes at the first success.
// Pauses double up to a bound.
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

// NewBreaker returns a closed breaker that opens after so many failures in a row
// and pauses from least to most.
func NewBreaker(after int, least, limit time.Duration) Breaker {
	return Breaker{failureThreshold: after, minBackoff: least, maxBackoff: limit}
}

// Allow says whether the store may be asked at now. While the breaker is open, one
// try a pause is allowed; jitter within 0 and 1 stretches the next pause by up to half.
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

// Succeeded notes that the store did its work.
func (b *Breaker) Succeeded() {
	b.failures, b.open, b.probing, b.backoff = 0, false, false, 0
}

// Failed notes that it did not.
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

// State names the breaker's state.
func (b *Breaker) State() string {
	switch {
	case !b.open:
		return "closed"
	case b.probing:
		return "half-open"
	}
	return "open"
}
