package distribution

import "slices"

// check holds after each step.
func (m *model) check() {
	for _, s := range m.servers {
		m.checkRevision(s.name, &s.floor, s.state.Revision())
		for _, r := range s.state.Resources() {
			m.checkMade(s.name, r)
		}
		if len(s.state.history) > m.limits.History {
			m.t.Fatalf("%s has a history of %d", s.name, len(s.state.history))
		}
		requireSum(m.t, s.registry.Status(Revision{}, 3))
	}
	for _, s := range m.subscribers {
		m.checkRevision(s.interest.Host, &s.floor, s.replica.Revision())
		if epoch := s.replica.Revision().Epoch; epoch > 0 && epoch < s.epoch {
			m.t.Fatalf("%s goes back from epoch %d to %d", s.interest.Host, s.epoch, epoch)
		}
		s.epoch = max(s.epoch, s.replica.Revision().Epoch)
		for _, r := range s.replica.resources {
			m.checkMade(s.interest.Host, r)
		}
		for _, instance := range s.instances {
			m.checkInstance(instance)
		}
		m.checkInForce(s)
	}
}

func (m *model) checkRevision(name string, floor *Revision, now Revision) {
	if floor.After(now) {
		m.t.Fatalf("%s goes back from %v to %v", name, *floor, now)
	}
	*floor = now
}

func (m *model) checkMade(name string, r Resource) {
	if made, ok := m.made[r.Revision]; !ok || made.Hash != r.Hash || made.Name != r.Name {
		m.t.Fatalf("%s holds %+v, which no log made; of that revision is %+v", name, r, made)
	}
}

// checkInstance requires that the accepted settings are those the instance runs with, and that
// it would not reject them.
func (m *model) checkInstance(instance *modelInstance) {
	accepted := instance.applier.Accepted()
	if !slices.EqualFunc(accepted, instance.inForce, sameResource) {
		m.t.Fatalf("instance %d: accepted %v; it runs with %v", instance.number, versions(accepted), versions(instance.inForce))
	}
	for _, r := range accepted {
		m.checkMade("an instance", r)
		if instance.rejects(r) {
			m.t.Fatalf("instance %d: %v is accepted", instance.number, r)
		}
	}
}

// checkInForce requires that settings which the relay counts as in force at a host are.
func (m *model) checkInForce(s *modelSubscriber) {
	if s.server == nil {
		return
	}
	registry := s.server.registry
	e := registry.hosts[s.interest.Host]
	if progressOf(registry.position, e.report.Present, registry.reportedState(e)) != inForce {
		return
	}
	if registry.position.IsZero() || s.replica.Revision().After(registry.position) {
		return // the relay knows of no change yet, or fewer than the subscriber
	}
	for _, instance := range s.instances {
		want := matching(s.server.state, s.interest.Host, instance.labels)
		if have := instance.inForce; !slices.EqualFunc(want, have, sameResource) {
			m.t.Fatalf("%s is said to be in force at %v with %v; it runs with %v",
				s.interest.Host, registry.position, versions(want), versions(have))
		}
	}
}

// matching returns the resources that apply to an instance, in merge order.
func matching(state *State, host string, labels map[string]string) []Resource {
	matching := slices.DeleteFunc(state.Resources(), func(r Resource) bool { return !r.Scope.Matches(r.Name, host, labels) })
	sortInMergeOrder(matching)
	return matching
}

// checkConverged holds once all is healed.
func (m *model) checkConverged() {
	state := m.servers[m.writer].state
	want := counts{hosts: len(m.subscribers)}
	for _, s := range m.subscribers {
		requireReplica(m.t, state, s.replica, s.interest)
		rejected := false
		for _, instance := range s.instances {
			wanted := matching(state, s.interest.Host, instance.labels)
			if have := s.replica.For(s.interest.Host, instance.labels); !slices.EqualFunc(have, wanted, sameResource) {
				m.t.Fatalf("%s has %v; want %v", s.interest.Host, versions(have), versions(wanted))
			}
			rejected = m.checkSettled(instance, wanted) || rejected
		}
		if rejected {
			want.rejected++
		} else {
			want.inForce++
		}
	}
	requireCounts(m.t, m.servers[m.writer].registry, Revision{}, want)
}

// checkSettled requires that an instance has every wanted revision that it accepts, and the last
// accepted revision of the others. It reports whether the instance rejects any.
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
			m.t.Fatalf("instance %d: %v of %v is rejected: %v", instance.number, r.Name, r.Revision, rejections)
		}
		if !isRejected && !sameResource(accepted[r.Name], r) {
			m.t.Fatalf("instance %d: has %v; want %v", instance.number, accepted[r.Name], r)
		}
	}
	for name := range accepted {
		if !names[name] {
			m.t.Fatalf("instance %d: still has %s", instance.number, name)
		}
	}
	for name := range rejections {
		if !names[name] {
			m.t.Fatalf("instance %d: a rejection of %s, which is not wanted", instance.number, name)
		}
	}
	return len(rejections) > 0
}
