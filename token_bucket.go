package martendrum

import "time"

// tokenBucket is an amount of tokens as of a time.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// refill adds rate tokens a second up to burst, which is 1 at least.
func (t *tokenBucket) refill(rate, burst float64, now time.Duration) {
	t.tokens = min(t.tokens+rate*(now-t.at).Seconds(), max(1, burst))
	t.at = now
}
