package martendrum

import "time"

// tokenBucket is a number of tokens at a point in time.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// refill adds rate tokens for each second since the last refill. The bucket holds at most burst
// tokens, or 1 if burst is less.
func (t *tokenBucket) refill(rate, burst float64, now time.Duration) {
	t.tokens = min(t.tokens+rate*(now-t.at).Seconds(), max(1, burst))
	t.at = now
}
