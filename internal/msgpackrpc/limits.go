package msgpackrpc

import (
	"errors"
	"time"
)

// Limits bound what one connection may cost. Zero fields take the default.
type Limits struct {
	Message     int           // bytes of one message, at most; 1 MiB
	Depth       int           // nesting of arrays and maps in one message; 32
	Outstanding int           // requests open at once on a connection; 1,024
	Queued      int           // bytes waiting to be written on a connection; 4 MiB
	Receive     time.Duration // for a message, from its first byte to its last; 10 s
	Send        time.Duration // for a write; a peer that takes nothing for so long has hung; 10 s
	Idle        time.Duration // between messages while none is open; 0: no limit
}

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

// Errors of a message that can't be used. Each ends the connection: where the
// next message would begin is not known, or not to be trusted.
var (
	ErrTooLong = errors.New("msgpackrpc: message over the limit of bytes")
	ErrTooDeep = errors.New("msgpackrpc: message nested over the limit")
	ErrFormat  = errors.New("msgpackrpc: not a MessagePack-RPC message")
)
