package settings

import (
	"strconv"
	"testing"
	"time"

	"martendrum"
)

func TestParse(t *testing.T) {
	s, err := Parse([]byte(`{"zone":"z","overShareWorth":0.5,"unknown":1,"replicasOfMe":3,"registryMode":"automatic",
		"tenants":[{"name":"p","allowancePerS":7.5,"share":1}],
		"caps":{"attemptsCap":2,"connIdleUs":30000000,"dialTimeoutUs":250000,"mostHeld":9,"maxRetryAfterUs":7,"retryAfter":true},
		"guarantees":{"drainGraceUs":2000000,"askWithinUs":5},
		"classes":[{"name":"a","promiseUs":400000,"hardLimitUs":6,"effect":"by_key","dedupScope":"cell"},{"name":"b","promiseUs":900000,"effect":"once"}]}`))
	if err != nil {
		t.Fatalf("Parse: %v", err)
	}
	c := s.Config
	if c.Zone != "z" || c.OverQuotaWeight != 0.5 || c.Instances != 3 || len(c.TenantQuotas) != 1 || c.TenantQuotas[0] != 7.5 ||
		c.MaxRetryAfter != 7*time.Microsecond || c.MaxListAge != 0 || len(c.Classes) != 2 ||
		c.Classes[0].Idempotency != martendrum.IdempotencyKeyed || c.Classes[0].DedupScope != martendrum.DedupScopeGroup ||
		c.Classes[1].Idempotency != martendrum.NonIdempotent || c.Classes[0].LatencyObjective != 400*time.Millisecond {
		t.Errorf("Parse: Config = %+v, want the values of the JSON object", c)
	}
	if s.ConnIdle != 30*time.Second || s.DialTimeout != 100*time.Millisecond || s.DrainGrace != 2*time.Second ||
		s.MaxInFlight != 9 || s.Deadlines[0] != 6*time.Microsecond {
		t.Errorf("Parse = %+v, want the durations and limits of the JSON object, and DialTimeout 100ms (a quarter of the shortest promiseUs)", s)
	}
	if s.ClassIndex([]byte("b")) != 1 || s.ClassIndex([]byte("c")) != -1 || s.TenantIndex([]byte("p")) != 0 || s.TenantIndex(nil) != -1 {
		t.Errorf("ClassIndex of b and c = %d and %d, want 1 and -1; TenantIndex of p and no name = %d and %d, want 0 and -1",
			s.ClassIndex([]byte("b")), s.ClassIndex([]byte("c")), s.TenantIndex([]byte("p")), s.TenantIndex(nil))
	}
	if _, err := Parse([]byte(`[]`)); err == nil {
		t.Error("Parse of a JSON list: got no error, want one")
	}
}

// Classes keep their indexes over a series of reloads, new classes take the indexes of removed ones,
// and the values at an index are those of the class that has it.
func TestKeepIndexes(t *testing.T) {
	parseClasses := func(names ...string) *Settings {
		t.Helper()
		object := `{"replicasOfMe":1,"caps":{"attemptsCap":1},"classes":[`
		for n, name := range names {
			if n > 0 {
				object += ","
			}
			object += `{"name":"` + name + `","promiseUs":` + strconv.Itoa(int(name[0])) + `,"hardLimitUs":` + strconv.Itoa(int(name[0])) + `,"effect":"once"}`
		}
		s, err := Parse([]byte(object + "]}"))
		if err != nil {
			t.Fatalf("Parse with classes %v: %v", names, err)
		}
		return s
	}
	current := parseClasses("a", "b", "c")
	for _, step := range []struct {
		names   []string
		indexes []int
	}{
		{[]string{"c", "a"}, []int{2, 0}},
		{[]string{"d", "c", "a", "e"}, []int{1, 2, 0, 3}},
		{[]string{"f"}, []int{0}},
		{[]string{"e", "a", "f"}, []int{1, 2, 0}}, // the indexes of all removed classes are free
	} {
		next := parseClasses(step.names...)
		classesBefore := len(current.Config.Classes)
		next.KeepIndexes(current)
		for n, name := range step.names {
			c := next.ClassByName(name)
			if c == nil || c.Index != step.indexes[n] || c.Rules.LatencyObjective != time.Duration(name[0])*time.Microsecond || c.MaxWait != c.Rules.LatencyObjective {
				t.Errorf("after a reload to %v: ClassByName(%q) = %+v, want index %d and its own latency objective and deadline", step.names, name, c, step.indexes[n])
			}
		}
		if len(next.Config.Classes) < classesBefore || len(next.Config.Classes) != len(next.Deadlines) || next.ClassByName("b") != nil {
			t.Errorf("after a reload to %v: %d classes and %d deadlines, want equal numbers, at least %d, and no class b", step.names, len(next.Config.Classes), len(next.Deadlines), classesBefore)
		}
		current = next
	}
}
