// Package wire is the codec of the simulator's wire: JSON lines, events in and
// actions out, in batches.
//
// It owns the wire's message types, keys and values and maps them to the terms of
// the decision module. Decode rejects a line that is no known message; keys that it
// does not know are ignored, and missing ones are zero unless the message means
// nothing without them. It does no I/O and does not check the order of messages.
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
	// BatchStart begins a batch of events that happen at one time.
	BatchStart Kind = iota
	// BatchEnd ends a batch; the simulator then waits for the reply.
	BatchEnd
	// InstanceStarted starts a balancer with its settings.
	InstanceStarted
	// InstanceStopped stops a balancer.
	InstanceStopped
	// ServerList carries a numbered list of servers for all instances.
	ServerList
	// ServersChanged gives an instance one of the lists, or says that discovery failed.
	ServersChanged
	// RequestArrived is a client's request.
	RequestArrived
	// StreamStarted says that an attempt's answer streams.
	StreamStarted
	// AttemptFinished is the outcome of an attempt.
	AttemptFinished
	// ClientDisconnected says that the client has left.
	ClientDisconnected
	// TimerFired says that a timer has expired.
	TimerFired
	// ProbeAnswered is a load report that answers a probe.
	ProbeAnswered
	// Message is a message from another instance; the program uses none.
	Message
)

// kindsByName maps the message types on the wire.
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
	ChangeStale    = "stale_copy" // the list is complete and may be old
	ChangeFailed   = "broken"     // there is no list: discovery failed
)

// The values of ListEntry.Health other than that of a serving server.
const (
	HealthDraining = "DRAINING"
	HealthRemoved  = "DELETED"
)

// ListEntry is one entry of a server list.
type ListEntry struct {
	Server        string
	Health        string
	Zone          string
	CapacityHint  float64
	StartedMicros int64 // time of its last start
	Group         int
}

// LoadReport is a server's load report: the values it carried.
type LoadReport struct {
	InFlight, Utilization       float64
	HasInFlight, HasUtilization bool
}

// Event is one message from the simulator. Only the fields of its kind are set. Its
// byte slices, Settings excepted, are valid until the next Decode.
type Event struct {
	Kind           Kind
	Instance       []byte // of all kinds but BatchStart, BatchEnd and ServerList
	TimeMicros     int64  // BatchStart: the time of the batch
	Batch          int64  // BatchStart: the batch's number
	Seed           uint64 // InstanceStarted
	Settings       []byte // InstanceStarted: JSON
	ListNumber     int    // ServerList, ServersChanged
	Entries        []ListEntry
	Change         []byte // ServersChanged: ChangePartial, ChangeComplete, ...
	ID             uint64 // of the request
	Class          []byte
	Key            []byte
	Tenant         []byte
	DeadlineMicros int64 // RequestArrived
	Attempt        int   // index of the attempt
	Finished       bool  // AttemptFinished: the request has its final answer
	OutcomeCode    int   // AttemptFinished, ProbeAnswered
	Report         LoadReport
	Cookie         uint64 // TimerFired
	Server         []byte // ProbeAnswered
}

// Decoder reads messages; it reuses its memory from one to the next.
type Decoder struct{ parser fastjson.Parser }

// Decode reads one line into e.
func (d *Decoder) Decode(line []byte, e *Event) error {
	message, err := d.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if message.Type() != fastjson.TypeObject {
		return errors.New("not a JSON object")
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
		return errors.New("no sidecarId")
	}
	switch e.Kind {
	case InstanceStarted:
		settings := message.Get("env")
		if settings == nil {
			return errors.New("powerOn without env")
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

// decodeLoadReport decodes a load report; nil is one without values.
func decodeLoadReport(v *fastjson.Value) LoadReport {
	var report LoadReport
	if v == nil {
		return report
	}
	if inFlight := v.Get("busy_reqs"); inFlight != nil {
		report.InFlight = inFlight.GetFloat64()
		report.HasInFlight = true
	}
	if utilization := v.Get("cpu_share"); utilization != nil {
		report.Utilization = utilization.GetFloat64()
		report.HasUtilization = true
	}
	return report
}

// decodeServerList decodes a numbered server list.
func decodeServerList(message *fastjson.Value, e *Event) error {
	e.ListNumber = message.GetInt("list")
	for _, v := range message.GetArray("hosts") {
		entry := ListEntry{
			Server:        string(v.GetStringBytes("server")),
			Health:        string(v.GetStringBytes("health")),
			Zone:          string(v.GetStringBytes("az")),
			StartedMicros: v.GetInt64("startTimeUs"),
			Group:         v.GetInt("unitGroup"),
			CapacityHint:  v.GetFloat64("powerHint"),
		}
		if entry.Server == "" {
			return errors.New("ledger entry without server")
		}
		e.Entries = append(e.Entries, entry)
	}
	return nil
}

// idLength is the number of hexadecimal digits of a request's ID.
const idLength = 16

// parseID parses a request's ID.
func parseID(text []byte) (uint64, error) {
	id, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != idLength {
		return 0, fmt.Errorf("bad request id %q", text)
	}
	return id, nil
}
