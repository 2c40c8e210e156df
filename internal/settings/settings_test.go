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
		t.Fatal(err)
	}
	c := s.Config
	if c.Zone != "z" || c.OverQuotaWeight != 0.5 || c.Instances != 3 || len(c.TenantQuotas) != 1 || c.TenantQuotas[0] != 7.5 ||
		c.MaxRetryAfter != 7*time.Microsecond || c.MaxListAge != 0 || len(c.Classes) != 2 ||
		c.Classes[0].Idempotency != martendrum.IdempotencyKeyed || c.Classes[0].DedupScope != martendrum.DedupScopeGroup ||
		c.Classes[1].Idempotency != martendrum.NonIdempotent || c.Classes[0].LatencyObjective != 400*time.Millisecond {
		t.Errorf("config: %+v", c)
	}
	if s.ConnIdle != 30*time.Second || s.DialTimeout != 100*time.Millisecond || s.DrainGrace != 2*time.Second ||
		s.MaxInFlight != 9 || s.Deadlines[0] != 6*time.Microsecond {
		t.Errorf("settings: %+v", s)
	}
	if s.Class([]byte("b")) != 1 || s.Class([]byte("c")) != -1 || s.Tenant([]byte("p")) != 0 || s.Tenant(nil) != -1 {
		t.Error("places of names")
	}
	if _, err := Parse([]byte(`[]`)); err == nil {
		t.Error("a list passed as settings")
	}
}

// Names keep their places over any changes, new ones take those of dropped ones, and the values
// at a name's place belong to it.
func TestFollow(t *testing.T) {
	parse := func(names ...string) *Settings {
		t.Helper()
		text := `{"replicasOfMe":1,"caps":{"attemptsCap":1},"classes":[`
		for n, name := range names {
			if n > 0 {
				text += ","
			}
			text += `{"name":"` + name + `","promiseUs":` + strconv.Itoa(int(name[0])) + `,"hardLimitUs":` + strconv.Itoa(int(name[0])) + `,"effect":"once"}`
		}
		s, err := Parse([]byte(text + "]}"))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	now := parse("a", "b", "c")
	for _, step := range []struct {
		names  []string
		places []int
	}{
		{[]string{"c", "a"}, []int{2, 0}},
		{[]string{"d", "c", "a", "e"}, []int{1, 2, 0, 3}},
		{[]string{"f"}, []int{0}},
		{[]string{"e", "a", "f"}, []int{1, 2, 0}}, // all of the others' places are free
	} {
		next := parse(step.names...)
		before := len(now.Config.Classes)
		next.Follow(now)
		for n, name := range step.names {
			c := next.ByName(name)
			if c == nil || c.Place != step.places[n] || c.Rules.LatencyObjective != time.Duration(name[0])*time.Microsecond || c.Wait != c.Rules.LatencyObjective {
				t.Errorf("%v: %s is %+v", step.names, name, c)
			}
		}
		if len(next.Config.Classes) < before || len(next.Config.Classes) != len(next.Deadlines) || next.ByName("b") != nil {
			t.Errorf("%v: %d places, %d deadlines", step.names, len(next.Config.Classes), len(next.Deadlines))
		}
		now = next
	}
}
