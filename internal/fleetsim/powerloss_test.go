package fleetsim

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// platformPowerLoss returns a power loss of a fleet like that on the platform, without gossip and
// package recovery.
func platformPowerLoss(sidecars, servers int, seed uint64) PowerLoss {
	return PowerLoss{
		Sidecars: sidecars, Servers: servers, Zones: 3, Queue: 40, Load: 0.6, Spread: 2 * time.Second, Seed: seed, Workers: 6,
		SlowStart: SlowStart{InitialFraction: 0.14, Duration: 23 * time.Second, OverloadFactor: 4, OverloadDuration: 2 * time.Second},
		Clients:   Clients{Rate: 5, ClassFractions: []float64{0.5, 0.3, 0.2}, Burst: 2, RetryFraction: 0.9},
		Network:   platformNetwork, Until: 45 * time.Second,
	}
}

// withRecovery returns the same power loss with sidecars that gossip, a fifth of whose datagrams is
// lost, and that keep to the bounds of package recovery.
func (l PowerLoss) withRecovery() PowerLoss {
	l.EnableGossip, l.UseRecovery, l.Network.Loss = true, true, 0.2
	return l
}

// After a power loss, a fleet that restarts with package recovery serves nine tenths of the offered
// weight in at most three quarters of the time of a fleet without it, and serves classes of high
// weight first. In neither does a server crash in its slow start.
func TestRestartWithRecoveryServesSooner(t *testing.T) {
	l := platformPowerLoss(60, 12, 1)
	without, with := l.Run(), l.withRecovery().Run()
	if without.Crashes > 0 || with.Crashes > 0 {
		t.Errorf("%d servers crashed without package recovery and %d with it, want 0", without.Crashes, with.Crashes)
	}
	secondWithout, secondWith := without.RecoveredAt(AllClasses, 0.9), with.RecoveredAt(AllClasses, 0.9)
	if secondWithout < 0 || secondWith < 0 || secondWith > secondWithout*3/4 {
		t.Errorf("nine tenths of the weight are served from second %d without package recovery and from second %d with it (-1: never), want the latter at most three quarters of the former", secondWithout, secondWith)
	}
	for c := 1; c < 3; c++ {
		if low, high := with.ServedFraction(c-1, 0, 15), with.ServedFraction(c, 0, 15); high < low {
			t.Errorf("served fraction in the first 15 s: class %d %.2f, class %d %.2f; want at least as much of the latter, which has a higher weight", c-1, low, c, high)
		}
	}
}

// No server crashes in its slow start, even if many requests wait when the sidecars start, demand
// exceeds the capacity of all servers, and a low overload crashes a server.
func TestPowerLossCrashesNoServer(t *testing.T) {
	for _, factor := range []float64{1.5, 4} {
		for _, load := range []float64{0.5, 1.2} {
			if testing.Short() && (factor != 1.5 || load != 1.2) {
				continue
			}
			l := platformPowerLoss(60, 12, 2).withRecovery()
			l.Load, l.SlowStart.OverloadFactor, l.Clients.Burst, l.Until = load, factor, 5, 25*time.Second
			if r := l.Run(); r.Crashes > 0 {
				t.Errorf("load %.1f, overload factor %.1f: %d servers crashed, want 0", load, factor, r.Crashes)
			}
		}
	}
}

// The result of a run does not depend on the number of workers.
func TestPowerLossSameWithAnyWorkers(t *testing.T) {
	l := platformPowerLoss(20, 6, 3).withRecovery()
	l.Until, l.Workers = 12*time.Second, 1
	one := l.Run()
	l.Workers = 7
	seven := l.Run()
	one.Workers = 7
	if !reflect.DeepEqual(one, seven) {
		t.Errorf("Run() with 1 worker = %+v\nwith 7 workers = %+v; want equal results", one, seven)
	}
}

// BenchmarkPowerLoss measures the numbers in docs/design/power-loss.md.
func BenchmarkPowerLoss(b *testing.B) {
	for _, size := range []int{300, 1000, 5000} {
		for _, load := range []float64{0.4, 0.6, 0.8} {
			for _, useRecovery := range []bool{false, true} {
				if size > 300 && load != 0.6 {
					continue
				}
				b.Run(fmt.Sprintf("sidecars=%d/load=%.1f/recovery=%v", size, load, useRecovery), func(b *testing.B) {
					for b.Loop() {
						l := platformPowerLoss(size, size/5, 1)
						l.Load = load
						if useRecovery {
							l = l.withRecovery()
						}
						r := l.Run()
						b.ReportMetric(float64(r.RecoveredAt(AllClasses, 0.9)), "s-to-9/10")
						b.ReportMetric(float64(r.RecoveredAt(2, 0.9)), "s-to-9/10-highest-weight")
						b.ReportMetric(r.ServedFraction(AllClasses, 0, 10), "share-0-10s")
						b.ReportMetric(r.ServedFraction(AllClasses, 10, 10), "share-10-20s")
						b.ReportMetric(float64(r.Crashes), "crashed-servers")
						b.ReportMetric(r.BytesPerSecond, "peer-bytes/s")
					}
				})
			}
		}
	}
}

// BenchmarkSixty simulates the power loss that TestFleetRecoversFromPowerLoss of internal/fleet/e2e runs
// with 60 real sidecars, so that the two can be compared.
func BenchmarkSixty(b *testing.B) {
	for _, useRecovery := range []bool{false, true} {
		b.Run(fmt.Sprintf("recovery=%v", useRecovery), func(b *testing.B) {
			for b.Loop() {
				l := platformPowerLoss(60, 12, 1)
				l.Load, l.Spread, l.Until = 0.5, 200*time.Millisecond, 20*time.Second
				l.SlowStart = SlowStart{InitialFraction: 0.14, Duration: 6 * time.Second, OverloadFactor: 4, OverloadDuration: time.Second}
				l.Clients.Rate, l.Clients.Burst, l.Clients.AcceptLate, l.UniformWork, l.Queue, l.Zones = 10, 0.5, true, true, 20, 1
				l.Network.MinDelay, l.Network.MaxDelay = 50*time.Microsecond, 500*time.Microsecond
				if useRecovery {
					l = l.withRecovery()
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
