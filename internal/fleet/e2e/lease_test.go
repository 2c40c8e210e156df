package e2e

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
)

// Two operators start operations on the same instances at the same time. At least one succeeds. One
// that gets no lease gets an error that names the other operation and a lease holder. No generation
// of an instance is launched twice.
func TestConcurrentOperatorsExcludeEachOther(t *testing.T) {
	s := simulate(t, 3, 2, 5*time.Millisecond, 5*time.Millisecond, nil)
	ctx := context.Background()
	for round := range 10 {
		ops := []api.Operation{s.newOperation(api.ActRestart), s.newOperation(api.ActRestart)}
		ops[1].Targets = ops[1].Targets[:4]
		errs := make([]error, 2)
		reps := make([]*client.Report, 2)
		var wg sync.WaitGroup
		for n := range ops {
			wg.Go(func() {
				o := runOptions()
				o.LeaseHolder = fmt.Sprintf("operator-%d", n)
				reps[n], errs[n] = s.fleet.Start(ctx, ops[n], o)
			})
		}
		wg.Wait()
		succeeded := 0
		for n := range ops {
			if errs[n] == nil {
				succeeded++
				if !reps[n].OK() {
					t.Fatalf("round %d: operation of operator-%d ended %s because %s, want success", round, n, reps[n].Result, reps[n].Why)
				}
				continue
			}
			e, ok := errors.AsType[*api.Error](errs[n])
			if !ok || e.Code != api.LeaseHeld || !strings.Contains(e.Message, ops[1-n].ID) || !strings.Contains(e.Message, "operator-") && !strings.Contains(e.Message, "tester") {
				t.Fatalf("round %d: operator-%d got error %v, want code %s with the other operation's id and its lease holder", round, n, errs[n], api.LeaseHeld)
			}
		}
		if succeeded == 0 {
			t.Fatalf("round %d: neither operator got the leases: %v", round, errs)
		}
	}
	for _, h := range s.hosts {
		for launch, n := range launches(h) {
			if n != 1 {
				t.Errorf("%s was launched %d times, want 1", launch, n)
			}
		}
	}
}

// A lease holder stalls until its lease has expired, at each stage of its operation in turn, and
// another one takes over. After that the calls of the first one are fenced and change nothing.
func TestStalledLeaseHolderIsFenced(t *testing.T) {
	s := simulate(t, 1, 2, time.Millisecond, time.Millisecond, nil)
	ctx, a := context.Background(), s.fleet.Agents[0]
	wait := func(op string, ok func(out *api.OpOut) bool) {
		eventually(t, "the expected state of operation "+op, func() bool {
			var out api.OpOut
			err := a.Call(ctx, api.OpStatus, &api.StatusIn{Op: op}, &out)
			return err == nil && ok(&out)
		})
	}
	// The lease holder stalls before its first step, after it, after its second one, and before its
	// operation's end.
	for stage := range 4 {
		op := s.newOperation(api.ActRestart)
		open := func(o api.Operation, holder string, ttl time.Duration) (out api.OpenOut) {
			if err := a.Call(ctx, api.OpOpen, &api.OpenIn{Operation: o, LeaseHolder: holder, TTL: ttl}, &out); err != nil {
				t.Fatalf("opening operation %s: %v", o.ID, err)
			}
			return out
		}
		stalled := open(op, "stalled", 300*time.Millisecond)
		for n := range min(stage, 2) {
			if err := a.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: stalled.Token, Instance: op.Targets[n].Instance, Kind: api.Change}, nil); err != nil {
				t.Fatalf("starting step %d: %v", n, err)
			}
			wait(op.ID, func(out *api.OpOut) bool {
				return out.Steps[len(out.Steps)-1].Status == api.StepOK && len(out.Steps) == n+1
			})
		}
		wait(op.ID, func(out *api.OpOut) bool { return out.LeaseHolder == "" }) // the lease has expired
		var current api.OpenOut
		if stage%2 == 0 { // another lease holder resumes the operation, or aborts it and opens its own
			current = open(op, "other", time.Minute)
		} else {
			if err := a.Call(ctx, api.OpAbort, &api.AbortIn{Op: op.ID}, nil); err != nil {
				t.Fatalf("aborting operation %s: %v", op.ID, err)
			}
			wait(op.ID, func(out *api.OpOut) bool { return out.State == api.OpClosed })
			other := s.newOperation(api.ActDrain)
			current = open(other, "other", time.Minute)
			op.ID, other.ID = other.ID, op.ID // from here on op.ID is the open operation
			for _, id := range []string{other.ID, op.ID} {
				for _, target := range op.Targets {
					err := a.Call(ctx, api.StepStart, &api.StepIn{Op: id, Token: stalled.Token, Instance: target.Instance, Kind: api.Change}, nil)
					if e, ok := errors.AsType[*api.Error](err); !ok || e.Code != api.Fenced && e.Code != api.Closed {
						t.Errorf("stalled at stage %d: step of %s with the expired token: got error %v, want code %s or %s", stage, id, err, api.Fenced, api.Closed)
					}
				}
			}
		}
		before := len(s.hosts[0].Launches())
		checkFenced(t, a, op, stalled.Token, stage)
		if n := len(s.hosts[0].Launches()); n != before {
			t.Errorf("stalled at stage %d: calls with the expired token caused %d launches, want 0", stage, n-before)
		}
		if err := a.Call(ctx, api.OpClose, &api.CloseIn{Op: op.ID, Token: current.Token, Result: "done"}, nil); err != nil {
			t.Fatalf("closing operation %s: %v", op.ID, err)
		}
	}
}

// checkFenced checks that the agent rejects calls with an expired token: the steps of an operation,
// its end and the renewal of its lease. stage is the stage at which the lease holder stalled.
func checkFenced(t *testing.T, a *client.Agent, op api.Operation, token int64, stage int) {
	t.Helper()
	ctx := context.Background()
	for _, target := range op.Targets {
		for _, kind := range []string{api.Change, api.Rollback} {
			err := a.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: token, Instance: target.Instance, Kind: kind}, nil)
			if e, ok := errors.AsType[*api.Error](err); !ok || e.Code != api.Fenced {
				t.Errorf("stalled at stage %d: %s step on %s: got error %v, want code %s", stage, kind, target.Instance, err, api.Fenced)
			}
		}
	}
	for method, in := range map[string]any{
		api.OpClose:  &api.CloseIn{Op: op.ID, Token: token, Result: "mine"},
		api.OpStatus: &api.StatusIn{Op: op.ID, Token: token, TTL: time.Minute},
	} {
		if e, ok := errors.AsType[*api.Error](a.Call(ctx, method, in, nil)); !ok || e.Code != api.Fenced {
			t.Errorf("stalled at stage %d: call of %s: got error %v, want code %s", stage, method, e, api.Fenced)
		}
	}
}
