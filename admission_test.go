package martendrum

import (
	"testing"
	"time"
)

// A balancer with few requests, half of whose answers are late, must shed nearly all requests. A shed
// level that decayed between any two outcomes would settle far lower.
func TestShedLevelHoldsBetweenOutcomes(t *testing.T) {
	cfg := testConfig()
	a := admissionController{config: &cfg}
	a.configure()
	for i := range 200 { // two outcomes a second, every other one late
		a.updateShedLevel(false, i%2 == 0, 2, time.Duration(i)*500*ms)
	}
	if a.shedLevel < 0.9 {
		t.Errorf("shed level = %v with half of the answers late, want at least 0.9", a.shedLevel)
	}
}

// A request that is shed has no answer that could lower the shed level. A balancer with few requests
// therefore takes larger steps, and the level decays with time; otherwise it would stay high after
// the overload has ended.
func TestShedLevelFallsWhenQuiet(t *testing.T) {
	a := admissionController{config: &Config{Classes: make([]Class, 1)}}
	a.configure()
	a.shedLevel = 0.6
	for range 15 {
		a.updateShedLevel(false, false, 1, 0)
	}
	if a.shedLevel > 0.05 {
		t.Errorf("shed level = %v after 15 answers in time at 1 send a second, want at most 0.05", a.shedLevel)
	}
	a.shedLevel, a.arrivalFractions[0] = 0.9, 1
	if before, after := a.shedProbability(0, 0), a.shedProbability(0, 2*shedMemory); before < 0.5 || after > before/4 {
		t.Errorf("shed probability = %v, and %v after 2*shedMemory without an outcome; want at least 0.5 and a decay to a quarter or less", before, after)
	}
}

// The class of lowest weight is shed first, and completely before any of the next class is shed.
func TestShedsLowestWeightFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].Weight = 10
	b, _ := newTestBalancer(t, cfg)
	for range 300 {
		b.admission.recordArrival(0, -1, 0)
		b.admission.recordArrival(2, -1, 0)
	}
	b.admission.shedLevel = 0.3
	if lowWeight, highWeight := b.admission.shedProbability(0, 0), b.admission.shedProbability(2, 0); lowWeight < 0.4 || highWeight != 0 {
		t.Errorf("shed probabilities = %v for the class of low weight and %v for that of high weight, want at least 0.4 and 0", lowWeight, highWeight)
	}
	for range 1000 {
		b.admission.updateShedLevel(false, false, 10, 0)
	}
	if b.admission.shedLevel != 0 {
		t.Errorf("shed level = %v after 1000 answers in time, want 0", b.admission.shedLevel)
	}
}

// Requests above their tenant's quota are shed before requests within a quota, even if their class
// has a higher weight.
func TestShedsAboveQuotaFirst(t *testing.T) {
	cfg := testConfig()
	cfg.TenantQuotas, cfg.OverQuotaWeight = []float64{9, 9}, 0.1
	cfg.Classes[2].Weight = 5
	a := admissionController{config: &cfg}
	a.configure()
	within, above := 0, 0
	for i := range 200 { // the first tenant sends 20 requests of high weight a second; its quota at this balancer is 3
		now := time.Duration(i) * 50 * ms
		if a.recordArrival(2, 0, now) == 2*2 {
			within++
		} else {
			above++
		}
	}
	if within < 38 || within > 45 {
		t.Errorf("%d of 200 requests are within the quota, want 38 to 45: 3 a second and the burst", within)
	}
	a.shedLevel, a.shedLevelAt = 0.5, 10*time.Second
	withinQuotaRank := a.recordArrival(0, 1, 10*time.Second)
	if aboveQuota, withinQuota := a.shedProbability(5, a.shedLevelAt), a.shedProbability(withinQuotaRank, a.shedLevelAt); withinQuotaRank != 0 || aboveQuota < 0.4 || withinQuota != 0 {
		t.Errorf("shed probabilities = %v above the quota and %v within it, rank within it = %d; want at least 0.4, 0 and rank 0", aboveQuota, withinQuota, withinQuotaRank)
	}
}
