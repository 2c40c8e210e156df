package martendrum

import "time"

// tokenBucket is an amount of tokens as of a time.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// refill adds rate tokens a second up to burst, which is 1 at least.
func (b *tokenBucket) refill(rate, burst float64, now time.Duration) {
	b.tokens, b.at = min(b.tokens+rate*(now-b.at).Seconds(), max(1, burst)), now
}
