package distribution

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

const testCoalesce = 2 * time.Second

// version is a resource at a revision, with content of its own.
func version(name string, number int64) Resource {
	r := Resource{Name: name, Content: []byte(content(int(number))), Revision: Revision{Epoch: 1, Number: number}}
	r.Hash = hashOf(&r)
	return r
}

// versions describes resources as "name@number".
func versions(resources []Resource) []string {
	var names []string
	for _, r := range resources {
		names = append(names, fmt.Sprintf("%s@%d", r.Name, r.Revision.Number))
	}
	slices.Sort(names)
	return names
}

// settle makes attempts until none is due. The instance rejects the named versions.
func settle(t testing.TB, applier *Applier, refuses ...string) (attempts int) {
	t.Helper()
	for ; attempts < 1000; attempts++ {
		if _, due := applier.Due(); !due {
			return attempts
		}
		offered := versions(applier.Begin())
		rejected := slices.ContainsFunc(offered, func(name string) bool { return slices.Contains(refuses, name) })
		applier.Done(!rejected, "no such limit")
	}
	t.Fatal("the attempts do not end")
	return attempts
}

func requireApplied(t testing.TB, applier *Applier, accepted, rejected []string) {
	t.Helper()
	if have := versions(applier.Accepted()); !slices.Equal(have, accepted) {
		t.Errorf("accepted %v; want %v", have, accepted)
	}
	var names []string
	for _, rejection := range applier.Rejections() {
		names = append(names, fmt.Sprintf("%s@%d", rejection.Resource, rejection.Revision.Number))
	}
	if !slices.Equal(names, rejected) {
		t.Errorf("rejected %v; want %v", names, rejected)
	}
}

func TestApplierCoalesces(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	if _, due := applier.Due(); due || applier.Pending() {
		t.Error("nothing is wanted")
	}
	applier.Want(testTime, []Resource{version("a", 1)})
	applier.Want(testTime.Add(time.Second), []Resource{version("a", 2), version("b", 3)})
	at, due := applier.Due()
	if !due || at != testTime.Add(testCoalesce) {
		t.Fatalf("due %v at %v", due, at)
	}
	if offered := versions(applier.Begin()); !slices.Equal(offered, []string{"a@2", "b@3"}) {
		t.Errorf("offered %v", offered)
	}
	if _, due := applier.Due(); due || !applier.Pending() {
		t.Error("an attempt is under way")
	}
	applier.Done(true, "")
	requireApplied(t, applier, []string{"a@2", "b@3"}, nil)
	if applier.Pending() {
		t.Error("still pending")
	}
	applier.Want(testTime.Add(time.Hour), []Resource{version("a", 4), version("b", 3)})
	if at, due := applier.Due(); !due || at != testTime.Add(time.Hour+testCoalesce) {
		t.Errorf("due %v at %v", due, at)
	}
}

func TestApplierRejectsOneAmongSeveral(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.Want(testTime, []Resource{version("b", 1)})
	settle(t, applier)
	applier.Want(testTime, []Resource{version("a", 2), version("b", 3), version("c", 4)})
	if attempts := settle(t, applier, "b@3"); attempts != 4 {
		t.Errorf("%d attempts", attempts)
	}
	requireApplied(t, applier, []string{"a@2", "b@1", "c@4"}, []string{"b@3"})
	if rejection := applier.Rejections()[0]; rejection.Reason != "no such limit" || rejection.Instance != "i" {
		t.Errorf("%+v", rejection)
	}

	applier.Want(testTime, []Resource{version("a", 2), version("b", 5), version("c", 4)})
	settle(t, applier)
	requireApplied(t, applier, []string{"a@2", "b@5", "c@4"}, nil)
}

// A later revision that arrives while an earlier one is being rejected is attempted.
func TestApplierAttemptsRevisionThatArrivedDuringAttempt(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.Want(testTime, []Resource{version("a", 1)})
	applier.Begin()
	applier.Want(testTime, []Resource{version("a", 2)})
	applier.Done(false, "no")
	if !applier.Pending() {
		t.Fatal("the later revision is not tried")
	}
	settle(t, applier)
	requireApplied(t, applier, []string{"a@2"}, nil)

	applier.Want(testTime, []Resource{version("a", 3)})
	applier.Begin()
	applier.Want(testTime, []Resource{version("a", 4)})
	applier.Done(true, "")
	requireApplied(t, applier, []string{"a@3"}, nil)
	settle(t, applier)
	requireApplied(t, applier, []string{"a@4"}, nil)
}

// A revision that is no longer wanted when it is rejected leaves no rejection behind.
func TestApplierForgetsRejectionOfUnwanted(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.Want(testTime, []Resource{version("a", 1)})
	applier.Begin()
	applier.Want(testTime, nil)
	applier.Done(false, "no")
	requireApplied(t, applier, nil, nil)
	if applier.Pending() {
		t.Error("still pending")
	}
}

func TestApplierRemoves(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.Want(testTime, []Resource{version("a", 1), version("b", 2)})
	settle(t, applier)
	applier.Want(testTime, []Resource{version("b", 2)})
	if offered := versions(applier.Begin()); !slices.Equal(offered, []string{"b@2"}) {
		t.Errorf("offered %v", offered)
	}
	applier.Done(false, "needs a")
	requireApplied(t, applier, []string{"a@1", "b@2"}, []string{"a@0"})
	applier.Want(testTime, []Resource{version("b", 2)})
	if applier.Pending() {
		t.Error("a rejected removal is retried")
	}
	applier.Forgive(testTime)
	settle(t, applier)
	requireApplied(t, applier, []string{"b@2"}, nil)
}

func TestApplierAbandons(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.Want(testTime, []Resource{version("a", 1)})
	applier.Begin()
	applier.Abandon()
	requireApplied(t, applier, nil, nil)
	if _, due := applier.Due(); !due {
		t.Error("an abandoned attempt is not retried")
	}
	settle(t, applier)
	requireApplied(t, applier, []string{"a@1"}, nil)
}

func TestApplierRetriesAfterForgive(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.Want(testTime, []Resource{version("a", 1)})
	settle(t, applier, "a@1")
	requireApplied(t, applier, nil, []string{"a@1"})
	later := testTime.Add(time.Hour)
	applier.Forgive(later)
	if at, due := applier.Due(); !due || at != later.Add(testCoalesce) {
		t.Errorf("due %v at %v", due, at)
	}
	settle(t, applier)
	requireApplied(t, applier, []string{"a@1"}, nil)
}

func TestApplierBoundsReason(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	applier.Want(testTime, []Resource{version("a", 1)})
	applier.Begin()
	applier.Done(false, "x"+strings.Repeat("ä", maxReasonBytes))
	if reason := applier.Rejections()[0].Reason; len(reason) > maxReasonBytes || strings.ToValidUTF8(reason, "") != reason {
		t.Errorf("a reason of %d bytes, or one cut within a letter: %q", len(reason), reason)
	}
}

// restoreApplier returns an Applier restored from the applier's entry.
func restoreApplier(t failer, applier *Applier) *Applier {
	t.Helper()
	restored := NewApplier(applier.instance, applier.coalesce)
	other := Entry{Key: acceptedPrefix + applier.instance + "2", Value: []byte("[]")}
	if err := restored.Restore([]Entry{other, applier.Entry()}); err != nil {
		t.Fatal(err)
	}
	return restored
}

// The accepted settings stay in force after a restart, even before the wanted settings are
// known.
func TestApplierRestores(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	first := []Resource{version("a", 1), version("b", 2)}
	second := []Resource{version("a", 3), version("b", 2)}
	applier.Want(testTime, first)
	settle(t, applier)
	applier.Want(testTime, second)
	settle(t, applier, "a@3")
	restored := restoreApplier(t, applier)
	requireApplied(t, restored, []string{"a@1", "b@2"}, []string{"a@3"})
	if _, due := restored.Due(); due || restored.Pending() {
		t.Error("accepted settings are removed before Want was called")
	}
	restored.Want(testTime, second)
	if restored.Pending() {
		t.Error("a rejected revision is retried")
	}
	restored.Want(testTime, []Resource{version("a", 4)})
	settle(t, restored)
	requireApplied(t, restored, []string{"a@4"}, nil)

	spoilt := applier.Entry()
	for _, value := range []string{"", "[]", `{"accepted":[{"name":"a"}]}`} {
		spoilt.Value = []byte(value)
		if err := NewApplier("i", 0).Restore([]Entry{spoilt}); err == nil {
			t.Errorf("%q is taken", value)
		}
	}
}

// After a stream of changes, some of them rejected, each resource has its last good revision.
func TestApplierUnderSteadyChanges(t *testing.T) {
	applier := NewApplier("i", testCoalesce)
	wanted := make(map[string]Resource)
	for n := int64(1); n <= 60; n++ {
		name := string(rune('a' + n%4))
		wanted[name] = version(name, n)
		applier.Want(testTime.Add(time.Duration(n)*time.Second), slices.Collect(maps.Values(wanted)))
		if n%5 == 0 {
			settle(t, applier, fmt.Sprintf("%s@%d", name, n))
		}
	}
	requireApplied(t, applier, []string{"a@52", "b@57", "c@58", "d@59"}, []string{"a@60"})
}
