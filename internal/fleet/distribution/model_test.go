package distribution

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// modelHistories are the limits of the history: with the short one it is compacted all the time.
var modelHistories = []int{4, 15}

// Sizes of the model.
const (
	modelServers     = 4 // the writer and three relays
	modelSubscribers = 4
	modelEpochs      = 4
	modelInbox       = 4 // pages that may come late
)

var (
	modelNames    = []string{"a", "b", "c", "d", "e", "f", "g"} // one more than there may be
	modelServices = []string{"x", "y", "z"}
	modelShares   = []float64{0, 0.3, 0.7}
)

// model is a small fleet, and what is true in it whatever its parts say.
type model struct {
	t           *rapid.T
	limits      Limits
	now         time.Time
	servers     []*modelServer
	writer      int
	epoch       int64
	session     int64
	subscribers []*modelSubscriber
	made        map[Revision]Resource // every change of every log
}

// link carries pages to a copy: some are lost, repeated or late.
type link struct {
	reader *Reader
	inbox  []Update
}

func newLink(limits Limits) link { return link{reader: NewReader(limits)} }

// modelServer is a writer, a relay, or a writer of an earlier epoch that goes on.
type modelServer struct {
	link
	name     string
	state    *State
	disk     *disk
	previous *disk // without the last batch
	epoch    int64 // that it writes in, 0 if it never was the writer
	registry *Registry
	floor    Revision
}

// modelSubscriber is an agent with its instances.
type modelSubscriber struct {
	link
	interest  Interest
	replica   *Replica
	kept      *Replica // as it was written last
	disk      *disk
	previous  *disk
	server    *modelServer // where it is connected, nil for none
	session   int64
	applied   Revision
	instances []*modelInstance
	floor     Revision
	epoch     int64 // the latest that it has seen
}

// modelInstance is a sidecar. It refuses some contents.
type modelInstance struct {
	number  int
	labels  map[string]string
	applier *Applier
	inForce []Resource // what it really runs with
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: testTime, made: make(map[Revision]Resource), epoch: 1}
	m.limits = Limits{Resources: len(modelNames) - 1, History: rapid.SampledFrom(modelHistories).Draw(t, "history")}
	for n := range modelServers {
		m.servers = append(m.servers, &modelServer{link: newLink(m.limits), name: fmt.Sprintf("s%d", n),
			state: NewState(m.limits), disk: newDisk(), previous: newDisk(), registry: NewRegistry(fmt.Sprintf("s%d", n), 100)})
	}
	m.promote(m.servers[0])
	for n := range modelSubscribers {
		host := fmt.Sprintf("h%d", n)
		s := &modelSubscriber{link: newLink(m.limits), disk: newDisk(), previous: newDisk()}
		for k := range 1 + n%2 {
			number := 2*n + k
			s.instances = append(s.instances, &modelInstance{number: number,
				labels:  map[string]string{"service": modelServices[number%3]},
				applier: NewApplier(fmt.Sprintf("i%d", number), time.Second)})
		}
		s.interest = s.currentInterest(host)
		s.replica = NewReplica(s.interest)
		m.subscribers = append(m.subscribers, s)
	}
	return m
}

func (s *modelSubscriber) currentInterest(host string) Interest {
	interest := Interest{Host: host}
	for _, instance := range s.instances {
		interest.Instances = append(interest.Instances, instance.labels)
	}
	return interest
}

// refuses says whether an instance turns a resource down: by its content, so that it is the
// same each time.
func (i *modelInstance) refuses(r Resource) bool {
	return int(r.Content[len(r.Content)-3]-'0')%4 == i.number%4
}

func (m *model) someServer() *modelServer {
	return m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(m.t, "server")]
}

func (m *model) someSubscriber() *modelSubscriber {
	return m.subscribers[rapid.IntRange(0, len(m.subscribers)-1).Draw(m.t, "subscriber")]
}

// one says yes once in so many times.
func (m *model) one(in int, label string) bool { return rapid.IntRange(1, in).Draw(m.t, label) == in }

func (m *model) flip(label string) bool { return rapid.Bool().Draw(m.t, label) }

// make writes a server's step and makes it, or lets the server end before or after the write.
func (m *model) make(s *modelServer, next *Step) {
	end := ""
	if m.one(10, "ends") {
		end = rapid.SampledFrom([]string{"before the write", "after the write"}).Draw(m.t, "end")
	}
	if end != "before the write" {
		s.write(next)
	}
	if end != "" {
		m.restart(s)
		return
	}
	s.state.Make(next)
	s.registry.Advance(s.state)
}

func (s *modelServer) write(next *Step) {
	s.previous = &disk{rows: maps.Clone(s.disk.rows)}
	s.disk.write(next.Batch())
}

// restart begins a server from its rows. Its subscribers are connected to it no more.
func (m *model) restart(s *modelServer) {
	state, err := Restore(m.limits, s.disk.all())
	if err != nil {
		m.t.Fatalf("%s: %v", s.name, err)
	}
	s.state, s.link, s.floor = state, newLink(m.limits), state.Revision()
	s.registry = NewRegistry(s.name, 100)
	s.registry.Advance(state)
	for _, subscriber := range m.subscribers {
		if subscriber.server == s {
			subscriber.server = nil
		}
	}
	if s != m.servers[m.writer] {
		m.servers[m.writer].registry.Lost(m.now, s.name)
	}
}

// promote makes a server the writer.
func (m *model) promote(s *modelServer) {
	s.epoch = m.epoch
	next := s.state.Promote(m.epoch)
	s.write(next)
	s.state.Make(next)
	s.registry.Advance(s.state)
	m.writer = slices.Index(m.servers, s)
}

// propose changes a log, that of the writer or that of one of an earlier epoch.
func (m *model) propose() {
	s := m.servers[m.writer]
	if old := m.someServer(); old.epoch > 0 && m.one(4, "old writer") {
		s = old
	}
	change := Put{Name: rapid.SampledFrom(modelNames).Draw(m.t, "name"), Author: "test"}
	if change.Remove = m.one(5, "remove"); !change.Remove {
		change.Content = []byte(content(rapid.IntRange(0, 9).Draw(m.t, "content")))
		if m.one(3, "of a share") {
			change.Scope.Fraction = rapid.SampledFrom(modelShares).Draw(m.t, "share")
		}
		if !m.one(4, "of all") {
			change.Scope.Labels = map[string]string{"service": rapid.SampledFrom(modelServices).Draw(m.t, "service")}
		}
	}
	current, exists := s.state.Resource(change.Name)
	if m.flip("compare") {
		change.If = &current.Revision
	}
	fenced := s.state.Revision().Epoch > s.epoch
	resource, next, err := s.state.Propose(m.now, s.epoch, change)
	switch {
	case fenced != isFenced(err):
		m.t.Fatalf("%s writes in epoch %d at %v: %v", s.name, s.epoch, s.state.Revision(), err)
	case fenced, isLimit(err) && len(s.state.resources) == m.limits.Resources && !exists:
		return
	case isInvalid(err) && change.Remove && !exists:
		return
	case err != nil:
		m.t.Fatal(err)
	case next == nil:
		return
	}
	before := s.state.Revision()
	m.make(s, next)
	if s.state.Revision() == before {
		return // it ended before the write, and the revision is made later or never
	}
	if other, made := m.made[resource.Revision]; made {
		m.t.Fatalf("revision %v has two contents: %v and %v", resource.Revision, other, resource)
	}
	m.made[resource.Revision] = resource
}

// ask lets a copy ask a server for a page.
func (m *model) ask(l *link, s *modelServer, held Revision, interest *Interest) (Update, bool) {
	query := l.reader.Query(held, interest)
	query.Bytes = rapid.SampledFrom([]int{1, 700, 0}).Draw(m.t, "bytes")
	page, err := s.state.Read(query)
	if isAhead(err) {
		if m.flip("reset") {
			l.reader.Reset()
		}
		return Update{}, false
	}
	if err != nil {
		m.t.Fatal(err)
	}
	return page, true
}

// carried is a page as it comes out of the codec.
func (m *model) carried(page Update) Update {
	data, err := msgpack.Marshal(&page)
	if err != nil {
		m.t.Fatal(err)
	}
	var copied Update
	if err := msgpack.Unmarshal(data, &copied); err != nil {
		m.t.Fatal(err)
	}
	return copied
}

// deliver gives a copy's reader the page, an earlier one, or none.
func (m *model) deliver(l *link, page Update, faults bool) *Update {
	if faults {
		l.inbox = append(l.inbox, page)
		l.inbox = l.inbox[max(0, len(l.inbox)-modelInbox):]
		switch rapid.SampledFrom([]string{"", "", "", "lost", "late"}).Draw(m.t, "message") {
		case "lost":
			return nil
		case "late":
			page = l.inbox[rapid.IntRange(0, len(l.inbox)-1).Draw(m.t, "which")]
		}
	}
	complete, err := l.reader.Take(m.carried(page))
	if err != nil && !isLimit(err) {
		m.t.Fatal(err)
	}
	return complete
}

// follow lets a relay, or a writer of an earlier epoch, ask another server.
func (m *model) follow(s, source *modelServer, faults bool) {
	if s == source || s == m.servers[m.writer] {
		return
	}
	page, ok := m.ask(&s.link, source, s.state.Revision(), nil)
	if !ok {
		return
	}
	complete := m.deliver(&s.link, page, faults)
	if complete == nil {
		return
	}
	next, err := s.state.Follow(*complete)
	switch {
	case isFenced(err) || isInvalid(err):
		// The update began with a page that came late. It is asked for anew.
	case err != nil:
		m.t.Fatal(err)
	case next != nil && faults:
		m.make(s, next)
	case next != nil:
		s.write(next)
		s.state.Make(next)
		s.registry.Advance(s.state)
	}
}

// loseBatch restarts a relay from a disk that lost its last batch.
func (m *model) loseBatch(s *modelServer) {
	if s.epoch > 0 {
		return
	}
	s.disk = &disk{rows: maps.Clone(s.previous.rows)}
	m.restart(s)
}

// connect moves a subscriber to a server.
func (m *model) connect(s *modelSubscriber, server *modelServer) {
	if s.server == server {
		return
	}
	m.disconnect(s)
	m.session++
	if err := server.registry.Join(m.now, s.interest, m.session, s.status()); err != nil {
		m.t.Fatal(err)
	}
	s.server, s.session = server, m.session
	if m.flip("reset") {
		s.reader.Reset()
	}
}

func (m *model) disconnect(s *modelSubscriber) {
	if s.server != nil {
		s.server.registry.Leave(m.now, s.interest.Host, s.session)
	}
	s.server = nil
}

// status is what a subscriber says of itself.
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

// subscribe lets a subscriber acknowledge what it has, and ask its server for more.
func (m *model) subscribe(s *modelSubscriber, faults bool) {
	if s.server == nil {
		m.connect(s, m.someServer())
	}
	if !faults || !m.one(5, "lost acknowledgement") {
		s.server.registry.Acknowledge(s.interest.Host, s.session, s.status())
	}
	page, ok := m.ask(&s.link, s.server, s.replica.Revision(), &s.interest)
	if !ok {
		return
	}
	s.server.registry.Acknowledged(s.interest.Host, s.session, &page)
	complete := m.deliver(&s.link, page, faults)
	if complete == nil {
		return
	}
	changed, err := s.replica.Take(*complete)
	switch {
	case isFenced(err) || isInvalid(err):
		return
	case err != nil:
		m.t.Fatal(err)
	case changed:
		s.want(m.now)
	}
	if !faults || m.flip("keep") {
		s.write()
	}
}

func (s *modelSubscriber) want(now time.Time) {
	for _, instance := range s.instances {
		instance.applier.Want(now, s.replica.For(s.interest.Host, instance.labels))
	}
}

func (s *modelSubscriber) write() {
	s.previous = &disk{rows: maps.Clone(s.disk.rows)}
	s.disk.write(s.replica.Batch(s.kept))
	s.kept = s.replica.Clone()
}

// restartSubscriber begins an agent from its rows, perhaps without the last batch. What its
// instances accepted is written when they accept it.
func (m *model) restartSubscriber(s *modelSubscriber) {
	m.disconnect(s)
	if m.flip("lose batch") {
		s.disk = &disk{rows: maps.Clone(s.previous.rows)}
	}
	replica, err := RestoreReplica(s.interest, s.disk.all())
	if err != nil {
		m.t.Fatal(err)
	}
	s.replica, s.kept, s.link, s.floor = replica, replica.Clone(), newLink(m.limits), replica.Revision()
	s.applied, s.epoch = Revision{}, replica.epoch
	for _, instance := range s.instances {
		instance.applier = restoreApplier(m.t, instance.applier)
	}
	s.want(m.now)
}

// replaceInstance lets one of an agent's instances be of another service from now on.
func (m *model) replaceInstance(s *modelSubscriber) {
	m.disconnect(s)
	s.write()
	instance := s.instances[len(s.instances)-1]
	instance.labels = map[string]string{"service": rapid.SampledFrom(modelServices).Draw(m.t, "service")}
	s.interest = s.currentInterest(s.interest.Host)
	replica, err := RestoreReplica(s.interest, s.disk.all())
	if err != nil {
		m.t.Fatal(err)
	}
	s.replica, s.kept, s.link, s.floor = replica, replica.Clone(), newLink(m.limits), replica.Revision()
	s.applied = Revision{}
	s.want(m.now)
}

// forgive lets an instance be given once more what it refused.
func (m *model) forgive(s *modelSubscriber) {
	s.instances[0].applier.Forgive(m.now)
	s.applied = Revision{}
	if s.server != nil {
		s.server.registry.Acknowledge(s.interest.Host, s.session, s.status())
	}
}

// apply lets an instance answer one attempt; between, others may be wanted.
func (m *model) apply(s *modelSubscriber, instance *modelInstance, faults bool) {
	if _, due := instance.applier.Due(); !due {
		return
	}
	offered := instance.applier.Begin()
	if faults && m.one(5, "abandon") {
		instance.applier.Abandon()
		return
	}
	if faults && m.flip("meanwhile") {
		m.subscribe(s, true)
	}
	if slices.ContainsFunc(offered, instance.refuses) {
		instance.applier.Done(false, "refused")
		return
	}
	instance.applier.Done(true, "")
	instance.inForce = offered
}

// report lets a relay say to the writer how far its subscribers are.
func (m *model) report(s *modelServer) {
	writer := m.servers[m.writer]
	if s == writer {
		return
	}
	reports, all := s.registry.Reports(2)
	if m.flip("lost") {
		s.registry.ReportAll()
		writer.registry.Lost(m.now, s.name)
		return
	}
	position := Revision{}
	if all {
		position = s.registry.Position()
	}
	writer.registry.Merge(s.name, position, reports)
}

// action is a kind of event, drawn as often as its weight says.
type action struct {
	name   string
	weight int
	do     func()
}

func (m *model) actions() []action {
	return []action{
		{"propose", 8, m.propose},
		{"subscribe", 8, func() { m.subscribe(m.someSubscriber(), true) }},
		{"follow the writer", 6, func() { m.follow(m.someServer(), m.servers[m.writer], true) }},
		{"follow to the end", 3, func() { m.followOn(m.someServer()) }},
		{"subscribe to the end", 3, func() { m.subscribeOn(m.someSubscriber()) }},
		{"apply", 6, m.applySome},
		{"connect", 2, func() { m.connect(m.someSubscriber(), m.someServer()) }},
		{"report", 2, func() { m.report(m.someServer()) }},
		{"follow any", 1, func() { m.follow(m.someServer(), m.someServer(), true) }},
		{"restart", 1, func() { m.restart(m.someServer()) }},
		{"lose a batch", 1, func() { m.loseBatch(m.someServer()) }},
		{"restart a subscriber", 1, func() { m.restartSubscriber(m.someSubscriber()) }},
		{"replace an instance", 1, func() { m.replaceInstance(m.someSubscriber()) }},
		{"disconnect", 1, func() { m.disconnect(m.someSubscriber()) }},
		{"promote", 1, m.promoteSome},
		{"forgive", 1, func() { m.forgive(m.someSubscriber()) }},
	}
}

// step is one event in the fleet.
func (m *model) step() {
	m.now = m.now.Add(time.Second)
	var drawn []string
	byName := make(map[string]func())
	for _, action := range m.actions() {
		byName[action.name] = action.do
		drawn = append(drawn, slices.Repeat([]string{action.name}, action.weight)...)
	}
	byName[rapid.SampledFrom(drawn).Draw(m.t, "action")]()
}

func (m *model) applySome() {
	s := m.someSubscriber()
	m.apply(s, s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(m.t, "instance")], true)
}

func (m *model) promoteSome() {
	s := m.someServer()
	if m.epoch >= modelEpochs || s == m.servers[m.writer] {
		return
	}
	m.epoch++
	m.promote(s)
}

// followOn brings a relay up to the writer's state.
func (m *model) followOn(s *modelServer) {
	writer := m.servers[m.writer]
	for range 50 {
		if s.state.Revision() == writer.state.Revision() {
			return
		}
		m.follow(s, writer, false)
	}
	m.t.Fatalf("%s stays at %v of %v", s.name, s.state.Revision(), writer.state.Revision())
}

// subscribeOn brings a subscriber up to its server's state, unless it holds more or knows a
// later epoch.
func (m *model) subscribeOn(s *modelSubscriber) {
	for range 50 {
		if s.server == nil || s.server.state.Revision().Epoch < s.replica.epoch ||
			!s.server.state.Revision().After(s.replica.Revision()) {
			return
		}
		m.subscribe(s, false)
	}
	m.t.Fatalf("%s stays at %v of %v", s.interest.Host, s.replica.Revision(), s.server.state.Revision())
}

// heal lets everybody reach a relay that reaches the writer.
func (m *model) heal() {
	writer := m.servers[m.writer]
	for _, s := range m.servers {
		if s != writer {
			m.followOn(s)
			requireSameState(m.t, writer.state, s.state)
		}
	}
	for _, s := range m.subscribers {
		m.connect(s, m.someServer())
		m.subscribeOn(s)
		for _, instance := range s.instances {
			m.settle(s, instance)
		}
		m.subscribe(s, false)
	}
	for _, s := range m.servers {
		if s != writer {
			writer.registry.Lost(m.now, s.name)
			s.registry.ReportAll()
			forward(s.registry, writer.registry, 2)
		}
	}
}

func (m *model) settle(s *modelSubscriber, instance *modelInstance) {
	for range 50 {
		if !instance.applier.Pending() {
			return
		}
		m.apply(s, instance, false)
	}
	m.t.Fatalf("instance %d does not settle", instance.number)
}

// TestFleetConverges is the property that the package promises: whatever is lost, repeated,
// late, restarted or promoted, copies never go back and never hold what no log made, and whoever
// reaches the writer by a relay ends at its state.
func TestFleetConverges(t *testing.T) {
	t.Parallel()
	limit := 200
	if testing.Short() {
		limit = 60
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, limit).Draw(t, "steps") {
			m.step()
			m.check()
		}
		m.heal()
		m.check()
		m.checkConverged()
	})
}
