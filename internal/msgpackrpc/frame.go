package msgpackrpc

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// codeNil is the encoding of nil.
const codeNil = 0xc0

// Kinds of messages.
const (
	kindRequest  = 0
	kindResponse = 1
	kindNotify   = 2
)

// message is a decoded message. Its slices refer to the bytes read.
type message struct {
	kind          uint64
	id            uint32
	method        string
	paramsOrError msgpack.RawMessage // params of a request or notification; error of a response
	result        msgpack.RawMessage // of a response
}

// parse decodes a message from a complete object.
func parse(raw []byte) (m message, err error) {
	n, at := parseArrayHeader(raw)
	if n != 3 && n != 4 {
		return m, fmt.Errorf("%w: no array of three or four", ErrFormat)
	}
	var parts [4][]byte
	for i := range n {
		size := objectLength(raw[at:])
		parts[i] = raw[at : at+size]
		at += size
	}
	kind, ok := parseUint(parts[0])
	if !ok {
		return m, fmt.Errorf("%w: its type is no integer", ErrFormat)
	}
	m.kind = kind
	want := 4
	if kind == kindNotify {
		want = 3
	}
	if kind > kindNotify || n != want {
		return m, fmt.Errorf("%w: type %d in an array of %d", ErrFormat, kind, n)
	}
	if kind != kindNotify {
		id, ok := parseUint(parts[1])
		if !ok || id > math.MaxUint32 {
			return m, fmt.Errorf("%w: its msgid is no number of 32 bits", ErrFormat)
		}
		m.id = uint32(id)
	}
	if kind == kindResponse {
		m.paramsOrError, m.result = parts[2], parts[3]
		return m, nil
	}
	method, ok := parseString(parts[n-2])
	if !ok {
		return m, fmt.Errorf("%w: its method is no string", ErrFormat)
	}
	m.method, m.paramsOrError = method, parts[n-1]
	if k, _ := parseArrayHeader(m.paramsOrError); k < 0 {
		return m, fmt.Errorf("%w: its params are no array", ErrFormat)
	}
	return m, nil
}

// parseArrayHeader returns the number of elements and the offset of the first one, and -1 if b
// holds no array.
func parseArrayHeader(b []byte) (n, at int) {
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

// parseUint decodes a non-negative integer of any encoding.
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

// parseString decodes a string, including the raw bytes that old clients send instead.
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
