package wire

import (
	"encoding/json"
	"strconv"
)

// Reply builds the reply to one batch of events: a line for each action, then the end of the batch.
// Durations are in microseconds. The zero Reply is empty and ready for use.
type Reply struct{ buffer []byte }

// Reset discards the content of r, for the next batch.
func (r *Reply) Reset() { r.buffer = r.buffer[:0] }

// Bytes returns what was written since the last Reset. The slice is valid until the next call of a
// method that changes r.
func (r *Reply) Bytes() []byte { return r.buffer }

// Send writes the action that starts an attempt, which times out after timeoutMicros.
func (r *Reply) Send(instance string, id uint64, server string, timeoutMicros int64) {
	r.openRequestMessage("route", instance, id)
	r.writeText("server", server)
	r.writeInt("giveUpAfterUs", timeoutMicros)
	r.closeMessage()
}

// Cancel writes the action that cancels the attempt of the given index.
func (r *Reply) Cancel(instance string, id uint64, attempt int) {
	r.openRequestMessage("abortAttempt", instance, id)
	r.writeInt("copy", int64(attempt))
	r.closeMessage()
}

// Reject writes the action that rejects a request. retryAfterMicros is omitted unless it is above 0.
func (r *Reply) Reject(instance string, id uint64, retryAfterMicros int64) {
	r.openRequestMessage("notNow", instance, id)
	if retryAfterMicros > 0 {
		r.writeInt("holdOffUs", retryAfterMicros)
	}
	r.closeMessage()
}

// Fail writes the action that answers a request with an error.
func (r *Reply) Fail(instance string, id uint64) {
	r.openRequestMessage("dropRequest", instance, id)
	r.closeMessage()
}

// SetTimer writes the action that sets a timer, which fires after afterMicros.
func (r *Reply) SetTimer(instance string, cookie uint64, afterMicros int64) {
	r.openMessage("setTimer", instance)
	r.writeInt("cookie", int64(cookie))
	r.writeInt("inUs", afterMicros)
	r.closeMessage()
}

// Probe writes the action that requests a server's load report.
func (r *Reply) Probe(instance, server string) { r.writeServerMessage("probe", instance, server) }

// CloseIdle writes the action that closes the idle connections to a server.
func (r *Reply) CloseIdle(instance, server string) {
	r.writeServerMessage("dropConns", instance, server)
}

// Subscribe writes the action that subscribes to changes of the server list.
func (r *Reply) Subscribe(instance string) {
	r.openMessage("keepInformed", instance)
	r.buffer = append(r.buffer, `,"on":true`...)
	r.closeMessage()
}

// ReportPanic writes that the balancer of an instance has panicked, with the reason.
func (r *Reply) ReportPanic(instance, reason string) {
	r.openMessage("bailOut", instance)
	r.writeText("reasonText", reason)
	r.closeMessage()
}

// EndBatch writes the end of the reply to the batch of the given number.
func (r *Reply) EndBatch(batch int64) {
	r.buffer = append(r.buffer, `{"t":"eor"`...)
	r.writeInt("turn", batch)
	r.closeMessage()
}

// writeServerMessage writes a message about a server.
func (r *Reply) writeServerMessage(kind, instance, server string) {
	r.openMessage(kind, instance)
	r.writeText("server", server)
	r.closeMessage()
}

// openMessage begins a message of an instance. closeMessage must be called to end it.
func (r *Reply) openMessage(kind, instance string) {
	r.buffer = append(r.buffer, `{"t":"`...)
	r.buffer = append(r.buffer, kind...)
	r.buffer = append(r.buffer, `","sidecarId":`...)
	r.writeString(instance)
}

// openRequestMessage begins a message about a request. closeMessage must be called to end it.
func (r *Reply) openRequestMessage(kind, instance string, id uint64) {
	r.openMessage(kind, instance)
	r.buffer = append(r.buffer, `,"id":"`...)
	const digits = "0123456789abcdef"
	const bitsPerDigit = 4
	for shift := bitsPerDigit * (idLength - 1); shift >= 0; shift -= bitsPerDigit {
		r.buffer = append(r.buffer, digits[id>>shift&15])
	}
	r.buffer = append(r.buffer, '"')
}

// closeMessage ends a message.
func (r *Reply) closeMessage() { r.buffer = append(r.buffer, "}\n"...) }

// writeKey writes a key, which must need no escapes in JSON.
func (r *Reply) writeKey(key string) {
	r.buffer = append(r.buffer, `,"`...)
	r.buffer = append(r.buffer, key...)
	r.buffer = append(r.buffer, `":`...)
}

// writeInt writes a key with a number.
func (r *Reply) writeInt(key string, value int64) {
	r.writeKey(key)
	r.buffer = strconv.AppendInt(r.buffer, value, 10)
}

// writeText writes a key with a string.
func (r *Reply) writeText(key, value string) {
	r.writeKey(key)
	r.writeString(value)
}

// writeString writes a JSON string. Most strings are printable ASCII without quotes and backslashes, and
// are copied unchanged.
func (r *Reply) writeString(s string) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(s) // never fails for a string
			r.buffer = append(r.buffer, quoted...)
			return
		}
	}
	r.buffer = append(r.buffer, '"')
	r.buffer = append(r.buffer, s...)
	r.buffer = append(r.buffer, '"')
}
