package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// bodyChunk is the number of bytes of a body that are allocated ahead of their arrival, so that a
// claimed length alone costs no memory.
const bodyChunk = 16 << 10

// readObject reads one complete MessagePack object. It reuses buf if it is large enough.
func readObject(buffered *bufio.Reader, limits Limits, buf []byte) ([]byte, error) {
	buf = buf[:0]
	open := make([]uint64, 1, 8) // number of objects still expected, by nesting level
	open[0] = 1
	for len(open) > 0 {
		top := &open[len(open)-1]
		if *top == 0 {
			open = open[:len(open)-1]
			continue
		}
		*top--
		code, err := buffered.ReadByte()
		if err != nil {
			return nil, unexpected(err, len(buf))
		}
		buf = append(buf, code)
		extra, body, children, err := objectLayout(code)
		if err != nil {
			return nil, err
		}
		if extra > 0 {
			at := len(buf)
			if buf, err = readBody(buffered, buf, uint64(extra), limits.Message); err != nil {
				return nil, err
			}
			body, children = lengthLayout(code, decodeUint(buf[at:]))
		}
		if body > 0 {
			if buf, err = readBody(buffered, buf, body, limits.Message); err != nil {
				return nil, err
			}
		}
		if children > 0 {
			// Every child takes at least one byte.
			if children > uint64(limits.Message) {
				return nil, ErrTooLong
			}
			if len(open) >= limits.Depth {
				return nil, ErrTooDeep
			}
			open = append(open, children)
		}
		if len(buf) > limits.Message {
			return nil, ErrTooLong
		}
	}
	return buf, nil
}

// unexpected converts an end of file after the first byte.
func unexpected(err error, had int) error {
	if err == io.EOF && had > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readBody appends n bytes to buf.
func readBody(buffered *bufio.Reader, buf []byte, n uint64, limit int) ([]byte, error) {
	if n > uint64(limit) || len(buf)+int(n) > limit {
		return nil, ErrTooLong
	}
	for left := int(n); left > 0; {
		part := min(left, bodyChunk)
		at := len(buf)
		buf = append(buf, make([]byte, part)...)
		if _, err := io.ReadFull(buffered, buf[at:]); err != nil {
			return nil, unexpected(err, 1)
		}
		left -= part
	}
	return buf, nil
}

// objectLayout returns what follows a type byte: a big-endian length of extra bytes, a body of
// known size, or children.
func objectLayout(code byte) (extra int, body, children uint64, err error) {
	switch {
	case code <= 0x7f, code >= 0xe0: // fixint
	case code <= 0x8f:
		children = 2 * uint64(code&0x0f)
	case code <= 0x9f:
		children = uint64(code & 0x0f)
	case code <= 0xbf:
		body = uint64(code & 0x1f)
	case code == 0xc1:
		err = fmt.Errorf("%w: type byte c1 is never used", ErrFormat)
	case code <= 0xc3: // nil, false, true
	case code <= 0xc6: // bin
		extra = 1 << (code - 0xc4)
	case code <= 0xc9: // ext
		extra = 1 << (code - 0xc7)
	case code == 0xca:
		body = 4
	case code == 0xcb:
		body = 8
	case code <= 0xcf: // uint
		body = 1 << (code - 0xcc)
	case code <= 0xd3: // int
		body = 1 << (code - 0xd0)
	case code <= 0xd8: // fixext, with its type byte
		body = 1 + 1<<(code-0xd4)
	case code <= 0xdb: // str
		extra = 1 << (code - 0xd9)
	default: // array and map, 16 and 32
		extra = 2 << (code & 1)
	}
	return extra, body, children, err
}

// lengthLayout returns what follows a length of n, for the types that have one.
func lengthLayout(code byte, n uint64) (body, children uint64) {
	switch {
	case code >= 0xde: // map
		return 0, 2 * n
	case code >= 0xdc: // array
		return 0, n
	case code >= 0xc7 && code <= 0xc9: // ext: a type byte and its data
		return n + 1, 0
	}
	return n, 0
}

func decodeUint(b []byte) uint64 {
	switch len(b) {
	case 1:
		return uint64(b[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(b))
	case 4:
		return uint64(binary.BigEndian.Uint32(b))
	}
	return binary.BigEndian.Uint64(b)
}

// objectLength returns the length of the first object in b, which must have been validated by
// readObject.
func objectLength(b []byte) int {
	at := 0
	for left := uint64(1); left > 0; left-- {
		code := b[at]
		at++
		extra, body, children, _ := objectLayout(code)
		if extra > 0 {
			body, children = lengthLayout(code, decodeUint(b[at:at+extra]))
			at += extra
		}
		at += int(body)
		left += children
	}
	return at
}
