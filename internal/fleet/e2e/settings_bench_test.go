package e2e

import (
	"testing"
	"time"
)

// BenchmarkSettingsInForce publishes changes for eight real sidecars on eight hosts with two
// relays, which coalesce changes for 0.2 s. It reports the time from the acknowledgement of a
// change until the metrics of all sidecars show that the new settings are in force.
func BenchmarkSettingsInForce(b *testing.B) {
	w := newSettingsWorld(b, 2, 8, 1)
	names := instanceNames(w.hosts...)
	sizes := []int{80, 96}
	limits := make([]float64, len(sizes))
	for n, megabytes := range sizes {
		w.waitInForce(w.publish("limits/all", memoryLimit(megabytes)), len(w.hosts))
		limits[n] = w.bodyLimit(names[0])
	}
	elapsed, changes := time.Duration(0), 0
	for b.Loop() {
		next := changes % len(sizes)
		w.publish("limits/all", memoryLimit(sizes[next]))
		published := time.Now()
		w.waitBodyLimit(limits[next], names)
		elapsed += time.Since(published)
		changes++
	}
	b.ReportMetric(elapsed.Seconds()/float64(changes), "s-in-force")
}
