package fleetsim

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// platformLoss is a loss of everything on a site like the platform's.
func platformLoss(sidecars, servers int, seed uint64) PowerLoss {
	return PowerLoss{
		Sidecars: sidecars, Servers: servers, Zones: 3, Queue: 40, Load: 0.6, Spread: 2 * time.Second, Seed: seed, Workers: 6,
		SlowStart: SlowStart{InitialFraction: 0.14, Duration: 23 * time.Second, OverloadFactor: 4, OverloadDuration: 2 * time.Second},
		Clients:   Clients{Rate: 5, ClassFractions: []float64{0.5, 0.3, 0.2}, Burst: 2, RetryFraction: 0.9},
		Network:   platform, Until: 45 * time.Second,
	}
}

// guided is a loss after which the sidecars come back as package recovery says.
func (l PowerLoss) guided() PowerLoss {
	l.ShareReports, l.UseRecovery, l.Network.Loss = true, true, 0.2
	return l
}

// After a power loss in which all servers are cold, a fleet that comes back in stages
// serves nine tenths of the worth well before one that comes back at once, the dear
// classes first, and no cold server falls in either.
func TestGuidedRestartRecoversSooner(t *testing.T) {
	l := platformLoss(60, 12, 1)
	once, staged := l.Run(), l.guided().Run()
	if once.Crashes > 0 || staged.Crashes > 0 {
		t.Errorf("cold servers that fell: %d at once, %d in stages", once.Crashes, staged.Crashes)
	}
	a, b := once.RecoveredAt(-1, 0.9), staged.RecoveredAt(-1, 0.9)
	if a < 0 || b < 0 || b > a*3/4 {
		t.Errorf("nine tenths of the worth from second %d at once, %d in stages", a, b)
	}
	for c := 1; c < 3; c++ {
		if cheap, dear := staged.ServedFraction(c-1, 0, 15), staged.ServedFraction(c, 0, 15); dear < cheap {
			t.Errorf("in the first 15 s %.2f of class %d and %.2f of the dearer class %d", cheap, c-1, dear, c)
		}
	}
}

// No cold server falls where clients have waited for long, more comes than all servers can
// carry, and the rule allows little.
func TestPowerLossCrashesNoServer(t *testing.T) {
	for _, factor := range []float64{1.5, 4} {
		for _, load := range []float64{0.5, 1.2} {
			if testing.Short() && (factor != 1.5 || load != 1.2) {
				continue
			}
			l := platformLoss(60, 12, 2).guided()
			l.Load, l.SlowStart.OverloadFactor, l.Clients.Burst, l.Until = load, factor, 5, 25*time.Second
			if r := l.Run(); r.Crashes > 0 {
				t.Errorf("load %.1f, %.1f times a cold server's capacity allowed: %d fell", load, factor, r.Crashes)
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

// BenchmarkPowerLoss gives the figures of the design note.
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
						b.ReportMetric(float64(r.RecoveredAt(-1, 0.9)), "s-to-9/10")
						b.ReportMetric(float64(r.RecoveredAt(2, 0.9)), "s-to-9/10-dearest")
						b.ReportMetric(r.ServedFraction(-1, 0, 10), "share-0-10s")
						b.ReportMetric(r.ServedFraction(-1, 10, 10), "share-10-20s")
						b.ReportMetric(float64(r.Crashes), "fallen")
						b.ReportMetric(r.BytesPerSecond, "peer-bytes/s")
					}
				})
			}
		}
	}
}

// BenchmarkSixty is the loss that TestPowerLossWholeFleet of internal/fleet/e2e plays with
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
				b.ReportMetric(float64(r.RecoveredAt(-1, 0.9)), "s-to-9/10")
				for c, name := range []string{"status", "register", "activate"} {
					b.ReportMetric(r.ServedFraction(c, 0, 3), name+"-0-3s")
				}
				b.ReportMetric(r.ServedFraction(-1, 0, 3), "all-0-3s")
			}
		})
	}
}
