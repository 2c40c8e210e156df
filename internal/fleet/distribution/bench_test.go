package distribution

import (
	"fmt"
	"testing"
)

// benchState returns a log with the given number of resources, one per service.
func benchState(b *testing.B, resources int) *State {
	b.Helper()
	state := newLog(DefaultLimits())
	for n := range resources {
		publish(b, state, put(serviceName(n), serviceName(n), content(n)))
	}
	return state
}

// serviceName returns the name of the service with the given number.
func serviceName(n int) string { return fmt.Sprintf("service-%04d", n) }

// benchInterest returns the interest of the host with the given number. The host has one instance, which
// belongs to one of the services and has the usual labels.
func benchInterest(n, services int) Interest {
	return Interest{Host: hostName(n), Instances: []map[string]string{{"service": serviceName(n % services),
		"region": hostRegion(n), "zone": hostZone(n), "host": hostName(n)}}}
}

// benchResources are the numbers of resources of the benchmarked logs.
var benchResources = []int{790, 5000}

// BenchmarkReadDelta measures the read of one change by a subscriber.
func BenchmarkReadDelta(b *testing.B) {
	for _, resources := range benchResources {
		b.Run(fmt.Sprintf("resources=%d", resources), func(b *testing.B) {
			state := benchState(b, resources)
			before := state.Revision()
			publish(b, state, put(serviceName(1), serviceName(1), content(7)))
			interest := benchInterest(1, 790)
			b.ReportAllocs()
			for b.Loop() {
				if update, err := state.Read(Query{After: before, Interest: &interest}); err != nil || len(update.Resources) != 1 {
					b.Fatalf("Read = %+v, %v; want one resource", update, err)
				}
			}
		})
	}
}

// BenchmarkReadSnapshot measures the read of a subscriber that starts without a copy.
func BenchmarkReadSnapshot(b *testing.B) {
	for _, resources := range benchResources {
		b.Run(fmt.Sprintf("resources=%d", resources), func(b *testing.B) {
			state := benchState(b, resources)
			interest := benchInterest(1, 790)
			b.ReportAllocs()
			for b.Loop() {
				if update, err := state.Read(Query{Interest: &interest}); err != nil || !update.Snapshot || len(update.Resources) != 1 {
					b.Fatalf("Read = %+v, %v; want one resource", update, err)
				}
			}
		})
	}
}

// BenchmarkReadAll measures the read of a relay that starts without a copy.
func BenchmarkReadAll(b *testing.B) {
	for _, resources := range benchResources {
		b.Run(fmt.Sprintf("resources=%d", resources), func(b *testing.B) {
			state := benchState(b, resources)
			b.ReportAllocs()
			for b.Loop() {
				if update, err := state.Read(Query{Bytes: 512 << 10}); err != nil || !update.Snapshot {
					b.Fatalf("Read = %+v, %v; want a snapshot", update, err)
				}
			}
		})
	}
}

// BenchmarkAdvance measures one change at a relay that serves its part of 21,000 subscribers, while
// all relays are live and while half of them are.
func BenchmarkAdvance(b *testing.B) {
	for _, subscribers := range []int{fleetHosts/fleetRelays + 1, 2 * fleetHosts / fleetRelays} {
		b.Run(fmt.Sprintf("subscribers=%d", subscribers), func(b *testing.B) {
			state := benchState(b, 790)
			registry := benchRegistry(b, state, subscribers)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				_, next, err := state.Propose(testTime, 1, put(serviceName(n%790), serviceName(n%790), content(n+1000)))
				if err != nil {
					b.Fatal(err)
				}
				state.Apply(next)
				registry.Advance(state)
			}
		})
	}
}

// benchRegistry returns a registry of settled subscribers.
func benchRegistry(b *testing.B, state *State, subscribers int) *Registry {
	b.Helper()
	registry := NewRegistry("relay", subscribers)
	registry.Advance(state)
	for n := range subscribers {
		mustJoin(b, registry, benchInterest(n, 790), int64(n+1), settledAt(state.Revision()))
	}
	return registry
}

// BenchmarkStatus measures the writer's status of all hosts.
func BenchmarkStatus(b *testing.B) {
	for name, settled := range map[string]bool{"in force": true, "behind": false} {
		b.Run(fmt.Sprintf("hosts=%d/%s", fleetHosts, name), func(b *testing.B) {
			state := benchState(b, 790)
			writer := NewRegistry("writer", 1)
			reported := settledAt(state.Revision())
			if !settled {
				reported.Settled = false
				reported.Applied.Number--
			}
			for relay := range fleetRelays {
				reports := make([]HostReport, 0, fleetHosts/fleetRelays+1)
				for n := relay; n < fleetHosts; n += fleetRelays {
					reports = append(reports, HostReport{Host: hostName(n), Session: int64(n + 1), Present: true, State: reported})
				}
				writer.MergeReports(fmt.Sprintf("relay-%02d", relay), state.Revision(), reports)
			}
			b.ReportAllocs()
			for b.Loop() {
				status := writer.Status(state.Revision(), 20)
				if status.Hosts != fleetHosts || (status.InForce == fleetHosts) != settled {
					b.Fatalf("Status = %+v, want %d hosts, and the revision in force at all of them: %v", status, fleetHosts, settled)
				}
			}
		})
	}
}

// BenchmarkRestore measures the restart of a relay from its stored entries.
func BenchmarkRestore(b *testing.B) {
	for _, resources := range benchResources {
		b.Run(fmt.Sprintf("resources=%d", resources), func(b *testing.B) {
			state, store := NewState(DefaultLimits()), newDisk()
			promoted := state.Promote(1)
			store.write(promoted.Batch())
			state.Apply(promoted)
			for n := range resources {
				_, next, err := state.Propose(testTime, 1, put(serviceName(n), serviceName(n), content(n)))
				if err != nil {
					b.Fatal(err)
				}
				store.write(next.Batch())
				state.Apply(next)
			}
			entries := store.all()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Restore(DefaultLimits(), entries); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
