package hollow

import (
	"fmt"
	"syscall"
	"time"

	"martendrum/internal/fleet/distribution"
)

// relaysKilled kills two relays, not the writer, while changes are published at ten times the
// rate.
func (s *scale) relaysKilled() {
	s.t.Helper()
	lost := s.cluster.relays[1:3]
	each := min(tenfoldInterval, s.span/10)
	made := s.changes(each, s.span/6)
	s.cluster.stop(syscall.SIGKILL, lost...)
	killed := time.Now()
	made = append(made, s.later(each, s.span/3)...)
	s.addChanges("relays-killed", made)
	known := s.known(made[len(made)-1].Revision)
	s.results.add("relays-killed-known", value{seconds(known.Sub(killed)), "s-after-kill"})
	s.cluster.startAll()
}

// relaysSilent stops two relays, not the writer, and publishes a change: their connections stay
// open and silent, like those of a failed machine.
func (s *scale) relaysSilent() {
	s.t.Helper()
	silent := s.cluster.relays[3:5] // not those of relaysKilled, whose subscribers are elsewhere yet
	for _, relay := range silent {
		relay.process.command.Process.Signal(syscall.SIGSTOP)
	}
	stopped := time.Now()
	made := []change{s.publish("silent/all", distribution.Scope{})}
	times := s.inForce(made)
	limit, all := delays(made[0].acknowledged, times[0])
	known := s.known(made[0].Revision)
	s.results.add("relays-silent", value{seconds(limit), "s-999"}, value{seconds(all), "s-all"}, value{seconds(known.Sub(stopped)), "s-known"})
	for _, relay := range silent {
		relay.process.command.Process.Signal(syscall.SIGCONT)
	}
}

// later publishes changes of other names than changes does.
func (s *scale) later(each, span time.Duration) []change {
	s.t.Helper()
	var made []change
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(each) {
		made = append(made, s.publish(fmt.Sprintf("later/all-%d", len(made)), distribution.Scope{}))
	}
	return made
}

// regionCut stops the processes of one region while a change is published, and measures how long
// after they continue they have it.
func (s *scale) regionCut() {
	s.t.Helper()
	var stopped []*workerHandle
	for _, handle := range s.workers.handles {
		if handle.hosts[0].Region == RegionName(0) {
			stopped = append(stopped, handle)
			handle.process.command.Process.Signal(syscall.SIGSTOP)
		}
	}
	time.Sleep(s.cut / 2)
	made := s.publish("cut/all", distribution.Scope{})
	time.Sleep(s.cut / 2)
	peak := s.watchDescriptors()
	for _, handle := range stopped {
		handle.process.command.Process.Signal(syscall.SIGCONT)
	}
	back := time.Now()
	times := s.inForce([]change{made})[0]
	_, all := delays(back, times)
	known := s.known(made.Revision)
	s.results.add("region-cut", value{seconds(all), "s-all-after-return"}, value{seconds(known.Sub(back)), "s-known-after-return"},
		value{float64(peak.stop()), "peak-descriptors/relay"})
}

// powerLoss kills all processes, and starts relays and subscribers at once. The relays have their
// logs; the subscribers, with copies in memory, have nothing.
func (s *scale) powerLoss() {
	s.t.Helper()
	s.cluster.disconnect()
	s.workers.stop(syscall.SIGKILL)
	s.cluster.stop(syscall.SIGKILL, s.cluster.relays...)
	s.workers.launch() // certificates are made before the start counts
	s.cluster.startAll()
	peak := s.watchDescriptors()
	began := s.workers.begin()
	s.cluster.connect()
	s.awaitState("power-loss", began, peak)
}
