package soak

import (
	"slices"
	"testing"
	"time"
)

// seamScript is a day on which a sidecar has occasion to break the rules of the seams.
func seamScript() *Script {
	return &Script{
		Seed: 7, Length: Span(7 * time.Second), Sidecars: 1, Servers: 3, DrainGrace: Span(300 * time.Millisecond),
		Classes: []Class{
			{Name: "look", Idempotency: Idempotent, Deadline: Span(4 * time.Second)},
			{Name: "book", Idempotency: IdempotencyKeyed, Deadline: Span(4 * time.Second), DedupWindow: Span(time.Second)},
			{Name: "pay", Idempotency: NonIdempotent, Deadline: Span(4 * time.Second)},
		},
		Attempts: 5, Hedging: true, Sockets: 128, Workers: 4, Work: Span(5 * time.Millisecond), Queue: 8,
		SlowStartFraction: 1, OverloadFactor: 4, OverloadDuration: Span(time.Second),
		Clients: 16, ThinkTime: Span(5 * time.Millisecond), DisconnectRate: 0.3, ShortDeadlineRate: 0.3, ShortDeadline: Span(200 * time.Millisecond),
		Events: []Event{
			{At: Span(500 * time.Millisecond), Kind: EventServerMode, Targets: []int{0, 1, 2}, Mode: ModeHang, For: Span(700 * time.Millisecond)},
			{At: Span(1500 * time.Millisecond), Kind: EventServerMode, Targets: []int{0, 1, 2}, Mode: ModeHang, For: Span(700 * time.Millisecond)},
			{At: Span(600 * time.Millisecond), Kind: EventServerDrain, Targets: []int{2}},
			{At: Span(2400 * time.Millisecond), Kind: EventServerMode, Targets: []int{0, 1, 2}, Mode: ModeHang, For: Span(4200 * time.Millisecond)},
			{At: Span(2500 * time.Millisecond), Kind: EventStop, Targets: []int{0}, Signals: []string{"TERM"}},
		},
	}
}

// A sidecar that breaks a rule is caught by a whole run, and the same day is passed by one
// that does not.
func TestSeamsAreCaught(t *testing.T) {
	build(t)
	for n, test := range []struct {
		seams string
		rule  Rule // empty: none
	}{{"", ""}, {"late-stop", RuleKill}, {"deaf-drain", RuleDrain}, {"no-deadlines", RuleDeadline}} {
		t.Run("seams "+test.seams, func(t *testing.T) {
			t.Parallel()
			breaches, _ := play(t, seamScript(), programs.seamed, test.seams, 100+n)
			if test.rule == "" {
				for _, breach := range breaches {
					t.Error(breach)
				}
				return
			}
			if !slices.ContainsFunc(breaches, func(b Breach) bool { return b.Rule == test.rule }) {
				t.Errorf("a sidecar with %s passes: %v", test.seams, breaches)
			}
		})
	}
}
