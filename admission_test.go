package martendrum

import (
	"testing"
	"time"
)

// A quiet balancer whose sends mostly come late must shed nearly all: a level that
// fades between any two outcomes rests far lower.
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

// What is shed brings no answers to lower the level: a quiet balancer takes
// larger steps, and the level fades by itself, or it outlives its cause.
func TestShedLevelFallsWhenQuiet(t *testing.T) {
	a := admissionController{config: &Config{Classes: make([]Class, 1)}}
	a.configure()
	a.shedLevel = 0.6
	for range 15 {
		a.updateShedLevel(false, false, 1, 0)
	}
	if a.shedLevel > 0.05 {
		t.Errorf("level %v after 15 calm answers of a quiet balancer", a.shedLevel)
	}
	a.shedLevel, a.arrivalFractions[0] = 0.9, 1
	if before, after := a.shedProbability(0, 0), a.shedProbability(0, 2*shedMemory); before < 0.5 || after > before/4 {
		t.Errorf("odds went from %v to %v with no outcome for long", before, after)
	}
}

// The least worth is shed first, and all of it before the next class.
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
		t.Errorf("odds %v for the cheap class and %v for the dear one", lo, hi)
	}
	for range 1000 {
		b.admission.updateShedLevel(false, false, 10, 0)
	}
	if b.admission.shedLevel != 0 {
		t.Errorf("level %v after calm", b.admission.shedLevel)
	}
}

// What a tenant asks above its share is shed before what others ask within
// theirs, whatever the class.
func TestShedsAboveQuotaFirst(t *testing.T) {
	cfg := testConfig()
	cfg.TenantQuotas, cfg.OverQuotaWeight = []float64{9, 9}, 0.1
	cfg.Classes[2].Weight = 5
	a := admissionController{config: &cfg}
	a.configure()
	within, above := 0, 0
	for i := range 200 { // 20 dear requests a second of the first tenant, whose share here is 3
		now := time.Duration(i) * 50 * ms
		if a.recordArrival(2, 0, now) == 2*2 {
			within++
		} else {
			above++
		}
	}
	if within < 38 || within > 45 {
		t.Errorf("%d of 200 within the share, want 3 a second and what was saved up", within)
	}
	a.shedLevel, a.shedLevelAt = 0.5, 10*time.Second
	modest := a.recordArrival(0, 1, 10*time.Second)
	if lo, hi := a.shedProbability(5, a.shedLevelAt), a.shedProbability(modest, a.shedLevelAt); modest != 0 || lo < 0.4 || hi != 0 {
		t.Errorf("odds %v above the share, %v within it", lo, hi)
	}
}
