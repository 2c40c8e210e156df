package msgpackrpc

import (
	"errors"
	"time"
)

// Limits bound the resources of one connection. Zero fields take the default.
type Limits struct {
	Message     int           // maximum length of one message, in bytes; default 1 MiB
	Depth       int           // maximum nesting of arrays and maps in one message; default 32
	Outstanding int           // maximum number of open requests; default 1,024
	Queued      int           // maximum bytes waiting to be written; default 4 MiB
	Receive     time.Duration // timeout for receiving a message, from its first byte to its last; default 10 s
	Send        time.Duration // timeout of a write, after which the peer counts as hung and the connection ends; default 10 s
	Idle        time.Duration // timeout between messages while no request is open; 0: none
}

// withDefaults returns the limits with zero fields replaced.
func (l Limits) withDefaults() Limits {
	if l.Message <= 0 {
		l.Message = 1 << 20
	}
	if l.Depth <= 0 {
		l.Depth = 32
	}
	if l.Outstanding <= 0 {
		l.Outstanding = 1024
	}
	if l.Queued <= 0 {
		l.Queued = 4 << 20
	}
	if l.Receive <= 0 {
		l.Receive = 10 * time.Second
	}
	if l.Send <= 0 {
		l.Send = 10 * time.Second
	}
	return l
}

// Errors of an invalid message. When one is received, the connection ends, because the position of
// the next message is unknown or can't be trusted. ErrTooLong is also returned for an
// outgoing message over the limit, which is not sent.
var (
	ErrTooLong = errors.New("msgpackrpc: message over the limit of bytes")
	ErrTooDeep = errors.New("msgpackrpc: message nested deeper than the limit")
	ErrFormat  = errors.New("msgpackrpc: not a MessagePack-RPC message")
)
