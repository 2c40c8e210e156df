package soak

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Span is a time.Duration that is printed as text in a script, such as "1.5s".
type Span time.Duration

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// Idempotency says whether a request may be repeated. Its values are those of a sidecar's settings.
type Idempotency string

// Values of Idempotency.
const (
	Idempotent       Idempotency = "repeatable" // may be repeated at any time
	IdempotencyKeyed Idempotency = "by_key"     // may be repeated with its key within Class.DedupWindow
	NonIdempotent    Idempotency = "once"       // must not run twice
)

// Class is a class of requests.
type Class struct {
	Name        string      `json:"Name"`
	Idempotency Idempotency `json:"Effect"`
	Deadline    Span        `json:"Deadline"` // how long a client waits for an answer; short-deadline requests have a lower one
	DedupWindow Span        `json:"Window"`   // within which a keyed request may be repeated
}

// Server modes: what a server does with its connections and requests while it is in the mode.
const (
	ModeAnswer        = "answer"         // answers each request; the default
	ModeHang          = "hang"           // reads requests and does not answer; resets their connections at the end of the mode
	ModeSilent        = "silent"         // reads nothing; resets all open connections at the end of the mode
	ModeDown          = "down"           // refuses connections, and resets all open ones
	ModeSlow          = "late"           // answers slowDelay later
	ModeFail          = "fail"           // answers with status 500
	ModeDecline       = "decline"        // rejects requests with status 503 and Srv-Declined
	ModeResetBefore   = "reset-before"   // resets the connection at a request's first byte
	ModeResetWithin   = "reset-within"   // resets the connection in the middle of an answer
	ModeResetAfter    = "reset-after"    // answers, then resets the connection
	ModeNoLength      = "no-length"      // answers without a length, and closes the connection
	ModeDuplicate     = "twice"          // answers twice, the second time duplicateDelay later
	ModeEndless       = "endless"        // begins an answer; resets the connection at the end of the mode
	ModeResetRequests = "reset-requests" // reads a complete request, then resets the connection
	ModeIdleClose     = "idle-close"     // closes the connection truncationDelay after an answer
	ModeForget        = "forget"         // after an answer reads nothing more of the connection; resets it at the end of the mode
)

// serverModes are the modes that Generate chooses from. Each entry has the same probability, so that
// ModeHang is three times as probable as any other mode.
var serverModes = []string{ModeHang, ModeHang, ModeHang, ModeSilent, ModeDown, ModeSlow, ModeFail, ModeDecline,
	ModeResetBefore, ModeResetWithin, ModeResetAfter, ModeNoLength, ModeDuplicate, ModeEndless, ModeResetRequests,
	ModeIdleClose, ModeForget}

// Discovery modes: what discovery does with the calls of sidecars while it is in the mode.
const (
	DiscoveryServes      = "serves" // answers calls and sends changes; the default
	DiscoveryUnavailable = "away"   // answers calls with status 503, and ends watches
	DiscoverySilent      = "silent" // answers no call, and sends nothing more on open watches
	DiscoverySlow        = "slow"   // answers calls slowCallDelay later
)

// discoveryModes are the modes that Generate chooses from.
var discoveryModes = []string{DiscoveryUnavailable, DiscoverySilent, DiscoverySlow}

// Kinds of events. Each comment first names the fields of Event that the kind uses.
const (
	EventServerMode    = "server-mode"    // Targets, Mode, For: the servers are in a mode for a time
	EventServerDrain   = "server-drain"   // Targets: the servers are listed as draining
	EventServerRemove  = "server-remove"  // Targets: the servers are removed from the list, and down
	EventServerReturn  = "server-return"  // Targets: the servers are listed as up again under their names, in slow start
	EventServerReset   = "server-reset"   // Targets: the servers reset all open connections
	EventDiscoveryMode = "discovery-mode" // Mode, For: discovery is in a mode for a time
	EventStop          = "stop"           // Targets, Signals, Gap, Again, Factor: the sidecars get the signals, are killed if they still run after EarliestKill, and are restarted at once
	EventReload        = "reload"         // Targets, Factor: the sidecars reload deadlines multiplied by the factor
	EventPause         = "hold"           // Targets, For: the sidecars' processes are stopped by SIGSTOP for a time
)

// Event is a fault or signal during a run.
type Event struct {
	At      Span     `json:"At"`         // since the clients' start
	Kind    string   `json:"Kind"`       // one of the Event constants
	Targets []int    `json:",omitempty"` // numbers of sidecars or servers, from 0
	Mode    string   `json:",omitempty"` // a server or discovery mode
	For     Span     `json:",omitempty"` // how long the event lasts
	Signals []string `json:",omitempty"` // keys of signalsByName, in the order of sending
	Gap     Span     `json:",omitempty"` // between two signals
	Again   Span     `json:",omitempty"` // how long after its start the next process is stopped as well; 0: it is not stopped
	Factor  float64  `json:",omitempty"` // multiplies the deadlines, in a stop just before its signals; 0: they stay as they are
}

// Script describes a deployment, its clients, and the events of a run. Parse reads what String
// returns.
type Script struct {
	Seed     uint64 `json:"Seed"`
	Length   Span   `json:"Length"`
	Sidecars int    `json:"Sidecars"` // number of sidecars
	Servers  int    `json:"Servers"`  // number of servers

	PollsDiscovery bool    `json:"Asked"`      // the sidecars poll discovery; otherwise it pushes lists
	CompleteLists  bool    `json:"WholeLists"` // each change is sent as a complete list, without draining servers
	DrainGrace     Span    `json:"DrainGrace"` // how long after the notification a draining server may get requests
	Classes        []Class `json:"Classes"`
	Attempts       int     `json:"Attempts"` // maximum number of attempts of a request
	Hedging        bool    `json:"Copies"`   // hedged requests are allowed
	Sockets        int     `json:"Sockets"`  // limit of open file descriptors of a sidecar

	Workers           int     `json:"Workers"`   // requests that a server works on at once
	Work              Span    `json:"Work"`      // time that a request takes at a server after its slow start
	Queue             int     `json:"Queue"`     // requests that wait at a server at most
	SlowStartFraction float64 `json:"ColdFrom"`  // fraction of its capacity that a server has right after its start
	SlowStartDuration Span    `json:"ColdFor"`   // after which a server has its full capacity
	OverloadFactor    float64 `json:"FallsAt"`   // multiple of its capacity that overloads a server in slow start
	OverloadDuration  Span    `json:"FallsOver"` // over which the overload is counted

	Clients           int     `json:"Clients"`      // clients of each sidecar that send one request after another
	ThinkTime         Span    `json:"Pause"`        // mean time between a client's requests
	DisconnectRate    float64 `json:"Leaving"`      // fraction of requests whose client disconnects early
	ShortDeadlineRate float64 `json:"Impatient"`    // fraction of requests with a short deadline
	Stalling          int     `json:"Stalling"`     // clients of each sidecar that stop in the middle of a request and wait
	Slow              int     `json:"Slow"`         // clients of each sidecar that write slowly
	IdleConnections   int     `json:"Crowd"`        // idle connections to each sidecar
	ShortDeadline     Span    `json:"ImpatientFor"` // the short deadline; a class's own deadline applies if it is shorter
	QuietUntil        Span    `json:"QuietUntil"`   // how long the clients wait before their first request
	MaxBody           int     `json:"BodyMost"`     // maximum bytes of a request's body
	MaxAnswer         int     `json:"AnswerMost"`   // maximum bytes added to an answer
	Events            []Event `json:"Events"`       // in the order in which they are carried out; Generate orders them by At
}

// Longest returns the longest deadline of all classes.
func (s *Script) Longest() time.Duration { return longestDeadline(s.Classes) }

// longestDeadline returns the longest deadline of the classes, 0 if there are none.
func longestDeadline(classes []Class) (longest time.Duration) {
	for _, class := range classes {
		longest = max(longest, time.Duration(class.Deadline))
	}
	return longest
}

// capacityFraction returns the fraction of its full capacity that a server has at an age. It grows
// linearly from SlowStartFraction to 1.
func (s *Script) capacityFraction(age time.Duration) float64 {
	if age >= time.Duration(s.SlowStartDuration) {
		return 1
	}
	return s.SlowStartFraction + (1-s.SlowStartFraction)*age.Seconds()/time.Duration(s.SlowStartDuration).Seconds()
}

// Class returns a class by its name, nil if there is none.
func (s *Script) Class(name string) *Class {
	for n := range s.Classes {
		if s.Classes[n].Name == name {
			return &s.Classes[n]
		}
	}
	return nil
}

// String returns the script as JSON, which Parse reads.
func (s *Script) String() string {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return fmt.Sprint("encode script: ", err)
	}
	return string(text)
}

// Parse reads a script that String returned. It returns an error if the text can't be decoded.
func Parse(text []byte) (*Script, error) {
	s := new(Script)
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("soak: decode script: %w", err)
	}
	return s, nil
}

// Size bounds the scripts that Generate returns.
type Size struct {
	Sidecars int           // maximum number of sidecars
	Length   time.Duration // maximum length; the minimum is four fifths of it
}

// generator holds the random source and the script while Generate fills it in.
type generator struct {
	*rand.Rand
	script *Script
}

// uniform returns a random duration from a range, all with the same probability.
func (g *generator) uniform(low, high time.Duration) Span {
	return Span(low + time.Duration(g.Float64()*float64(high-low)))
}

// logUniform returns a random duration from a range, whose logarithm is uniformly distributed.
func (g *generator) logUniform(low, high time.Duration) Span {
	return Span(float64(low) * math.Pow(float64(high)/float64(low), g.Float64()))
}

// chance returns true with the given probability.
func (g *generator) chance(probability float64) bool { return g.Float64() < probability }

// subset returns a random subset of the numbers below n. Each number is in it with the given
// probability; if none is, it holds one random number.
func (g *generator) subset(n int, probability float64) (targets []int) {
	for target := range n {
		if g.chance(probability) {
			targets = append(targets, target)
		}
	}
	if targets == nil {
		targets = []int{g.IntN(n)}
	}
	return targets
}

// Generate returns the script of a seed. The same seed and size give the same script.
func Generate(seed uint64, size Size) *Script {
	g := &generator{Rand: rand.New(rand.NewPCG(seed, 40)), script: &Script{Seed: seed}}
	g.chooseDeployment(size)
	g.chooseClients()
	g.addServerEvents()
	g.addDiscoveryEvents()
	g.addSidecarEvents()
	slices.SortStableFunc(g.script.Events, func(a, b Event) int { return int(a.At - b.At) })
	return g.script
}

// chooseDeployment chooses the length, the sidecars and servers and their settings.
func (g *generator) chooseDeployment(size Size) {
	s := g.script
	s.Length = g.uniform(size.Length*4/5, size.Length)
	s.Sidecars = 1 + g.IntN(size.Sidecars)
	s.Servers = 2 + g.IntN(6)
	s.PollsDiscovery, s.CompleteLists = g.chance(0.5), g.chance(0.3)
	s.DrainGrace = g.uniform(500*time.Millisecond, 2*time.Second)
	longest := g.logUniform(200*time.Millisecond, 8*time.Second)
	for n, idempotency := range []Idempotency{Idempotent, IdempotencyKeyed, NonIdempotent} {
		deadline := longest
		if g.chance(0.6) {
			deadline = Span(float64(longest) * (0.25 + 0.75*g.Float64()))
		}
		s.Classes = append(s.Classes, Class{
			Name:        []string{"look", "book", "pay"}[n],
			Idempotency: idempotency,
			Deadline:    max(deadline, Span(150*time.Millisecond)),
			DedupWindow: Span(float64(deadline) * (0.2 + 0.6*g.Float64())),
		})
	}
	s.Attempts = 1 + g.IntN(5)
	s.Hedging = g.chance(0.6)
	s.Sockets = []int{96, 128, 256}[g.IntN(3)]
	s.Workers, s.Queue = 2+g.IntN(3), 2+g.IntN(5)
	s.Work = g.uniform(5*time.Millisecond, 40*time.Millisecond)
	s.SlowStartFraction, s.OverloadFactor = 0.15+0.3*g.Float64(), 4
	s.SlowStartDuration, s.OverloadDuration = g.uniform(3*time.Second, 10*time.Second), Span(2*time.Second)
}

// chooseClients chooses the clients and their behaviour.
func (g *generator) chooseClients() {
	s := g.script
	s.Clients = 3 + g.IntN(6)
	s.ThinkTime = g.uniform(time.Millisecond, 60*time.Millisecond)
	s.DisconnectRate, s.ShortDeadlineRate = 0.15*g.Float64(), 0.1*g.Float64()
	s.ShortDeadline = g.logUniform(5*time.Millisecond, 150*time.Millisecond)
	if g.chance(0.5) {
		s.Stalling = 1 + g.IntN(3)
	}
	if g.chance(0.4) {
		s.Slow = 1 + g.IntN(2)
	}
	if g.chance(0.25) {
		s.IdleConnections = s.Sockets
	}
	if g.chance(0.15) {
		s.QuietUntil = g.timeWithin(0.2, 0.5)
	}
	if g.chance(0.4) {
		s.MaxBody, s.MaxAnswer = g.IntN(100<<10), g.IntN(100<<10)
	}
}

// add adds an event to the script.
func (g *generator) add(e Event) { g.script.Events = append(g.script.Events, e) }

// timeWithin returns a random time between two fractions of the script's length.
func (g *generator) timeWithin(from, to float64) Span {
	length := time.Duration(g.script.Length)
	return g.uniform(time.Duration(from*float64(length)), time.Duration(to*float64(length)))
}

// addServerEvents adds changes of servers' modes, resets and, with three servers or more, the drain, removal and
// return of one of them.
func (g *generator) addServerEvents() {
	s := g.script
	for range 1 + g.IntN(4) {
		g.add(Event{At: g.timeWithin(0.05, 0.8), Kind: EventServerMode, Targets: g.subset(s.Servers, 0.3),
			Mode: serverModes[g.IntN(len(serverModes))], For: g.uniform(300*time.Millisecond, 4*time.Second)})
	}
	for range g.IntN(3) {
		g.add(Event{At: g.timeWithin(0.1, 0.9), Kind: EventServerReset, Targets: g.subset(s.Servers, 0.4)})
	}
	if s.Servers < 3 {
		return
	}
	leaving := g.IntN(s.Servers)
	drained := g.timeWithin(0.1, 0.5)
	g.add(Event{At: drained, Kind: EventServerDrain, Targets: []int{leaving}})
	if g.chance(0.5) {
		removed := drained + g.uniform(time.Second, 3*time.Second)
		g.add(Event{At: removed, Kind: EventServerRemove, Targets: []int{leaving}})
		if g.chance(0.7) {
			g.add(Event{At: removed + g.uniform(50*time.Millisecond, time.Second), Kind: EventServerReturn, Targets: []int{leaving}})
		}
	}
}

// addDiscoveryEvents adds changes of discovery's mode.
func (g *generator) addDiscoveryEvents() {
	modes := discoveryModes
	if !g.script.PollsDiscovery { // an agent on the sidecar's own machine pushes the lists: it answers at once or not at all
		modes = slices.DeleteFunc(slices.Clone(modes), func(mode string) bool { return mode == DiscoverySlow })
	}
	for range g.IntN(3) {
		g.add(Event{At: g.timeWithin(0.05, 0.7), Kind: EventDiscoveryMode,
			Mode: modes[g.IntN(len(modes))], For: g.uniform(300*time.Millisecond, 4*time.Second)})
	}
}

// signalSeries are the sequences of signals that terminate a process. Generate chooses from them with
// equal probability.
var signalSeries = [][]string{{"TERM"}, {"TERM"}, {"TERM", "TERM"}, {"HUP", "TERM"}, {"TERM", "HUP", "TERM"},
	{"HUP", "HUP", "TERM", "INT"}, {"INT"}, {"INT", "HUP"}}

// addSidecarEvents adds stops, reloads and pauses of sidecars.
func (g *generator) addSidecarEvents() {
	s := g.script
	for range 1 + g.IntN(3) {
		at := g.timeWithin(0.1, 0.75)
		stop := Event{At: at, Kind: EventStop, Targets: g.subset(s.Sidecars, 0.4),
			Signals: signalSeries[g.IntN(len(signalSeries))], Gap: g.uniform(0, 30*time.Millisecond)}
		if g.chance(0.4) && stop.Signals[0] == "HUP" {
			stop.Factor = 0.3 + g.Float64()
		}
		if g.chance(0.3) {
			stop.Again = g.uniform(time.Millisecond, 300*time.Millisecond)
		}
		g.add(stop)
		if g.chance(0.6) { // servers hang while the sidecar shuts down
			g.add(Event{At: max(0, at-g.uniform(0, 500*time.Millisecond)), Kind: EventServerMode,
				Targets: g.subset(s.Servers, 0.5), Mode: ModeHang, For: Span(5 * time.Second)})
		}
	}
	for range g.IntN(3) {
		at := g.timeWithin(0.1, 0.9)
		g.add(Event{At: at, Kind: EventReload, Targets: g.subset(s.Sidecars, 0.5), Factor: 0.5 + g.Float64()})
		if g.chance(0.4) {
			g.add(Event{At: at + g.uniform(0, 50*time.Millisecond), Kind: EventReload, Targets: g.subset(s.Sidecars, 0.5), Factor: 0.5 + g.Float64()})
		}
	}
	if g.chance(0.5) {
		for range 5 + g.IntN(30) {
			g.add(Event{At: g.timeWithin(0.05, 0.95), Kind: EventPause, Targets: []int{g.IntN(s.Sidecars)}, For: g.uniform(20*time.Millisecond, 145*time.Millisecond)})
		}
	}
}
