package idempotency

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"martendrum/internal/protocol"
)

// maxKeyBytes is the longest key, in bytes.
const maxKeyBytes = 256

// The kinds of key rules.
const (
	headerRule    = "header"
	jsonRule      = "json"
	requestIDRule = "request-id"
)

// KeyRule says where a class's keys come from: "header:NAME", "json:/POINTER" (RFC
// 6901, into the body) or "request-id". With the last, retries by the client are not
// recognised, as it gives each a new ID.
type KeyRule struct {
	kind, argument string
}

// ParseKeyRule reads a rule.
func ParseKeyRule(text string) (KeyRule, error) {
	kind, argument, _ := strings.Cut(text, ":")
	switch {
	case kind == headerRule && argument != "" && !strings.ContainsAny(argument, " \t:\r\n"):
	case kind == jsonRule && strings.HasPrefix(argument, "/"):
	case text == requestIDRule:
	default:
		return KeyRule{}, fmt.Errorf(`%q is no rule for keys; want "header:NAME", "json:/path/in/body" or "request-id"`, text)
	}
	return KeyRule{kind, argument}, nil
}

// String is the rule as ParseKeyRule reads it.
func (r KeyRule) String() string {
	if r.argument == "" {
		return r.kind
	}
	return r.kind + ":" + r.argument
}

// Key finds a request's key. head is its HTTP/1.1 head.
func (r KeyRule) Key(head, body []byte) (key string, err error) {
	switch r.kind {
	case headerRule:
		key, err = Field(head, r.argument)
	case jsonRule:
		key, err = jsonValue(body, r.argument)
	default:
		key, err = Field(head, protocol.RequestID)
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

// Field is the value of a head's field, "" if there is none. A field that occurs twice
// is an error.
func Field(head []byte, name string) (value string, err error) {
	found := false
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		lineName, lineValue, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(lineName) != len(name) || !strings.EqualFold(string(lineName), name) {
			continue
		}
		if found {
			return "", fmt.Errorf("field %s is there twice", name)
		}
		found, value = true, string(bytes.TrimSpace(lineValue))
	}
	return value, nil
}

// pointerEscapes are the escapes of a JSON pointer's step (RFC 6901).
var pointerEscapes = strings.NewReplacer("~1", "/", "~0", "~")

// jsonValue finds a string or number in a JSON body by its pointer; "" if there is none.
func jsonValue(body []byte, pointer string) (string, error) {
	document, err := decodeSingle(body)
	if err != nil {
		return "", err
	}
	switch value := resolve(document, pointer).(type) {
	case string:
		return value, nil
	case json.Number:
		return value.String(), nil
	case nil:
		return "", nil
	}
	return "", fmt.Errorf("what stands at %s is neither a string nor a number", pointer)
}

// decodeSingle decodes a body that must be one JSON value.
func decodeSingle(body []byte) (document any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if err := decoder.Decode(&document); err != nil {
		return nil, fmt.Errorf("the body is no JSON: %w", err)
	}
	if decoder.More() {
		return nil, errors.New("the body is more than one JSON value")
	}
	return document, nil
}

// resolve is the value at a JSON pointer, nil if there is none.
func resolve(value any, pointer string) any {
	for _, step := range strings.Split(pointer, "/")[1:] {
		step = pointerEscapes.Replace(step)
		switch container := value.(type) {
		case map[string]any:
			value = container[step]
		case []any:
			index, err := strconv.Atoi(step)
			if err != nil || index < 0 || index >= len(container) {
				return nil
			}
			value = container[index]
		default:
			return nil
		}
	}
	return value
}
