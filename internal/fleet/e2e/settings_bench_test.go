package e2e

import (
	"testing"
	"time"
)

// BenchmarkSettingsInForce publishes changes for eight real sidecars on eight hosts behind two
// relays, which gather changes for 0.2 s, and tells how long it is from the acknowledgement
// until all work with the new settings by their own figures.
func BenchmarkSettingsInForce(b *testing.B) {
	w := newSettingsWorld(b, 2, 8, 1)
	names := instances(w.hosts...)
	sizes := []int{80, 96}
	limits := make([]float64, len(sizes))
	for n, megabytes := range sizes {
		w.inForce(w.publish("limits/all", memoryLimit(megabytes)), len(w.hosts))
		limits[n] = w.bodyLimit(names[0])
	}
	total, changes := time.Duration(0), 0
	for b.Loop() {
		next := changes % len(sizes)
		w.publish("limits/all", memoryLimit(sizes[next]))
		published := time.Now()
		w.limits(limits[next], names)
		total += time.Since(published)
		changes++
	}
	b.ReportMetric(total.Seconds()/float64(changes), "s-in-force")
}
