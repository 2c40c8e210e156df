package fleetsim

import (
	"fmt"
	"testing"
)

// sidecarsPerServer is the number of sidecars for each server in BenchmarkReturnCapacity.
const sidecarsPerServer = 5

// BenchmarkReturnCapacity simulates a power loss at several fleet sizes: all sidecars start within
// two seconds while all servers are in slow start. It measures the simulated time until nine
// tenths of the offered requests, weighted by their class, are served again, without and with gossip
// between sidecars. Run it with -benchtime=1x.
func BenchmarkReturnCapacity(b *testing.B) {
	for _, size := range fleetSizes(b) {
		for _, enableGossip := range []bool{false, true} {
			for seed := 1; seed <= *capacitySeeds; seed++ {
				b.Run(fmt.Sprintf("size=%d/share=%v/seed=%d", size, enableGossip, seed), func(b *testing.B) {
					for b.Loop() {
						loss := platformPowerLoss(size, size/sidecarsPerServer, uint64(seed)).withRecovery()
						loss.EnableGossip, loss.Workers = enableGossip, capacityWorkers
						result := loss.Run()
						seconds := result.RecoveredAt(-1, 0.9)
						if seconds < 0 {
							b.Fatalf("got no time within %v at which nine tenths of the offered requests, weighted by class, are served; want one", loss.Until)
						}
						b.ReportMetric(float64(seconds), "s-to-nine-tenths")
						b.ReportMetric(result.BytesPerSecond, "sent-B/s")
						b.ReportMetric(float64(result.Crashes), "servers-fallen")
					}
				})
			}
		}
	}
}
