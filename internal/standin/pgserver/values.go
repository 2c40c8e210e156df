package pgserver

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgtype"
)

// formatOf returns the format code (0: text, 1: binary) of field n from the codes of a Bind message, which
// has no code (all fields are text), one code for all fields, or one for each field.
func formatOf(formats []int16, n int) int16 {
	switch {
	case len(formats) == 1:
		return formats[0]
	case n < len(formats):
		return formats[n]
	}
	return 0
}

// decode decodes the value of a parameter from a format of the protocol. nil is NULL.
func decode(types *pgtype.Map, oid uint32, format int16, raw []byte) (any, error) {
	if raw == nil {
		return nil, nil
	}
	switch oid {
	case pgtype.Int8OID:
		var v int64
		err := types.Scan(oid, format, raw, &v)
		return v, err
	case pgtype.BoolOID:
		var v bool
		err := types.Scan(oid, format, raw, &v)
		return v, err
	case pgtype.ByteaOID:
		var v []byte
		err := types.Scan(oid, format, raw, &v)
		if v == nil {
			v = []byte{}
		}
		return v, err
	case pgtype.TextOID:
		return string(raw), nil
	}
	return nil, fmt.Errorf("the stand-in has no type of OID %d", oid)
}

// encode encodes a value of a result in a format of the protocol. nil is NULL.
func encode(types *pgtype.Map, oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	switch oid {
	case pgtype.BoolOID:
		if n, ok := v.(int64); ok {
			v = n != 0
		}
	case pgtype.TextOID:
		if b, ok := v.([]byte); ok {
			v = string(b)
		}
	case pgtype.ByteaOID:
		if s, ok := v.(string); ok {
			v = []byte(s)
		}
	case voidOID:
		return []byte{}, nil
	}
	b, err := types.Encode(oid, format, v, nil)
	if b == nil && err == nil {
		b = []byte{}
	}
	return b, err
}
