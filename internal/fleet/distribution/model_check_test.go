package distribution

import "slices"

// check requires the invariants that hold after each step.
func (m *model) check() {
	for _, s := range m.servers {
		m.checkRevision(s.name, &s.reached, s.state.Revision())
		for _, r := range s.state.Resources() {
			m.checkPublished(s.name, r)
		}
		if len(s.state.history) > m.limits.History {
			m.t.Fatalf("%s has a history of %d changes, want at most %d", s.name, len(s.state.history), m.limits.History)
		}
		requireEachHostCounted(m.t, s.registry.Status(Revision{}, 3))
	}
	for _, s := range m.subscribers {
		m.checkRevision(s.interest.Host, &s.reached, s.replica.Revision())
		if epoch := s.replica.Revision().Epoch; epoch > 0 && epoch < s.epoch {
			m.t.Fatalf("subscriber %s went back from epoch %d to %d", s.interest.Host, s.epoch, epoch)
		}
		s.epoch = max(s.epoch, s.replica.Revision().Epoch)
		for _, r := range s.replica.resources {
			m.checkPublished(s.interest.Host, r)
		}
		for _, instance := range s.instances {
			m.checkInstance(instance)
		}
		m.checkInForce(s)
	}
}

// checkRevision requires that a copy did not go back to a revision before reached, and updates reached.
func (m *model) checkRevision(name string, reached *Revision, now Revision) {
	if reached.After(now) {
		m.t.Fatalf("%s went back from revision %v to %v", name, *reached, now)
	}
	*reached = now
}

// checkPublished requires that a resource found in a copy is one that a log published.
func (m *model) checkPublished(name string, r Resource) {
	if published, ok := m.published[r.Revision]; !ok || published.Hash != r.Hash || published.Name != r.Name {
		m.t.Fatalf("%s has the resource %+v, but the change published as that revision is %+v", name, r, published)
	}
}

// checkInstance requires that the accepted settings are those that the instance runs with, and that it
// does not reject them.
func (m *model) checkInstance(instance *modelInstance) {
	accepted := instance.applier.Accepted()
	if !slices.EqualFunc(accepted, instance.inForce, sameResource) {
		m.t.Fatalf("instance %d has accepted %v according to its applier, but runs with %v", instance.number, versions(accepted), versions(instance.inForce))
	}
	for _, r := range accepted {
		m.checkPublished("the applier of an instance", r)
		if instance.rejects(r) {
			m.t.Fatalf("instance %d has accepted %v according to its applier, but rejects it", instance.number, r)
		}
	}
}

// checkInForce requires that the settings which a relay counts as in force at a subscriber's host are
// those that the host's instances run with.
func (m *model) checkInForce(s *modelSubscriber) {
	if s.server == nil {
		return
	}
	registry := s.server.registry
	record := registry.hosts[s.interest.Host]
	if progressOf(registry.position, record.report.Present, registry.reportedState(record)) != inForce {
		return
	}
	if registry.position.IsZero() || s.replica.Revision().After(registry.position) {
		return // the relay has no change yet, or is behind the subscriber
	}
	for _, instance := range s.instances {
		want := matching(s.server.state, s.interest.Host, instance.labels)
		if have := instance.inForce; !slices.EqualFunc(want, have, sameResource) {
			m.t.Fatalf("relay counts subscriber %s as having revision %v in force, with the settings %v, but an instance runs with %v",
				s.interest.Host, registry.position, versions(want), versions(have))
		}
	}
}

// matching returns the resources that apply to an instance, in merge order.
func matching(state *State, host string, labels map[string]string) []Resource {
	resources := slices.DeleteFunc(state.Resources(), func(r Resource) bool { return !r.Scope.Matches(r.Name, host, labels) })
	sortInMergeOrder(resources)
	return resources
}

// checkConverged requires that all copies are at the writer's state, and that the writer's registry
// counts the hosts accordingly.
func (m *model) checkConverged() {
	state := m.servers[m.writer].state
	want := counts{hosts: len(m.subscribers)}
	for _, s := range m.subscribers {
		requireReplica(m.t, state, s.replica, s.interest)
		anyRejected := false
		for _, instance := range s.instances {
			wanted := matching(state, s.interest.Host, instance.labels)
			if have := s.replica.ResourcesFor(s.interest.Host, instance.labels); !slices.EqualFunc(have, wanted, sameResource) {
				m.t.Fatalf("replica of subscriber %s has the resources %v for an instance, want %v", s.interest.Host, versions(have), versions(wanted))
			}
			anyRejected = m.checkSettled(instance, wanted) || anyRejected
		}
		if anyRejected {
			want.rejected++
		} else {
			want.inForce++
		}
	}
	requireCounts(m.t, m.servers[m.writer].registry, Revision{}, want)
}

// checkSettled requires that an instance has a rejection of every wanted revision that it rejects, has
// accepted all other wanted revisions, and has neither for a resource that is not wanted. It reports
// whether the instance rejects any.
func (m *model) checkSettled(instance *modelInstance, wanted []Resource) (rejected bool) {
	rejections := make(map[string]Revision)
	for _, rejection := range instance.applier.Rejections() {
		rejections[rejection.Resource] = rejection.Revision
	}
	accepted := make(map[string]Resource)
	for _, r := range instance.applier.Accepted() {
		accepted[r.Name] = r
	}
	names := make(map[string]bool)
	for _, r := range wanted {
		names[r.Name] = true
		revision, isRejected := rejections[r.Name]
		if isRejected != instance.rejects(r) || isRejected && revision != r.Revision {
			m.t.Fatalf("instance %d: resource %v of revision %v must be among the rejections exactly if the instance rejects it; rejections are %v", instance.number, r.Name, r.Revision, rejections)
		}
		if !isRejected && !sameResource(accepted[r.Name], r) {
			m.t.Fatalf("instance %d has accepted %v, want %v", instance.number, accepted[r.Name], r)
		}
	}
	for name := range accepted {
		if !names[name] {
			m.t.Fatalf("instance %d still has the resource %s, which is not wanted", instance.number, name)
		}
	}
	for name := range rejections {
		if !names[name] {
			m.t.Fatalf("instance %d has a rejection of the resource %s, which is not wanted", instance.number, name)
		}
	}
	return len(rejections) > 0
}
