package martendrum

import (
	"testing"
	"time"
)

// A failed poll is repeated within Config.PollRetryWithin, however many polls have failed before it.
func TestPollRetryDelayIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MaxListAge, cfg.PollRetryWithin = time.Minute, 500*ms
	host := new(recorder)
	b, err := New(cfg, 1, host) // no list has been received
	if err != nil {
		t.Fatal(err)
	}
	for failures := range 50 {
		b.DiscoveryFailed(time.Duration(failures) * time.Second)
		if delay := host.delays[len(host.delays)-1]; delay > cfg.PollRetryWithin || delay < cfg.PollRetryWithin/4 {
			t.Errorf("the next poll after %d earlier failures is delayed by %v, want %v to %v", failures, delay, cfg.PollRetryWithin/4, cfg.PollRetryWithin)
		}
	}
}
