package soak

import (
	"slices"
	"testing"
	"time"
)

// seamScript returns a script in which each seam can make a sidecar break the rule of that seam. A
// seam is a place where a build with the tag seams can break a rule on purpose. In the script, servers
// hang, also while the sidecar shuts down, a server drains, and many requests have short deadlines.
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
			{At: Span(600 * time.Millisecond), Kind: EventServerDrain, Targets: []int{2}},
			{At: Span(1500 * time.Millisecond), Kind: EventServerMode, Targets: []int{0, 1, 2}, Mode: ModeHang, For: Span(700 * time.Millisecond)},
			{At: Span(2400 * time.Millisecond), Kind: EventServerMode, Targets: []int{0, 1, 2}, Mode: ModeHang, For: Span(4200 * time.Millisecond)},
			{At: Span(2500 * time.Millisecond), Kind: EventStop, Targets: []int{0}, Signals: []string{"TERM"}},
		},
	}
}

// If a seam makes the sidecar break a rule, Judge reports a breach of that rule. Under the same
// script it reports no breach for a sidecar without a seam.
func TestSeamsAreCaught(t *testing.T) {
	build(t)
	for n, test := range []struct {
		seams string
		rule  Rule // that must be broken; empty: none
	}{{"", ""}, {"late-stop", RuleKill}, {"deaf-drain", RuleDrain}, {"no-deadlines", RuleDeadline}} {
		t.Run("seams "+test.seams, func(t *testing.T) {
			t.Parallel()
			breaches, _ := run(t, seamScript(), programs.withSeams, test.seams, 100+n)
			if test.rule == "" {
				for _, breach := range breaches {
					t.Errorf("without a seam, the run found the breach %v, want none", breach)
				}
				return
			}
			if !slices.ContainsFunc(breaches, func(b Breach) bool { return b.Rule == test.rule }) {
				t.Errorf("with the seam %s, the run found the breaches %v, want one of %q", test.seams, breaches, test.rule)
			}
		})
	}
}
