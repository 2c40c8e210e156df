package martendrum

import (
	"testing"
	"time"
)

// A quiet balancer whose answers are mostly late must shed nearly all: a level that fades
// between any two outcomes would settle far lower.
func TestShedLevelHoldsBetweenOutcomes(t *testing.T) {
	cfg := testConfig()
	a := admissionController{config: &cfg}
	a.configure()
	for i := range 200 { // half are late, twice a second
		a.updateShedLevel(false, i%2 == 0, 2, time.Duration(i)*500*ms)
	}
	if a.shedLevel < 0.9 {
		t.Errorf("level %v with half of the answers late", a.shedLevel)
	}
}

// Requests that are shed bring no answers that lower the level. A quiet balancer therefore
// takes larger steps, and the level fades with time, or it would outlive the overload.
func TestShedLevelFallsWhenQuiet(t *testing.T) {
	a := admissionController{config: &Config{Classes: make([]Class, 1)}}
	a.configure()
	a.shedLevel = 0.6
	for range 15 {
		a.updateShedLevel(false, false, 1, 0)
	}
	if a.shedLevel > 0.05 {
		t.Errorf("level %v after 15 timely answers of a quiet balancer", a.shedLevel)
	}
	a.shedLevel, a.arrivalFractions[0] = 0.9, 1
	if before, after := a.shedProbability(0, 0), a.shedProbability(0, 2*shedMemory); before < 0.5 || after > before/4 {
		t.Errorf("the probability went from %v to %v with no outcome for long", before, after)
	}
}

// The class of lowest weight is shed first, and all of it before the next class.
func TestShedsLowestWeightFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].Weight = 10
	b, _ := newTest(t, cfg)
	for range 300 {
		b.admission.recordArrival(0, -1, 0)
		b.admission.recordArrival(2, -1, 0)
	}
	b.admission.shedLevel = 0.3
	if lo, hi := b.admission.shedProbability(0, 0), b.admission.shedProbability(2, 0); lo < 0.4 || hi != 0 {
		t.Errorf("probability %v for the class of low weight and %v for the one of high weight", lo, hi)
	}
	for range 1000 {
		b.admission.updateShedLevel(false, false, 10, 0)
	}
	if b.admission.shedLevel != 0 {
		t.Errorf("level %v after timely answers only", b.admission.shedLevel)
	}
}

// Requests above a tenant's quota are shed before those that are within theirs, whatever
// the class.
func TestShedsAboveQuotaFirst(t *testing.T) {
	cfg := testConfig()
	cfg.TenantQuotas, cfg.OverQuotaWeight = []float64{9, 9}, 0.1
	cfg.Classes[2].Weight = 5
	a := admissionController{config: &cfg}
	a.configure()
	within, above := 0, 0
	for i := range 200 { // 20 requests of high weight a second of the first tenant, whose quota here is 3
		now := time.Duration(i) * 50 * ms
		if a.recordArrival(2, 0, now) == 2*2 {
			within++
		} else {
			above++
		}
	}
	if within < 38 || within > 45 {
		t.Errorf("%d of 200 within the quota, want 3 a second and the burst", within)
	}
	a.shedLevel, a.shedLevelAt = 0.5, 10*time.Second
	modest := a.recordArrival(0, 1, 10*time.Second)
	if lo, hi := a.shedProbability(5, a.shedLevelAt), a.shedProbability(modest, a.shedLevelAt); modest != 0 || lo < 0.4 || hi != 0 {
		t.Errorf("probability %v above the quota, %v within it", lo, hi)
	}
}
