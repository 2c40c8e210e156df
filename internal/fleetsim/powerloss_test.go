package fleetsim

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// platformLoss is a power loss on a site like the platform's.
func platformLoss(sidecars, servers int, seed uint64) PowerLoss {
	return PowerLoss{
		Sidecars: sidecars, Servers: servers, Zones: 3, Queue: 40, Load: 0.6, Spread: 2 * time.Second, Seed: seed, Workers: 6,
		SlowStart: SlowStart{InitialFraction: 0.14, Duration: 23 * time.Second, OverloadFactor: 4, OverloadDuration: 2 * time.Second},
		Clients:   Clients{Rate: 5, ClassFractions: []float64{0.5, 0.3, 0.2}, Burst: 2, RetryFraction: 0.9},
		Network:   platform, Until: 45 * time.Second,
	}
}

// guided returns the same loss with sidecars that gossip and restart as package recovery decides.
func (l PowerLoss) guided() PowerLoss {
	l.EnableGossip, l.UseRecovery, l.Network.Loss = true, true, 0.2
	return l
}

// After a power loss, a fleet that restarts as package recovery decides serves nine tenths of the
// offered weight well before one that restarts without it, classes of high weight first. No server
// crashes in its slow start in either.
func TestGuidedRestartRecoversSooner(t *testing.T) {
	l := platformLoss(60, 12, 1)
	unguided, guided := l.Run(), l.guided().Run()
	if unguided.Crashes > 0 || guided.Crashes > 0 {
		t.Errorf("servers that crashed: %d unguided, %d guided", unguided.Crashes, guided.Crashes)
	}
	a, b := unguided.RecoveredAt(AllClasses, 0.9), guided.RecoveredAt(AllClasses, 0.9)
	if a < 0 || b < 0 || b > a*3/4 {
		t.Errorf("nine tenths of the weight from second %d unguided, %d guided", a, b)
	}
	for c := 1; c < 3; c++ {
		if low, high := guided.ServedFraction(c-1, 0, 15), guided.ServedFraction(c, 0, 15); high < low {
			t.Errorf("in the first 15 s %.2f of class %d and %.2f of class %d, which has a higher weight", low, c-1, high, c)
		}
	}
}

// No server crashes in its slow start where clients have waited for long, demand exceeds the
// capacity of all servers, and their overload limit is low.
func TestPowerLossCrashesNoServer(t *testing.T) {
	for _, factor := range []float64{1.5, 4} {
		for _, load := range []float64{0.5, 1.2} {
			if testing.Short() && (factor != 1.5 || load != 1.2) {
				continue
			}
			l := platformLoss(60, 12, 2).guided()
			l.Load, l.SlowStart.OverloadFactor, l.Clients.Burst, l.Until = load, factor, 5, 25*time.Second
			if r := l.Run(); r.Crashes > 0 {
				t.Errorf("load %.1f, overload factor %.1f: %d servers crashed", load, factor, r.Crashes)
			}
		}
	}
}

// A run is the same with any number of workers.
func TestPowerLossSameWithAnyWorkers(t *testing.T) {
	l := platformLoss(20, 6, 3).guided()
	l.Until, l.Workers = 12*time.Second, 1
	one := l.Run()
	l.Workers = 7
	seven := l.Run()
	one.Workers = 7
	if !reflect.DeepEqual(one, seven) {
		t.Errorf("one worker: %+v\nseven: %+v", one, seven)
	}
}

// BenchmarkPowerLoss measures the figures of the design note.
func BenchmarkPowerLoss(b *testing.B) {
	for _, size := range []int{300, 1000, 5000} {
		for _, load := range []float64{0.4, 0.6, 0.8} {
			for _, staged := range []bool{false, true} {
				if size > 300 && load != 0.6 {
					continue
				}
				b.Run(fmt.Sprintf("sidecars=%d/load=%.1f/staged=%v", size, load, staged), func(b *testing.B) {
					for b.Loop() {
						l := platformLoss(size, size/5, 1)
						l.Load = load
						if staged {
							l = l.guided()
						}
						r := l.Run()
						b.ReportMetric(float64(r.RecoveredAt(AllClasses, 0.9)), "s-to-9/10")
						b.ReportMetric(float64(r.RecoveredAt(2, 0.9)), "s-to-9/10-dearest")
						b.ReportMetric(r.ServedFraction(AllClasses, 0, 10), "share-0-10s")
						b.ReportMetric(r.ServedFraction(AllClasses, 10, 10), "share-10-20s")
						b.ReportMetric(float64(r.Crashes), "fallen")
						b.ReportMetric(r.BytesPerSecond, "peer-bytes/s")
					}
				})
			}
		}
	}
}

// BenchmarkSixty is the power loss that TestPowerLossWholeFleet of internal/fleet/e2e runs with
// 60 real sidecars, for comparison.
func BenchmarkSixty(b *testing.B) {
	for _, staged := range []bool{false, true} {
		b.Run(fmt.Sprintf("staged=%v", staged), func(b *testing.B) {
			for b.Loop() {
				l := platformLoss(60, 12, 1)
				l.Load, l.Spread, l.Until = 0.5, 200*time.Millisecond, 20*time.Second
				l.SlowStart = SlowStart{InitialFraction: 0.14, Duration: 6 * time.Second, OverloadFactor: 4, OverloadDuration: time.Second}
				l.Clients.Rate, l.Clients.Burst, l.Clients.AcceptLate, l.UniformWork, l.Queue, l.Zones = 10, 0.5, true, true, 20, 1
				l.Network.MinDelay, l.Network.MaxDelay = 50*time.Microsecond, 500*time.Microsecond
				if staged {
					l = l.guided()
					l.Network.Loss = 0
				}
				r := l.Run()
				b.ReportMetric(float64(r.RecoveredAt(AllClasses, 0.9)), "s-to-9/10")
				for c, name := range []string{"status", "register", "activate"} {
					b.ReportMetric(r.ServedFraction(c, 0, 3), name+"-0-3s")
				}
				b.ReportMetric(r.ServedFraction(AllClasses, 0, 3), "all-0-3s")
			}
		})
	}
}
