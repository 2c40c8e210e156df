package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// bodyChunk is the maximum number of bytes of a body that are allocated before they arrive. A message
// that only claims a large length therefore takes little memory.
const bodyChunk = 16 << 10

// readObject reads one complete MessagePack object and returns its bytes. It reuses buf if it is large
// enough. Besides errors of the reader, it returns ErrTooLong or ErrTooDeep for an object over the
// limits, and an error that wraps ErrFormat for an invalid type byte.
func readObject(buffered *bufio.Reader, limits Limits, buf []byte) ([]byte, error) {
	buf = buf[:0]
	expected := make([]uint64, 1, 8) // number of objects still to read, by nesting level
	expected[0] = 1
	for len(expected) > 0 {
		innermost := &expected[len(expected)-1]
		if *innermost == 0 {
			expected = expected[:len(expected)-1]
			continue
		}
		*innermost--
		code, err := buffered.ReadByte()
		if err != nil {
			return nil, unexpectedEOF(err, len(buf))
		}
		buf = append(buf, code)
		next, err := layoutOf(code)
		if err != nil {
			return nil, err
		}
		if next.lengthBytes > 0 {
			lengthOffset := len(buf)
			if buf, err = readBody(buffered, buf, uint64(next.lengthBytes), limits.Message); err != nil {
				return nil, err
			}
			next = layoutOfLength(code, decodeUint(buf[lengthOffset:]))
		}
		if next.body > 0 {
			if buf, err = readBody(buffered, buf, next.body, limits.Message); err != nil {
				return nil, err
			}
		}
		if next.children > 0 {
			// Every child takes at least one byte.
			if next.children > uint64(limits.Message) {
				return nil, ErrTooLong
			}
			if len(expected) >= limits.Depth {
				return nil, ErrTooDeep
			}
			expected = append(expected, next.children)
		}
		if len(buf) > limits.Message {
			return nil, ErrTooLong
		}
	}
	return buf, nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF in place of io.EOF if part of the object has been read,
// and other errors as they are.
func unexpectedEOF(err error, bytesRead int) error {
	if err == io.EOF && bytesRead > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readBody reads n bytes and appends them to buf. It returns ErrTooLong if buf would then be longer
// than limit.
func readBody(buffered *bufio.Reader, buf []byte, n uint64, limit int) ([]byte, error) {
	if n > uint64(limit) || len(buf)+int(n) > limit {
		return nil, ErrTooLong
	}
	for left := int(n); left > 0; {
		chunk := min(left, bodyChunk)
		offset := len(buf)
		buf = append(buf, make([]byte, chunk)...)
		if _, err := io.ReadFull(buffered, buf[offset:]); err != nil {
			return nil, unexpectedEOF(err, 1)
		}
		left -= chunk
	}
	return buf, nil
}

// layout describes what follows a type byte. If lengthBytes is not 0, the other fields depend on the
// value of the length field, and layoutOfLength returns them.
type layout struct {
	lengthBytes int    // size of the big-endian field with the length of the body or the number of elements
	body        uint64 // number of bytes of data
	children    uint64 // number of nested objects; a map has two for each entry
}

// layoutOf returns the layout of objects whose type byte is code. An invalid type byte is an error that
// wraps ErrFormat.
func layoutOf(code byte) (layout, error) {
	switch {
	case code <= 0x7f, code >= 0xe0: // fixint
		return layout{}, nil
	case code <= 0x8f: // fixmap
		return layout{children: 2 * uint64(code&0x0f)}, nil
	case code <= 0x9f: // fixarray
		return layout{children: uint64(code & 0x0f)}, nil
	case code <= 0xbf: // fixstr
		return layout{body: uint64(code & 0x1f)}, nil
	case code == 0xc1:
		return layout{}, fmt.Errorf("%w: type byte c1 is never used", ErrFormat)
	case code <= 0xc3: // nil, false, true
		return layout{}, nil
	case code <= 0xc6: // bin
		return layout{lengthBytes: 1 << (code - 0xc4)}, nil
	case code <= 0xc9: // ext
		return layout{lengthBytes: 1 << (code - 0xc7)}, nil
	case code == 0xca: // float 32
		return layout{body: 4}, nil
	case code == 0xcb: // float 64
		return layout{body: 8}, nil
	case code <= 0xcf: // uint
		return layout{body: 1 << (code - 0xcc)}, nil
	case code <= 0xd3: // int
		return layout{body: 1 << (code - 0xd0)}, nil
	case code <= 0xd8: // fixext, with its type byte
		return layout{body: 1 + 1<<(code-0xd4)}, nil
	case code <= 0xdb: // str
		return layout{lengthBytes: 1 << (code - 0xd9)}, nil
	default: // array and map, 16 and 32
		return layout{lengthBytes: 2 << (code & 1)}, nil
	}
}

// layoutOfLength returns the layout of what follows the length field of an object, whose type byte is
// code and whose length field has the value n.
func layoutOfLength(code byte, n uint64) layout {
	switch {
	case code >= 0xde: // map
		return layout{children: 2 * n}
	case code >= 0xdc: // array
		return layout{children: n}
	case code >= 0xc7 && code <= 0xc9: // ext: a type byte and its data
		return layout{body: n + 1}
	}
	return layout{body: n}
}

// decodeUint decodes a big-endian number of 1, 2, 4 or 8 bytes.
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
	offset := 0
	for left := uint64(1); left > 0; left-- {
		code := b[offset]
		offset++
		next, _ := layoutOf(code)
		if next.lengthBytes > 0 {
			length := decodeUint(b[offset : offset+next.lengthBytes])
			offset += next.lengthBytes
			next = layoutOfLength(code, length)
		}
		offset += int(next.body)
		left += next.children
	}
	return offset
}
