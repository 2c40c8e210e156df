package hollow

import (
	"fmt"
	"syscall"
	"time"

	"martendrum/internal/fleet/distribution"
)

// relaysKilled kills two relays, neither of them the writer, while changes are published at ten
// times the ordinary rate or more. It measures how long after the kill the writer counts the last
// change as in force at all subscribers, and starts the relays again.
func (s *scaleRun) relaysKilled() {
	s.t.Helper()
	lost := s.cluster.relays[1:3]
	interval := min(tenfoldInterval, s.span/10)
	published := s.publishAtRate(interval, s.span/6)
	s.cluster.stop(syscall.SIGKILL, lost...)
	killed := time.Now()
	published = append(published, s.publishAfterKill(interval, s.span/3)...)
	s.addChanges("relays-killed", published)
	known := s.awaitKnown(published[len(published)-1].Revision)
	s.results.add("relays-killed-known", metric{seconds(known.Sub(killed)), "s-after-kill"})
	s.cluster.startAll()
}

// relaysSilent stops two relays by SIGSTOP, neither of them the writer, and publishes a change.
// The connections of the stopped relays stay open without traffic, like those of a failed machine.
func (s *scaleRun) relaysSilent() {
	s.t.Helper()
	silent := s.cluster.relays[3:5] // not those of relaysKilled, whose subscribers are still connected to other relays
	for _, relay := range silent {
		relay.process.command.Process.Signal(syscall.SIGSTOP)
	}
	stopped := time.Now()
	published := []change{s.publish("silent/all", distribution.Scope{})}
	times := s.awaitAccepted(published)
	delay999, delayAll := delays(published[0].acknowledged, times[0])
	known := s.awaitKnown(published[0].Revision)
	s.results.add("relays-silent", metric{seconds(delay999), "s-999"}, metric{seconds(delayAll), "s-all"}, metric{seconds(known.Sub(stopped)), "s-known"})
	for _, relay := range silent {
		relay.process.command.Process.Signal(syscall.SIGCONT)
	}
}

// publishAfterKill publishes changes at an interval for a time span, with names other than those of
// publishAtRate.
func (s *scaleRun) publishAfterKill(interval, span time.Duration) []change {
	s.t.Helper()
	var published []change
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(interval) {
		published = append(published, s.publish(fmt.Sprintf("later/all-%d", len(published)), distribution.Scope{}))
	}
	return published
}

// regionCut stops the worker processes of one region by SIGSTOP, publishes a change, and measures
// how long after they continue all subscribers have the change.
func (s *scaleRun) regionCut() {
	s.t.Helper()
	var cutOff []*workerHandle
	for _, handle := range s.workers.handles {
		if handle.hosts[0].Region == RegionName(0) {
			cutOff = append(cutOff, handle)
			handle.process.command.Process.Signal(syscall.SIGSTOP)
		}
	}
	time.Sleep(s.cut / 2)
	published := s.publish("cut/all", distribution.Scope{})
	time.Sleep(s.cut / 2)
	peak := s.watchDescriptors()
	for _, handle := range cutOff {
		handle.process.command.Process.Signal(syscall.SIGCONT)
	}
	continued := time.Now()
	times := s.awaitAccepted([]change{published})[0]
	_, delayAll := delays(continued, times)
	known := s.awaitKnown(published.Revision)
	s.results.add("region-cut", metric{seconds(delayAll), "s-all-after-return"}, metric{seconds(known.Sub(continued)), "s-known-after-return"},
		metric{float64(peak.stop()), "peak-descriptors/relay"})
}

// powerLoss kills all processes, and starts the relays and subscribers at the same time. The relays
// read the settings from their logs; the subscribers, whose copies were in memory, start without
// any settings.
func (s *scaleRun) powerLoss() {
	s.t.Helper()
	s.cluster.disconnect()
	s.workers.stop(syscall.SIGKILL)
	s.cluster.stop(syscall.SIGKILL, s.cluster.relays...)
	s.workers.startProcesses() // the time to make certificates is not measured
	s.cluster.startAll()
	peak := s.watchDescriptors()
	began := s.workers.startSubscribers()
	s.cluster.connect()
	s.awaitInitialSettings("power-loss", began, peak)
}
