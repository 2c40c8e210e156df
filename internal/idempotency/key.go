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

// maxKeyBytes is the maximum length of a key, in bytes.
const maxKeyBytes = 256

// The kinds of key rules.
const (
	headerRule    = "header"
	jsonRule      = "json"
	requestIDRule = "request-id"
)

// KeyRule says where the requests of a class carry their idempotency key: "header:NAME"
// names a header field, "json:/POINTER" a value of the JSON body (RFC 6901), and
// "request-id" means the Req-Id field. With "request-id" a client's retries are not
// recognised, as the client gives each a new ID.
type KeyRule struct {
	kind, argument string
}

// ParseKeyRule parses the text of a KeyRule.
func ParseKeyRule(text string) (KeyRule, error) {
	kind, argument, _ := strings.Cut(text, ":")
	switch {
	case kind == headerRule && argument != "" && !strings.ContainsAny(argument, " \t:\r\n"):
	case kind == jsonRule && strings.HasPrefix(argument, "/"):
	case text == requestIDRule:
	default:
		return KeyRule{}, fmt.Errorf(`%q is not a key rule; want "header:NAME", "json:/path/in/body" or "request-id"`, text)
	}
	return KeyRule{kind, argument}, nil
}

// String returns the rule in the form that ParseKeyRule accepts.
func (r KeyRule) String() string {
	if r.argument == "" {
		return r.kind
	}
	return r.kind + ":" + r.argument
}

// Key returns the key of a request. head is its HTTP/1.1 request line and header. It is an
// error if the key is missing, empty, longer than maxKeyBytes, not UTF-8 or contains NUL.
// The text of the error is sent to the client.
func (r KeyRule) Key(head, body []byte) (key string, err error) {
	switch r.kind {
	case headerRule:
		key, err = HeaderField(head, r.argument)
	case jsonRule:
		key, err = jsonValue(body, r.argument)
	default:
		key, err = HeaderField(head, protocol.RequestID)
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

// HeaderField returns the value of the header field called name, in upper or lower case, or
// "" if there is none. head is a request line and header. A field that occurs twice is an
// error.
func HeaderField(head []byte, name string) (value string, err error) {
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

// pointerEscapes decodes the escapes in a reference token of a JSON pointer (RFC 6901).
var pointerEscapes = strings.NewReplacer("~1", "/", "~0", "~")

// jsonValue returns the string or number at a pointer of a JSON body, or "" if there is no
// value or null. Any other value is an error.
func jsonValue(body []byte, pointer string) (string, error) {
	document, err := decodeSingle(body)
	if err != nil {
		return "", err
	}
	switch value := resolvePointer(document, pointer).(type) {
	case string:
		return value, nil
	case json.Number:
		return value.String(), nil
	case nil:
		return "", nil
	}
	return "", fmt.Errorf("what stands at %s is neither a string nor a number", pointer)
}

// decodeSingle decodes a body that must consist of one JSON value. Numbers keep their text.
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

// resolvePointer returns the value at a JSON pointer, or nil if there is none.
func resolvePointer(value any, pointer string) any {
	for _, token := range strings.Split(pointer, "/")[1:] {
		token = pointerEscapes.Replace(token)
		switch container := value.(type) {
		case map[string]any:
			value = container[token]
		case []any:
			index, err := strconv.Atoi(token)
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
