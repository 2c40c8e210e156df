package idempotency

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxKeyBytes is the longest key, in bytes.
const maxKeyBytes = 256

// KeyRule says where a class's keys come from: "header:NAME", "json:/POINTER" (RFC
// 6901, into the body) or "request-id". The last records each request by itself:
// clients give every try a new id, so that repeats are not recognised.
type KeyRule struct {
	kind, arg string
}

// ParseKeyRule reads a rule.
func ParseKeyRule(text string) (KeyRule, error) {
	kind, arg, _ := strings.Cut(text, ":")
	switch {
	case kind == "header" && arg != "" && !strings.ContainsAny(arg, " \t:\r\n"):
	case kind == "json" && strings.HasPrefix(arg, "/"):
	case text == "request-id":
	default:
		return KeyRule{}, fmt.Errorf(`%q is no rule for keys; want "header:NAME", "json:/path/in/body" or "request-id"`, text)
	}
	return KeyRule{kind, arg}, nil
}

func (r KeyRule) String() string {
	if r.arg == "" {
		return r.kind
	}
	return r.kind + ":" + r.arg
}

// DetectsRetries says whether a repeat of a request has the same key.
func (r KeyRule) DetectsRetries() bool { return r.kind != "request-id" }

// Key finds a request's key. head is its HTTP/1.1 head.
func (r KeyRule) Key(head, body []byte) (key string, err error) {
	switch r.kind {
	case "header":
		key, err = Field(head, r.arg)
	case "json":
		key, err = jsonValue(body, r.arg)
	default:
		key, err = Field(head, "Req-Id")
	}
	switch {
	case err != nil:
		return "", fmt.Errorf("no key by %s: %w", r, err)
	case key == "":
		return "", fmt.Errorf("no key by %s: it is empty or missing", r)
	case len(key) > maxKeyBytes:
		return "", fmt.Errorf("no key by %s: %d bytes; %d at most", r, len(key), maxKeyBytes)
	case strings.ContainsRune(key, 0) || !utf8.ValidString(key):
		return "", fmt.Errorf("no key by %s: it is no UTF-8 text", r)
	}
	return key, nil
}

// Field is the value of a head's field, "" if there is none. Given twice it says
// nothing.
func Field(head []byte, name string) (value string, err error) {
	found := false
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		k, v, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(k) != len(name) || !strings.EqualFold(string(k), name) {
			continue
		}
		if found {
			return "", fmt.Errorf("field %s is there twice", name)
		}
		found, value = true, string(bytes.TrimSpace(v))
	}
	return value, nil
}

// jsonValue finds a string, number or truth value in a JSON body.
func jsonValue(body []byte, at string) (string, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return "", fmt.Errorf("the body is no JSON: %w", err)
	}
	if d.More() {
		return "", errors.New("the body is more than one JSON value")
	}
	for _, step := range strings.Split(at, "/")[1:] {
		step = strings.NewReplacer("~1", "/", "~0", "~").Replace(step)
		switch in := v.(type) {
		case map[string]any:
			v = in[step]
		case []any:
			n, err := strconv.Atoi(step)
			if err != nil || n < 0 || n >= len(in) {
				return "", nil
			}
			v = in[n]
		default:
			return "", nil
		}
	}
	switch v := v.(type) {
	case string:
		return v, nil
	case json.Number:
		return v.String(), nil
	case nil:
		return "", nil
	}
	return "", fmt.Errorf("what stands at %s is neither a string nor a number", at)
}

// Fingerprint tells one request from another that has the same key: the SHA-256 of
// method, path with query, tenant and body, each with its length.
func Fingerprint(head []byte, tenant string, body []byte) []byte {
	line, _, _ := bytes.Cut(head, []byte("\r\n"))
	h := sha256.New()
	for _, part := range [][]byte{line, []byte(tenant), body} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return h.Sum(nil)
}
