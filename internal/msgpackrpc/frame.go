package msgpackrpc

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// codeNil is the encoding of nil.
const codeNil = 0xc0

// Kinds of messages, with the numbers that the specification calls their type.
const (
	kindRequest  = 0
	kindResponse = 1
	kindNotify   = 2
)

// message is a decoded message. Its slices refer to the bytes that it was decoded from.
type message struct {
	kind          uint64
	id            uint32             // msgid of a request or response
	method        string             // of a request or notification
	paramsOrError msgpack.RawMessage // params of a request or notification; error of a response
	result        msgpack.RawMessage // of a response
}

// parse decodes a message from a complete MessagePack object, as readObject returns it. The error
// wraps ErrFormat if the object is not a valid message.
func parse(raw []byte) (m message, err error) {
	n, offset := parseArrayHeader(raw)
	if n != 3 && n != 4 {
		return m, fmt.Errorf("%w: want an array of three or four elements", ErrFormat)
	}
	var parts [4][]byte
	for i := range n {
		size := objectLength(raw[offset:])
		parts[i] = raw[offset : offset+size]
		offset += size
	}
	kind, ok := parseUint(parts[0])
	if !ok {
		return m, fmt.Errorf("%w: type is not a non-negative integer", ErrFormat)
	}
	m.kind = kind
	wantElements := 4
	if kind == kindNotify {
		wantElements = 3
	}
	if kind > kindNotify || n != wantElements {
		return m, fmt.Errorf("%w: type %d in an array of %d elements", ErrFormat, kind, n)
	}
	if kind != kindNotify {
		id, ok := parseUint(parts[1])
		if !ok || id > math.MaxUint32 {
			return m, fmt.Errorf("%w: msgid is not an unsigned integer of 32 bits", ErrFormat)
		}
		m.id = uint32(id)
	}
	if kind == kindResponse {
		m.paramsOrError, m.result = parts[2], parts[3]
		return m, nil
	}
	method, ok := parseString(parts[n-2])
	if !ok {
		return m, fmt.Errorf("%w: method is not a string", ErrFormat)
	}
	m.method, m.paramsOrError = method, parts[n-1]
	if count, _ := parseArrayHeader(m.paramsOrError); count < 0 {
		return m, fmt.Errorf("%w: params are not an array", ErrFormat)
	}
	return m, nil
}

// parseArrayHeader returns the number of elements of the array in b and the offset of the first one.
// The number is -1 if b is not an array.
func parseArrayHeader(b []byte) (n, offset int) {
	switch code := b[0]; {
	case code >= 0x90 && code <= 0x9f:
		return int(code & 0x0f), 1
	case code == 0xdc:
		return int(binary.BigEndian.Uint16(b[1:])), 3
	case code == 0xdd:
		return int(binary.BigEndian.Uint32(b[1:])), 5
	}
	return -1, 0
}

// parseUint decodes a non-negative integer of any encoding. It returns false for other objects.
func parseUint(b []byte) (uint64, bool) {
	switch code := b[0]; {
	case code <= 0x7f:
		return uint64(code), true
	case code >= 0xcc && code <= 0xcf:
		return decodeUint(b[1:]), true
	case code >= 0xd0 && code <= 0xd3: // signed encodings are accepted for values that are not negative
		return decodeUint(b[1:]), b[1] < 0x80
	}
	return 0, false
}

// parseString decodes a string, or the bin object that old clients send instead. It returns false for
// other objects.
func parseString(b []byte) (string, bool) {
	code := b[0]
	if code >= 0xa0 && code <= 0xbf {
		return string(b[1:]), true
	}
	if code >= 0xd9 && code <= 0xdb {
		return string(b[1+1<<(code-0xd9):]), true
	}
	if code >= 0xc4 && code <= 0xc6 {
		return string(b[1+1<<(code-0xc4):]), true
	}
	return "", false
}

// isNil reports whether b is an encoded nil.
func isNil(b []byte) bool { return len(b) == 1 && b[0] == codeNil }

// appendHeader appends the beginning of a message: array header, type and, except for
// notifications, msgid.
func appendHeader(b []byte, kind byte, id uint32) []byte {
	if kind == kindNotify {
		return append(b, 0x93, kind)
	}
	return binary.BigEndian.AppendUint32(append(b, 0x94, kind, 0xce), id)
}

// appendString appends an encoded string.
func appendString(b []byte, s string) []byte {
	switch n := len(s); {
	case n < 32:
		b = append(b, 0xa0|byte(n))
	case n < 1<<8:
		b = append(b, 0xd9, byte(n))
	case n < 1<<16:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xdb), uint32(n))
	}
	return append(b, s...)
}
