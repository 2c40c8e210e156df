package soak

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Span is a time.Duration that prints as text in a script.
type Span time.Duration

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// Idempotency is what repeating a request does, as in a sidecar's settings.
type Idempotency string

// The values.
const (
	Idempotent       Idempotency = "repeatable"
	IdempotencyKeyed Idempotency = "by_key"
	NonIdempotent    Idempotency = "once"
)

// Class is a class of requests.
type Class struct {
	Name        string      `json:"Name"`
	Idempotency Idempotency `json:"Effect"`
	Deadline    Span        `json:"Deadline"` // how long a client waits at most
	DedupWindow Span        `json:"Window"`   // within which a keyed request may be repeated
}

// Server modes. What a server does with its requests while it is in a mode.
const (
	ModeAnswer        = "answer"         // the usual one
	ModeHang          = "hang"           // takes requests and never answers
	ModeSilent        = "silent"         // reads nothing; resets what is open at the end
	ModeDown          = "down"           // refuses connections, resets what is open
	ModeSlow          = "late"           // answers after a delay
	ModeFail          = "fail"           // 500
	ModeDecline       = "decline"        // rejects requests
	ModeResetBefore   = "reset-before"   // resets at a request's first byte
	ModeResetWithin   = "reset-within"   // resets in the middle of an answer
	ModeResetAfter    = "reset-after"    // answers, then resets the connection
	ModeNoLength      = "no-length"      // answers without a length
	ModeDuplicate     = "twice"          // answers twice, the second time after a delay
	ModeEndless       = "endless"        // begins an answer and never ends it
	ModeResetRequests = "reset-requests" // reads a complete request, then resets
	ModeIdleClose     = "idle-close"     // closes a connection a moment after its answer
	ModeForget        = "forget"         // reads nothing more of a connection after an answer
)

var serverModes = []string{ModeHang, ModeHang, ModeHang, ModeSilent, ModeDown, ModeSlow, ModeFail, ModeDecline,
	ModeResetBefore, ModeResetWithin, ModeResetAfter, ModeNoLength, ModeDuplicate, ModeEndless, ModeResetRequests,
	ModeIdleClose, ModeForget}

// Discovery modes.
const (
	DiscoveryServes      = "serves"
	DiscoveryUnavailable = "away"   // rejects calls, watches end
	DiscoverySilent      = "silent" // sends nothing more, and answers no call
	DiscoverySlow        = "slow"   // answers calls late
)

var discoveryModes = []string{DiscoveryUnavailable, DiscoverySilent, DiscoverySlow}

// Kinds of events.
const (
	EventServerMode    = "server-mode"    // Targets, Mode, For
	EventServerDrain   = "server-drain"   // Targets
	EventServerRemove  = "server-remove"  // Targets: removed from the list, and down
	EventServerReturn  = "server-return"  // Targets: up again under the same name, in slow start
	EventServerReset   = "server-reset"   // Targets: resets every open connection
	EventDiscoveryMode = "discovery-mode" // Mode, For
	EventStop          = "stop"           // Targets, Signals, Gap: kill at the earliest, restart at once
	EventReload        = "reload"         // Targets, Factor: the deadlines are scaled by it
	EventHold          = "hold"           // Targets, For: the process is stalled
)

// Event is something that happens during a script.
type Event struct {
	At      Span     `json:"At"`
	Kind    string   `json:"Kind"`
	Targets []int    `json:",omitempty"` // of sidecars or servers, from 0
	Mode    string   `json:",omitempty"`
	For     Span     `json:",omitempty"`
	Signals []string `json:",omitempty"`
	Gap     Span     `json:",omitempty"` // between signals
	Again   Span     `json:",omitempty"` // after the next process has started, it is stopped as well; 0: not
	Factor  float64  `json:",omitempty"` // of the deadlines, also just before a stop; 0: as they are
}

// Script is a deployment and the events of its day.
type Script struct {
	Seed     uint64 `json:"Seed"`
	Length   Span   `json:"Length"`
	Sidecars int    `json:"Sidecars"`
	Servers  int    `json:"Servers"`

	PollsDiscovery bool    `json:"Asked"`      // discovery is polled; else lists are pushed
	CompleteLists  bool    `json:"WholeLists"` // each change is sent as a complete list, without draining servers
	DrainGrace     Span    `json:"DrainGrace"`
	Classes        []Class `json:"Classes"`
	Attempts       int     `json:"Attempts"`
	Hedging        bool    `json:"Copies"` // hedged requests are allowed
	Sockets        int     `json:"Sockets"`

	Workers           int     `json:"Workers"` // of a server
	Work              Span    `json:"Work"`    // of a request at a warm server
	Queue             int     `json:"Queue"`
	SlowStartFraction float64 `json:"ColdFrom"` // fraction of its capacity that a server has right after its start
	SlowStartDuration Span    `json:"ColdFor"`
	OverloadFactor    float64 `json:"FallsAt"` // multiple of its capacity that overloads a server in slow start
	OverloadDuration  Span    `json:"FallsOver"`

	Clients           int     `json:"Clients"`   // of each sidecar, that send one request after another
	ThinkTime         Span    `json:"Pause"`     // mean time between a client's requests
	DisconnectRate    float64 `json:"Leaving"`   // fraction of requests whose client disconnects early
	ShortDeadlineRate float64 `json:"Impatient"` // fraction of requests with a short deadline
	Stalling          int     `json:"Stalling"`  // clients of each sidecar that stop in the middle of a request and stay
	Slow              int     `json:"Slow"`      // clients of each sidecar that write slowly
	IdleConnections   int     `json:"Crowd"`     // idle connections to each sidecar
	ShortDeadline     Span    `json:"ImpatientFor"`
	QuietUntil        Span    `json:"QuietUntil"` // when the clients begin
	MaxBody           int     `json:"BodyMost"`   // bytes of a request's body, at most
	MaxAnswer         int     `json:"AnswerMost"` // bytes added to an answer, at most
	Events            []Event `json:"Events"`
}

// Longest is the longest deadline of any class.
func (s *Script) Longest() time.Duration { return longestDeadline(s.Classes) }

// longestDeadline is the longest deadline of any of the classes.
func longestDeadline(classes []Class) (longest time.Duration) {
	for _, class := range classes {
		longest = max(longest, time.Duration(class.Deadline))
	}
	return longest
}

// capacityFraction returns the fraction of its capacity that a server has at an age.
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

// String is the script as text, which Parse reads.
func (s *Script) String() string {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return fmt.Sprint("script: ", err)
	}
	return string(text)
}

// Parse reads a script that was printed.
func Parse(text []byte) (*Script, error) {
	s := new(Script)
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("soak: script: %w", err)
	}
	return s, nil
}

// Size bounds what Draw draws.
type Size struct {
	Sidecars int           // at most
	Length   time.Duration // at most; at least four fifths of it
}

// drawing is a script being drawn.
type drawing struct {
	*rand.Rand
	script *Script
}

// between draws from a range, evenly.
func (d *drawing) between(low, high time.Duration) Span {
	return Span(low + time.Duration(d.Float64()*float64(high-low)))
}

// scaled draws from a range so that each magnitude is as likely.
func (d *drawing) scaled(low, high time.Duration) Span {
	return Span(float64(low) * math.Pow(float64(high)/float64(low), d.Float64()))
}

func (d *drawing) chance(share float64) bool { return d.Float64() < share }

// some draws at least one of n, each with a chance.
func (d *drawing) some(n int, share float64) (targets []int) {
	for target := range n {
		if d.chance(share) {
			targets = append(targets, target)
		}
	}
	if targets == nil {
		targets = []int{d.IntN(n)}
	}
	return targets
}

// Draw draws the script of a seed.
func Draw(seed uint64, size Size) *Script {
	d := &drawing{Rand: rand.New(rand.NewPCG(seed, 40)), script: &Script{Seed: seed}}
	d.drawDeployment(size)
	d.drawClients()
	d.drawServerEvents()
	d.drawDiscoveryEvents()
	d.drawSidecarEvents()
	slices.SortStableFunc(d.script.Events, func(a, b Event) int { return int(a.At - b.At) })
	return d.script
}

func (d *drawing) drawDeployment(size Size) {
	s := d.script
	s.Length = d.between(size.Length*4/5, size.Length)
	s.Sidecars = 1 + d.IntN(size.Sidecars)
	s.Servers = 2 + d.IntN(6)
	s.PollsDiscovery, s.CompleteLists = d.chance(0.5), d.chance(0.3)
	s.DrainGrace = d.between(500*time.Millisecond, 2*time.Second)
	longest := d.scaled(200*time.Millisecond, 8*time.Second)
	for n, effect := range []Idempotency{Idempotent, IdempotencyKeyed, NonIdempotent} {
		deadline := longest
		if d.chance(0.6) {
			deadline = Span(float64(longest) * (0.25 + 0.75*d.Float64()))
		}
		s.Classes = append(s.Classes, Class{
			Name:        []string{"look", "book", "pay"}[n],
			Idempotency: effect,
			Deadline:    max(deadline, Span(150*time.Millisecond)),
			DedupWindow: Span(float64(deadline) * (0.2 + 0.6*d.Float64())),
		})
	}
	s.Attempts = 1 + d.IntN(5)
	s.Hedging = d.chance(0.6)
	s.Sockets = []int{96, 128, 256}[d.IntN(3)]
	s.Workers, s.Queue = 2+d.IntN(3), 2+d.IntN(5)
	s.Work = d.between(5*time.Millisecond, 40*time.Millisecond)
	s.SlowStartFraction, s.OverloadFactor = 0.15+0.3*d.Float64(), 4
	s.SlowStartDuration, s.OverloadDuration = d.between(3*time.Second, 10*time.Second), Span(2*time.Second)
}

func (d *drawing) drawClients() {
	s := d.script
	s.Clients = 3 + d.IntN(6)
	s.ThinkTime = d.between(time.Millisecond, 60*time.Millisecond)
	s.DisconnectRate, s.ShortDeadlineRate = 0.15*d.Float64(), 0.1*d.Float64()
	s.ShortDeadline = d.scaled(5*time.Millisecond, 150*time.Millisecond)
	if d.chance(0.5) {
		s.Stalling = 1 + d.IntN(3)
	}
	if d.chance(0.4) {
		s.Slow = 1 + d.IntN(2)
	}
	if d.chance(0.25) {
		s.IdleConnections = s.Sockets
	}
	if d.chance(0.15) {
		s.QuietUntil = d.moment(0.2, 0.5)
	}
	if d.chance(0.4) {
		s.MaxBody, s.MaxAnswer = d.IntN(100<<10), d.IntN(100<<10)
	}
}

func (d *drawing) add(e Event) { d.script.Events = append(d.script.Events, e) }

// moment draws a time within parts of the day.
func (d *drawing) moment(from, to float64) Span {
	length := time.Duration(d.script.Length)
	return d.between(time.Duration(from*float64(length)), time.Duration(to*float64(length)))
}

func (d *drawing) drawServerEvents() {
	s := d.script
	for range 1 + d.IntN(4) {
		d.add(Event{At: d.moment(0.05, 0.8), Kind: EventServerMode, Targets: d.some(s.Servers, 0.3),
			Mode: serverModes[d.IntN(len(serverModes))], For: d.between(300*time.Millisecond, 4*time.Second)})
	}
	for range d.IntN(3) {
		d.add(Event{At: d.moment(0.1, 0.9), Kind: EventServerReset, Targets: d.some(s.Servers, 0.4)})
	}
	if s.Servers < 3 {
		return
	}
	leaving := d.IntN(s.Servers)
	drained := d.moment(0.1, 0.5)
	d.add(Event{At: drained, Kind: EventServerDrain, Targets: []int{leaving}})
	if d.chance(0.5) {
		removed := drained + d.between(time.Second, 3*time.Second)
		d.add(Event{At: removed, Kind: EventServerRemove, Targets: []int{leaving}})
		if d.chance(0.7) {
			d.add(Event{At: removed + d.between(50*time.Millisecond, time.Second), Kind: EventServerReturn, Targets: []int{leaving}})
		}
	}
}

func (d *drawing) drawDiscoveryEvents() {
	modes := discoveryModes
	if !d.script.PollsDiscovery { // an agent on the sidecar's own machine answers at once, or not at all
		modes = slices.DeleteFunc(slices.Clone(modes), func(mode string) bool { return mode == DiscoverySlow })
	}
	for range d.IntN(3) {
		d.add(Event{At: d.moment(0.05, 0.7), Kind: EventDiscoveryMode,
			Mode: modes[d.IntN(len(modes))], For: d.between(300*time.Millisecond, 4*time.Second)})
	}
}

// signalSeries are the series of signals by which a process is terminated.
var signalSeries = [][]string{{"TERM"}, {"TERM"}, {"TERM", "TERM"}, {"HUP", "TERM"}, {"TERM", "HUP", "TERM"},
	{"HUP", "HUP", "TERM", "INT"}, {"INT"}, {"INT", "HUP"}}

func (d *drawing) drawSidecarEvents() {
	s := d.script
	for range 1 + d.IntN(3) {
		at := d.moment(0.1, 0.75)
		stop := Event{At: at, Kind: EventStop, Targets: d.some(s.Sidecars, 0.4),
			Signals: signalSeries[d.IntN(len(signalSeries))], Gap: d.between(0, 30*time.Millisecond)}
		if d.chance(0.4) && stop.Signals[0] == "HUP" {
			stop.Factor = 0.3 + d.Float64()
		}
		if d.chance(0.3) {
			stop.Again = d.between(time.Millisecond, 300*time.Millisecond)
		}
		d.add(stop)
		if d.chance(0.6) { // servers hang throughout the shutdown
			d.add(Event{At: max(0, at-d.between(0, 500*time.Millisecond)), Kind: EventServerMode,
				Targets: d.some(s.Servers, 0.5), Mode: ModeHang, For: Span(5 * time.Second)})
		}
	}
	for range d.IntN(3) {
		at := d.moment(0.1, 0.9)
		d.add(Event{At: at, Kind: EventReload, Targets: d.some(s.Sidecars, 0.5), Factor: 0.5 + d.Float64()})
		if d.chance(0.4) {
			d.add(Event{At: at + d.between(0, 50*time.Millisecond), Kind: EventReload, Targets: d.some(s.Sidecars, 0.5), Factor: 0.5 + d.Float64()})
		}
	}
	if d.chance(0.5) {
		for range 5 + d.IntN(30) {
			d.add(Event{At: d.moment(0.05, 0.95), Kind: EventHold, Targets: []int{d.IntN(s.Sidecars)}, For: d.between(20*time.Millisecond, 145*time.Millisecond)})
		}
	}
}
