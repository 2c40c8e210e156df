// Package wire encodes and decodes the messages of the simulator: lines of JSON, which carry
// batches of events from the simulator and the resulting actions to it.
//
// It defines the message types, keys and values of that protocol and maps them to the terms of
// package martendrum. Decode rejects a line that is not a known message. It ignores unknown keys
// and takes missing ones as zero, unless the message has no meaning without them. The package
// does no I/O and does not check the order of messages.
package wire

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"
)

// Kind is the type of a message from the simulator.
type Kind int

const (
	// BatchStart begins a batch of events that occur at the same time.
	BatchStart Kind = iota
	// BatchEnd ends a batch; the simulator then waits for the reply.
	BatchEnd
	// InstanceStarted starts an instance of the balancer with its settings.
	InstanceStarted
	// InstanceStopped stops an instance.
	InstanceStopped
	// ServerList defines a numbered list of servers, which ServersChanged refers to.
	ServerList
	// ServersChanged passes one of the lists to an instance, or says that discovery failed.
	ServersChanged
	// RequestArrived says that a client's request has arrived.
	RequestArrived
	// StreamStarted says that the request body or the answer of an attempt has begun to stream.
	StreamStarted
	// AttemptFinished reports the outcome of an attempt.
	AttemptFinished
	// ClientDisconnected says that the client of a request has disconnected.
	ClientDisconnected
	// TimerFired says that a timer has expired.
	TimerFired
	// ProbeAnswered reports the outcome of a probe, with the server's load report.
	ProbeAnswered
	// Message is a message from another instance. The program does not use such messages.
	Message
)

// kindsByName maps the protocol's names of message types to kinds.
var kindsByName = map[string]Kind{
	"tick":            BatchStart,
	"end":             BatchEnd,
	"powerOn":         InstanceStarted,
	"exit":            InstanceStopped,
	"ledger":          ServerList,
	"backendsChanged": ServersChanged,
	"knock":           RequestArrived,
	"headReceived":    StreamStarted,
	"finished":        AttemptFinished,
	"timedOutClient":  ClientDisconnected,
	"wakeup":          TimerFired,
	"checked":         ProbeAnswered,
	"inbox":           Message,
}

// The values of Event.Change.
const (
	ChangePartial  = "patch"      // the list holds changed entries
	ChangeComplete = "whole"      // the list is complete
	ChangeStale    = "stale_copy" // the list is complete, but may be outdated
	ChangeFailed   = "broken"     // there is no list: discovery failed
)

// Values of ListEntry.Health. Any other value stands for a server that serves.
const (
	HealthDraining = "DRAINING"
	HealthRemoved  = "DELETED"
)

// ListEntry is one entry of a server list.
type ListEntry struct {
	Server        string
	Health        string // HealthDraining, HealthRemoved, or another value if the server serves
	Zone          string
	CapacityHint  float64
	StartedMicros int64 // time of the server's last start, in microseconds
	Group         int
}

// LoadReport is a server's load report. HasInFlight and HasUtilization say which values it has.
type LoadReport struct {
	InFlight, Utilization       float64
	HasInFlight, HasUtilization bool
}

// Event is one message from the simulator. Only the fields that belong to its kind are set. Its
// byte slices, except Settings, are valid until the next Decode. Times are in microseconds.
type Event struct {
	Kind           Kind
	Instance       []byte // all kinds except BatchStart, BatchEnd and ServerList
	TimeMicros     int64  // BatchStart: the time of the batch
	Batch          int64  // BatchStart: the number of the batch
	Seed           uint64 // InstanceStarted
	Settings       []byte // InstanceStarted: JSON
	ListNumber     int    // ServerList, ServersChanged
	Entries        []ListEntry
	Change         []byte // ServersChanged: ChangePartial, ChangeComplete, ...
	ID             uint64 // all kinds about a request: the request's ID
	Class          []byte
	Key            []byte
	Tenant         []byte
	DeadlineMicros int64 // RequestArrived
	Attempt        int   // index of the attempt
	Finished       bool  // AttemptFinished: the request has its final response
	OutcomeCode    int   // AttemptFinished, ProbeAnswered
	Report         LoadReport
	Cookie         uint64 // TimerFired
	Server         []byte // ProbeAnswered
}

// Decoder decodes messages. It reuses its memory for the next message. The zero Decoder is ready for
// use, by one goroutine at a time.
type Decoder struct{ parser fastjson.Parser }

// Decode decodes one line into e, whose previous content is lost. After an error, e is not valid.
func (d *Decoder) Decode(line []byte, e *Event) error {
	message, err := d.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("message is not JSON: %w", err)
	}
	if message.Type() != fastjson.TypeObject {
		return errors.New("message is not a JSON object")
	}
	name := message.GetStringBytes("t")
	kind, ok := kindsByName[string(name)]
	if !ok {
		return fmt.Errorf("unknown message type %q", name)
	}
	*e = Event{Kind: kind}
	switch kind {
	case BatchStart:
		e.TimeMicros = message.GetInt64("tsUs")
		e.Batch = message.GetInt64("turn")
		return nil
	case BatchEnd:
		return nil
	case ServerList:
		return decodeServerList(message, e)
	}
	return decodeInstanceEvent(message, e)
}

// decodeInstanceEvent decodes an event of one instance.
func decodeInstanceEvent(message *fastjson.Value, e *Event) error {
	e.Instance = message.GetStringBytes("sidecarId")
	if len(e.Instance) == 0 {
		return errors.New("message has no sidecarId")
	}
	switch e.Kind {
	case InstanceStarted:
		settings := message.Get("env")
		if settings == nil {
			return errors.New("powerOn message has no env")
		}
		e.Seed = message.GetUint64("entropy")
		e.Settings = settings.MarshalTo(nil)
	case ServersChanged:
		e.Change = message.GetStringBytes("how")
		e.ListNumber = message.GetInt("list")
	case TimerFired:
		e.Cookie = message.GetUint64("cookie")
	case ProbeAnswered:
		e.Server = message.GetStringBytes("server")
		e.OutcomeCode = message.GetInt("ending")
		e.Report = decodeLoadReport(message.Get("feedback"))
	case RequestArrived, StreamStarted, AttemptFinished, ClientDisconnected:
		return decodeRequestEvent(message, e)
	}
	return nil
}

// decodeRequestEvent decodes an event of one request.
func decodeRequestEvent(message *fastjson.Value, e *Event) error {
	id, err := parseID(message.GetStringBytes("id"))
	if err != nil {
		return err
	}
	e.ID = id
	e.Class = message.GetStringBytes("cls")
	e.Key = message.GetStringBytes("resource")
	e.Tenant = message.GetStringBytes("project")
	e.DeadlineMicros = message.GetInt64("clientDeadlineUs")
	e.Attempt = message.GetInt("copy")
	e.Finished = message.GetBool("noMore")
	e.OutcomeCode = message.GetInt("ending")
	e.Report = decodeLoadReport(message.Get("feedback"))
	return nil
}

// decodeLoadReport decodes a load report. For nil, it returns a report without values.
func decodeLoadReport(value *fastjson.Value) LoadReport {
	var report LoadReport
	if value == nil {
		return report
	}
	if inFlight := value.Get("busy_reqs"); inFlight != nil {
		report.InFlight = inFlight.GetFloat64()
		report.HasInFlight = true
	}
	if utilization := value.Get("cpu_share"); utilization != nil {
		report.Utilization = utilization.GetFloat64()
		report.HasUtilization = true
	}
	return report
}

// decodeServerList decodes a numbered server list.
func decodeServerList(message *fastjson.Value, e *Event) error {
	e.ListNumber = message.GetInt("list")
	for _, host := range message.GetArray("hosts") {
		entry := ListEntry{
			Server:        string(host.GetStringBytes("server")),
			Health:        string(host.GetStringBytes("health")),
			Zone:          string(host.GetStringBytes("az")),
			StartedMicros: host.GetInt64("startTimeUs"),
			Group:         host.GetInt("unitGroup"),
			CapacityHint:  host.GetFloat64("powerHint"),
		}
		if entry.Server == "" {
			return errors.New("ledger entry has no server")
		}
		e.Entries = append(e.Entries, entry)
	}
	return nil
}

// idLength is the number of hexadecimal digits of a request's ID.
const idLength = 16

// parseID parses a request's ID of idLength hexadecimal digits.
func parseID(text []byte) (uint64, error) {
	id, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != idLength {
		return 0, fmt.Errorf("invalid request ID %q: want 16 hexadecimal digits", text)
	}
	return id, nil
}
