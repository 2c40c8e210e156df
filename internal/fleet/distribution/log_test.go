package distribution

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestProposeComparesRevision(t *testing.T) {
	log := newLog(testLimits())
	first := publish(t, log, put("a", "x", content(1)))
	zero, other := Revision{}, Revision{Epoch: 1, Number: 77}

	for name, condition := range map[string]*Revision{"resource must not exist": &zero, "resource must be at another revision": &other} {
		change := put("a", "x", content(2))
		change.If = condition
		_, next, err := log.Propose(testTime, 1, change)
		conflict, ok := errors.AsType[*ConflictError](err)
		if !ok || next != nil || conflict.Current != first.Revision || conflict.Want != *condition {
			t.Errorf("Propose with the condition that the %s: got a step: %v, error %v; want a ConflictError with current revision %v and wanted revision %v", name, next != nil, err, first.Revision, *condition)
		}
	}
	change := put("a", "x", content(2))
	change.If = &first.Revision
	second := publish(t, log, change)
	if !second.Revision.After(first.Revision) {
		t.Errorf("second change has revision %v, want one after %v", second.Revision, first.Revision)
	}
	change = put("b", "x", content(2))
	change.If = &other
	if _, _, err := log.Propose(testTime, 1, change); err == nil {
		t.Errorf("Propose with the condition that a missing resource is at revision %v: got no error, want one", other)
	}
	change.If = &zero
	publish(t, log, change)
}

func TestProposeAnswersRepeatedPutWithCurrent(t *testing.T) {
	log := newLog(testLimits())
	zero := Revision{}
	change := put("a", "x", content(1))
	change.If = &zero
	first := publish(t, log, change)
	again, next, err := log.Propose(testTime.Add(time.Hour), 1, change)
	if err != nil || next != nil || again.Revision != first.Revision {
		t.Fatalf("repeated Propose: got revision %v, a step: %v, error %v; want revision %v without a step", again.Revision, next != nil, err, first.Revision)
	}
}

func TestProposeAnswersRepeatedRemovalWithEarlierOne(t *testing.T) {
	log := newLog(testLimits())
	publish(t, log, put("a", "x", content(1)))
	first := publish(t, log, remove("a"))
	publish(t, log, put("b", "x", content(1)))
	again, next, err := log.Propose(testTime, 1, remove("a"))
	if err != nil || next != nil || again.Revision != first.Revision || !again.Removed {
		t.Fatalf("repeated removal: got %+v, a step: %v, error %v; want the tombstone of revision %v without a step", again, next != nil, err, first.Revision)
	}
	if err := again.Check(); err != nil {
		t.Errorf("Check of the tombstone: got error %v, want none", err)
	}
}

func TestProposeRejectsRemovalOfUnknown(t *testing.T) {
	log := newLog(testLimits())
	_, next, err := log.Propose(testTime, 1, remove("a"))
	if invalid, ok := errors.AsType[*InvalidError](err); !ok || next != nil || invalid.What != "name" {
		t.Fatalf("removal of a missing resource: got a step: %v, error %v; want an InvalidError about the name", next != nil, err)
	}
	change := remove("a")
	change.If = &Revision{Epoch: 1, Number: 1}
	if _, _, err = log.Propose(testTime, 1, change); !isConflict(err) {
		t.Fatalf("removal of a missing resource with a condition: got error %v, want a ConflictError", err)
	}
}

func isConflict(err error) bool {
	_, ok := errors.AsType[*ConflictError](err)
	return ok
}

func TestProposeRejectsEarlierEpoch(t *testing.T) {
	log := newLog(testLimits())
	log.Apply(log.Promote(3))
	_, next, err := log.Propose(testTime, 2, put("a", "x", content(1)))
	if fenced, ok := errors.AsType[*FencedError](err); !ok || next != nil || fenced.Known != 3 {
		t.Fatalf("Propose in epoch 2 of a log in epoch 3: got a step: %v, error %v; want a FencedError with known epoch 3", next != nil, err)
	}
}

func TestProposeBoundsResources(t *testing.T) {
	log := newLog(Limits{Resources: 1, History: 10})
	publish(t, log, put("a", "x", content(1)))
	_, _, err := log.Propose(testTime, 1, put("b", "x", content(1)))
	if limit, ok := errors.AsType[*LimitError](err); !ok || limit.Limit != 1 {
		t.Fatalf("Propose of a second resource: got error %v, want a LimitError with the limit 1", err)
	}
	publish(t, log, put("a", "x", content(2)))
	publish(t, log, remove("a"))
	publish(t, log, put("b", "x", content(1)))
}

func TestProposeChecksChange(t *testing.T) {
	tooManyLabels := make(map[string]string)
	for n := range maxLabels + 1 {
		tooManyLabels[strings.Repeat("k", n+1)] = ""
	}
	cases := map[string]struct {
		change Put
		what   string // InvalidError.What
	}{
		"name":                       {put("../a b", "x", "{}"), "name"},
		"no name":                    {put("", "x", "{}"), "name"},
		"array":                      {put("a", "x", "[]"), "content"},
		"null":                       {put("a", "x", "null"), "content"},
		"incomplete JSON":            {put("a", "x", `{"limits":`), "content"},
		"empty content":              {put("a", "x", ""), "content"},
		"instance key":               {put("a", "x", `{"listen":"x"}`), "content"},
		"instance key in other case": {put("a", "x", `{"Seed":"1"}`), "content"},
		"content too long":           {put("a", "x", `{"x":"`+strings.Repeat("x", MaxContent)+`"}`), "content"},
		"share too large":            {Put{Name: "a", Content: []byte("{}"), Scope: Scope{Fraction: 1.5}}, "scope"},
		"negative share":             {Put{Name: "a", Content: []byte("{}"), Scope: Scope{Fraction: -0.5}}, "scope"},
		"too many labels":            {Put{Name: "a", Content: []byte("{}"), Scope: Scope{Labels: tooManyLabels}}, "scope"},
		"label not UTF-8":            {put("a", "\xff", "{}"), "scope"},
		"key not UTF-8":              {Put{Name: "a", Content: []byte("{}"), Scope: Scope{Labels: map[string]string{"\xff": "x"}}}, "scope"},
		"author too long":            {Put{Name: "a", Content: []byte("{}"), Author: strings.Repeat("x", maxAuthorBytes+1)}, "author"},
		"author not UTF-8":           {Put{Name: "a", Content: []byte("{}"), Author: "\xff"}, "author"},
	}
	for name, c := range cases {
		log := newLog(testLimits())
		_, next, err := log.Propose(testTime, 1, c.change)
		if invalid, ok := errors.AsType[*InvalidError](err); !ok || invalid.What != c.what || next != nil {
			t.Errorf("Propose with an invalid change (%s): got a step: %v, error %v; want an InvalidError about the %s", name, next != nil, err, c.what)
		}
	}
}

func TestProposeCopiesItsInput(t *testing.T) {
	log := newLog(testLimits())
	change := put("a", "x", content(1))
	publish(t, log, change)
	change.Content[0], change.Scope.Labels["service"] = 'x', "y"
	resource, _ := log.Resource("a")
	if err := resource.Check(); err != nil {
		t.Fatalf("Check after the caller changed its input: got error %v, want none", err)
	}
}

func TestErrorsHaveAdvice(t *testing.T) {
	cause := errors.New("connection refused")
	for _, err := range []interface {
		error
		Advice() string
	}{&InvalidError{}, &ConflictError{}, &ConflictError{Want: Revision{1, 2}, Current: Revision{1, 3}}, &LimitError{},
		&FencedError{}, &NotWriterError{}, &AheadError{}, &UnreachableError{Last: cause}, &FullError{}} {
		if err.Error() == "" || err.Advice() == "" {
			t.Errorf("%T: Error() = %q, Advice() = %q, want neither to be empty", err, err.Error(), err.Advice())
		}
	}
	if !errors.Is(&UnreachableError{Last: cause}, cause) {
		t.Error("UnreachableError does not wrap the last relay's error")
	}
}

// promotedBehind returns a log at revision 1.4, and a relay that was promoted when its copy was at
// 1.2.
func promotedBehind(t *testing.T) (old, promoted *State) {
	old, promoted = newLog(testLimits()), NewState(testLimits())
	publish(t, old, put("a", "x", content(1)))
	publish(t, old, put("b", "x", content(1)))
	catchUp(t, old, promoted, 0)
	publish(t, old, put("b", "x", content(2)))
	publish(t, old, put("c", "x", content(1)))
	promoted.Apply(promoted.Promote(2))
	return old, promoted
}

func TestPromotionGivesSnapshotAndFences(t *testing.T) {
	old, promoted := promotedBehind(t)
	interest := interestIn("h", "x")
	replica, relay := NewReplica(interest), NewState(testLimits())
	subscribe(t, old, replica, interest, 0)
	catchUp(t, old, relay, 0)

	page, err := promoted.Read(Query{After: replica.Revision(), Interest: &interest})
	if err != nil || !page.Snapshot {
		t.Fatalf("Read for a reader of the earlier epoch: got %+v, error %v; want a snapshot", page, err)
	}
	subscribe(t, promoted, replica, interest, 0)
	requireReplica(t, promoted, replica, interest)
	catchUp(t, promoted, relay, 0)
	requireSameState(t, promoted, relay)

	publish(t, old, put("d", "x", content(1)))
	late, err := old.Read(Query{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := replica.Apply(late); !isFenced(err) {
		t.Errorf("subscriber applies an update of the earlier epoch: got error %v, want a FencedError", err)
	}
	if _, err := relay.PrepareUpdate(late); !isFenced(err) {
		t.Errorf("relay prepares an update of the earlier epoch: got error %v, want a FencedError", err)
	}
	requireReplica(t, promoted, replica, interest)
	requireSameState(t, promoted, relay)
	if _, err := old.Read(Query{After: relay.Revision()}); !isAhead(err) {
		t.Errorf("earlier writer reads for a reader of the later epoch: got error %v, want an AheadError", err)
	}
}

func isFenced(err error) bool {
	_, ok := errors.AsType[*FencedError](err)
	return ok
}

func isAhead(err error) bool {
	_, ok := errors.AsType[*AheadError](err)
	return ok
}

func isInvalid(err error) bool {
	_, ok := errors.AsType[*InvalidError](err)
	return ok
}

func isLimit(err error) bool {
	_, ok := errors.AsType[*LimitError](err)
	return ok
}

func TestPrepareUpdateRejectsInvalidUpdates(t *testing.T) {
	log, relay := newLog(testLimits()), NewState(testLimits())
	publish(t, log, put("a", "x", content(1)))
	catchUp(t, log, relay, 0)
	publish(t, log, put("a", "x", content(2)))
	publish(t, log, put("b", "x", content(2)))
	delta, err := log.Read(Query{After: relay.Revision()})
	if err != nil || delta.Snapshot {
		t.Fatalf("Read after the relay's revision: got %+v, error %v; want a delta", delta, err)
	}
	snapshot, _ := log.Read(Query{})
	tombstone := Resource{Name: "c", Removed: true, Revision: log.Revision()}
	tombstone.Hash = hashOf(&tombstone)

	cases := map[string]struct {
		update  Update
		corrupt func(*Update)
	}{
		"begins before the copy's revision": {delta, func(u *Update) { u.After.Number-- }},
		"incomplete":                        {delta, func(u *Update) { u.More = true }},
		"earlier revision":                  {delta, func(u *Update) { u.Revision = Revision{1, 0} }},
		"epoch without snapshot":            {delta, func(u *Update) { u.Revision.Epoch = 2 }},
		"duplicate resource":                {delta, func(u *Update) { u.Resources = append(u.Resources, u.Resources[0]) }},
		"later resource":                    {delta, func(u *Update) { u.Resources[0].Revision.Number = 99 }},
		"earlier resource":                  {delta, func(u *Update) { u.Resources[0].Revision.Number = 1 }},
		"content does not match hash":       {delta, func(u *Update) { u.Resources[0].Content = []byte("{}") }},
		"later change":                      {delta, func(u *Update) { u.Changes[0].Revision.Number = 99 }},
		"earlier change":                    {delta, func(u *Update) { u.Changes[0].Revision.Number = 1 }},
		"changes out of order":              {delta, func(u *Update) { slices.Reverse(u.Changes) }},
		"change without a name":             {delta, func(u *Update) { u.Changes[0].Name = "" }},
		"change with invalid scope":         {delta, func(u *Update) { u.Changes[0].Scope.Fraction = 7 }},
		"change with invalid earlier scope": {delta, func(u *Update) { u.Changes[0].Before = &Scope{Fraction: 7} }},
		"year too large":                    {delta, func(u *Update) { u.Resources[0].At = testTime.AddDate(9000, 0, 0) }},
		"removed in snapshot":               {snapshot, func(u *Update) { u.Resources = append(u.Resources, tombstone) }},
	}
	for name, c := range cases {
		update := c.update
		update.Resources, update.Changes = slices.Clone(update.Resources), slices.Clone(update.Changes)
		c.corrupt(&update)
		if next, err := relay.PrepareUpdate(update); !isInvalid(err) || next != nil {
			t.Errorf("PrepareUpdate of an invalid update (%s): got a step: %v, error %v; want an InvalidError", name, next != nil, err)
		}
	}
	next, err := relay.PrepareUpdate(delta)
	if err != nil {
		t.Fatal(err)
	}
	relay.Apply(next)
	requireSameState(t, log, relay)
	if next, err := relay.PrepareUpdate(Update{After: relay.Revision(), Revision: relay.Revision()}); next != nil || err != nil {
		t.Errorf("PrepareUpdate of an empty update = %v, %v; want no step and no error", next, err)
	}
}
