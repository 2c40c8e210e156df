package distribution

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// modelSubscriber is an agent with its instances.
type modelSubscriber struct {
	link
	interest  Interest
	replica   *Replica
	stored    *Replica // the replica as it was last written to disk
	disk      *disk
	previous  *disk        // the disk before the last batch
	server    *modelServer // the server that the subscriber is connected to; nil if there is none
	session   int64
	applied   Revision // HostState.Applied of the last report
	instances []*modelInstance
	reached   Revision // latest revision since the last restart; the replica must not go back before it
	epoch     int64    // the highest epoch that the replica has had
}

// modelInstance is a sidecar, which rejects some contents.
type modelInstance struct {
	number  int
	labels  map[string]string
	applier *Applier
	inForce []Resource // the settings that the sidecar runs with
}

// currentInterest returns the interest in the settings of the subscriber's current instances.
func (s *modelSubscriber) currentInterest(host string) Interest {
	interest := Interest{Host: host}
	for _, instance := range s.instances {
		interest.Instances = append(interest.Instances, instance.labels)
	}
	return interest
}

// rejects reports whether the instance rejects a resource. It depends on the content only, so the
// answer is always the same.
func (i *modelInstance) rejects(r Resource) bool {
	return int(r.Content[len(r.Content)-3]-'0')%4 == i.number%4
}

// connect moves a subscriber to a server, unless it is connected to that server already.
func (m *model) connect(s *modelSubscriber, server *modelServer) {
	if s.server == server {
		return
	}
	m.disconnect(s)
	m.session++
	if err := server.registry.Join(m.now, s.interest, m.session, s.status()); err != nil {
		m.t.Fatalf("Join of subscriber %s: %v", s.interest.Host, err)
	}
	s.server, s.session = server, m.session
	if m.flip("reset") {
		s.reader.Reset()
	}
}

// disconnect ends a subscriber's connection, if it has one.
func (m *model) disconnect(s *modelSubscriber) {
	if s.server != nil {
		s.server.registry.Leave(m.now, s.interest.Host, s.session)
	}
	s.server = nil
}

// status returns a subscriber's report on its own progress.
func (s *modelSubscriber) status() HostState {
	status := HostState{Received: s.replica.Revision(), Settled: true}
	for _, instance := range s.instances {
		status.Settled = status.Settled && !instance.applier.Pending()
		status.Rejections = append(status.Rejections, instance.applier.Rejections()...)
	}
	if status.Settled {
		s.applied = status.Received
	}
	status.Applied = s.applied
	return status
}

// subscribe makes a subscriber acknowledge its state, poll its server, and apply the update once it is
// complete. With faults, messages and the write of the replica may be lost.
func (m *model) subscribe(s *modelSubscriber, faults bool) {
	if s.server == nil {
		m.connect(s, m.drawServer())
	}
	if !faults || !m.oneIn(5, "lost acknowledgement") {
		s.server.registry.Acknowledge(s.interest.Host, s.session, s.status())
	}
	page, ok := m.query(&s.link, s.server, s.replica.Revision(), &s.interest)
	if !ok {
		return
	}
	s.server.registry.RecordRead(s.interest.Host, s.session, &page)
	complete := m.deliver(&s.link, page, faults)
	if complete == nil {
		return
	}
	changed, err := s.replica.Apply(*complete)
	switch {
	case isFenced(err) || isInvalid(err):
		return
	case err != nil:
		m.t.Fatalf("Replica.Apply at subscriber %s: %v", s.interest.Host, err)
	case changed:
		s.want(m.now)
	}
	if !faults || m.flip("write") {
		s.write()
	}
}

// want sets the wanted settings of all instances to those of the replica.
func (s *modelSubscriber) want(now time.Time) {
	for _, instance := range s.instances {
		instance.applier.SetWanted(now, s.replica.ResourcesFor(s.interest.Host, instance.labels))
	}
}

// write writes the replica to the subscriber's disk.
func (s *modelSubscriber) write() {
	s.previous = &disk{entries: maps.Clone(s.disk.entries)}
	s.disk.write(s.replica.Batch(s.stored))
	s.stored = s.replica.Clone()
}

// restartSubscriber restores an agent from its entries, possibly without the last batch. The settings
// that its instances accepted are not lost, because they are written on acceptance.
func (m *model) restartSubscriber(s *modelSubscriber) {
	m.disconnect(s)
	if m.flip("lose batch") {
		s.disk = &disk{entries: maps.Clone(s.previous.entries)}
	}
	replica, err := RestoreReplica(s.interest, s.disk.all())
	if err != nil {
		m.t.Fatalf("RestoreReplica of subscriber %s: %v", s.interest.Host, err)
	}
	s.replica, s.stored, s.link, s.reached = replica, replica.Clone(), newLink(m.limits), replica.Revision()
	s.applied, s.epoch = Revision{}, replica.epoch
	for _, instance := range s.instances {
		instance.applier = restoreApplier(m.t, instance.applier)
	}
	s.want(m.now)
}

// replaceInstance moves one of an agent's instances to another service.
func (m *model) replaceInstance(s *modelSubscriber) {
	m.disconnect(s)
	s.write()
	instance := s.instances[len(s.instances)-1]
	instance.labels = map[string]string{"service": rapid.SampledFrom(modelServices).Draw(m.t, "service")}
	s.interest = s.currentInterest(s.interest.Host)
	replica, err := RestoreReplica(s.interest, s.disk.all())
	if err != nil {
		m.t.Fatalf("RestoreReplica of subscriber %s: %v", s.interest.Host, err)
	}
	s.replica, s.stored, s.link, s.reached = replica, replica.Clone(), newLink(m.limits), replica.Revision()
	s.applied = Revision{}
	s.want(m.now)
}

// retryRejected discards the rejections of a subscriber's first instance, so that they are retried.
func (m *model) retryRejected(s *modelSubscriber) {
	s.instances[0].applier.RetryRejected(m.now)
	s.applied = Revision{}
	if s.server != nil {
		s.server.registry.Acknowledge(s.interest.Host, s.session, s.status())
	}
}

// apply makes one attempt at an instance, if one is due. With faults, the wanted settings may change
// during the attempt, or it may end without an answer.
func (m *model) apply(s *modelSubscriber, instance *modelInstance, faults bool) {
	if _, due := instance.applier.Due(); !due {
		return
	}
	offered := instance.applier.BeginAttempt()
	if faults && m.oneIn(5, "abandon") {
		instance.applier.AbandonAttempt()
		return
	}
	if faults && m.flip("update during the attempt") {
		m.subscribe(s, true)
	}
	if slices.ContainsFunc(offered, instance.rejects) {
		instance.applier.EndAttempt(false, "rejected")
		return
	}
	instance.applier.EndAttempt(true, "")
	instance.inForce = offered
}
