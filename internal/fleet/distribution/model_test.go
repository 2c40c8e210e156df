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

// modelHistories are the history limits to choose from. With the short one, most changes compact the
// history.
var modelHistories = []int{4, 15}

// Sizes of the model.
const (
	modelServers     = 4 // the writer and three relays
	modelSubscribers = 4
	modelEpochs      = 4 // the highest epoch; epoch 1 is that of the first writer
	modelInbox       = 4 // number of earlier pages that may arrive late
)

var (
	modelNames     = []string{"a", "b", "c", "d", "e", "f", "g"} // one more than the limit of resources
	modelServices  = []string{"x", "y", "z"}
	modelFractions = []float64{0, 0.3, 0.7}
)

// model is a small fleet, together with the history that its copies are checked against.
type model struct {
	t           *rapid.T
	limits      Limits
	now         time.Time
	servers     []*modelServer
	writer      int   // index in servers
	epoch       int64 // of the writer
	session     int64 // the latest of all subscribers
	subscribers []*modelSubscriber
	published   map[Revision]Resource // every change of every log, by its revision
}

// link delivers pages to a copy: some are lost, repeated or late.
type link struct {
	reader *Reader
	inbox  []Update // the latest pages, which may be delivered again
}

func newLink(limits Limits) link { return link{reader: NewReader(limits)} }

// newModel returns a fleet whose first server is the writer of epoch 1, and where no subscriber is
// connected.
func newModel(t *rapid.T) *model {
	m := &model{t: t, now: testTime, published: make(map[Revision]Resource), epoch: 1}
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

// drawServer returns one of the servers.
func (m *model) drawServer() *modelServer {
	return m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(m.t, "server")]
}

// drawSubscriber returns one of the subscribers.
func (m *model) drawSubscriber() *modelSubscriber {
	return m.subscribers[rapid.IntRange(0, len(m.subscribers)-1).Draw(m.t, "subscriber")]
}

// oneIn returns true once in n times on average.
func (m *model) oneIn(n int, label string) bool { return rapid.IntRange(1, n).Draw(m.t, label) == n }

// flip returns true or false at random.
func (m *model) flip(label string) bool { return rapid.Bool().Draw(m.t, label) }

// propose proposes a change at the writer, or at a writer of an earlier epoch.
func (m *model) propose() {
	s := m.servers[m.writer]
	if old := m.drawServer(); old.epoch > 0 && m.oneIn(4, "earlier writer") {
		s = old
	}
	change := Put{Name: rapid.SampledFrom(modelNames).Draw(m.t, "name"), Author: "test"}
	if change.Remove = m.oneIn(5, "remove"); !change.Remove {
		change.Content = []byte(content(rapid.IntRange(0, 9).Draw(m.t, "content")))
		if m.oneIn(3, "scope with a fraction") {
			change.Scope.Fraction = rapid.SampledFrom(modelFractions).Draw(m.t, "share")
		}
		if !m.oneIn(4, "scope of all services") {
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
		m.t.Fatalf("Propose at %s in epoch %d of a log at %v: got error %v, want a FencedError exactly if the log is in a later epoch", s.name, s.epoch, s.state.Revision(), err)
	case fenced, isLimit(err) && len(s.state.resources) == m.limits.Resources && !exists:
		return
	case isInvalid(err) && change.Remove && !exists:
		return
	case err != nil:
		m.t.Fatalf("Propose at %s: %v", s.name, err)
	case next == nil:
		return
	}
	before := s.state.Revision()
	m.applyOrRestart(s, next)
	if s.state.Revision() == before {
		return // the server restarted before the write, so the revision may be used again
	}
	if other, exists := m.published[resource.Revision]; exists {
		m.t.Fatalf("revision %v was used for two changes: %v and %v", resource.Revision, other, resource)
	}
	m.published[resource.Revision] = resource
}

// query reads a page for a copy from a server, and returns false if the server is behind the copy.
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
		m.t.Fatalf("State.Read at %s: %v", s.name, err)
	}
	return page, true
}

// encodeAndDecode returns a page as it is after its transfer.
func (m *model) encodeAndDecode(page Update) Update {
	data, err := msgpack.Marshal(&page)
	if err != nil {
		m.t.Fatalf("encoding of a page: %v", err)
	}
	var decoded Update
	if err := msgpack.Unmarshal(data, &decoded); err != nil {
		m.t.Fatalf("decoding of a page: %v", err)
	}
	return decoded
}

// deliver passes a page to a copy's reader, and returns the update once it is complete. With faults, the
// page may be lost, or an earlier one delivered instead.
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
	complete, err := l.reader.AddPage(m.encodeAndDecode(page))
	if err != nil && !isLimit(err) {
		m.t.Fatalf("Reader.AddPage: got error %v, want only a LimitError", err)
	}
	return complete
}

// follow makes a relay, or a writer of an earlier epoch, request a page from another server and apply
// the update once it is complete.
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
		// The update began with a late page, and is requested again.
	case err != nil:
		m.t.Fatalf("PrepareUpdate at %s: %v", s.name, err)
	case next != nil && faults:
		m.applyOrRestart(s, next)
	case next != nil:
		s.write(next)
		s.state.Apply(next)
		s.registry.Advance(s.state)
	}
}

// loseBatch restarts a relay that was never the writer from a disk that lost its last batch.
func (m *model) loseBatch(s *modelServer) {
	if s.epoch > 0 {
		return
	}
	s.disk = &disk{entries: maps.Clone(s.previous.entries)}
	m.restart(s)
}

// report sends a relay's reports on its subscribers to the writer, or loses them together with the
// connection.
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

// action is a kind of event, which is drawn with a probability proportional to its weight.
type action struct {
	name   string
	weight int
	do     func()
}

// actions returns all kinds of events.
func (m *model) actions() []action {
	return []action{
		{"propose", 8, m.propose},
		{"subscribe", 8, func() { m.subscribe(m.drawSubscriber(), true) }},
		{"follow the writer", 6, func() { m.follow(m.drawServer(), m.servers[m.writer], true) }},
		{"follow to the end", 3, func() { m.followToEnd(m.drawServer()) }},
		{"subscribe to the end", 3, func() { m.subscribeToEnd(m.drawSubscriber()) }},
		{"apply", 6, m.applySome},
		{"connect", 2, func() { m.connect(m.drawSubscriber(), m.drawServer()) }},
		{"report", 2, func() { m.report(m.drawServer()) }},
		{"follow any server", 1, func() { m.follow(m.drawServer(), m.drawServer(), true) }},
		{"restart", 1, func() { m.restart(m.drawServer()) }},
		{"lose a batch", 1, func() { m.loseBatch(m.drawServer()) }},
		{"restart a subscriber", 1, func() { m.restartSubscriber(m.drawSubscriber()) }},
		{"replace an instance", 1, func() { m.replaceInstance(m.drawSubscriber()) }},
		{"disconnect", 1, func() { m.disconnect(m.drawSubscriber()) }},
		{"promote", 1, m.promoteSome},
		{"retry rejected revisions", 1, func() { m.retryRejected(m.drawSubscriber()) }},
	}
}

// step makes one event happen in the fleet.
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

// applySome makes an attempt at one of the instances.
func (m *model) applySome() {
	s := m.drawSubscriber()
	m.apply(s, s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(m.t, "instance")], true)
}

// promoteSome promotes one of the servers, unless it is the writer or modelEpochs is reached.
func (m *model) promoteSome() {
	s := m.drawServer()
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
	m.t.Fatalf("%s is at revision %v after 50 requests, want the writer's %v", s.name, s.state.Revision(), writer.state.Revision())
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
	m.t.Fatalf("subscriber %s is at revision %v after 50 polls, want its server's %v", s.interest.Host, s.replica.Revision(), s.server.state.Revision())
}

// converge runs the fleet without further faults: every server catches up with the writer, every
// subscriber with a server, and every relay reports to the writer.
func (m *model) converge() {
	writer := m.servers[m.writer]
	for _, s := range m.servers {
		if s != writer {
			m.followToEnd(s)
			requireSameState(m.t, writer.state, s.state)
		}
	}
	for _, s := range m.subscribers {
		m.connect(s, m.drawServer())
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

// settle makes attempts at an instance until no change is pending.
func (m *model) settle(s *modelSubscriber, instance *modelInstance) {
	for range 50 {
		if !instance.applier.Pending() {
			return
		}
		m.apply(s, instance, false)
	}
	m.t.Fatalf("instance %d has pending changes after 50 attempts", instance.number)
}

// TestFleetConverges checks the package's guarantees: whatever messages are lost, repeated or late, and
// whichever servers are restarted or promoted, a copy never goes back to an earlier revision while it
// runs, never contains a change that no log wrote, and converges to the writer's state once it reaches
// the writer through a relay.
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
		m.converge()
		m.check()
		m.checkConverged()
	})
}
