package martendrum

import (
	"testing"
	"time"
)

// Each failed poll is repeated within Config.RetryWithin, however many fail.
func TestPollRetryDelayIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MaxListAge, cfg.RetryWithin = time.Minute, 500*ms
	r := new(recorder)
	b, err := New(cfg, 1, r) // no list has been received
	if err != nil {
		t.Fatal(err)
	}
	for n := range 50 {
		b.DiscoveryFailed(time.Duration(n) * time.Second)
		if d := r.delays[len(r.delays)-1]; d > cfg.RetryWithin || d < cfg.RetryWithin/4 {
			t.Errorf("after failure %d the next poll comes in %v", n, d)
		}
	}
}
