// Package wire is the codec for the simulator's JSON lines.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"
)

// Kind is the type of a message from the simulator.
type Kind int

// The message types, named as on the wire.
const (
	BatchStart Kind = iota
	BatchEnd
	InstanceStarted
	InstanceStopped
	ServerList
	ServersChanged
	RequestArrived
	StreamStarted
	AttemptFinished
	ClientDisconnected
	TimerFired
	ProbeAnswered
	Message
)

var kindsByName = map[string]Kind{
	"tick": BatchStart, "end": BatchEnd, "powerOn": InstanceStarted, "exit": InstanceStopped, "ledger": ServerList,
	"backendsChanged": ServersChanged, "knock": RequestArrived, "headReceived": StreamStarted,
	"finished": AttemptFinished, "timedOutClient": ClientDisconnected, "wakeup": TimerFired,
	"checked": ProbeAnswered, "inbox": Message,
}

// ListEntry is one entry of a ledger.
type ListEntry struct {
	Server, Health, Zone string
	CapacityHint         float64
	StartedMicros        int64
	Group                int
}

// LoadReport is a server's load report: name and value, in the order sent.
type LoadReport struct {
	InFlight, Utilization       float64
	HasInFlight, HasUtilization bool
}

// Event is one message from the simulator. Only the fields of its kind are
// set. Instance, How, Class, Key, Tenant and Server are valid until the next Decode.
type Event struct {
	Kind           Kind
	Instance       []byte
	TimeMicros     int64 // tick: the clock
	Batch          int64
	Seed           uint64
	Settings       []byte // powerOn: the settings, as JSON
	ListNumber     int
	Entries        []ListEntry
	Change         []byte
	ID             uint64
	Class          []byte
	Key            []byte
	Tenant         []byte
	DeadlineMicros int64
	Attempt        int
	Finished       bool
	OutcomeCode    int
	Report         LoadReport
	Cookie         uint64
	Server         []byte
}

// Decoder reads messages; it reuses its memory from one to the next.
type Decoder struct{ parser fastjson.Parser }

// Decode reads one line into e.
func (d *Decoder) Decode(line []byte, e *Event) error {
	v, err := d.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return errors.New("not a JSON object")
	}
	kind, ok := kindsByName[string(v.GetStringBytes("t"))]
	if !ok {
		return fmt.Errorf("unknown message type %q", v.GetStringBytes("t"))
	}
	*e = Event{Kind: kind}
	switch kind {
	case BatchStart:
		e.TimeMicros, e.Batch = v.GetInt64("tsUs"), v.GetInt64("turn")
		return nil
	case BatchEnd:
		return nil
	case ServerList:
		return decodeServerList(v, e)
	}
	if e.Instance = v.GetStringBytes("sidecarId"); len(e.Instance) == 0 {
		return errors.New("no sidecarId")
	}
	switch kind {
	case InstanceStarted:
		env := v.Get("env")
		if env == nil {
			return errors.New("powerOn without env")
		}
		e.Seed, e.Settings = v.GetUint64("entropy"), env.MarshalTo(nil)
	case ServersChanged:
		e.Change, e.ListNumber = v.GetStringBytes("how"), v.GetInt("list")
	case TimerFired:
		e.Cookie = v.GetUint64("cookie")
	case ProbeAnswered:
		e.Server, e.OutcomeCode, e.Report = v.GetStringBytes("server"), v.GetInt("ending"), decodeLoadReport(v.Get("feedback"))
	case RequestArrived, StreamStarted, AttemptFinished, ClientDisconnected:
		if e.ID, err = parseID(v.GetStringBytes("id")); err != nil {
			return err
		}
		e.Class, e.Key, e.Tenant = v.GetStringBytes("cls"), v.GetStringBytes("resource"), v.GetStringBytes("project")
		e.DeadlineMicros = v.GetInt64("clientDeadlineUs")
		e.Attempt, e.Finished, e.OutcomeCode = v.GetInt("copy"), v.GetBool("noMore"), v.GetInt("ending")
		e.Report = decodeLoadReport(v.Get("feedback"))
	}
	return nil
}

func decodeLoadReport(v *fastjson.Value) (l LoadReport) {
	if v == nil {
		return l
	}
	if x := v.Get("busy_reqs"); x != nil {
		l.InFlight, l.HasInFlight = x.GetFloat64(), true
	}
	if x := v.Get("cpu_share"); x != nil {
		l.Utilization, l.HasUtilization = x.GetFloat64(), true
	}
	return l
}

func decodeServerList(v *fastjson.Value, e *Event) error {
	e.ListNumber = v.GetInt("list")
	for _, h := range v.GetArray("hosts") {
		host := ListEntry{
			Server:        string(h.GetStringBytes("server")),
			Health:        string(h.GetStringBytes("health")),
			Zone:          string(h.GetStringBytes("az")),
			StartedMicros: h.GetInt64("startTimeUs"),
			Group:         h.GetInt("unitGroup"),
			CapacityHint:  h.GetFloat64("powerHint"),
		}
		if host.Server == "" {
			return errors.New("ledger entry without server")
		}
		e.Entries = append(e.Entries, host)
	}
	return nil
}

func parseID(b []byte) (uint64, error) {
	id, err := strconv.ParseUint(string(b), 16, 64)
	if err != nil || len(b) != 16 {
		return 0, fmt.Errorf("bad request id %q", b)
	}
	return id, nil
}

// Reply builds the answer to one batch.
type Reply struct{ buffer []byte }

// Reset empties r for the next batch.
func (r *Reply) Reset() { r.buffer = r.buffer[:0] }

// Bytes returns what was written since Reset.
func (r *Reply) Bytes() []byte { return r.buffer }

func (r *Reply) openMessage(t, instance string) {
	r.buffer = append(r.buffer, `{"t":"`...)
	r.buffer = append(r.buffer, t...)
	r.buffer = append(r.buffer, `","sidecarId":`...)
	r.writeString(instance)
}

func (r *Reply) openRequestMessage(t, instance string, id uint64) {
	r.openMessage(t, instance)
	r.buffer = append(r.buffer, `,"id":"`...)
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		r.buffer = append(r.buffer, digits[id>>shift&15])
	}
	r.buffer = append(r.buffer, '"')
}

func (r *Reply) writeString(s string) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(s) // a string always marshals
			r.buffer = append(r.buffer, quoted...)
			return
		}
	}
	r.buffer = append(r.buffer, '"')
	r.buffer = append(r.buffer, s...)
	r.buffer = append(r.buffer, '"')
}

func (r *Reply) writeKey(name string) {
	r.buffer = append(r.buffer, `,"`...)
	r.buffer = append(r.buffer, name...)
	r.buffer = append(r.buffer, `":`...)
}

func (r *Reply) writeInt(name string, v int64) {
	r.writeKey(name)
	r.buffer = strconv.AppendInt(r.buffer, v, 10)
}

func (r *Reply) writeText(name, v string) {
	r.writeKey(name)
	r.writeString(v)
}

func (r *Reply) closeMessage() { r.buffer = append(r.buffer, "}\n"...) }

// Send writes the start of an attempt.
func (r *Reply) Send(instance string, id uint64, server string, giveUpAfterUs int64) {
	r.openRequestMessage("route", instance, id)
	r.writeText("server", server)
	r.writeInt("giveUpAfterUs", giveUpAfterUs)
	r.closeMessage()
}

// Cancel writes the cancelling of an attempt.
func (r *Reply) Cancel(instance string, id uint64, attempt int) {
	r.openRequestMessage("abortAttempt", instance, id)
	r.writeInt("copy", int64(attempt))
	r.closeMessage()
}

// Reject writes a refusal.
func (r *Reply) Reject(instance string, id uint64, holdOffUs int64) {
	r.openRequestMessage("notNow", instance, id)
	if holdOffUs > 0 {
		r.writeInt("holdOffUs", holdOffUs)
	}
	r.closeMessage()
}

// Fail writes a failure.
func (r *Reply) Fail(instance string, id uint64) {
	r.openRequestMessage("dropRequest", instance, id)
	r.closeMessage()
}

// SetTimer writes the setting of a timer.
func (r *Reply) SetTimer(instance string, cookie uint64, inUs int64) {
	r.openMessage("setTimer", instance)
	r.writeInt("cookie", int64(cookie))
	r.writeInt("inUs", inUs)
	r.closeMessage()
}

// Probe writes a probe of a server.
func (r *Reply) Probe(instance, server string) { r.writeServerMessage("probe", instance, server) }

// CloseIdle writes the closing of idle connections to a server.
func (r *Reply) CloseIdle(instance, server string) {
	r.writeServerMessage("dropConns", instance, server)
}

func (r *Reply) writeServerMessage(t, instance, server string) {
	r.openMessage(t, instance)
	r.writeText("server", server)
	r.closeMessage()
}

// Subscribe writes a subscription to discovery.
func (r *Reply) Subscribe(instance string) {
	r.openMessage("keepInformed", instance)
	r.buffer = append(r.buffer, `,"on":true`...)
	r.closeMessage()
}

// ReportPanic writes that the decision code has failed.
func (r *Reply) ReportPanic(instance, reason string) {
	r.openMessage("bailOut", instance)
	r.writeText("reasonText", reason)
	r.closeMessage()
}

// EndBatch closes the reply to the given batch.
func (r *Reply) EndBatch(turn int64) {
	r.buffer = append(r.buffer, `{"t":"eor"`...)
	r.writeInt("turn", turn)
	r.closeMessage()
}
