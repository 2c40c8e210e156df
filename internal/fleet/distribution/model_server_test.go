package distribution

import (
	"maps"
	"slices"

	"pgregory.net/rapid"
)

// modelServer is a writer, a relay, or a writer of an earlier epoch that continues to write.
type modelServer struct {
	link
	name     string
	state    *State
	disk     *disk
	previous *disk // the disk before the last batch
	epoch    int64 // the epoch that the server writes in; 0 if it was never the writer
	registry *Registry
	reached  Revision // latest revision since the last restart; the state must not go back before it
}

// applyOrRestart writes and applies a server's step, or restarts the server before or after the write.
func (m *model) applyOrRestart(s *modelServer, next *Step) {
	restart := ""
	if m.oneIn(10, "restart") {
		restart = rapid.SampledFrom([]string{"before the write", "after the write"}).Draw(m.t, "when")
	}
	if restart != "before the write" {
		s.write(next)
	}
	if restart != "" {
		m.restart(s)
		return
	}
	s.state.Apply(next)
	s.registry.Advance(s.state)
}

// write writes a step's batch to the server's disk.
func (s *modelServer) write(next *Step) {
	s.previous = &disk{entries: maps.Clone(s.disk.entries)}
	s.disk.write(next.Batch())
}

// restart restores a server from its entries and disconnects its subscribers.
func (m *model) restart(s *modelServer) {
	state, err := Restore(m.limits, s.disk.all())
	if err != nil {
		m.t.Fatalf("Restore of %s: %v", s.name, err)
	}
	s.state, s.link, s.reached = state, newLink(m.limits), state.Revision()
	s.registry = NewRegistry(s.name, 100)
	s.registry.Advance(state)
	for _, subscriber := range m.subscribers {
		if subscriber.server == s {
			subscriber.server = nil
		}
	}
	if s != m.servers[m.writer] {
		m.servers[m.writer].registry.RelayLost(m.now, s.name)
	}
}

// promote makes a server the writer of the model's epoch.
func (m *model) promote(s *modelServer) {
	s.epoch = m.epoch
	next := s.state.Promote(m.epoch)
	s.write(next)
	s.state.Apply(next)
	s.registry.Advance(s.state)
	m.writer = slices.Index(m.servers, s)
}
