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

// modelHistories are the history limits. The short one causes constant compaction.
var modelHistories = []int{4, 15}

// Sizes of the model.
const (
	modelServers     = 4 // the writer and three relays
	modelSubscribers = 4
	modelEpochs      = 4
	modelInbox       = 4 // pages that may arrive late
)

var (
	modelNames    = []string{"a", "b", "c", "d", "e", "f", "g"} // one more than the limit of resources
	modelServices = []string{"x", "y", "z"}
	modelShares   = []float64{0, 0.3, 0.7}
)

// model is a small fleet together with the facts that its parts are checked against.
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

func (m *model) someServer() *modelServer {
	return m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(m.t, "server")]
}

func (m *model) someSubscriber() *modelSubscriber {
	return m.subscribers[rapid.IntRange(0, len(m.subscribers)-1).Draw(m.t, "subscriber")]
}

// oneIn returns true once in n times on average.
func (m *model) oneIn(n int, label string) bool { return rapid.IntRange(1, n).Draw(m.t, label) == n }

func (m *model) flip(label string) bool { return rapid.Bool().Draw(m.t, label) }

// propose changes the writer's log, or that of a writer of an earlier epoch.
func (m *model) propose() {
	s := m.servers[m.writer]
	if old := m.someServer(); old.epoch > 0 && m.oneIn(4, "old writer") {
		s = old
	}
	change := Put{Name: rapid.SampledFrom(modelNames).Draw(m.t, "name"), Author: "test"}
	if change.Remove = m.oneIn(5, "remove"); !change.Remove {
		change.Content = []byte(content(rapid.IntRange(0, 9).Draw(m.t, "content")))
		if m.oneIn(3, "of a share") {
			change.Scope.Fraction = rapid.SampledFrom(modelShares).Draw(m.t, "share")
		}
		if !m.oneIn(4, "of all") {
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
		return // it restarted before the write: the revision may be used again
	}
	if other, made := m.made[resource.Revision]; made {
		m.t.Fatalf("revision %v has two contents: %v and %v", resource.Revision, other, resource)
	}
	m.made[resource.Revision] = resource
}

// query reads a page for a copy from a server.
func (m *model) query(l *link, s *modelServer, held Revision, interest *Interest) (Update, bool) {
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

// carried returns a page after encoding and decoding.
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

// deliver passes the page, an earlier one or none to a copy's reader.
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

// follow lets a relay, or a writer of an earlier epoch, copy from another server.
func (m *model) follow(s, source *modelServer, faults bool) {
	if s == source || s == m.servers[m.writer] {
		return
	}
	page, ok := m.query(&s.link, source, s.state.Revision(), nil)
	if !ok {
		return
	}
	complete := m.deliver(&s.link, page, faults)
	if complete == nil {
		return
	}
	next, err := s.state.PrepareUpdate(*complete)
	switch {
	case isFenced(err) || isInvalid(err):
		// The update began with a late page. It is requested again.
	case err != nil:
		m.t.Fatal(err)
	case next != nil && faults:
		m.make(s, next)
	case next != nil:
		s.write(next)
		s.state.Apply(next)
		s.registry.Advance(s.state)
	}
}

// loseBatch restarts a relay from a disk that lost its last batch.
func (m *model) loseBatch(s *modelServer) {
	if s.epoch > 0 {
		return
	}
	s.disk = &disk{entries: maps.Clone(s.previous.entries)}
	m.restart(s)
}

// report sends a relay's reports on its subscribers to the writer.
func (m *model) report(s *modelServer) {
	writer := m.servers[m.writer]
	if s == writer {
		return
	}
	reports, all := s.registry.Reports(2)
	if m.flip("lost") {
		s.registry.ReportAll()
		writer.registry.RelayLost(m.now, s.name)
		return
	}
	position := Revision{}
	if all {
		position = s.registry.Position()
	}
	writer.registry.MergeReports(s.name, position, reports)
}

// action is a kind of event, drawn with a probability proportional to its weight.
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
		{"follow to the end", 3, func() { m.followToEnd(m.someServer()) }},
		{"subscribe to the end", 3, func() { m.subscribeToEnd(m.someSubscriber()) }},
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
		{"forgive", 1, func() { m.retryRejected(m.someSubscriber()) }},
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

// followToEnd brings a relay up to the writer's state.
func (m *model) followToEnd(s *modelServer) {
	writer := m.servers[m.writer]
	for range 50 {
		if s.state.Revision() == writer.state.Revision() {
			return
		}
		m.follow(s, writer, false)
	}
	m.t.Fatalf("%s stays at %v of %v", s.name, s.state.Revision(), writer.state.Revision())
}

// subscribeToEnd brings a subscriber up to its server's state, unless the subscriber holds more or
// knows a later epoch.
func (m *model) subscribeToEnd(s *modelSubscriber) {
	for range 50 {
		if s.server == nil || s.server.state.Revision().Epoch < s.replica.epoch ||
			!s.server.state.Revision().After(s.replica.Revision()) {
			return
		}
		m.subscribe(s, false)
	}
	m.t.Fatalf("%s stays at %v of %v", s.interest.Host, s.replica.Revision(), s.server.state.Revision())
}

// heal connects every subscriber to a relay that reaches the writer, without faults.
func (m *model) heal() {
	writer := m.servers[m.writer]
	for _, s := range m.servers {
		if s != writer {
			m.followToEnd(s)
			requireSameState(m.t, writer.state, s.state)
		}
	}
	for _, s := range m.subscribers {
		m.connect(s, m.someServer())
		m.subscribeToEnd(s)
		for _, instance := range s.instances {
			m.settle(s, instance)
		}
		m.subscribe(s, false)
	}
	for _, s := range m.servers {
		if s != writer {
			writer.registry.RelayLost(m.now, s.name)
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

// TestFleetConverges checks the package's promises: whatever is lost, repeated, late, restarted or
// promoted, copies never go back and never hold what no log wrote, and every copy that reaches
// the writer through a relay converges to its state.
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
