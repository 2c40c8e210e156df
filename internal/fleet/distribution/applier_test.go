package distribution

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// testCoalesce is the coalescing delay of the tested appliers.
const testCoalesce = 2 * time.Second

// version returns a resource at revision 1.number, with content that no other number has.
func version(name string, number int64) Resource {
	r := Resource{Name: name, Content: []byte(content(int(number))), Revision: Revision{Epoch: 1, Number: number}}
	r.Hash = hashOf(&r)
	return r
}

// versions returns the resources in the form "name@number", sorted.
func versions(resources []Resource) []string {
	var texts []string
	for _, r := range resources {
		texts = append(texts, fmt.Sprintf("%s@%d", r.Name, r.Revision.Number))
	}
	slices.Sort(texts)
	return texts
}

// settle makes attempts until none is due, and returns their number. The instance rejects the given
// versions.
func settle(t testing.TB, applier *Applier, rejects ...string) (attempts int) {
	t.Helper()
	for ; attempts < 1000; attempts++ {
		if _, due := applier.Due(); !due {
			return attempts
		}
		offered := versions(applier.BeginAttempt())
		rejected := slices.ContainsFunc(offered, func(version string) bool { return slices.Contains(rejects, version) })
		applier.EndAttempt(!rejected, "no such limit")
	}
	t.Fatal("an attempt is still due after 1000 attempts")
	return attempts
}

// requireApplied requires that the instance accepted and rejected exactly these versions.
func requireApplied(t testing.TB, applier *Applier, accepted, rejected []string) {
	t.Helper()
	if have := versions(applier.Accepted()); !slices.Equal(have, accepted) {
		t.Errorf("accepted versions are %v, want %v", have, accepted)
	}
	var have []string
	for _, rejection := range applier.Rejections() {
		have = append(have, fmt.Sprintf("%s@%d", rejection.Resource, rejection.Revision.Number))
	}
	if !slices.Equal(have, rejected) {
		t.Errorf("rejected versions are %v, want %v", have, rejected)
	}
}

func TestApplierCoalesces(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	if _, due := applier.Due(); due || applier.Pending() {
		t.Error("new applier has a pending change or an attempt that is due, want neither")
	}
	applier.SetWanted(testTime, []Resource{version("a", 1)})
	applier.SetWanted(testTime.Add(time.Second), []Resource{version("a", 2), version("b", 3)})
	at, due := applier.Due()
	if !due || at != testTime.Add(testCoalesce) {
		t.Fatalf("Due() = %v, %v; want %v, the end of the coalescing delay after the first change", at, due, testTime.Add(testCoalesce))
	}
	if offered := versions(applier.BeginAttempt()); !slices.Equal(offered, []string{"a@2", "b@3"}) {
		t.Errorf("BeginAttempt returned %v, want a@2 and b@3", offered)
	}
	if _, due := applier.Due(); due || !applier.Pending() {
		t.Error("during an attempt another one is due, or its changes are not pending")
	}
	applier.EndAttempt(true, "")
	requireApplied(t, applier, []string{"a@2", "b@3"}, nil)
	if applier.Pending() {
		t.Error("a change is pending after all were accepted")
	}
	applier.SetWanted(testTime.Add(time.Hour), []Resource{version("a", 4), version("b", 3)})
	if at, due := applier.Due(); !due || at != testTime.Add(time.Hour+testCoalesce) {
		t.Errorf("Due() after a later change = %v, %v; want %v, the end of its coalescing delay", at, due, testTime.Add(time.Hour+testCoalesce))
	}
}

func TestApplierRejectsOneAmongSeveral(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.SetWanted(testTime, []Resource{version("b", 1)})
	settle(t, applier)
	applier.SetWanted(testTime, []Resource{version("a", 2), version("b", 3), version("c", 4)})
	if attempts := settle(t, applier, "b@3"); attempts != 4 {
		t.Errorf("made %d attempts, want 4: the batch and each of its three changes", attempts)
	}
	requireApplied(t, applier, []string{"a@2", "b@1", "c@4"}, []string{"b@3"})
	if rejection := applier.Rejections()[0]; rejection.Reason != "no such limit" || rejection.Instance != "i" {
		t.Errorf("rejection is %+v, want instance i and the reason of the instance", rejection)
	}

	applier.SetWanted(testTime, []Resource{version("a", 2), version("b", 5), version("c", 4)})
	settle(t, applier)
	requireApplied(t, applier, []string{"a@2", "b@5", "c@4"}, nil)
}

// A later revision that arrives during the attempt of an earlier one is attempted next, whether the
// instance rejects or accepts the earlier one.
func TestApplierAttemptsRevisionThatArrivedDuringAttempt(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.SetWanted(testTime, []Resource{version("a", 1)})
	applier.BeginAttempt()
	applier.SetWanted(testTime, []Resource{version("a", 2)})
	applier.EndAttempt(false, "no")
	if !applier.Pending() {
		t.Fatal("later revision that arrived during the attempt is not pending")
	}
	settle(t, applier)
	requireApplied(t, applier, []string{"a@2"}, nil)

	applier.SetWanted(testTime, []Resource{version("a", 3)})
	applier.BeginAttempt()
	applier.SetWanted(testTime, []Resource{version("a", 4)})
	applier.EndAttempt(true, "")
	requireApplied(t, applier, []string{"a@3"}, nil)
	settle(t, applier)
	requireApplied(t, applier, []string{"a@4"}, nil)
}

// No rejection is recorded for a revision that is no longer wanted when the instance rejects it.
func TestApplierForgetsRejectionOfUnwanted(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.SetWanted(testTime, []Resource{version("a", 1)})
	applier.BeginAttempt()
	applier.SetWanted(testTime, nil)
	applier.EndAttempt(false, "no")
	requireApplied(t, applier, nil, nil)
	if applier.Pending() {
		t.Error("a revision that is no longer wanted is pending")
	}
}

func TestApplierRemoves(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.SetWanted(testTime, []Resource{version("a", 1), version("b", 2)})
	settle(t, applier)
	applier.SetWanted(testTime, []Resource{version("b", 2)})
	if offered := versions(applier.BeginAttempt()); !slices.Equal(offered, []string{"b@2"}) {
		t.Errorf("BeginAttempt after the removal of the resource a returned %v, want b@2", offered)
	}
	applier.EndAttempt(false, "needs a")
	requireApplied(t, applier, []string{"a@1", "b@2"}, []string{"a@0"})
	applier.SetWanted(testTime, []Resource{version("b", 2)})
	if applier.Pending() {
		t.Error("rejected removal is pending again")
	}
	applier.RetryRejected(testTime)
	settle(t, applier)
	requireApplied(t, applier, []string{"b@2"}, nil)
}

func TestApplierAbandons(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.SetWanted(testTime, []Resource{version("a", 1)})
	applier.BeginAttempt()
	applier.AbandonAttempt()
	requireApplied(t, applier, nil, nil)
	if _, due := applier.Due(); !due {
		t.Error("no attempt is due after an abandoned one")
	}
	settle(t, applier)
	requireApplied(t, applier, []string{"a@1"}, nil)
}

func TestApplierRetriesRejected(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.SetWanted(testTime, []Resource{version("a", 1)})
	settle(t, applier, "a@1")
	requireApplied(t, applier, nil, []string{"a@1"})
	later := testTime.Add(time.Hour)
	applier.RetryRejected(later)
	if at, due := applier.Due(); !due || at != later.Add(testCoalesce) {
		t.Errorf("Due() after RetryRejected = %v, %v; want %v, the end of the coalescing delay", at, due, later.Add(testCoalesce))
	}
	settle(t, applier)
	requireApplied(t, applier, []string{"a@1"}, nil)
}

func TestApplierBoundsReason(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.SetWanted(testTime, []Resource{version("a", 1)})
	applier.BeginAttempt()
	applier.EndAttempt(false, "x"+strings.Repeat("ä", maxReasonBytes))
	if reason := applier.Rejections()[0].Reason; len(reason) > maxReasonBytes || strings.ToValidUTF8(reason, "") != reason {
		t.Errorf("reason of the rejection has %d bytes, want valid UTF-8 of at most %d bytes: %q", len(reason), maxReasonBytes, reason)
	}
}

// restoreApplier returns an Applier restored from the applier's entry. The entry of another instance is
// present too.
func restoreApplier(t testReporter, applier *Applier) *Applier {
	t.Helper()
	restored := NewApplier(applier.instance, applier.coalesce)
	other := Entry{Key: acceptedPrefix + applier.instance + "2", Value: []byte("[]")}
	if err := restored.Restore([]Entry{other, applier.Entry()}); err != nil {
		t.Fatalf("Restore of instance %s: %v", applier.instance, err)
	}
	return restored
}

// The accepted settings stay in force after a restart, even before the wanted settings are
// known.
func TestApplierRestores(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	first := []Resource{version("a", 1), version("b", 2)}
	second := []Resource{version("a", 3), version("b", 2)}
	applier.SetWanted(testTime, first)
	settle(t, applier)
	applier.SetWanted(testTime, second)
	settle(t, applier, "a@3")
	restored := restoreApplier(t, applier)
	requireApplied(t, restored, []string{"a@1", "b@2"}, []string{"a@3"})
	if _, due := restored.Due(); due || restored.Pending() {
		t.Error("restored applier has a pending change or an attempt that is due before SetWanted was called, want neither")
	}
	restored.SetWanted(testTime, second)
	if restored.Pending() {
		t.Error("revision that was rejected before the restart is pending again")
	}
	restored.SetWanted(testTime, []Resource{version("a", 4)})
	settle(t, restored)
	requireApplied(t, restored, []string{"a@4"}, nil)

	corrupted := applier.Entry()
	for _, value := range []string{"", "[]", `{"accepted":[{"name":"a"}]}`} {
		corrupted.Value = []byte(value)
		if err := NewApplier("i", 0).Restore([]Entry{corrupted}); err == nil {
			t.Errorf("Restore with the entry value %q succeeded, want an error", value)
		}
	}
}

// After a stream of changes, some of them rejected, each resource is at its last accepted revision.
func TestApplierUnderSteadyChanges(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	wanted := make(map[string]Resource)
	for n := int64(1); n <= 60; n++ {
		name := string(rune('a' + n%4))
		wanted[name] = version(name, n)
		applier.SetWanted(testTime.Add(time.Duration(n)*time.Second), slices.Collect(maps.Values(wanted)))
		if n%5 == 0 {
			settle(t, applier, fmt.Sprintf("%s@%d", name, n))
		}
	}
	requireApplied(t, applier, []string{"a@52", "b@57", "c@58", "d@59"}, []string{"a@60"})
}
