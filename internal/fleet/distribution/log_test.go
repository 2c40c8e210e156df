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

	for name, condition := range map[string]*Revision{"must be new": &zero, "must be at another": &other} {
		change := put("a", "x", content(2))
		change.If = condition
		_, next, err := log.Propose(testTime, 1, change)
		conflict, ok := errors.AsType[*ConflictError](err)
		if !ok || next != nil || conflict.Current != first.Revision || conflict.Want != *condition {
			t.Errorf("%s: step %v, error %v", name, next != nil, err)
		}
	}
	change := put("a", "x", content(2))
	change.If = &first.Revision
	second := publish(t, log, change)
	if !second.Revision.After(first.Revision) {
		t.Errorf("revision %v is not after %v", second.Revision, first.Revision)
	}
	change = put("b", "x", content(2))
	change.If = &other
	if _, _, err := log.Propose(testTime, 1, change); err == nil {
		t.Error("a resource that does not exist has no revision")
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
		t.Fatalf("%v, step %v, %v", again.Revision, next != nil, err)
	}
}

func TestProposeAnswersRepeatedRemovalWithEarlierOne(t *testing.T) {
	log := newLog(testLimits())
	publish(t, log, put("a", "x", content(1)))
	first := publish(t, log, remove("a"))
	publish(t, log, put("b", "x", content(1)))
	again, next, err := log.Propose(testTime, 1, remove("a"))
	if err != nil || next != nil || again.Revision != first.Revision || !again.Removed {
		t.Fatalf("%+v, step %v, %v", again, next != nil, err)
	}
	if err := again.Check(); err != nil {
		t.Error(err)
	}
}

func TestProposeRejectsRemovalOfUnknown(t *testing.T) {
	log := newLog(testLimits())
	_, next, err := log.Propose(testTime, 1, remove("a"))
	if invalid, ok := errors.AsType[*InvalidError](err); !ok || next != nil || invalid.What != "name" {
		t.Fatalf("step %v, error %v", next != nil, err)
	}
	change := remove("a")
	change.If = &Revision{Epoch: 1, Number: 1}
	if _, _, err = log.Propose(testTime, 1, change); !isConflict(err) {
		t.Fatal(err)
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
		t.Fatalf("step %v, error %v", next != nil, err)
	}
}

func TestProposeBoundsResources(t *testing.T) {
	log := newLog(Limits{Resources: 1, History: 10})
	publish(t, log, put("a", "x", content(1)))
	_, _, err := log.Propose(testTime, 1, put("b", "x", content(1)))
	if limit, ok := errors.AsType[*LimitError](err); !ok || limit.Limit != 1 {
		t.Fatal(err)
	}
	publish(t, log, put("a", "x", content(2)))
	publish(t, log, remove("a"))
	publish(t, log, put("b", "x", content(1)))
}

func TestProposeChecksChange(t *testing.T) {
	tooMany := make(map[string]string)
	for n := range maxLabels + 1 {
		tooMany[strings.Repeat("k", n+1)] = ""
	}
	cases := map[string]struct {
		change Put
		what   string
	}{
		"name":             {put("../a b", "x", "{}"), "name"},
		"no name":          {put("", "x", "{}"), "name"},
		"array":            {put("a", "x", "[]"), "content"},
		"null":             {put("a", "x", "null"), "content"},
		"cut off":          {put("a", "x", `{"limits":`), "content"},
		"empty":            {put("a", "x", ""), "content"},
		"of an instance":   {put("a", "x", `{"listen":"x"}`), "content"},
		"other case":       {put("a", "x", `{"Seed":"1"}`), "content"},
		"long":             {put("a", "x", `{"x":"`+strings.Repeat("x", MaxContent)+`"}`), "content"},
		"share":            {Put{Name: "a", Content: []byte("{}"), Scope: Scope{Fraction: 1.5}}, "scope"},
		"negative share":   {Put{Name: "a", Content: []byte("{}"), Scope: Scope{Fraction: -0.5}}, "scope"},
		"labels":           {Put{Name: "a", Content: []byte("{}"), Scope: Scope{Labels: tooMany}}, "scope"},
		"label not UTF-8":  {put("a", "\xff", "{}"), "scope"},
		"key not UTF-8":    {Put{Name: "a", Content: []byte("{}"), Scope: Scope{Labels: map[string]string{"\xff": "x"}}}, "scope"},
		"author":           {Put{Name: "a", Content: []byte("{}"), Author: strings.Repeat("x", maxAuthorBytes+1)}, "author"},
		"author not UTF-8": {Put{Name: "a", Content: []byte("{}"), Author: "\xff"}, "author"},
	}
	for name, c := range cases {
		log := newLog(testLimits())
		_, next, err := log.Propose(testTime, 1, c.change)
		if invalid, ok := errors.AsType[*InvalidError](err); !ok || invalid.What != c.what || next != nil {
			t.Errorf("%s: step %v, error %v; want one of %s", name, next != nil, err, c.what)
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
		t.Fatal(err)
	}
}

func TestErrorsHaveAdvice(t *testing.T) {
	cause := errors.New("silent")
	for _, err := range []interface {
		error
		Advice() string
	}{&InvalidError{}, &ConflictError{}, &ConflictError{Want: Revision{1, 2}, Current: Revision{1, 3}}, &LimitError{},
		&FencedError{}, &NotWriterError{}, &AheadError{}, &UnreachableError{Last: cause}, &FullError{}} {
		if err.Error() == "" || err.Advice() == "" {
			t.Errorf("%T: %q, %q", err, err.Error(), err.Advice())
		}
	}
	if !errors.Is(&UnreachableError{Last: cause}, cause) {
		t.Error("the cause is not wrapped")
	}
}

// promotedBehind returns an old log at 1.4 and a relay that was promoted at 1.2.
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
		t.Fatalf("%+v, %v", page, err)
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
	if _, err := replica.Take(late); !isFenced(err) {
		t.Errorf("subscriber: %v", err)
	}
	if _, err := relay.PrepareUpdate(late); !isFenced(err) {
		t.Errorf("relay: %v", err)
	}
	requireReplica(t, promoted, replica, interest)
	requireSameState(t, promoted, relay)
	if _, err := old.Read(Query{After: relay.Revision()}); !isAhead(err) {
		t.Errorf("old writer: %v", err)
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

func TestFollowRejectsInvalidUpdates(t *testing.T) {
	log, relay := newLog(testLimits()), NewState(testLimits())
	publish(t, log, put("a", "x", content(1)))
	catchUp(t, log, relay, 0)
	publish(t, log, put("a", "x", content(2)))
	publish(t, log, put("b", "x", content(2)))
	delta, err := log.Read(Query{After: relay.Revision()})
	if err != nil || delta.Snapshot {
		t.Fatalf("%+v, %v", delta, err)
	}
	snapshot, _ := log.Read(Query{})
	tombstone := Resource{Name: "c", Removed: true, Revision: log.Revision()}
	tombstone.Hash = hashOf(&tombstone)

	cases := map[string]struct {
		update Update
		spoil  func(*Update)
	}{
		"with a gap":             {delta, func(u *Update) { u.After.Number-- }},
		"incomplete":             {delta, func(u *Update) { u.More = true }},
		"back":                   {delta, func(u *Update) { u.Revision = Revision{1, 0} }},
		"epoch without snapshot": {delta, func(u *Update) { u.Revision.Epoch = 2 }},
		"twice":                  {delta, func(u *Update) { u.Resources = append(u.Resources, u.Resources[0]) }},
		"later resource":         {delta, func(u *Update) { u.Resources[0].Revision.Number = 99 }},
		"earlier resource":       {delta, func(u *Update) { u.Resources[0].Revision.Number = 1 }},
		"other content":          {delta, func(u *Update) { u.Resources[0].Content = []byte("{}") }},
		"later change":           {delta, func(u *Update) { u.Changes[0].Revision.Number = 99 }},
		"earlier change":         {delta, func(u *Update) { u.Changes[0].Revision.Number = 1 }},
		"changes out of order":   {delta, func(u *Update) { slices.Reverse(u.Changes) }},
		"change of no name":      {delta, func(u *Update) { u.Changes[0].Name = "" }},
		"change of a bad scope":  {delta, func(u *Update) { u.Changes[0].Scope.Fraction = 7 }},
		"change of a bad before": {delta, func(u *Update) { u.Changes[0].Before = &Scope{Fraction: 7} }},
		"far time":               {delta, func(u *Update) { u.Resources[0].At = testTime.AddDate(9000, 0, 0) }},
		"removed in snapshot":    {snapshot, func(u *Update) { u.Resources = append(u.Resources, tombstone) }},
	}
	for name, c := range cases {
		update := c.update
		update.Resources, update.Changes = slices.Clone(update.Resources), slices.Clone(update.Changes)
		c.spoil(&update)
		if next, err := relay.PrepareUpdate(update); !isInvalid(err) || next != nil {
			t.Errorf("%s: step %v, error %v", name, next != nil, err)
		}
	}
	next, err := relay.PrepareUpdate(delta)
	if err != nil {
		t.Fatal(err)
	}
	relay.Apply(next)
	requireSameState(t, log, relay)
	if next, err := relay.PrepareUpdate(Update{After: relay.Revision(), Revision: relay.Revision()}); next != nil || err != nil {
		t.Errorf("an empty update: %v, %v", next, err)
	}
}
